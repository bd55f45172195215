"""Histories of concurrent runs: what callers, workers and operators saw.

All times are milliseconds on the one clock of the machine that records.
``submission`` is the caller's own name of what it wants done once: it is in
every payload, and stays the same when the caller takes another ticket.
"""

from enum import Enum
from math import inf

from attrs import define, field, frozen

from rattanloom.errors import Ran
from rattanloom.job import ResultKind


class Action(Enum):
    """What a caller asked for."""

    SUBMIT = "submit"
    ASK = "ask"
    CANCEL = "cancel"


@frozen
class Invoked:
    """A caller sent a request; ``call`` numbers it.

    ``wanted`` holds the outputs that a complete answer must have.
    """

    at_ms: float
    call: int
    action: Action
    host: str
    submission: str
    job_id: str
    key: str
    wanted: tuple[str, ...]
    idempotent: bool = True


@frozen
class ResponseReceived:
    """The caller got a whole answer to its request."""

    at_ms: float
    call: int
    job_id: str
    outcome: ResultKind
    outputs: tuple[str, ...] = ()
    kind: str = ""
    ran: Ran | None = None


@frozen
class ResponseMissing:
    """The request ended without an answer.

    ``cut_off`` says that the connection had been made and was closed; it is
    false where none could be made or where the caller gave up.
    """

    at_ms: float
    call: int
    cut_off: bool
    reason: str = ""


@frozen
class TaskStarted:
    """A worker started one task of a submission."""

    at_ms: float
    worker: str
    submission: str
    task: int
    attempt_id: str = ""


@frozen
class TargetLeaving:
    """A worker was marked as leaving, and is listed again from ``until_ms``."""

    at_ms: float
    worker: str
    until_ms: float = inf


@frozen
class HostStopped:
    """An entry host was told to stop gracefully, and ended."""

    told_at_ms: float
    ended_at_ms: float
    host: str


@frozen
class ConfigAccepted:
    """An operator was told that a change is accepted, as that version."""

    at_ms: float
    version: int
    change: str


@frozen
class ConfigStored:
    """What the platform keeps as a version: the changes in its content."""

    version: int
    changes: frozenset[str]


@frozen
class ConfigSeen:
    """A host told the version in force; 0 stands for none, as after a start."""

    at_ms: float
    host: str
    version: int


@frozen
class Disturbed:
    """A host could not be expected to follow the configuration meanwhile."""

    from_ms: float
    until_ms: float
    host: str


Record = (
    Invoked
    | ResponseReceived
    | ResponseMissing
    | TaskStarted
    | TargetLeaving
    | HostStopped
    | ConfigAccepted
    | ConfigStored
    | ConfigSeen
    | Disturbed
)


@frozen
class Call:
    """One request with what became of it."""

    invoked: Invoked
    answered: ResponseReceived | None
    unanswered: ResponseMissing | None


@define(eq=False)
class History:
    """The records of one run, in any order."""

    records: list[Record] = field(factory=list)

    def add(self, record: Record) -> None:
        """Append one record."""
        self.records.append(record)

    def of_type(self, *shapes: type) -> list:
        """Return the records of the given types, in the order of recording."""
        return [record for record in self.records if isinstance(record, shapes)]

    def calls(self) -> list[Call]:
        """Return every request with its answer, if any."""
        answered = {record.call: record for record in self.of_type(ResponseReceived)}
        unanswered = {record.call: record for record in self.of_type(ResponseMissing)}
        return [
            Call(each, answered.get(each.call), unanswered.get(each.call))
            for each in self.of_type(Invoked)
        ]
