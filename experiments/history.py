"""Records of concurrent runs, as callers, workers and operators observed them.

All times are milliseconds on the clock of the recording machine.
``submission`` is the caller's id of work to be done once: it is part of every
payload, and stays the same when the caller gets another ticket.
"""

from enum import Enum
from math import inf

from attrs import define, field, frozen

from rattanloom.errors import Ran
from rattanloom.job import ResultKind


class Action(Enum):
    """The kind of a caller's request."""

    SUBMIT = "submit"
    ASK = "ask"
    CANCEL = "cancel"


@frozen
class Invoked:
    """A caller sent the request with the number ``call``.

    ``expected_outputs`` are the outputs that a complete result must have.
    """

    at_ms: float
    call: int
    action: Action
    host: str
    submission: str
    job_id: str
    key: str
    expected_outputs: tuple[str, ...]
    idempotent: bool = True


@frozen
class ResponseReceived:
    """The caller received a complete response to its request."""

    at_ms: float
    call: int
    job_id: str
    outcome: ResultKind
    outputs: tuple[str, ...] = ()
    kind: str = ""
    ran: Ran | None = None


@frozen
class ResponseMissing:
    """The request ended without a response.

    ``cut_off`` is true if the connection was established and then closed, and
    false if it could not be established or the caller timed out.
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
    """A worker was listed as leaving until ``until_ms``."""

    at_ms: float
    worker: str
    until_ms: float = inf


@frozen
class HostStopped:
    """An entry host was requested to stop gracefully, and exited."""

    requested_at_ms: float
    exited_at_ms: float
    host: str


@frozen
class ConfigAccepted:
    """An operator received the reply that a change is accepted as ``version``."""

    at_ms: float
    version: int
    change: str


@frozen
class ConfigStored:
    """The changes in the content of a version that the platform stores."""

    version: int
    changes: frozenset[str]


@frozen
class ConfigSeen:
    """A host reported its active version; 0 means none, as after a start."""

    at_ms: float
    host: str
    version: int


@frozen
class ConfigExemption:
    """A span in which a host need not follow the configuration, due to a fault."""

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
    | ConfigExemption
)


@frozen
class Call:
    """One request with its response, or the record that there was none.

    Both are None if the history ended first.
    """

    invoked: Invoked
    response: ResponseReceived | None
    no_response: ResponseMissing | None


@define(eq=False)
class History:
    """The records of one run, in any order."""

    records: list[Record] = field(factory=list)

    def add(self, record: Record) -> None:
        """Append one record."""
        self.records.append(record)

    def of_type(self, *classes: type) -> list:
        """Return the records of the given types, in the order of recording."""
        return [record for record in self.records if isinstance(record, classes)]

    def calls(self) -> list[Call]:
        """Return every request with its response, if any."""
        responses = {record.call: record for record in self.of_type(ResponseReceived)}
        missing = {record.call: record for record in self.of_type(ResponseMissing)}
        return [
            Call(each, responses.get(each.call), missing.get(each.call))
            for each in self.of_type(Invoked)
        ]
