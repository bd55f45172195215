"""Jobs and tasks as the placer runs them."""

from enum import Enum

from attrs import frozen

from rattanloom.placement.workers import Resources

# An answer counts, as late, up to three times the objective of its job.
LATE_FACTOR = 3
# When clients of jobs that were refused or given up should come back.
RETRY_AFTER_MS = 1_000


@frozen
class Step:
    """Tasks that need the same; ``after`` lists steps that have to end first."""

    count: int
    need: Resources
    estimate_ms: float
    after: tuple[int, ...] = ()
    required_label: str = ""
    per_worker_max: int = 0


@frozen
class JobPolicy:
    """How the queue of a job lets it be run."""

    service: str
    priority: int
    max_attempts: int
    slack_factor: float
    latency_target_ms: float


@frozen
class SubmittedJob:
    """One job; ``remaining_ms`` is the time that its client still waits."""

    job_id: str
    spec: str
    steps: tuple[Step, ...]
    policy: JobPolicy
    remaining_ms: float
    waited_ms: float = 0

    @property
    def critical_path_ms(self) -> float:
        """Return the estimated time of the longest chain of steps."""
        ends: list[float] = []
        for step in self.steps:
            begins = max((ends[number] for number in step.after), default=0.0)
            ends.append(begins + step.estimate_ms)
        return max(ends, default=0.0)

    @property
    def need_millicores(self) -> int:
        """Return the processor that all tasks need together."""
        return sum(step.count * step.need.cpu_millicores for step in self.steps)

    @property
    def objective_ms(self) -> float:
        """Return within which time of its first send the job should be done."""
        policy = self.policy
        return policy.slack_factor * self.critical_path_ms + policy.latency_target_ms

    @property
    def late_limit_ms(self) -> float:
        """Return within which time of its first send a late answer still counts."""
        return LATE_FACTOR * self.objective_ms


class OutcomeKind(Enum):
    """How the placer's work on a job ended."""

    COMPLETE = "complete"
    FAILED = "failed"
    REFUSED = "refused"
    GIVEN_UP = "given_up"


@frozen
class JobOutcome:
    """The end of a job at the placer.

    REFUSED says that none of its tasks ran or will run; GIVEN_UP that some
    may have run. ``retry_after_ms`` tells when to come back.
    """

    job_id: str
    kind: OutcomeKind
    reason: str = ""
    retry_after_ms: int = 0
