"""Jobs, tasks and their answers, as every part of the system passes them."""

from enum import Enum

from attrs import field, frozen

from rattanloom.errors import Failure


@frozen
class Task:
    """One task of a job.

    ``payload`` is opaque text. ``size_slots`` is the declared number of slots
    and ``run_ms`` the declared run time; both may be far off. ``accelerator``
    asks for a worker that has one.
    """

    kind: str
    payload: str = ""
    size_slots: int = 1
    run_ms: int = 100
    accelerator: bool = False


@frozen
class Job:
    """A caller's submission: tasks that are answered whole or not at all.

    ``deadline_ms`` counts from the arrival at the first entry host.
    ``job_id`` is the ticket text. ``key`` is the caller's own idempotency
    key, empty where the caller relies on the ticket alone.
    """

    job_id: str
    team: str
    tasks: tuple[Task, ...]
    deadline_ms: int
    idempotent: bool = True
    key: str = ""


class ResultKind(Enum):
    """The closed list of ways in which a job's answer can end."""

    COMPLETE = "complete"
    FAILED = "failed"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    PENDING = "pending"


@frozen
class JobResult:
    """The whole answer to one job.

    ``outputs`` holds one text per task, in order, and only for COMPLETE.
    ``failed_task`` is the index of the task that failed a FAILED job.
    PENDING is told only to a caller who asks before the end.
    """

    job_id: str
    outcome: ResultKind
    outputs: tuple[str, ...] = ()
    failure: Failure | None = None
    failed_task: int | None = None
    run_ms: float = field(default=0.0)
