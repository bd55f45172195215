"""Ends jobs at a placer: stops their runs and delivers their outcomes."""

from collections import Counter
from collections.abc import Callable, Iterator

from attrs import define, field

from rattanloom.clock import Clock
from rattanloom.decision_log import DecisionLog
from rattanloom.metrics import Metrics
from rattanloom.placement.inherited_work import InheritedWork
from rattanloom.placement.job_lease import OutcomeReceiver
from rattanloom.placement.job_runs import runs_in_pool
from rattanloom.placement.jobs import JobOutcome, OutcomeKind
from rattanloom.placement.pooled_worker import PooledWorker
from rattanloom.placement.runs import PlacedJob, Run, RunPhase
from rattanloom.placement.submissions import EndedSubmissions
from rattanloom.scheduling.cost import level_of
from rattanloom.scheduling.fairness import SourceShares
from rattanloom.scheduling.overload import (
    ArrivingWork,
    PoolCapacity,
    Shortage,
    refusals,
    useless_jobs,
)
from rattanloom.scheduling.progress import RunProgress
from rattanloom.scheduling.returns import ReturnTimes, spare_millicores
from rattanloom.scheduling.waiting import (
    OVER_SHARE_OFFSET_MS,
    RETURNED_OFFSET_MS,
    WaitingTasks,
)
from rattanloom.scheduling.worker_index import WorkerIndex

log = DecisionLog("placement")


@define(eq=False, repr=False)
class JobEndings:
    """Ends the jobs of a placer.

    The placer owns ``jobs``, ``workers`` with their ``index``, and ``waiting``.
    ``active_runs`` is that of ``Placer``.
    ``on_ended`` is called with each job that is removed.
    ``arriving`` is the work that arrived lately, ``sources`` the shares of the daemons
    that sent it, ``returns`` has the jobs that were told to return.
    """

    clock: Clock
    metrics: Metrics
    jobs: dict[str, PlacedJob]
    workers: dict[str, PooledWorker]
    waiting: WaitingTasks
    inherited_work: InheritedWork
    active_runs: Counter[str]
    index: WorkerIndex
    on_ended: Callable[[PlacedJob], None] = lambda job: None
    arriving: ArrivingWork = field(factory=ArrivingWork)
    sources: SourceShares = field(factory=SourceShares)
    returns: ReturnTimes = field(factory=ReturnTimes)
    shortage: Shortage = field(factory=Shortage)
    submissions: EndedSubmissions = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.submissions = EndedSubmissions(self.clock)

    def record_arrival(self, job: PlacedJob, now_ms: float) -> None:
        """Count the work of a new job, and decide its place within its level."""
        self.arriving.add(job, now_ms)
        submitted = job.submitted
        level, work = level_of(submitted.policy.priority), submitted.work_millicore_ms
        self.waiting.demand.add(level, work, now_ms)
        if self.returns.take(job.job_id):
            job.rank_offset_ms = RETURNED_OFFSET_MS
            self.metrics.count("jobs_returned")
        if self.sources.add(level, job.receiver.node, work, now_ms):
            job.rank_offset_ms = OVER_SHARE_OFFSET_MS
            self.metrics.count("jobs_over_share")

    def end_overdue(self, now_ms: float) -> None:
        """End the jobs that can't be done in time, or whose lease has lapsed."""
        self.waiting.demand.update(now_ms)
        self.sources.remove_idle(now_ms)
        self.returns.remove_expired(now_ms)
        for job in list(self.jobs.values()):
            if job.has_lapsed(now_ms):
                self.metrics.count("job_leases_lapsed")
                self.end(job, None, reason="its daemon is lost")
            elif now_ms > job.deadline_ms:
                self.give_up(job, "the deadline has passed")
        for task in list(self.waiting):
            if now_ms > task.job.latest_useful_start_ms:
                self.give_up(task.job, "no worker had free capacity in time")
        for task in self.index.tasks_without_worker(self.waiting, now_ms):
            self.give_up(task.job, "no worker is large enough for a task")

    def end_in_shortage(self, now_ms: float) -> None:
        """End the jobs for which too little capacity is left."""
        is_short = self.shortage.is_on
        if not self.waiting and not is_short:
            return
        capacity = self._capacity()
        if self.shortage.update(self.waiting, capacity) != is_short:
            log.info("shortage", on=not is_short, capacity=capacity.millicores)
        self.metrics.gauge("shortage", self.shortage.is_on)
        arriving = self.arriving.by_level(now_ms)
        is_short = self.shortage.is_on
        decisions = refusals(self.waiting, capacity, arriving, now_ms, is_short)
        if is_short:
            decisions += useless_jobs(self._progress())
        for decision in decisions:
            if not decision.job.ended:
                self.metrics.count("jobs_ended_early", decision.reason.name.lower())
                self.give_up(decision.job, decision.reason.value)

    def _progress(self) -> Iterator[tuple[PlacedJob, RunProgress]]:
        """Iterate over the runs of jobs, with their progress in the last report."""
        for job in self.jobs.values():
            for _, run in runs_in_pool(job, self.workers):
                if run.phase is RunPhase.RUNNING and run.confirmed_ms is not None:
                    yield (
                        job,
                        RunProgress(run.confirmed_ms, run.last_listed_ms, run.percent),
                    )

    def give_up(self, job: PlacedJob, reason: str) -> None:
        """End a job as refused, or as given up if any of its tasks may have run.

        Does nothing if the job has ended; it may be asked for each waiting task.
        """
        if job.ended:
            return
        kind = OutcomeKind.REFUSED
        if job.may_have_run:
            kind = OutcomeKind.GIVEN_UP
        if job.rank_offset_ms == RETURNED_OFFSET_MS:
            reason += "; it was refused before, and capacity is still short"
        self.end(job, JobOutcome(job.job_id, kind, reason, self._retry_after(job)))

    def _retry_after(self, job: PlacedJob) -> int:
        """Return when the client of a job that ends now should return, in ms."""
        now_ms = self.clock.now_ms()
        jobs = dict.fromkeys(task.job for task in self.waiting)
        waiting = sum(other.remaining_work_millicore_ms for other in jobs)
        spare = spare_millicores(
            self.index.usable_millicores(now_ms), self.arriving.millicores(now_ms)
        )
        work = job.submitted.work_millicore_ms
        return self.returns.add(job.job_id, work, waiting, spare, now_ms)

    def _capacity(self) -> PoolCapacity:
        """Return the capacity of all workers that accept tasks or soon may again."""
        now_ms = self.clock.now_ms()
        return PoolCapacity(
            self.index.usable_millicores(now_ms),
            self.index.largest_free_millicores(now_ms),
        )

    def end(
        self,
        job: PlacedJob,
        outcome: JobOutcome | None,
        reason: str = "",
        stop_delay_ms: float = 0,
    ) -> None:
        """End a job and stop its runs; without an outcome, nothing is delivered.

        ``reason`` is logged; it is that of the outcome by default.
        """
        if job.ended:
            return
        label = outcome.kind.value if outcome else "abandoned"
        self.forget(job, label, outcome.reason if outcome else reason)
        receivers = {**job.earlier_receivers, job.submission: job.receiver}
        if outcome is not None:
            for submission in receivers:
                self.submissions.record(submission, outcome)
        if outcome is None or outcome.kind is not OutcomeKind.COMPLETE:
            self.stop_runs(job, stop_delay_ms)
            if job.may_have_run:
                self.inherited_work.record_possible_run(job.job_id)
        for receiver in receivers.values():
            if outcome is not None and receiver is not None:
                receiver.deliver(outcome)

    def remove_receivers(
        self,
        job_id: str,
        is_removed: Callable[[OutcomeReceiver], bool],
        reason: str,
        stop_delay_ms: float = 0,
    ) -> None:
        """Remove receivers of a job; end it with that of its latest post.

        The daemons of earlier posts are told that the job is given up.
        """
        job = self.jobs.get(job_id)
        if job is None:
            return
        submissions = job.remove_receivers(is_removed)
        if job.receiver is None:
            self.end(job, None, reason, stop_delay_ms)
            outcome = JobOutcome(job_id, OutcomeKind.GIVEN_UP, reason)
            for submission, earlier in job.earlier_receivers.items():
                self.submissions.record(submission, outcome)
                earlier.deliver(outcome)
        for submission in submissions:
            self.submissions.record(submission, None)

    def forget(self, job: PlacedJob, label: str, reason: str) -> None:
        """Remove a job, without an outcome and without stopping its runs."""
        job.ended = True
        self.jobs.pop(job.job_id, None)
        self.on_ended(job)
        age_ms = self.clock.now_ms() - job.arrived_ms
        self.metrics.count("jobs_ended", label)
        self.metrics.observe("job_age", age_ms)
        log.info(
            "job_ended",
            job=job.job_id,
            outcome=label,
            reason=reason,
            entries=job.entries,
            submission=job.submission,
            tasks_left=job.tasks_left,
            age_ms=round(age_ms),
            rank_offset_ms=job.rank_offset_ms,
            former_placers=job.former_placers,
            completed_by=job.completed_by,
            active_runs=self.active_runs_of(job),
        )

    def active_runs_of(self, job: PlacedJob) -> int:
        """Return the number of runs of a job that may not have finished yet."""
        return sum(self.active_runs[task.name] for task in job.tasks)

    def stop_runs(self, job: PlacedJob, delay_ms: float = 0) -> None:
        """Stop the runs of a job's tasks, also those of earlier sends of the job."""
        now_ms = self.clock.now_ms()
        for worker, run in list(self._runs_of(job)):
            if run.phase is not RunPhase.STOPPING:
                if run.step is not None:
                    lost = run.step.need.cpu_millicores * (now_ms - run.ordered_ms)
                    self.metrics.count("work_lost_core_ms", by=round(lost / 1_000))
                self.inherited_work.pop_run(run.name)
                worker.stop(run, delay_ms)

    def _runs_of(self, job: PlacedJob) -> Iterator[tuple[PooledWorker, Run]]:
        """Iterate over all runs of a job's tasks, whichever send they belong to."""
        if self.active_runs_of(job) <= len(job.runs):
            yield from runs_in_pool(job, self.workers)
            return
        prefix = f"{job.job_id}."
        for worker in self.workers.values():
            for run in worker.runs.all():
                if run.name.startswith(prefix):
                    yield worker, run
