"""Jobs, tasks and results of jobs in the stand-alone version."""

from enum import Enum

from attrs import field, frozen

from rattanloom.errors import Failure


@frozen
class Task:
    """One task of a job.

    ``payload`` is opaque text. ``size_slots`` and ``run_ms`` are the caller's
    estimates of the slots and run time needed; both may be far off.
    ``accelerator`` requires a worker that has one.
    """

    kind: str
    payload: str = ""
    size_slots: int = 1
    run_ms: int = 100
    accelerator: bool = False


@frozen
class Job:
    """A caller's submission: tasks that succeed together or fail together.

    ``deadline_ms`` counts from the arrival at the first entry host.
    ``job_id`` is the text of the ticket. ``key`` is the caller's own
    idempotency key; empty if the caller relies on the ticket alone.
    """

    job_id: str
    team: str
    tasks: tuple[Task, ...]
    deadline_ms: int
    idempotent: bool = True
    key: str = ""


class ResultKind(Enum):
    """What became of a job.

    REFUSED: no task ran. UNKNOWN: tasks may have run, and the outcome is not known.
    FAILED: tasks may have run, and the job did not complete. PENDING: it still runs;
    only a query for the result returns this.
    """

    COMPLETE = "complete"
    FAILED = "failed"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    PENDING = "pending"


@frozen
class JobResult:
    """The result of one job.

    ``outputs`` holds one text per task, in order; empty unless COMPLETE.
    ``failed_task`` is the index of the task that prevented completion.
    ``run_ms`` is the duration of the dispatch; 0 without one.
    """

    job_id: str
    outcome: ResultKind
    outputs: tuple[str, ...] = ()
    failure: Failure | None = None
    failed_task: int | None = None
    run_ms: float = field(default=0.0)
