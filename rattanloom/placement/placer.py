"""The placer: assigns the tasks of submitted jobs to a pool of workers.

A daemon submits a job to the placer in its own process or, over a link, to that of
another daemon, and passes the outcome to the client.
"""

from collections import Counter
from collections.abc import Callable, Iterable

import gevent
from attrs import define, field

from rattanloom.clock import Clock
from rattanloom.decision_log import DecisionLog
from rattanloom.metrics import Metrics
from rattanloom.placement.completion import JobCompletion
from rattanloom.placement.crash_policy import CrashPolicy
from rattanloom.placement.crash_records import RunLoss
from rattanloom.placement.inherited_work import InheritedWork
from rattanloom.placement.job_endings import JobEndings
from rattanloom.placement.job_lease import INHERITED_LEASE_MAX_MS, OutcomeReceiver
from rattanloom.placement.job_returns import JobReturns
from rattanloom.placement.jobs import (
    JobOutcome,
    OutcomeKind,
    SubmittedJob,
    cancelled_outcome,
)
from rattanloom.placement.leaving_workers import stop_leaving_runs
from rattanloom.placement.pooled_worker import FENCING_DELAY_MS, PooledWorker
from rattanloom.placement.runs import (
    PlacedJob,
    PlacedTask,
    Run,
    TaskState,
    job_id_of,
    make_job,
)
from rattanloom.placement.stalled_runs import stop_stalled_runs
from rattanloom.placement.start_evidence import NoEffect
from rattanloom.placement.start_limits import StartLimits
from rattanloom.placement.suspension import SuspensionGuard
from rattanloom.placement.worker_events import LossCause, WorkerState
from rattanloom.placement.worker_health import WorkerHealth
from rattanloom.placement.worker_lease import WorkerLease
from rattanloom.placement.workers import (
    FinishedRun,
    RefusalReason,
    RunOutcome,
    WorkerClientProtocol,
    WorkerEntry,
)
from rattanloom.scheduling.assignment import AssignmentPass
from rattanloom.scheduling.speed_decay import SpeedDecay
from rattanloom.scheduling.waiting import WaitingTasks, is_waiting
from rattanloom.scheduling.worker_index import WorkerIndex
from rattanloom.scheduling.zone_load import DemandMeter

log = DecisionLog("placement")

# Share used of the longest lease that the platform allows, so that runs end before
# their jobs are sent again.
LEASE_SHARE = 0.9
# Pause of a worker after a start that had no effect; the second value applies if it
# refused the start as unhealthy.
REFUSAL_PAUSE_MS = 100
UNHEALTHY_PAUSE_MS = 500
NEW_OWNER = "another daemon owns its zone"


@define(eq=False, repr=False)
class Placer:
    """Places tasks on the workers of the zones that this daemon owns.

    ``node`` is this daemon. ``lease_max_ms`` is the longest lease that the platform
    allows. ``connect`` creates the client of a worker. ``on_worker_fenced`` is called
    with a worker that refused this placer's fencing token. ``on_suspended`` is called
    after the process was suspended; the placer gives no orders until ``resume`` is
    called. ``may_start_by_entries`` returns whether the entries of the workers are
    recent enough, ``has_recent_entries`` whether they are for workers that start tasks
    for which they have no room. ``on_accepted`` is called with a new job before tasks
    of it may start. ``active_runs`` counts the runs of each task that may
    not have finished yet. ``demand`` measures the arriving work.
    """

    node: str
    clock: Clock
    metrics: Metrics
    lease_max_ms: float
    connect: Callable[[WorkerEntry], WorkerClientProtocol]
    on_worker_fenced: Callable[[PooledWorker], None]
    on_suspended: Callable[[], None]
    may_start_by_entries: Callable[[], bool] = lambda: True
    has_recent_entries: Callable[[], bool] = lambda: True
    on_accepted: Callable[[PlacedJob], None] = lambda job: None
    workers: dict[str, PooledWorker] = field(factory=dict)
    jobs: dict[str, PlacedJob] = field(factory=dict)
    waiting: WaitingTasks = field(factory=WaitingTasks)
    active_runs: Counter[str] = field(factory=Counter)
    demand: DemandMeter = field(factory=DemandMeter)
    worker_health: WorkerHealth = field(factory=WorkerHealth)
    inherited_work: InheritedWork = field(init=False)
    suspension: SuspensionGuard = field(init=False)
    crash_policy: CrashPolicy = field(init=False)
    endings: JobEndings = field(init=False)
    completion: JobCompletion = field(init=False)
    start_limits: StartLimits = field(init=False)
    index: WorkerIndex = field(init=False)
    speed_decay: SpeedDecay = field(factory=SpeedDecay)
    job_returns: JobReturns = field(init=False)
    _is_starting_tasks: bool = False

    def __attrs_post_init__(self) -> None:
        self.inherited_work = InheritedWork(self.node, self.clock, self.workers)
        self.suspension = SuspensionGuard(self.on_suspended)
        self.crash_policy = CrashPolicy(self.clock)
        self.start_limits = StartLimits(self.clock)
        self.index = WorkerIndex(self.start_limits)
        self.worker_health.placement.count = self.metrics.count
        self.endings = JobEndings(
            self.clock,
            self.metrics,
            self.jobs,
            self.workers,
            self.waiting,
            self.inherited_work,
            self.active_runs,
            self.index,
        )
        self.completion = JobCompletion(self.endings)
        self.job_returns = JobReturns(self.endings, self.start_limits)

    # Workers

    def add_worker(self, entry: WorkerEntry, fencing_token: int) -> None:
        """Add a worker to the pool; requests to it carry ``fencing_token``."""
        if entry.worker_id in self.workers:
            return
        worker = PooledWorker(
            entry,
            self.connect(entry),
            self,
            self.clock,
            WorkerLease(self.clock, LEASE_SHARE * self.lease_max_ms),
            fencing_token,
            self.active_runs,
            self.start_limits,
            self.index.mark,
        )
        self.workers[entry.worker_id] = worker
        self.inherited_work.on_worker_added()
        self.index.add(worker)
        self.speed_decay.add(worker.speed)
        worker.open()

    def release_worker(self, worker_id: str, reason: str = NEW_OWNER) -> None:
        """Remove a worker that another placer controls now.

        That one may extend the worker's lease before it stops the runs of this placer.
        """
        worker = self.workers.get(worker_id)
        if worker is not None:
            worker.lease.record_grant(self.clock.now_ms() + INHERITED_LEASE_MAX_MS)
            self.remove_worker(worker_id, reason)

    def remove_worker(self, worker_id: str, reason: str) -> None:
        """Remove a worker; its runs count as active until its lease has expired."""
        worker = self.workers.pop(worker_id, None)
        if worker is None:
            return
        self.index.remove(worker)
        self.speed_decay.remove(worker.speed)
        log.info("worker_removed", worker=worker_id, reason=reason)
        self.inherited_work.record_removed_worker()
        worker.abandon()
        for run in worker.runs.all():
            self.inherited_work.pop_run(run.name)
            gevent.spawn(self._report_lost_on_expiry, worker, run)

    def _report_lost_on_expiry(self, worker: PooledWorker, run: Run) -> None:
        while not worker.lease.is_expired():
            gevent.sleep(
                max(0.01, (worker.lease.expires_ms - self.clock.now_ms()) / 1000)
            )
        if worker.runs.remove(run):
            self.on_run_lost(worker, run, LossCause.LEFT_POOL)

    # Jobs

    def submit(
        self,
        receiver: OutcomeReceiver,
        submitted: SubmittedJob,
        former_placers: tuple[str, ...],
        completed_by: str = "",
        submission: int = 0,
    ) -> None:
        """Accept a job; its outcome is delivered to ``receiver``.

        A job that is known already gets another receiver, and a new deadline if this
        is its latest post. If the former placer ``completed_by`` has completed the job,
        its runs here are stopped, and it completes once none is active.
        """
        others = tuple(node for node in former_placers if node != self.node)
        if self._has_ended(receiver, submitted.job_id, former_placers, submission):
            return
        known = self.jobs.get(submitted.job_id)
        if known is not None:
            now_ms = known.submitted_ms = self.clock.now_ms()
            posted_ms = now_ms - submitted.waited_ms
            is_latest = known.add_receiver(receiver, submission, posted_ms)
            if is_latest:
                known.deadline_ms = now_ms + submitted.remaining_ms
                known.moved_from = former_placers
            log.info(
                "job_submitted_again",
                job=submitted.job_id,
                entry=receiver.node,
                submission=submission,
                is_latest=is_latest,
                former_placers=former_placers,
                remaining_ms=round(submitted.remaining_ms),
            )
            self._update_known_job(known, others, completed_by)
            return
        job = make_job(submitted, receiver, former_placers, self.clock.now_ms())
        job.completed_by, job.submission = completed_by, submission
        job.submitted_ms = job.received_ms
        if self.inherited_work.is_job_done(submitted.job_id):
            self._add_completed_job(job)
            return
        job.sent_before = self.inherited_work.may_have_run(job.job_id) or any(
            self.crash_policy.must_be_isolated(task) for task in job.tasks
        )
        self.jobs[job.job_id] = job
        self.on_accepted(job)
        now_ms = self.clock.now_ms()
        self.endings.record_arrival(job, now_ms)
        work = submitted.counted_work_millicore_ms
        self.demand.add(receiver.node, submitted.policy.priority, work, now_ms)
        self.worker_health.placement.record_arrival(job, now_ms)
        log.info(
            "job_accepted",
            job=job.job_id,
            entry=receiver.node,
            submission=submission,
            tasks=len(job.tasks),
            former_placers=job.former_placers,
            synced=self.inherited_work.is_synced(job),
            slack_ms=round(job.latest_on_time_start_ms - now_ms),
            remaining_ms=round(submitted.remaining_ms),
        )
        if self._end_risky_job(job):
            return
        for task in job.tasks:
            found = self.inherited_work.pop_run(task.name)
            if found is not None:
                self._adopt(task, *found)
        if completed_by:
            self.endings.stop_runs(job)
        self.completion.finish_done_tasks(job)
        if not job.ended:
            self.completion.queue_ready_tasks(job)
            self.job_returns.return_jobs(filter(is_waiting, job.tasks))
            self.start_waiting_tasks()

    def _has_ended(
        self,
        receiver: OutcomeReceiver,
        job_id: str,
        former_placers: tuple[str, ...],
        submission: int,
    ) -> bool:
        """Return whether a job was cancelled or its submission has ended here.

        The outcome is delivered again.
        """
        if self.inherited_work.is_job_cancelled(job_id):
            receiver.deliver(cancelled_outcome(job_id))
            return True
        is_only_placer = all(node == self.node for node in former_placers)
        return is_only_placer and self.endings.submissions.is_late_copy(
            receiver, job_id, former_placers, submission
        )

    def _update_known_job(
        self, job: PlacedJob, other_placers: tuple[str, ...], completed_by: str
    ) -> None:
        """Apply what another submission of a job tells about other placers."""
        job.submits += 1
        if other_placers:
            job.add_former_placers(other_placers)
            job.received_ms = self.clock.now_ms()
        if completed_by and not job.completed_by:
            job.completed_by = completed_by
            self.endings.stop_runs(job)
            self.completion.finish_done_tasks(job)

    def _add_completed_job(self, job: PlacedJob) -> None:
        """Add a job that this placer has completed; other placers may have runs of it.

        It is reported at once if there can be none.
        """
        log.info(
            "completed_job_submitted",
            job=job.job_id,
            entry=job.receiver.node,
            former_placers=job.former_placers,
        )
        self.jobs[job.job_id] = job
        job.completed_by, job.sent_before = self.node, True
        self.on_accepted(job)
        self.completion.finish_done_tasks(job)

    def cancel(self, job_id: str, node: str) -> None:
        """End a job, unless the daemon ``node`` does not have its latest post."""
        reason = "client or daemon disconnected"
        self.endings.remove_receivers(job_id, lambda other: other.node == node, reason)

    def withdraw(
        self,
        job_id: str,
        receiver: OutcomeReceiver,
        moved: bool,
        submission: int = 0,
    ) -> None:
        """End a job, unless the receiver is not that of its latest post.

        If the job was ``moved`` to another placer, that one may be about to take over
        the workers of its runs, and these are stopped after its token has fenced them.
        Otherwise, copies of the submission that arrive later start nothing.
        """
        if not moved:
            self.endings.submissions.record(submission, None)
        reason = "its daemon sent it elsewhere" if moved else "its client disconnected"
        delay_ms = FENCING_DELAY_MS if moved else 0
        self.endings.remove_receivers(
            job_id, lambda other: other == receiver, reason, delay_ms
        )

    def revoke(self, job_id: str) -> bool:
        """End a job that its client cancelled; return whether it was known.

        Copies of the job that arrive later are not accepted.
        """
        self.inherited_work.record_cancelled_job(job_id)
        job = self.jobs.get(job_id)
        if job is not None:
            self.endings.end(job, cancelled_outcome(job_id))
        return job is not None

    def has_active_runs(self, job_id: str) -> bool:
        """Return whether a run of any post of a job may not have finished yet."""
        prefix = f"{job_id}."
        return any(name.startswith(prefix) for name in self.active_runs)

    def drop_all_jobs(self) -> None:
        """Drop all jobs, without outcomes, after other placers took over the zones."""
        if self.jobs:
            started = sum(job.started for job in self.jobs.values())
            log.info("jobs_dropped", jobs=len(self.jobs), started=started)
        for job in self.jobs.values():
            job.ended = True
            self.endings.on_ended(job)
        self.jobs.clear()
        self.waiting.clear()
        self.inherited_work.clear_runs()

    def tick(self) -> None:
        """Stop overdue and stalled runs, end overdue jobs and start waiting tasks.

        Overdue jobs are those whose lease has lapsed, whose deadline has passed or
        whose tasks can no longer start in time.
        """
        now_ms = self.clock.now_ms()
        self.suspension.tick(now_ms)
        self._stop_overdue_runs()
        stop_leaving_runs(self.index, self.waiting, self.metrics, now_ms)
        for job in list(self.jobs.values()):
            self.completion.finish_done_tasks(job)
        self.endings.end_overdue(now_ms)
        self._refuse_unknown_capacity()
        if self.index.has_free_capacity(now_ms):
            stop_stalled_runs(self.jobs, self.workers, self.worker_health, now_ms)
        self.inherited_work.remove_expired()
        self.endings.submissions.remove_expired(now_ms)
        self.crash_policy.records.remove_expired(now_ms)
        self.start_limits.update(self.workers.values())
        self.speed_decay.run(now_ms)
        self.job_returns.return_jobs(self.waiting)
        self.start_waiting_tasks()
        self.endings.end_in_shortage(now_ms)

    def resume(self) -> None:
        """Give orders again, after this daemon's ownership was checked."""
        self.suspension.resume()
        self.start_waiting_tasks()

    def may_give_orders(self) -> bool:
        """Return whether this placer was not suspended, see ``SuspensionGuard``."""
        return self.suspension.may_give_orders(self.clock.now_ms())

    def _stop_overdue_runs(self) -> None:
        """Stop the inherited runs that no job has adopted in time."""
        for worker, run in self.inherited_work.pop_overdue():
            log.info("unclaimed_stopped", task=run.name, worker=worker.worker_id)
            worker.stop(run)

    def _adopt(self, task: PlacedTask, worker: PooledWorker, run: Run) -> None:
        """Assign an inherited run to its task."""
        worker.adopt(run, task, self.crash_policy.must_be_isolated(task))
        task.state = TaskState.PLACED
        task.job.effective_runs += 1

    # Placing

    def start_waiting_tasks(self) -> None:
        """Start waiting tasks, in the order of their queues, where capacity is free."""
        if self._is_starting_tasks or not self.waiting or not self.may_give_orders():
            return
        if not self.may_start_by_entries():
            return
        self._is_starting_tasks = True
        try:
            AssignmentPass(
                self.index,
                self._may_start,
                self._start_run,
                self.clock.now_ms(),
                self.crash_policy.must_be_isolated,
                self.worker_health.placement,
            ).run(self.waiting)
        finally:
            self._is_starting_tasks = False

    def _may_start(self, task: PlacedTask) -> bool:
        return (
            task.job.may_start(self.clock.now_ms())
            and not self.active_runs[task.name]
            and not self.completion.is_done_elsewhere(task)
            and self.crash_policy.may_start(task)
            and self._is_capacity_known(task)
            and self.inherited_work.is_synced(task.job)
        )

    def _is_capacity_known(self, task: PlacedTask) -> bool:
        """Return whether no worker can be filled beyond its capacity by a task."""
        guards_capacity = task.job.submitted.policy.guards_capacity
        return guards_capacity or self.has_recent_entries()

    def _refuse_unknown_capacity(self) -> None:
        """End the jobs for which no worker can be chosen as long as the store is down.

        Jobs with started tasks wait for it.
        """
        if not self.waiting or not self.may_start_by_entries():
            return
        for task in list(self.waiting):
            if not (self._is_capacity_known(task) or task.job.started):
                self.endings.give_up(
                    task.job, "the capacity of its workers is not known"
                )

    def may_send_start(self, run: Run) -> bool:
        """Return whether the start order of a run may be sent now."""
        return self.may_give_orders() and run.task.job.may_start(self.clock.now_ms())

    def _start_run(self, task: PlacedTask, worker: PooledWorker) -> None:
        task.state = TaskState.PLACED
        task.job.effective_runs += 1
        self.metrics.count("tasks_ordered")
        self.waiting.record_start(task)
        waited_ms = self.clock.now_ms() - task.queued_ms
        self.metrics.observe("task_wait_for_room", waited_ms)
        self.start_limits.cold_workers.record_start(worker)
        worker.start_run(task, self.crash_policy.must_be_isolated(task))

    def _end_risky_job(self, job: PlacedJob) -> bool:
        """End a job with a task that must not start; return whether it ended."""
        if job.all_done or job.completed_by:
            return False
        outcome = self.crash_policy.outcome_of(job)
        if outcome is not None:
            self.endings.end(job, outcome)
        return outcome is not None

    # Event handlers, called by the pooled workers

    def on_worker_changed(self, worker: PooledWorker) -> None:
        """Start waiting tasks after a state change; remove a fenced worker."""
        if worker.state is WorkerState.READY:
            self.crash_policy.on_worker_responded(worker)
        if worker.state is WorkerState.FENCED:
            self.release_worker(worker.worker_id, "fenced by another placer")
            self.on_worker_fenced(worker)
        self.start_waiting_tasks()

    def on_run_finished(
        self, worker: PooledWorker, run: Run, finished: FinishedRun
    ) -> None:
        """Handle a finished run: complete its task, queue it again or fail its job."""
        now_ms = self.clock.now_ms()
        self.metrics.count("tasks_ended", finished.outcome.value)
        self.metrics.observe("task_order_to_end", now_ms - run.ordered_ms)
        log.info(
            "task_ended",
            task=run.name,
            attempt=run.attempt,
            worker=worker.worker_id,
            how=finished.outcome.value,
        )
        task = run.task
        is_done = finished.outcome is RunOutcome.DONE
        if task is None or task.job.ended or task.state is TaskState.DONE:
            self.inherited_work.pop_run(run.name)
            if task is None and is_done:
                self.inherited_work.record_done_task(run.name)
            self.completion.finish_after(run)
        elif is_done:
            self.worker_health.record_success(worker, run, self.clock.now_ms())
            self.completion.finish_task(task)
        elif finished.outcome is RunOutcome.FAILED and not task.job.completed_by:
            self._handle_failure(worker, task)
        else:
            self.completion.requeue(task)
        self.start_waiting_tasks()

    def on_run_lost(self, worker: PooledWorker, run: Run, cause: LossCause) -> None:
        """Queue the task of a run that has definitely stopped, outcome unknown."""
        self.inherited_work.pop_run(run.name)
        job_ended = run.task is None or run.task.job.ended
        self.metrics.count("runs_lost", cause.value)
        log.warning(
            "task_lost",
            task=run.name,
            attempt=run.attempt,
            worker=worker.worker_id,
            incarnation_ms=run.incarnation_ms,
            reason=cause.value,
            ordered_ms_ago=round(self.clock.now_ms() - run.ordered_ms),
            confirmed=run.confirmed_ms is not None,
            other_jobs=run.other_jobs,
            job_ended=job_ended,
        )
        self.crash_policy.record_loss(worker, run, cause)
        # After a run of an earlier send, the current send of the job waits.
        self.completion.finish_after(run)
        for job in self._jobs_of_task(run.name):
            self._end_risky_job(job)
        if run.task is not None and not run.task.job.ended:
            run.task.avoided_workers.add(worker.worker_id)
            self.completion.requeue(run.task)
            self.start_waiting_tasks()

    def add_losses(self, losses: Iterable[RunLoss]) -> None:
        """Add losses that another placer recorded; end jobs that must not start."""
        now_ms = self.clock.now_ms()
        for loss in losses:
            if self.crash_policy.records.add(loss, now_ms):
                for job in self._jobs_of_task(loss.task):
                    self._end_risky_job(job)

    def on_worker_replaced(self, worker: PooledWorker) -> None:
        """Record that a worker is gone, since another one has its address."""
        self.crash_policy.on_worker_replaced(worker)

    def on_run_not_started(
        self,
        worker: PooledWorker,
        run: Run,
        evidence: NoEffect,
        refusal: RefusalReason | None,
    ) -> None:
        """Pause the worker, and queue the task of a start that had no effect."""
        label = refusal.value if refusal else "no_answer"
        self.metrics.count("tasks_not_started", label)
        log.info(
            "task_not_started",
            task=run.name,
            attempt=run.attempt,
            worker=worker.worker_id,
            evidence=evidence.value,
            token=run.order_token,
            own_token=worker.fencing_token,
        )
        now_ms = self.clock.now_ms()
        pause_ms = REFUSAL_PAUSE_MS
        if refusal is RefusalReason.UNHEALTHY:
            pause_ms = UNHEALTHY_PAUSE_MS
        worker.paused_until_ms = now_ms + pause_ms
        self.completion.finish_after(run)
        if run.task is not None and not run.task.job.ended:
            run.task.job.effective_runs -= 1
            self.completion.requeue(run.task)
            self.start_waiting_tasks()

    def on_earlier_run(self, task_name: str) -> None:
        """Record that the job of a task may have run, also for later sends of it."""
        self.inherited_work.record_possible_run(job_id_of(task_name))
        for job in self._jobs_of_task(task_name):
            job.sent_before = True

    def on_inherited_run(self, worker: PooledWorker, run: Run) -> None:
        """Assign an inherited run to its task, or keep it until a job adopts it."""
        self.on_earlier_run(run.name)
        for job in self._jobs_of_task(run.name):
            if job.all_done:
                worker.stop(run)
                return
            for task in job.tasks:
                if task.name == run.name and task.state is TaskState.WAITING:
                    self._adopt(task, worker, run)
                    if job.completed_by:
                        worker.stop(run)
                    return
        self.inherited_work.add(worker, run)

    def on_inherited_run_finished(
        self, worker: PooledWorker, finished: FinishedRun
    ) -> None:
        """Handle a finished run that another placer ordered."""
        self.on_earlier_run(finished.task)
        if finished.outcome is not RunOutcome.DONE:
            return
        self.inherited_work.record_done_task(finished.task)
        for job in self._jobs_of_task(finished.task):
            self.completion.finish_done_tasks(job)

    def _jobs_of_task(self, task_name: str) -> Iterable[PlacedJob]:
        """Return the known job of a task, if any; task names start with the job id."""
        job = self.jobs.get(job_id_of(task_name))
        return () if job is None else (job,)

    def _handle_failure(self, worker: PooledWorker, task: PlacedTask) -> None:
        self.worker_health.record_failure(
            worker, self.workers.values(), self.clock.now_ms()
        )
        task.failures += 1
        task.avoided_workers.add(worker.worker_id)
        job = task.job
        if task.failures >= job.submitted.policy.max_attempts:
            reason = f"task {task.name} failed {task.failures} times"
            self.endings.end(job, JobOutcome(job.job_id, OutcomeKind.FAILED, reason))
        else:
            self.completion.requeue(task)
