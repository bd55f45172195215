"""The state of jobs, their tasks, and each run of a task on a worker."""

from enum import Enum
from typing import Protocol

from attrs import define, field

from rattanloom.placement.jobs import JobOutcome, Step, SubmittedJob

# A job of which nothing was started is refused after this share of its client's
# time: the platform's users count a longer wait as not answered at all.
UNTRIED_SHARE = 0.45


class Session(Protocol):
    """The way back to the daemon that holds a job's client."""

    node: str

    def deliver(self, outcome: JobOutcome) -> None:
        """Tell the end of a job; must not block."""


class TaskState(Enum):
    """Where a task stands."""

    BLOCKED = "blocked"
    WAITING = "waiting"
    PLACED = "placed"
    DONE = "done"


@define(eq=False, repr=False)
class PlacedTask:
    """One task; ``failures`` counts its runs that ended failed."""

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
    """One job; times are of this daemon's clock."""

    work: SubmittedJob
    session: Session | None
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
        """Return the client's id of the job."""
        return self.work.job_id

    @property
    def objective_start_ms(self) -> float:
        """Return when the job has to start to meet its objective."""
        return self.arrived_ms + self.work.objective_ms - self.work.critical_path_ms

    @property
    def last_useful_start_ms(self) -> float:
        """Return when a start is of no use any more, even for a late answer."""
        late_limit_ms = self.arrived_ms + self.work.late_limit_ms
        last_ms = min(self.deadline_ms, late_limit_ms) - self.work.critical_path_ms
        if self.started:
            return last_ms
        time_ms = self.deadline_ms - self.arrived_ms
        return min(last_ms, self.arrived_ms + UNTRIED_SHARE * time_ms)


class RunPhase(Enum):
    """What is known of a run on a worker.

    UNCERTAIN is a start whose answer was lost; FOREIGN a run that another
    placer ordered.
    """

    STARTING = "starting"
    UNCERTAIN = "uncertain"
    RUNNING = "running"
    STOPPING = "stopping"
    INHERITED = "foreign"


@define(eq=False, repr=False)
class Run:
    """One run of a task on one worker; ``task`` is None where nobody claimed it."""

    name: str
    attempt: int
    task: PlacedTask | None
    step: Step | None
    phase: RunPhase
    ordered_ms: float
    confirmed_ms: float | None = None
    uncertain_token: int = 0
    stop_sent_ms: float = 0
    percent: int = 0
    last_listed_ms: float = 0
    last_progress_ms: float = 0

    @property
    def key(self) -> tuple[str, int]:
        """Return what names this run on its worker."""
        return self.name, self.attempt


def make_job(
    work: SubmittedJob, session: Session, former_placers: tuple[str, ...], now_ms: float
) -> PlacedJob:
    """Return a job with all its tasks; those without earlier steps may wait."""
    job = PlacedJob(
        work,
        session,
        now_ms - work.waited_ms,
        now_ms + work.remaining_ms,
        former_placers=former_placers,
        received_ms=now_ms,
    )
    for number, step in enumerate(work.steps):
        for index in range(step.count):
            name = f"{work.job_id}.0.{number}.{index}"
            job.tasks.append(PlacedTask(job, step, name, number))
    job.tasks_left = len(job.tasks)
    return job


def ready_tasks(job: PlacedJob) -> list[PlacedTask]:
    """Return the blocked tasks whose earlier steps have all ended."""
    open_steps = {
        task.step_number for task in job.tasks if task.state is not TaskState.DONE
    }
    return [
        task
        for task in job.tasks
        if task.state is TaskState.BLOCKED
        and not open_steps.intersection(task.step.after)
    ]
