"""Ends jobs at a placer: stops their runs and delivers their outcomes."""

from collections.abc import Iterable

from attrs import define, field

from rattanloom.clock import Clock
from rattanloom.decision_log import DecisionLog
from rattanloom.metrics import Metrics
from rattanloom.placement.inherited_work import InheritedWork
from rattanloom.placement.jobs import JobOutcome, OutcomeKind
from rattanloom.placement.overload import (
    ArrivingWork,
    hopeless_jobs,
    retry_after_ms,
)
from rattanloom.placement.pooled_worker import PooledWorker
from rattanloom.placement.runs import PlacedJob, RunPhase
from rattanloom.placement.waiting import WaitingTasks
from rattanloom.placement.worker_events import WorkerState

log = DecisionLog("placement")


@define(eq=False, repr=False)
class JobEndings:
    """Ends the jobs of a placer, which owns ``jobs``, ``workers`` and ``waiting``.

    ``arriving`` is the work that arrived lately.
    """

    clock: Clock
    metrics: Metrics
    jobs: dict[str, PlacedJob]
    workers: dict[str, PooledWorker]
    waiting: WaitingTasks
    inherited_work: InheritedWork
    arriving: ArrivingWork = field(factory=ArrivingWork)

    def refuse_hopeless(self, now_ms: float) -> None:
        """Refuse the late jobs for which arriving work leaves no capacity."""
        late = self.waiting.late_jobs(now_ms)
        if not late:
            return
        arriving = self.arriving.millicores(now_ms)
        for job in hopeless_jobs(late, self._capacity_millicores(), arriving, now_ms):
            self.give_up(job, "work that can be on time needs all workers")

    def give_up(self, job: PlacedJob, reason: str) -> None:
        """End a job as refused, or as given up if any of its tasks may have run."""
        kind = OutcomeKind.REFUSED
        if job.may_have_run:
            kind = OutcomeKind.GIVEN_UP
        self.end(job, JobOutcome(job.job_id, kind, reason, self._retry_after(job)))

    def _retry_after(self, job: PlacedJob) -> int:
        """Return when the client of a job that ends now should return, in ms."""
        jobs = dict.fromkeys(task.job for task in self.waiting)
        waiting = sum(other.remaining_work_millicore_ms for other in jobs)
        return retry_after_ms(job.job_id, waiting, self._capacity_millicores())

    def _capacity_millicores(self) -> int:
        return capacity_millicores(self.workers.values())

    def end(self, job: PlacedJob, outcome: JobOutcome | None) -> None:
        """End a job and stop its runs; without an outcome, nothing is delivered."""
        if job.ended:
            return
        job.ended = True
        self.jobs.pop(job.job_id, None)
        age_ms = self.clock.now_ms() - job.arrived_ms
        label = outcome.kind.value if outcome else "abandoned"
        self.metrics.count("jobs_ended", label)
        self.metrics.observe("job_age", age_ms)
        log.info(
            "job_ended",
            job=job.job_id,
            outcome=label,
            reason=outcome.reason if outcome else "client or daemon disconnected",
            tasks_left=job.tasks_left,
            age_ms=round(age_ms),
        )
        if outcome is None or outcome.kind is not OutcomeKind.COMPLETE:
            self._stop_runs(job)
            if job.may_have_run:
                self.inherited_work.record_unfinished_job(job.job_id)
        if outcome is not None and job.receiver is not None:
            job.receiver.deliver(outcome)

    def _stop_runs(self, job: PlacedJob) -> None:
        for worker in self.workers.values():
            for run in worker.runs.all():
                belongs_to_job = run.task is not None and run.task.job is job
                if belongs_to_job and run.phase is not RunPhase.STOPPING:
                    worker.stop(run)


def capacity_millicores(workers: Iterable[PooledWorker]) -> int:
    """Return the capacity of all workers that accept tasks or soon may again."""
    return sum(
        worker.runs.capacity.cpu_millicores
        for worker in workers
        if worker.entry.accepting
        and worker.state in (WorkerState.READY, WorkerState.SYNCING)
    )
