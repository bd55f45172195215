"""State of the jobs, tasks and runs that a placer tracks."""

from collections.abc import Callable
from enum import Enum
from math import inf

from attrs import define, field

from rattanloom.placement.job_lease import (
    KEEP_MAX_MS,
    RUN_LEASE_MAX_MS,
    START_MAX_MS,
    OutcomeReceiver,
)
from rattanloom.placement.jobs import Step, SubmittedJob

# A job without any started task is refused after this share of the time that its
# client waits: the platform's users count a later refusal as no response at all.
UNSTARTED_WAIT_SHARE = 0.45


class FormerRuns(Enum):
    """What a placer knows of the runs that former placers of a job started.

    NONE: the job has had no other placer. UNKNOWN: some may be active. KNOWN: all
    workers of the former placers have reported. OVER: their leases have expired.
    """

    NONE = "none"
    UNKNOWN = "unknown"
    KNOWN = "known"
    OVER = "over"


class TaskState(Enum):
    """Progress of a task.

    BLOCKED until the steps before it are done, WAITING for a worker with free
    capacity, PLACED while it has a run.
    """

    BLOCKED = "blocked"
    WAITING = "waiting"
    PLACED = "placed"
    DONE = "done"


@define(eq=False, repr=False)
class PlacedTask:
    """One task of a job at the placer, in any state.

    ``name`` is unique among all jobs. ``attempt`` is the number of its last run,
    ``failures`` the number of its failed runs. ``avoided_workers`` are the workers on
    which a run failed, stalled or was lost. ``queued_ms`` is when it was last queued.
    """

    job: "PlacedJob"
    step: Step
    name: str
    step_number: int
    state: TaskState = TaskState.BLOCKED
    attempt: int = 0
    failures: int = 0
    avoided_workers: set[str] = field(factory=set)
    queued_ms: float = 0


@define(eq=False, repr=False)
class PlacedJob:
    """One job at the placer; times are in this daemon's clock.

    ``arrived_ms`` is when the client first sent it, ``posted_ms`` when it last did,
    ``received_ms`` when this placer received it, ``deadline_ms`` when the client stops
    waiting. ``receiver`` is None once no daemon waits for the outcome any more.
    ``former_placers`` are the daemons that received the job earlier and may have
    started runs of its tasks.
    ``former_runs`` is what was known of these runs at the last check. ``moved_from``
    are those from which the job's daemon has withdrawn it.
    ``rank_offset_ms`` moves the job among those of its level that can be on time.
    ``cost`` is what a delay costs, as computed for the time until ``cost_until_ms``.
    ``effective_runs`` counts the runs that were ordered, less those that definitely
    had no effect (``NoEffect``). ``sent_before`` is set if an earlier send of the job
    may have run, or a worker shows that another placer's has. ``completed_by`` is the
    former placer that has reported that all tasks are done.
    ``submits`` counts how often this placer received the job; ``submission`` is that of
    the message ``Submit``, which last arrived at ``submitted_ms``.
    ``earlier_receivers`` has those of the client's earlier posts, by submission.
    ``last_renewed_ms`` is when the lease was last renewed before ``receiver`` was
    removed. ``completion_waits`` is set if a run was still active when all tasks were
    done. ``expected_path_ms`` is the learned duration of its
    critical path, if it is known. ``runs`` has the runs of its tasks, with their
    workers' ids; ``WorkerRuns`` changes it.
    """

    submitted: SubmittedJob
    receiver: OutcomeReceiver | None
    arrived_ms: float
    deadline_ms: float
    tasks: list[PlacedTask] = field(factory=list)
    runs: "dict[Run, str]" = field(factory=dict)
    tasks_left: int = 0
    former_placers: tuple[str, ...] = ()
    former_runs: FormerRuns = FormerRuns.NONE
    moved_from: tuple[str, ...] = ()
    received_ms: float = 0
    posted_ms: float = 0
    effective_runs: int = 0
    sent_before: bool = False
    completed_by: str = ""
    rank_offset_ms: float = 0
    cost: float = 0
    cost_until_ms: float = -inf
    ended: bool = False
    submits: int = 1
    submission: int = 0
    submitted_ms: float = 0
    last_renewed_ms: float = -inf
    earlier_receivers: dict[int, OutcomeReceiver] = field(factory=dict)
    completion_waits: bool = False
    expected_path_ms: float | None = None

    @property
    def job_id(self) -> str:
        """Return the job id chosen by the client."""
        return self.submitted.job_id

    @property
    def started(self) -> bool:
        """Return whether any task has run or may have run."""
        return self.effective_runs > 0

    @property
    def all_done(self) -> bool:
        """Return whether all tasks are done; runs of them may still be active."""
        return not self.tasks_left

    @property
    def may_have_active_runs(self) -> bool:
        """Return whether any task has a run or may have one, here or elsewhere."""
        return self.started or bool(self.former_placers)

    @property
    def may_have_run(self) -> bool:
        """Return whether any task may have run, by now or at an earlier send."""
        return self.sent_before or self.may_have_active_runs

    @property
    def entries(self) -> list[str]:
        """Return the daemons that wait for the outcome from this placer."""
        receivers = (self.receiver, *self.earlier_receivers.values())
        return [receiver.node for receiver in receivers if receiver is not None]

    @property
    def renewed_ms(self) -> float:
        """Return when the daemon of the latest post last renewed the lease.

        The client's earlier connections are lost, as it posted the job again, even if
        their daemons have not noticed. See ``job_lease``.
        """
        if self.receiver is None:
            return self.last_renewed_ms
        return self.receiver.renewed_ms(self.job_id)

    @property
    def run_lease_limit_ms(self) -> float:
        """Return until when leases of workers with runs of this job may last."""
        return min(self.renewed_ms, self.deadline_ms) + RUN_LEASE_MAX_MS

    def may_start(self, now_ms: float) -> bool:
        """Return whether the job's lease and deadline allow a start."""
        return (
            not self.ended
            and now_ms < self.deadline_ms
            and now_ms < self.renewed_ms + START_MAX_MS
        )

    def has_lapsed(self, now_ms: float) -> bool:
        """Return whether the lease has not been renewed in time to keep the job.

        The first reply on the link of a new submission may be under way.
        """
        return now_ms > max(self.renewed_ms, self.submitted_ms) + KEEP_MAX_MS

    @property
    def remaining_work_millicore_ms(self) -> float:
        """Return the estimated work of the tasks that are not done."""
        return self.submitted.work_millicore_ms * self.tasks_left / len(self.tasks)

    @property
    def useful_until_ms(self) -> float:
        """Return the time until which an outcome of the job counts."""
        late_limit_ms = self.arrived_ms + self.submitted.late_limit_ms
        return min(self.deadline_ms, late_limit_ms)

    @property
    def latest_on_time_start_ms(self) -> float:
        """Return the latest time to start the job so that it meets its objective."""
        return (
            self.arrived_ms
            + self.submitted.objective_ms
            - self.submitted.critical_path_ms
        )

    @property
    def shortest_path_ms(self) -> float:
        """Return the estimated or learned duration of the critical path, if shorter.

        A longer learned one is not used: it would refuse jobs that can be served.
        """
        path_ms = self.submitted.critical_path_ms
        if self.expected_path_ms is None:
            return path_ms
        return min(path_ms, self.expected_path_ms)

    @property
    def latest_useful_start_ms(self) -> float:
        """Return the latest time to start the job so that its outcome still counts.

        ``UNSTARTED_WAIT_SHARE`` limits it while no task is started.
        """
        last_useful_ms = self.useful_until_ms - self.shortest_path_ms
        if self.started:
            return last_useful_ms
        allowed_ms = self.deadline_ms - self.arrived_ms
        return min(last_useful_ms, self.arrived_ms + UNSTARTED_WAIT_SHARE * allowed_ms)

    def add_former_placers(self, nodes: tuple[str, ...]) -> None:
        """Record placers that received the job before it was submitted here again."""
        self.former_placers = tuple(dict.fromkeys((*self.former_placers, *nodes)))

    def add_receiver(
        self, receiver: OutcomeReceiver, submission: int, posted_ms: float
    ) -> bool:
        """Add or replace a receiver; return whether it is that of the latest post.

        A client that gets no response posts the job again, often to another daemon. An
        earlier post arrives after a later one if it was at another placer before.
        """
        is_other = self.receiver is not None and submission != self.submission
        if submission in self.earlier_receivers or (
            is_other and posted_ms < self.posted_ms
        ):
            self.earlier_receivers[submission] = receiver
            return False
        if is_other:
            self.earlier_receivers[self.submission] = self.receiver
        elif self.receiver is not None and self._is_late_copy(receiver):
            return False
        self.receiver, self.submission = receiver, submission
        self.posted_ms = posted_ms
        return True

    def _is_late_copy(self, receiver: OutcomeReceiver) -> bool:
        """Return whether a copy of the submission was held up on an older link."""
        renewed_ms = self.receiver.renewed_ms(self.job_id)
        is_same_daemon = receiver.node == self.receiver.node
        return is_same_daemon and receiver.renewed_ms(self.job_id) < renewed_ms

    def remove_receivers(
        self, is_removed: Callable[[OutcomeReceiver], bool]
    ) -> list[int]:
        """Remove the receivers that match; return their submissions.

        The job ends with the receiver of the latest post.
        """
        removed = [
            submission
            for submission, receiver in self.earlier_receivers.items()
            if is_removed(receiver)
        ]
        for submission in removed:
            del self.earlier_receivers[submission]
        if self.receiver is not None and is_removed(self.receiver):
            removed.append(self.submission)
            self.last_renewed_ms = self.receiver.renewed_ms(self.job_id)
            self.receiver = None
        return removed


class RunPhase(Enum):
    """Phase of a run as the placer tracks it.

    STARTING: the start order has no reply yet. UNCERTAIN: its reply was lost.
    INHERITED: an earlier placer ordered the run, and no job has adopted it.
    STOPPING: a stop was sent, and no report shows yet that the run has finished.
    """

    STARTING = "starting"
    UNCERTAIN = "uncertain"
    RUNNING = "running"
    STOPPING = "stopping"
    INHERITED = "foreign"


@define(eq=False, repr=False)
class Run:
    """One run of a task on one worker; times are in this daemon's clock.

    ``name`` is that of the task. ``task`` and ``step`` are None while its job is
    unknown. ``ordered_ms`` is when the start was ordered or, for an inherited run,
    when a report first listed it; ``confirmed_ms`` is when the worker confirmed it.
    ``order_token`` is the fencing token of the last start order that was sent. If its
    reply was lost, ``start_fence_token`` is the token that fences it off, else 0.
    ``last_listed_ms`` is when a report last listed the run, ``last_progress_ms`` when
    a report last showed progress.
    ``incarnation_ms`` is that of the worker then; ``worker_restarted`` is set if it
    has restarted since. ``other_jobs`` is how many other jobs had runs on the worker
    when it was lost. No other run may start beside an ``isolated`` one.
    ``adopted`` is set if a former placer ordered the run: its duration is not known.
    ``fixed_lease_limit_ms`` is its ``lease_limit_ms`` from its first stop on, or while
    its job is unknown.
    """

    name: str
    attempt: int
    task: PlacedTask | None
    step: Step | None
    phase: RunPhase
    ordered_ms: float
    confirmed_ms: float | None = None
    order_token: int = 0
    start_fence_token: int = 0
    stop_sent_ms: float = 0
    fixed_lease_limit_ms: float | None = None
    percent: int = 0
    last_listed_ms: float = 0
    last_progress_ms: float = 0
    incarnation_ms: int = 0
    worker_restarted: bool = False
    other_jobs: int = 0
    isolated: bool = False
    adopted: bool = False

    @property
    def job_id(self) -> str:
        """Return the id of the job that the task belongs to."""
        return job_id_of(self.name)

    @property
    def key(self) -> tuple[str, int]:
        """Return the task name and attempt that identify this run on its worker."""
        return self.name, self.attempt

    @property
    def lease_limit_ms(self) -> float:
        """Return until when the lease of the run's worker may last."""
        if self.fixed_lease_limit_ms is not None:
            return self.fixed_lease_limit_ms
        return self.task.job.run_lease_limit_ms

    def must_be_listed(self, report_requested_ms: float) -> bool:
        """Return whether the run was known when a report was requested.

        If it is still active, the report then lists it.
        """
        seen_ms = self.ordered_ms if self.task is None else self.confirmed_ms
        return seen_ms is not None and seen_ms < report_requested_ms


def job_id_of(task_name: str) -> str:
    """Return the id of a task's job; the name of a task starts with it."""
    return task_name.partition(".")[0]


def make_job(
    submitted: SubmittedJob,
    receiver: OutcomeReceiver,
    former_placers: tuple[str, ...],
    now_ms: float,
) -> PlacedJob:
    """Return a job with all its tasks in state BLOCKED, as received at ``now_ms``."""
    job = PlacedJob(
        submitted,
        receiver,
        now_ms - submitted.waited_ms,
        now_ms + submitted.remaining_ms,
        former_placers=former_placers,
        moved_from=former_placers,
        received_ms=now_ms,
        posted_ms=now_ms - submitted.waited_ms,
    )
    for number, step in enumerate(submitted.steps):
        for index in range(step.count):
            name = f"{submitted.job_id}.0.{number}.{index}"
            job.tasks.append(PlacedTask(job, step, name, number))
    job.tasks_left = len(job.tasks)
    return job


def ready_tasks(job: PlacedJob) -> list[PlacedTask]:
    """Return the blocked tasks whose earlier steps are all done."""
    open_steps = {
        task.step_number for task in job.tasks if task.state is not TaskState.DONE
    }
    return [
        task
        for task in job.tasks
        if task.state is TaskState.BLOCKED
        and not open_steps.intersection(task.step.after)
    ]
