"""Failure histories: what callers, workers and operators observed under faults.

All times are wall clock times in ms of the recording machine. ``submission`` is the
caller's id of work to be done once: it is part of the payload of each task, and
stays the same when the caller gets another ticket.
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
    """A caller sent a request, which has the number ``call`` in its history.

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
    """The caller received a response; ``kind`` and ``ran`` describe a failure."""

    at_ms: float
    call: int
    job_id: str
    outcome: ResultKind
    outputs: tuple[str, ...] = ()
    kind: str = ""
    ran: Ran | None = None


@frozen
class ResponseMissing:
    """The request failed without a response.

    ``cut_off`` is true if the connection was established and then closed, and
    false if it could not be established or the caller timed out.
    """

    at_ms: float
    call: int
    cut_off: bool
    reason: str = ""


@frozen
class TaskStarted:
    """A worker started the task with the index ``task`` of a submission."""

    at_ms: float
    worker: str
    submission: str
    task: int
    attempt_id: str = ""


@frozen
class TargetLeaving:
    """A worker was listed as leaving from ``at_ms`` until ``until_ms``."""

    at_ms: float
    worker: str
    until_ms: float = inf


@frozen
class HostStopped:
    """An entry host received SIGTERM, and exited."""

    requested_at_ms: float
    exited_at_ms: float
    host: str


@frozen
class ConfigAccepted:
    """The operators' client reported that a change was accepted as ``version``."""

    at_ms: float
    version: int
    change: str


@frozen
class ConfigStored:
    """A version that the platform stores, and the changes that it contains."""

    version: int
    changes: frozenset[str]


@frozen
class ConfigSeen:
    """A host reported its active version to a request sent at ``at_ms``.

    Version 0 means none, as after a start.
    """

    at_ms: float
    host: str
    version: int


@frozen
class ConfigExemption:
    """A span in which a fault may keep a host from activating versions."""

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
    """One request and its response or failure, if recorded before the history ended."""

    invoked: Invoked
    response: ResponseReceived | None
    no_response: ResponseMissing | None


@define(eq=False)
class History:
    """The records of one failure history, in any order."""

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
