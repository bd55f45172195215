"""Runs and jobs that a placer takes over from placers before it."""

from collections.abc import Iterable

from attrs import define, field

from rattanloom.clock import Clock
from rattanloom.placement.pooled_worker import PooledWorker, WorkerState
from rattanloom.placement.runs import PlacedJob, Run

# Runs that nobody claims are stopped; daemons hand their jobs over in a few ms.
UNCLAIMED_MAX_MS = 200
# Leases that a former placer gave are over this long after a job left it.
FORMER_LEASES_MS = 1_050
# Daemons hand jobs on within this time after their placer was replaced.
INHERITED_MS = 2_000
# Ended tasks and jobs may be asked about this long.
RECENT_MS = 5_000


@define(eq=False, repr=False)
class InheritedWork:
    """What is known of the work of former placers.

    ``inherited_ms`` tells from which placers all workers were taken over, and
    when.
    """

    node: str
    clock: Clock
    inherited_ms: dict[str, float] = field(factory=dict)
    _unclaimed: dict[str, tuple[PooledWorker, Run]] = field(factory=dict)
    _done_tasks: dict[str, float] = field(factory=dict)
    _done_jobs: dict[str, float] = field(factory=dict)

    def is_synced(self, job: PlacedJob, workers: Iterable[PooledWorker]) -> bool:
        """Return whether all runs that former placers started are known or over."""
        if not job.former_placers:
            return True
        if self.clock.now_ms() >= job.received_ms + FORMER_LEASES_MS:
            return True
        is_inherited = all(
            job.received_ms < self.inherited_ms.get(node, 0) + INHERITED_MS
            for node in job.former_placers
            if node != self.node
        )
        return is_inherited and all(
            worker.state is not WorkerState.SYNCING for worker in workers
        )

    def add(self, worker: PooledWorker, run: Run) -> None:
        """Keep a run until a job claims it."""
        self._unclaimed[run.name] = (worker, run)

    def claim(self, task_name: str) -> tuple[PooledWorker, Run] | None:
        """Return the run of a task, which is claimed with it."""
        return self._unclaimed.pop(task_name, None)

    def clear_runs(self) -> None:
        """Forget all unclaimed runs."""
        self._unclaimed.clear()

    def pop_overdue(self) -> list[tuple[PooledWorker, Run]]:
        """Return the runs that nobody claimed in time, and forget them."""
        now_ms = self.clock.now_ms()
        overdue = [
            (worker, run)
            for worker, run in self._unclaimed.values()
            if now_ms > run.ordered_ms + UNCLAIMED_MAX_MS
        ]
        for _, run in overdue:
            del self._unclaimed[run.name]
        return overdue

    def record_done_task(self, task_name: str) -> None:
        """Remember that a task of an unknown job is done."""
        self._done_tasks[task_name] = self.clock.now_ms()

    def is_task_done(self, task_name: str) -> bool:
        """Return whether a former placer's run of a task is done."""
        return task_name in self._done_tasks

    def record_completed_job(self, job_id: str) -> None:
        """Remember a completed job: its answer may be lost."""
        self._done_jobs[job_id] = self.clock.now_ms()

    def is_job_done(self, job_id: str) -> bool:
        """Return whether a job was completed here a moment ago."""
        return job_id in self._done_jobs

    def remove_expired(self) -> None:
        """Forget what nobody will ask about any more."""
        now_ms = self.clock.now_ms()
        for ended_ms in (self._done_tasks, self._done_jobs):
            for name in [
                key for key, at in ended_ms.items() if now_ms > at + RECENT_MS
            ]:
                del ended_ms[name]
