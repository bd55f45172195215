"""What a pooled worker is, and what it tells its placer."""

from enum import Enum
from typing import TYPE_CHECKING, Protocol

from rattanloom.placement.runs import Run
from rattanloom.placement.workers import FinishedRun, StartRefusal

if TYPE_CHECKING:
    from rattanloom.placement.pooled_worker import PooledWorker


class WorkerState(Enum):
    """What the placer knows of a worker.

    SYNCING until its first report; SILENT while it does not answer; FENCED
    once it follows another placer.
    """

    SYNCING = "syncing"
    READY = "ready"
    UNRESPONSIVE = "silent"
    FENCED = "fenced"


class WorkerEvents(Protocol):
    """What a pooled worker tells its placer; calls must not block."""

    def on_run_finished(
        self, worker: "PooledWorker", run: Run, end: FinishedRun
    ) -> None:
        """Take the end of a run."""

    def on_run_lost(self, worker: "PooledWorker", run: Run, reason: str) -> None:
        """Take that a run is surely not running and its end is not known."""

    def on_run_not_started(
        self, worker: "PooledWorker", run: Run, refusal: StartRefusal | None
    ) -> None:
        """Take that an order surely had no effect."""

    def on_inherited_run(self, worker: "PooledWorker", run: Run) -> None:
        """Take a run that another placer ordered."""

    def on_inherited_run_finished(
        self, worker: "PooledWorker", end: FinishedRun
    ) -> None:
        """Take the end of a run that another placer ordered."""

    def on_worker_changed(self, worker: "PooledWorker") -> None:
        """Take that a worker has room or has changed its state."""
