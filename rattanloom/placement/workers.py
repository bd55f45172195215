"""Workers as the placer sees them: their entries, orders to them, their answers."""

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
        """Return the sum."""
        return Resources(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_mb + other.memory_mb,
            self.gpus + other.gpus,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Return the difference."""
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
    """What a worker registered of itself.

    ``incarnation_ms`` is the wall time of its start: a worker that came back
    under the same id has another. A worker that is not ``accepting`` takes no
    new tasks.
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
    """The order to run one task."""

    task: str
    attempt: int
    spec: str
    lease_until_ms: int
    fencing_token: int
    checkpoint: str = ""


class StartRefusal(Enum):
    """Why a worker did not start a task."""

    FENCED = "fenced"
    ATTEMPT_TOO_OLD = "attempt_too_old"
    LEASE_EXPIRED = "lease_over"
    NO_ROOM = "no_room"
    BAD_TICKET = "bad_ticket"
    UNHEALTHY = "unhealthy"
    OTHER_INCARNATION = "other_incarnation"
    INVALID = "invalid"


@frozen
class Started:
    """The task runs (or ran already under this attempt)."""

    clock_ms: int


@frozen
class NotStarted:
    """The worker refused the order; nothing was done."""

    refusal: StartRefusal
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
    """How a run ended, in the worker's words."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    EXPIRED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@frozen
class FinishedRun:
    """The end of one run; ``number`` counts the ends of one incarnation."""

    number: int
    task: str
    attempt: int
    outcome: RunOutcome
    checkpoint: str = ""


@frozen
class WorkerReport:
    """A worker's answer to a renewal: its clock, its runs, its recent ends."""

    clock_ms: int
    incarnation_ms: int
    running: tuple[RunStatus, ...]
    ended: tuple[FinishedRun, ...]


@frozen
class Renewal:
    """The order to report, and to extend the lease where ``lease_until_ms`` is set.

    Ends up to ``last_finished_number`` are forgotten by the worker.
    """

    fencing_token: int
    last_finished_number: int
    lease_until_ms: int | None = None
    wait_ms: int = 0


class WorkerOrders(Protocol):
    """Orders to one worker; a ``Failure`` REPLY_LOST may have been carried out."""

    def start(self, order: StartOrder) -> Started | NotStarted | Failure:
        """Start a task."""

    def stop(self, task: str, attempt: int, fencing_token: int) -> bool | Failure:
        """Stop a run; False says that the worker refused the token."""

    def renew(self, renewal: Renewal) -> WorkerReport | NotStarted | Failure:
        """Extend the lease and return what runs and what ended."""

    def close(self) -> None:
        """Close the connections."""
