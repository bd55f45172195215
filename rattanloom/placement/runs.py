"""State of the jobs, tasks and runs of a placer."""

from enum import Enum
from typing import Protocol

from attrs import define, field

from rattanloom.placement.jobs import JobOutcome, Step, SubmittedJob

# A job without any started task is refused after this share of the time that its
# client waits: the platform's users count a later refusal as no response at all.
UNSTARTED_WAIT_SHARE = 0.45


class OutcomeReceiver(Protocol):
    """Connection to the daemon that serves a job's client."""

    node: str

    def deliver(self, outcome: JobOutcome) -> None:
        """Report the outcome of a job; must not block."""


class TaskState(Enum):
    """Progress of a task; BLOCKED until the steps before it are done."""

    BLOCKED = "blocked"
    WAITING = "waiting"
    PLACED = "placed"
    DONE = "done"


@define(eq=False, repr=False)
class PlacedTask:
    """One task of a job; ``failures`` counts its failed runs."""

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

    ``arrived_ms`` is when the client sent it, ``received_ms`` when this placer
    received it.
    """

    submitted: SubmittedJob
    receiver: OutcomeReceiver | None
    arrived_ms: float
    deadline_ms: float
    tasks: list[PlacedTask] = field(factory=list)
    tasks_left: int = 0
    former_placers: tuple[str, ...] = ()
    received_ms: float = 0
    started: bool = False
    ended: bool = False
    orphaned_ms: float = 0

    @property
    def job_id(self) -> str:
        """Return the job id chosen by the client."""
        return self.submitted.job_id

    @property
    def latest_on_time_start_ms(self) -> float:
        """Return the latest start time with which the job meets its objective."""
        return (
            self.arrived_ms
            + self.submitted.objective_ms
            - self.submitted.critical_path_ms
        )

    @property
    def latest_useful_start_ms(self) -> float:
        """Return the latest start time with which even a late outcome still counts."""
        late_limit_ms = self.arrived_ms + self.submitted.late_limit_ms
        last_useful_ms = (
            min(self.deadline_ms, late_limit_ms) - self.submitted.critical_path_ms
        )
        if self.started:
            return last_useful_ms
        allowed_ms = self.deadline_ms - self.arrived_ms
        return min(last_useful_ms, self.arrived_ms + UNSTARTED_WAIT_SHARE * allowed_ms)


class RunPhase(Enum):
    """What is known of a run on a worker.

    UNCERTAIN is a run whose start was sent and the reply lost; INHERITED a run
    that an earlier placer ordered.
    """

    STARTING = "starting"
    UNCERTAIN = "uncertain"
    RUNNING = "running"
    STOPPING = "stopping"
    INHERITED = "foreign"


@define(eq=False, repr=False)
class Run:
    """One run of a task on one worker; ``task`` is None if its job is unknown."""

    name: str
    attempt: int
    task: PlacedTask | None
    step: Step | None
    phase: RunPhase
    ordered_ms: float
    confirmed_ms: float | None = None
    start_fence_token: int = 0
    stop_sent_ms: float = 0
    percent: int = 0
    last_listed_ms: float = 0
    last_progress_ms: float = 0

    @property
    def key(self) -> tuple[str, int]:
        """Return the task name and attempt that identify this run on its worker."""
        return self.name, self.attempt


def make_job(
    submitted: SubmittedJob,
    receiver: OutcomeReceiver,
    former_placers: tuple[str, ...],
    now_ms: float,
) -> PlacedJob:
    """Return a job with all its tasks in state BLOCKED."""
    job = PlacedJob(
        submitted,
        receiver,
        now_ms - submitted.waited_ms,
        now_ms + submitted.remaining_ms,
        former_placers=former_placers,
        received_ms=now_ms,
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
