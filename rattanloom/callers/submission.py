"""JSON bodies of the callers' HTTP interface: validation and conversion."""

import json
from http import HTTPStatus

from attrs import field, frozen
from attrs.validators import max_len

from rattanloom.errors import ErrorKind, Failure, Ran
from rattanloom.job import Job, JobResult, ResultKind, Task
from rattanloom.rules import HOUR_MS
from rattanloom.settings import SettingsError, structure_document
from rattanloom.ticket import TICKET_MAX_CHARS
from rattanloom.validation import in_range

# Longest name of a team or a kind.
NAME_MAX_CHARS = 63
KEY_MAX_CHARS = 128
TASK_SLOTS_MAX = 1_000_000
TICKETS_PER_REQUEST_MAX = 1_000


@frozen
class TaskBody:
    """One task in the body of ``POST /v1/jobs``; see ``Task``."""

    kind: str = field(validator=max_len(NAME_MAX_CHARS))
    payload: str = ""
    size_slots: int = field(default=1, validator=in_range(1, TASK_SLOTS_MAX))
    run_ms: int = field(default=100, validator=in_range(0, HOUR_MS))
    accelerator: bool = False


@frozen
class JobBody:
    """Body of ``POST /v1/jobs``.

    At least one of ``job_id`` (the ticket) and ``key`` (the caller's idempotency key)
    is required.
    """

    team: str = field(validator=max_len(NAME_MAX_CHARS))
    tasks: tuple[TaskBody, ...] = field()
    deadline_ms: int = field(validator=in_range(1, HOUR_MS))
    job_id: str = field(default="", validator=max_len(TICKET_MAX_CHARS))
    key: str = field(default="", validator=max_len(KEY_MAX_CHARS))
    idempotent: bool = True

    @tasks.validator
    def _check_tasks(self, _attribute: object, value: tuple) -> None:
        if not value:
            raise ValueError("tasks must contain at least one task")


@frozen
class TicketsBody:
    """Body of ``POST /v1/tickets``."""

    count: int = field(default=1, validator=in_range(1, TICKETS_PER_REQUEST_MAX))


def parse_body(raw: bytes, model: type) -> object | Failure:
    """Parse a JSON body into ``model``, or return a BAD_REQUEST failure."""
    try:
        document = json.loads(raw)
    except (ValueError, RecursionError) as error:
        return Failure(ErrorKind.BAD_REQUEST, f"body: not valid JSON: {error}")
    try:
        return structure_document("body", document, model)
    except SettingsError as error:
        return Failure(ErrorKind.BAD_REQUEST, str(error))


def parse_job(raw: bytes) -> Job | Failure:
    """Parse the body of ``POST /v1/jobs``."""
    body = parse_body(raw, JobBody)
    if isinstance(body, Failure):
        return body
    if not body.job_id and not body.key:
        return Failure(
            ErrorKind.BAD_REQUEST,
            "body: job_id is missing; get a ticket from POST /v1/tickets or send a key",
        )
    tasks = tuple(
        Task(task.kind, task.payload, task.size_slots, task.run_ms, task.accelerator)
        for task in body.tasks
    )
    return Job(
        job_id=body.job_id,
        team=body.team,
        tasks=tasks,
        deadline_ms=body.deadline_ms,
        idempotent=body.idempotent,
        key=body.key,
    )


def job_to_json(job: Job) -> dict:
    """Return the body of ``POST /v1/jobs`` for a job."""
    return {
        "job_id": job.job_id,
        "team": job.team,
        "deadline_ms": job.deadline_ms,
        "idempotent": job.idempotent,
        "key": job.key,
        "tasks": [
            {
                "kind": task.kind,
                "payload": task.payload,
                "size_slots": task.size_slots,
                "run_ms": task.run_ms,
                "accelerator": task.accelerator,
            }
            for task in job.tasks
        ],
    }


def failure_to_json(failure: Failure) -> dict:
    """Return the ``failure`` object of a response."""
    return {
        "kind": failure.kind.value,
        "reason": failure.reason,
        "ran": failure.effective_ran.value,
        "retryable": failure.response.retryable,
        "retry_after_ms": failure.effective_retry_after_ms,
    }


def failure_from_json(document: dict) -> Failure:
    """Parse the ``failure`` object of a response."""
    return Failure(
        ErrorKind(document["kind"]),
        document["reason"],
        document["retry_after_ms"],
        Ran(document["ran"]),
    )


def result_to_json(result: JobResult) -> dict:
    """Return the response body for a job's result."""
    failure = result.failure
    return {
        "job_id": result.job_id,
        "outcome": result.outcome.value,
        "outputs": list(result.outputs),
        "failure": None if failure is None else failure_to_json(failure),
        "failed_task": result.failed_task,
        "run_ms": round(result.run_ms, 3),
    }


def result_from_json(document: dict) -> JobResult:
    """Parse a job's result from a response body."""
    failure = document["failure"]
    return JobResult(
        document["job_id"],
        ResultKind(document["outcome"]),
        tuple(document["outputs"]),
        None if failure is None else failure_from_json(failure),
        document["failed_task"],
        document["run_ms"],
    )


def http_status_of_result(result: JobResult) -> HTTPStatus:
    """Return the HTTP status for a job's result."""
    if result.outcome is ResultKind.COMPLETE:
        return HTTPStatus.OK
    if result.outcome is ResultKind.PENDING:
        return HTTPStatus.ACCEPTED
    return result.failure.response.http_status
