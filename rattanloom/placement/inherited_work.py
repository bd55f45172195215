"""Runs and jobs that a placer inherits from earlier placers.

An inherited run was ordered by an earlier placer and is listed by its worker. The
job that its task belongs to adopts it once the job is submitted to this placer.
"""

from collections.abc import Callable, Mapping
from math import inf

from attrs import define, field

from rattanloom.clock import Clock
from rattanloom.placement.pooled_worker import PooledWorker
from rattanloom.placement.runs import FormerRuns, PlacedJob, Run

# An inherited run that no job adopts within this time is stopped; daemons submit the
# jobs again within a few ms.
INHERITED_RUN_MAX_MS = 200
# Leases granted by a former placer have expired this long after a job was submitted
# to its next placer: ``RUN_LEASE_MAX_MS`` on a slow clock, and the time to act on it.
FORMER_LEASE_MAX_MS = 1_200
# For this time after a worker left the pool, another placer may use it that has not
# stated so: statements count for as long after their link was closed.
UNSTATED_MAX_MS = 2_000
# Pause between two checks whether all workers have reported, for all waiting tasks.
CHECK_INTERVAL_MS = 5
# How long done tasks and jobs are recorded, as the jobs may be submitted again.
DONE_KEPT_MS = 5_000
# How long cancellations are recorded: a client may post a job again seconds after it.
CANCELLED_KEPT_MS = 15_000


@define(eq=False, repr=False)
class InheritedWork:
    """Tracks inherited runs, tasks and jobs that are done, and jobs that ended before.

    ``node`` is this daemon, ``workers`` is the pool of its placer. ``workers_used_by``
    returns all workers on which runs of another placer may be active, or None if they
    are not known, ``may_run_elsewhere`` whether one may run a job that its client has
    posted twice. ``started_ms`` is when this process started, or shortly after.
    ``_removed_ms`` is when a worker was last removed from the pool. All of its workers
    have reported since ``_reported_since_ms``, as found at ``_checked_ms``.
    """

    node: str
    clock: Clock
    workers: Mapping[str, PooledWorker]
    workers_used_by: Callable[[str], frozenset[str] | None] = lambda node: None
    may_run_elsewhere: Callable[[PlacedJob], bool] = lambda job: False
    started_ms: float = field(init=False)
    _runs: dict[str, tuple[PooledWorker, Run]] = field(factory=dict)
    _done_tasks: dict[str, float] = field(factory=dict)
    _done_jobs: dict[str, float] = field(factory=dict)
    _possible_runs: dict[str, float] = field(factory=dict)
    _cancelled_jobs: dict[str, float] = field(factory=dict)
    _removed_ms: float = -inf
    _reported_since_ms: float = -inf
    _checked_ms: float = -inf

    def __attrs_post_init__(self) -> None:
        self.started_ms = self.clock.now_ms()

    def is_synced(self, job: PlacedJob) -> bool:
        """Return whether no unknown run of a job can be active, at another placer.

        The reason is kept in ``former_runs`` of the job.
        """
        job.former_runs = self._former_runs(job)
        return job.former_runs is not FormerRuns.UNKNOWN

    def _former_runs(self, job: PlacedJob) -> FormerRuns:
        """Return what is known of the runs that former placers started for a job.

        They are known once this placer controls every worker that the former placers
        stated to use, and all of its workers have reported their runs since it received
        the job. They are over once the leases granted by the former placers have
        expired. A placer that has completed the job has no active runs of it.

        If this daemon is one of the former placers, the runs of this process are known.
        Those of a former incarnation may be on workers that are not registered any
        more, until its leases have expired.
        """
        if self.may_run_elsewhere(job):
            return FormerRuns.UNKNOWN
        if not job.former_placers:
            return FormerRuns.NONE
        now_ms = self.clock.now_ms()
        if now_ms >= job.received_ms + FORMER_LEASE_MAX_MS:
            return FormerRuns.OVER
        if (
            self.node in job.former_placers
            and self.node != job.completed_by
            and now_ms < self.started_ms + FORMER_LEASE_MAX_MS
        ):
            return FormerRuns.UNKNOWN
        others = set(job.former_placers) - {self.node, job.completed_by}
        if not all(map(self._controls_workers_of, others)):
            return FormerRuns.UNKNOWN
        if others and self._removed_ms > job.received_ms - UNSTATED_MAX_MS:
            return FormerRuns.UNKNOWN
        since_ms = job.received_ms if others else self.started_ms
        is_known = self._have_reported_since(since_ms)
        return FormerRuns.KNOWN if is_known else FormerRuns.UNKNOWN

    def _controls_workers_of(self, node: str) -> bool:
        """Return whether all workers that another placer uses are in the pool."""
        used = self.workers_used_by(node)
        return used is not None and used <= self.workers.keys()

    def _have_reported_since(self, since_ms: float) -> bool:
        """Return whether all workers have reported since; request missing reports.

        The workers are checked again only after ``CHECK_INTERVAL_MS``.
        """
        if since_ms <= self._reported_since_ms:
            return True
        now_ms = self.clock.now_ms()
        if now_ms < self._checked_ms + CHECK_INTERVAL_MS:
            return False
        self._checked_ms = now_ms
        known_ms = (worker.known_since_ms for worker in self.workers.values())
        self._reported_since_ms = min(known_ms, default=inf)
        for worker in self.workers.values():
            if worker.known_since_ms < since_ms:
                worker.request_report_soon()
        return since_ms <= self._reported_since_ms

    def on_worker_added(self) -> None:
        """Check again whether all workers have reported."""
        self._reported_since_ms = -inf

    def record_removed_worker(self) -> None:
        """Record that a worker was removed, which may not have reported all its runs.

        Another placer may control it that has not stated to use it yet.
        """
        self._removed_ms = self.clock.now_ms()

    def add(self, worker: PooledWorker, run: Run) -> None:
        """Add an inherited run; it is kept until a job adopts it."""
        self._runs[run.name] = (worker, run)

    def pop_run(self, task_name: str) -> tuple[PooledWorker, Run] | None:
        """Remove and return the inherited run of a task, or None."""
        return self._runs.pop(task_name, None)

    def clear_runs(self) -> None:
        """Remove all inherited runs."""
        self._runs.clear()

    def pop_overdue(self) -> list[tuple[PooledWorker, Run]]:
        """Remove and return the runs that no job adopted in time."""
        now_ms = self.clock.now_ms()
        overdue = [
            (worker, run)
            for worker, run in self._runs.values()
            if now_ms > run.ordered_ms + INHERITED_RUN_MAX_MS
        ]
        for _, run in overdue:
            del self._runs[run.name]
        return overdue

    def record_done_task(self, task_name: str) -> None:
        """Record that a former placer's run of a task is done."""
        self._done_tasks[task_name] = self.clock.now_ms()

    def has_done_tasks(self) -> bool:
        """Return whether any task was completed elsewhere recently."""
        return bool(self._done_tasks)

    def is_task_done(self, task_name: str) -> bool:
        """Return whether a former placer's run of a task completed recently."""
        return task_name in self._done_tasks

    def record_completed_job(self, job_id: str) -> None:
        """Record a completed job, as its outcome may be lost in transit."""
        self._done_jobs[job_id] = self.clock.now_ms()

    def is_job_done(self, job_id: str) -> bool:
        """Return whether this placer completed a job recently."""
        return job_id in self._done_jobs

    def record_possible_run(self, job_id: str) -> None:
        """Record that tasks of a job may have run, at this placer or another one."""
        self._possible_runs[job_id] = self.clock.now_ms()

    def may_have_run(self, job_id: str) -> bool:
        """Return whether tasks of an earlier send of a job may have run recently."""
        return job_id in self._possible_runs

    def record_cancelled_job(self, job_id: str) -> None:
        """Record a job that its client cancelled; it may arrive later."""
        self._cancelled_jobs[job_id] = self.clock.now_ms()

    def is_job_cancelled(self, job_id: str) -> bool:
        """Return whether the client of a job cancelled it recently."""
        return job_id in self._cancelled_jobs

    def remove_expired(self) -> None:
        """Remove the records of tasks and jobs that are too old."""
        now_ms = self.clock.now_ms()
        for done_ms in (self._done_tasks, self._done_jobs, self._possible_runs):
            _remove_older(done_ms, now_ms - DONE_KEPT_MS)
        _remove_older(self._cancelled_jobs, now_ms - CANCELLED_KEPT_MS)


def _remove_older(recorded_ms: dict[str, float], limit_ms: float) -> None:
    for name in [key for key, at_ms in recorded_ms.items() if at_ms < limit_ms]:
        del recorded_ms[name]
