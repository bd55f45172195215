"""Workers as the placer uses them: registry entries, requests and replies."""

from enum import Enum
from typing import Protocol

from attrs import field, frozen

from rattanloom.errors import Failure


@frozen
class Resources:
    """An amount of processor (thousandths of a core), memory and accelerators."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    gpus: int = 0

    def plus(self, other: "Resources") -> "Resources":
        """Return the sum of both amounts."""
        return Resources(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_mb + other.memory_mb,
            self.gpus + other.gpus,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Return this amount less ``other``; may be negative."""
        return Resources(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mb - other.memory_mb,
            self.gpus - other.gpus,
        )

    def fits(self, need: "Resources") -> bool:
        """Return whether ``need`` fits into this amount."""
        return (
            need.cpu_millicores <= self.cpu_millicores
            and need.memory_mb <= self.memory_mb
            and need.gpus <= self.gpus
        )


@frozen
class WorkerEntry:
    """A worker's entry in the registry.

    ``incarnation_ms`` is the wall time of its start and identifies its incarnation:
    it changes when a worker restarts under the same id. A worker that is not
    ``accepting`` gets no new tasks, and leaves at ``leaves_at_ms`` of this daemon's
    clock at the earliest. That is an estimate, so that it doesn't count in comparisons.
    """

    worker_id: str
    incarnation_ms: int
    service: str
    address: str
    zone: str
    accepting: bool
    capacity: Resources
    labels: tuple[str, ...] = ()
    leaves_at_ms: float | None = field(default=None, eq=False)


@frozen
class StartOrder:
    """Order to start a run of the task named ``task``.

    It also extends the worker's lease to ``lease_until_ms``, in the worker's clock.
    """

    task: str
    attempt: int
    spec: str
    lease_until_ms: int
    fencing_token: int
    checkpoint: str = ""


class RefusalReason(Enum):
    """Why a worker refused a start order or a renewal.

    FENCED: it has received a higher fencing token. ATTEMPT_TOO_OLD: a run of this
    attempt or a later one has finished or was stopped, so the task may have run, by an
    order of another placer or an earlier one. LEASE_EXPIRED: the lease in
    the order has expired already. OTHER_WORKER: another worker has the address.
    """

    FENCED = "fenced"
    ATTEMPT_TOO_OLD = "attempt_too_old"
    LEASE_EXPIRED = "lease_over"
    NO_ROOM = "no_room"
    BAD_TICKET = "bad_ticket"
    UNHEALTHY = "unhealthy"
    OTHER_WORKER = "other_incarnation"
    INVALID = "invalid"


@frozen
class Started:
    """The worker runs the task, possibly since an earlier order for this attempt."""

    clock_ms: int


@frozen
class Refused:
    """The worker refused a start order or a renewal, which had no effect.

    ``clock_ms`` is the worker's clock; 0 if the reply has none.
    """

    refusal: RefusalReason
    clock_ms: int = 0


def reply_label(reply: Started | Refused | Failure) -> str:
    """Return the label of a reply to a start order in the log."""
    if isinstance(reply, Started):
        return "started"
    if isinstance(reply, Refused):
        return reply.refusal.value
    return reply.kind.value


@frozen
class RunStatus:
    """One run as a worker's report lists it; ``percent`` is its progress."""

    task: str
    attempt: int
    checkpoint: str
    percent: int
    cpu_millicores: int = 0


class RunOutcome(Enum):
    """How a run finished, as the worker reports it; ``OutcomeKind`` is that of a job.

    EXPIRED: the worker's lease expired.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    EXPIRED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@frozen
class FinishedRun:
    """A finished run; ``number`` counts those of the worker's incarnation."""

    number: int
    task: str
    attempt: int
    outcome: RunOutcome
    checkpoint: str = ""


@frozen
class WorkerReport:
    """Reply to a renewal: the worker's clock, its runs and those that have finished.

    ``ended`` has the finished runs after ``last_finished_number`` of the renewal;
    later ones may be missing unless ``lists_all_ends``.
    ``remaining_ms`` is the least time until the worker leaves; None unless it drains.
    """

    clock_ms: int
    incarnation_ms: int
    running: tuple[RunStatus, ...]
    ended: tuple[FinishedRun, ...]
    remaining_ms: float | None = None
    lists_all_ends: bool = True


@frozen
class Renewal:
    """Request for a report; extends the lease if ``lease_until_ms`` is set.

    The worker discards finished runs up to ``last_finished_number``, and waits up
    to ``wait_ms`` for a run to finish.
    """

    fencing_token: int
    last_finished_number: int
    lease_until_ms: int | None = None
    wait_ms: int = 0


class WorkerClientProtocol(Protocol):
    """Interface of the client of one worker.

    A request that returns a REPLY_LOST failure may have been carried out.
    """

    def start(self, order: StartOrder) -> Started | Refused | Failure:
        """Start a run of a task."""

    def stop(self, task: str, attempt: int, fencing_token: int) -> bool | Failure:
        """Stop a run; return whether the worker accepted the order."""

    def renew(self, renewal: Renewal) -> WorkerReport | Refused | Failure:
        """Extend the lease and return the running and the finished runs."""

    def close(self) -> None:
        """Close the connections to the worker."""
