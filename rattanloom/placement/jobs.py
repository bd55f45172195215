"""Jobs as submitted to a placer, and their outcomes."""

from enum import Enum
from functools import cached_property

from attrs import frozen

from rattanloom.placement.workers import Resources

# A late outcome still counts up to three times the objective of its job.
LATE_FACTOR = 3
# Longer estimates count as this much work where the load of a zone is measured: one job
# with a wrong estimate must not turn away the others.
COUNTED_ESTIMATE_MAX_MS = 60_000
# Time after which clients should send a refused or given up job again.
RETRY_AFTER_MS = 1_000


@frozen
class Step:
    """A part of a job: ``count`` equal tasks.

    ``need`` and the estimated duration ``estimate_ms`` are those of one task.
    ``after`` has the numbers of the steps to finish first. ``per_worker_max`` limits
    the tasks of the step that run on one worker; 0 means no limit. ``affinity`` is the
    label of the rack that has the step's data; its tasks take longer elsewhere.
    """

    count: int
    need: Resources
    estimate_ms: float
    after: tuple[int, ...] = ()
    required_label: str = ""
    per_worker_max: int = 0
    affinity: str = ""

    @cached_property
    def counted_work_millicore_ms(self) -> float:
        """Return the work of one task as it counts for the load of a zone."""
        return self.need.cpu_millicores * min(self.estimate_ms, COUNTED_ESTIMATE_MAX_MS)


@frozen
class JobPolicy:
    """Settings of a job's queue that apply to its placement.

    Workers of other services get no task of the job. A job fails once one of its
    tasks has failed ``max_attempts`` times. ``slack_factor`` and
    ``latency_target_ms`` determine ``SubmittedJob.objective_ms``. ``queue`` is the name
    of the queue, "" if a peer of an older build sent the job. ``guards_capacity`` is
    set if the workers of the service refuse tasks for which they have no room; others
    start them.
    """

    service: str
    priority: int
    max_attempts: int
    slack_factor: float
    latency_target_ms: float
    queue: str = ""
    guards_capacity: bool = True


@frozen
class SubmittedJob:
    """A job as sent to a placer.

    Its client has waited for ``waited_ms`` by then and waits for ``remaining_ms``
    more. ``spec`` goes to workers unchanged.
    """

    job_id: str
    spec: str
    steps: tuple[Step, ...]
    policy: JobPolicy
    remaining_ms: float
    waited_ms: float = 0

    @cached_property
    def critical_path_ms(self) -> float:
        """Return the estimated duration of the longest chain of dependent steps."""
        ends_ms: list[float] = []
        for step in self.steps:
            starts_ms = max((ends_ms[number] for number in step.after), default=0.0)
            ends_ms.append(starts_ms + step.estimate_ms)
        return max(ends_ms, default=0.0)

    @cached_property
    def path_after_ms(self) -> tuple[float, ...]:
        """Return the estimated duration of the longest chain after each step."""
        after_ms = [0.0] * len(self.steps)
        for number in reversed(range(len(self.steps))):
            path_ms = after_ms[number] + self.steps[number].estimate_ms
            for earlier in self.steps[number].after:
                after_ms[earlier] = max(after_ms[earlier], path_ms)
        return tuple(after_ms)

    @cached_property
    def need_millicores(self) -> int:
        """Return the sum of the processor needs of all tasks."""
        return sum(step.count * step.need.cpu_millicores for step in self.steps)

    @cached_property
    def work_millicore_ms(self) -> float:
        """Return the processor need of all tasks times their estimated durations."""
        return sum(
            step.count * step.need.cpu_millicores * step.estimate_ms
            for step in self.steps
        )

    @cached_property
    def counted_work_millicore_ms(self) -> float:
        """Return the work of all tasks as it counts for the load of a zone."""
        return sum(step.count * step.counted_work_millicore_ms for step in self.steps)

    @cached_property
    def objective_ms(self) -> float:
        """Return the time from the client's request in which the job should finish."""
        policy = self.policy
        return policy.slack_factor * self.critical_path_ms + policy.latency_target_ms

    @cached_property
    def late_limit_ms(self) -> float:
        """Return the time from the client's request in which an outcome counts."""
        return LATE_FACTOR * self.objective_ms


class OutcomeKind(Enum):
    """Kind of outcome of a job at the placer; ``RunOutcome`` is that of one run.

    REFUSED: no task has run or will run. GIVEN_UP: some tasks may have run.
    CANCELLED: the client cancelled the job; some tasks may have run.
    """

    COMPLETE = "complete"
    FAILED = "failed"
    REFUSED = "refused"
    GIVEN_UP = "given_up"
    CANCELLED = "cancelled"


@frozen
class JobOutcome:
    """Outcome of a job at the placer.

    ``retry_after_ms`` is the time after which the client should send the job again.
    """

    job_id: str
    kind: OutcomeKind
    reason: str = ""
    retry_after_ms: int = 0


def cancelled_outcome(job_id: str) -> JobOutcome:
    """Return the outcome of a job that its client cancelled."""
    return JobOutcome(job_id, OutcomeKind.CANCELLED, "the client cancelled the job")


@frozen
class ReturnedJob:
    """A job that a placer hands back, since all workers for it are in evacuated zones.

    No task of it has run or will run at that placer. ``submits`` counts how often the
    placer received the job; a daemon that sent it more often ignores the return, as
    the placer may have the job again. ``retry_after_ms`` is that of a refusal.
    ``submission`` is that of the message ``Submit``; it is 0 from older builds.
    """

    job_id: str
    submits: int
    retry_after_ms: int
    submission: int = 0

    @property
    def refusal(self) -> JobOutcome:
        """Return the outcome of a job that no other placer can take."""
        reason = "the zones of its workers are evacuated"
        kind = OutcomeKind.REFUSED
        return JobOutcome(self.job_id, kind, reason, self.retry_after_ms)
