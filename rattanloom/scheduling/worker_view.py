"""What decisions about placement need to know of a worker."""

from typing import Protocol

from rattanloom.placement.start_limits import StartLimits
from rattanloom.placement.worker_events import WorkerState
from rattanloom.placement.worker_runs import WorkerRuns
from rattanloom.placement.workers import WorkerEntry


class WorkerView(Protocol):
    """A worker of the pool; see ``PooledWorker`` for the attributes.

    ``duration_ratio`` is how long its runs take compared to those of other workers;
    that of a slow worker is above 1.
    """

    entry: WorkerEntry
    runs: WorkerRuns
    state: WorkerState
    paused_until_ms: float
    drains_until_ms: float
    has_current_entry: bool
    failure_score: float
    duration_ratio: float
    limits: StartLimits

    @property
    def worker_id(self) -> str:
        """Return the id under which the worker registered."""
