"""Commands of the callers' command line; each prints its result as JSON."""

import json

from attrs import define, evolve

from rattanloom.callers.client import Dispatcher
from rattanloom.callers.submission import failure_to_json, result_to_json
from rattanloom.environment import Environment
from rattanloom.errors import Failure
from rattanloom.job import Job, JobResult, ResultKind, Task
from rattanloom.status import ExitStatus

EXIT_STATUS_BY_OUTCOME = {
    ResultKind.COMPLETE: ExitStatus.OK,
    ResultKind.PENDING: ExitStatus.OK,
    ResultKind.FAILED: ExitStatus.ERROR,
    ResultKind.REFUSED: ExitStatus.REFUSED,
    ResultKind.UNKNOWN: ExitStatus.MAY_HAVE_RUN,
}
DEFAULT_DEADLINE_MS = 10_000


@define
class CallerCommands:
    """Runs commands; ``status`` is the exit status of the last command."""

    environment: Environment
    status: ExitStatus = ExitStatus.OK

    def submit(
        self,
        address: str,
        team: str,
        kind: str,
        payload: str = "",
        count: int = 1,
        run_ms: int = 100,
        deadline_ms: int = DEFAULT_DEADLINE_MS,
        key: str = "",
        idempotent: bool = True,
    ) -> None:
        """Submit a job of ``count`` identical tasks and wait for its result.

        Args:
            address: HTTP addresses (host:port) of the system, comma-separated.
            team: the team the job runs for.
            kind: the kind of its tasks.
            payload: the text passed to each task.
            count: how many tasks.
            run_ms: the declared run time of a task in milliseconds.
            deadline_ms: the job's deadline, in milliseconds from now.
            key: your own idempotency key, used instead of a ticket.
            idempotent: whether the tasks may safely run more than once.
        """
        dispatcher = _make_dispatcher(address, team)
        tasks = (Task(kind, _payload_text(payload), run_ms=run_ms),) * count
        job = dispatcher.new_job(tasks, deadline_ms, idempotent, str(key))
        self._submit(dispatcher, job)

    def resubmit(
        self,
        address: str,
        team: str,
        job_id: str,
        kind: str,
        payload: str = "",
        count: int = 1,
        run_ms: int = 100,
        deadline_ms: int = DEFAULT_DEADLINE_MS,
        idempotent: bool = True,
    ) -> None:
        """Submit a job again with its ticket; it joins the first submission.

        Args:
            address: HTTP addresses (host:port) of the system, comma-separated.
            team: the team of the first submission.
            job_id: the ticket of the first submission.
            kind: the kind of its tasks.
            payload: the text passed to each task.
            count: how many tasks.
            run_ms: the declared run time of a task in milliseconds.
            deadline_ms: the job's deadline, in milliseconds from now.
            idempotent: as in the first submission.
        """
        dispatcher = _make_dispatcher(address, team)
        tasks = (Task(kind, _payload_text(payload), run_ms=run_ms),) * count
        job = Job(str(job_id), team, tasks, deadline_ms, idempotent)
        self._submit(dispatcher, job)

    def ask(self, address: str, job_id: str, wait_ms: int = 0) -> None:
        """Print the result of a job, waiting up to ``wait_ms`` for it."""
        self._print(_make_dispatcher(address, "").ask(str(job_id), wait_ms))

    def cancel(self, address: str, job_id: str) -> None:
        """Cancel a job; the printed result says whether any task may have run."""
        self._print(_make_dispatcher(address, "").cancel(str(job_id)))

    def tickets(self, address: str, count: int = 1) -> None:
        """Fetch ``count`` tickets and print them, one per line."""
        dispatcher = evolve(_make_dispatcher(address, ""), ticket_batch=count)
        for _ in range(count):
            job = dispatcher.new_job((), 1)
            if isinstance(job, Failure):
                self._print_failure(job)
                return
            print(job.job_id, file=self.environment.stdout)

    def _submit(self, dispatcher: Dispatcher, job: Job | Failure) -> None:
        if isinstance(job, Failure):
            self._print_failure(job)
            return
        self._print(dispatcher.submit(job))

    def _print(self, result: JobResult) -> None:
        print(json.dumps(result_to_json(result)), file=self.environment.stdout)
        self.status = EXIT_STATUS_BY_OUTCOME[result.outcome]

    def _print_failure(self, failure: Failure) -> None:
        document = {"failure": failure_to_json(failure)}
        print(json.dumps(document), file=self.environment.stdout)
        self.status = ExitStatus.UNREACHABLE


def _make_dispatcher(address: str, team: str) -> Dispatcher:
    addresses = address if isinstance(address, tuple | list) else address.split(",")
    return Dispatcher(tuple(addresses), team)


def _payload_text(payload: object) -> str:
    return payload if isinstance(payload, str) else json.dumps(payload)
