"""Workers as the placer sees them: entries, orders and replies."""

from enum import Enum
from typing import Protocol

from attrs import frozen

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

    ``incarnation_ms`` is the wall time of its start; it changes when a worker
    restarts under the same id. A worker that is not ``accepting`` gets no new
    tasks.
    """

    worker_id: str
    incarnation_ms: int
    service: str
    address: str
    zone: str
    accepting: bool
    capacity: Resources
    labels: tuple[str, ...] = ()


@frozen
class StartOrder:
    """Order to run one task; the lease ends at ``lease_until_ms`` (worker's clock)."""

    task: str
    attempt: int
    spec: str
    lease_until_ms: int
    fencing_token: int
    checkpoint: str = ""


class RefusalReason(Enum):
    """Why a worker did not start a task."""

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
    """The task runs, or was already running under this attempt."""

    clock_ms: int


@frozen
class Refused:
    """The worker refused the order; it had no effect."""

    refusal: RefusalReason
    clock_ms: int = 0


@frozen
class RunStatus:
    """One run on a worker, with its progress in percent."""

    task: str
    attempt: int
    checkpoint: str
    percent: int
    cpu_millicores: int = 0


class RunOutcome(Enum):
    """How a run finished, as the worker reports it.

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
    """A finished run; ``number`` counts those of one incarnation of the worker."""

    number: int
    task: str
    attempt: int
    outcome: RunOutcome
    checkpoint: str = ""


@frozen
class WorkerReport:
    """Reply to a renewal: the worker's clock, its runs and its finished runs."""

    clock_ms: int
    incarnation_ms: int
    running: tuple[RunStatus, ...]
    ended: tuple[FinishedRun, ...]


@frozen
class Renewal:
    """Request for a report, extending the lease if ``lease_until_ms`` is set.

    The worker discards finished runs up to ``last_finished_number``, and waits up
    to ``wait_ms`` for a run to finish.
    """

    fencing_token: int
    last_finished_number: int
    lease_until_ms: int | None = None
    wait_ms: int = 0


class WorkerClientProtocol(Protocol):
    """Client of one worker.

    An order that returns a REPLY_LOST failure may have been carried out.
    """

    def start(self, order: StartOrder) -> Started | Refused | Failure:
        """Start a task."""

    def stop(self, task: str, attempt: int, fencing_token: int) -> bool | Failure:
        """Stop a run; return False if the worker refused the fencing token."""

    def renew(self, renewal: Renewal) -> WorkerReport | Refused | Failure:
        """Extend the lease and return the running and the finished runs."""

    def close(self) -> None:
        """Close the connections to the worker."""
