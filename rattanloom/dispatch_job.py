"""State of one running job in the dispatcher: outputs, attempts and failure."""

from attrs import define, field
from gevent.event import Event

from rattanloom.errors import ErrorKind, Failure, Ran
from rattanloom.job import Job, JobResult, ResultKind
from rattanloom.targets.protocol import Attempt, Target

# Failures of a started job that leave open whether it completed.
UNKNOWN_OUTCOME_KINDS = frozenset({ErrorKind.OUTCOME_UNKNOWN, ErrorKind.INTERNAL})
# Replacements of error kinds if no task has started, and if one may have started.
KIND_IF_NOT_STARTED = {ErrorKind.DEADLINE_PASSED: ErrorKind.DEADLINE_UNREACHABLE}
KIND_IF_STARTED = {ErrorKind.DEADLINE_UNREACHABLE: ErrorKind.DEADLINE_PASSED}


@define(eq=False)
class JobRun:
    """The state of one job between its admission and its result.

    ``number`` distinguishes runs of the same ticket, which may be admitted
    again after a refusal. ``started_tasks`` holds the indices of the tasks
    that may have started, ``longest_run_ms`` the longest run time of a completed
    task. The job is *settled* once its result is final.
    """

    job: Job
    deadline_at_ms: float
    started_ms: float
    number: int = 1
    outputs: dict[int, str] = field(factory=dict)
    started_tasks: set[int] = field(factory=set)
    in_flight: dict[str, tuple[Attempt, Target]] = field(factory=dict)
    longest_run_ms: float = 0.0
    failure: Failure | None = None
    failed_task: int | None = None
    settled: Event = field(factory=Event)

    @property
    def is_settled(self) -> bool:
        """Return whether the job's result is final."""
        return self.settled.is_set()

    def attempt_id(self, index: int, attempt: int) -> str:
        """Return the identifier of one attempt of a task, unique in this process."""
        return f"{self.job.job_id}.{index}.{self.number}.{attempt}"

    def complete_task(self, index: int, output: str, run_ms: float) -> None:
        """Store one task's output; the last one completes the job."""
        self.longest_run_ms = max(self.longest_run_ms, run_ms)
        self.outputs[index] = output
        if len(self.outputs) == len(self.job.tasks):
            self.settled.set()

    def fail(self, failure: Failure, index: int | None = None) -> None:
        """Fail the job unless it is settled; later failures are ignored.

        ``index`` is the task that caused the failure, if one did.
        """
        if self.is_settled:
            return
        self.failure = failure
        self.failed_task = index
        self.settled.set()

    def result(self, now_ms: float) -> JobResult:
        """Return the result of a settled job."""
        run_ms = now_ms - self.started_ms
        if self.failure is None:
            outputs = tuple(self.outputs[i] for i in range(len(self.job.tasks)))
            return JobResult(
                self.job.job_id, ResultKind.COMPLETE, outputs, run_ms=run_ms
            )
        failure = self._final_failure()
        return JobResult(
            self.job.job_id,
            _result_kind(failure),
            failure=failure,
            failed_task=self.failed_task,
            run_ms=run_ms,
        )

    def _final_failure(self) -> Failure:
        """Return the failure, with kind and ``ran`` set by whether a task started."""
        failure = self.failure
        if not self.started_tasks:
            kind = KIND_IF_NOT_STARTED.get(failure.kind, failure.kind)
            return Failure(kind, failure.reason, failure.retry_after_ms, Ran.NOT_RUN)
        ran = Ran.RAN if failure.effective_ran is Ran.RAN else Ran.MAY_HAVE_RUN
        kind = failure.kind
        if failure.response.ran is Ran.NOT_RUN:
            kind = KIND_IF_STARTED.get(kind, ErrorKind.TASK_FAILED)
        return Failure(kind, failure.reason, failure.retry_after_ms, ran)


def _result_kind(failure: Failure) -> ResultKind:
    if failure.effective_ran is Ran.NOT_RUN:
        return ResultKind.REFUSED
    if failure.kind in UNKNOWN_OUTCOME_KINDS:
        return ResultKind.UNKNOWN
    return ResultKind.FAILED
