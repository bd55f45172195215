"""HTTP interface of an entry host for callers; documented in docs/API.md."""

import json
from http import HTTPStatus
from math import ceil

from attrs import define, field
from bottle import Bottle, HTTPError, HTTPResponse, request

from rattanloom.callers.submission import (
    TicketsBody,
    failure_to_json,
    http_status_of_result,
    parse_body,
    parse_job,
    result_to_json,
)
from rattanloom.clock import MS_PER_S
from rattanloom.errors import ErrorKind, Failure
from rattanloom.job import JobResult
from rattanloom.jobs import JobService
from rattanloom.logs import get_log

log = get_log("callers")

# Longest wait of a query for a job's result.
WAIT_MAX_MS = 60_000
JSON_CONTENT_TYPE = "application/json"

ERRORS_BY_STATUS = {
    HTTPStatus.NOT_FOUND: (
        ErrorKind.NOT_FOUND,
        "no such page; docs/API.md lists them",
    ),
    HTTPStatus.METHOD_NOT_ALLOWED: (
        ErrorKind.METHOD_NOT_ALLOWED,
        "method not allowed on this page; see the Allow header",
    ),
    HTTPStatus.BAD_REQUEST: (ErrorKind.BAD_REQUEST, "the request is malformed"),
}


@define(eq=False)
class CallersApi:
    """Routes of the callers' interface to one job service.

    A query waits at most ``wait_max_ms`` for a result, so that it does not delay a
    shutdown.
    """

    jobs: JobService
    body_max_bytes: int
    wait_max_ms: float = WAIT_MAX_MS
    app: Bottle = field(factory=Bottle)

    def __attrs_post_init__(self) -> None:
        self.app.post("/v1/tickets", callback=self.post_tickets)
        self.app.post("/v1/jobs", callback=self.post_job)
        self.app.get("/v1/jobs/<job_id>", callback=self.get_job)
        self.app.delete("/v1/jobs/<job_id>", callback=self.delete_job)
        self.app.default_error_handler = error_page

    def post_tickets(self) -> HTTPResponse:
        """Issue ``count`` tickets, one by default."""
        raw = self.read_body()
        if isinstance(raw, Failure):
            return failure_response(raw)
        body = parse_body(raw or b"{}", TicketsBody)
        if isinstance(body, Failure):
            return failure_response(body)
        tickets = self.jobs.issue_tickets(body.count)
        if not tickets:
            leaving = Failure(ErrorKind.LEAVING, "this entry host is leaving")
            return failure_response(leaving)
        return json_response({"tickets": list(tickets)})

    def post_job(self) -> HTTPResponse:
        """Submit or resubmit a job and wait for its result."""
        raw = self.read_body()
        job = raw if isinstance(raw, Failure) else parse_job(raw)
        if isinstance(job, Failure):
            return failure_response(job)
        return result_response(self.jobs.submit(job))

    def get_job(self, job_id: str) -> HTTPResponse:
        """Return a job's result, waiting up to the query parameter ``wait_ms``."""
        try:
            wait_ms = float(request.query.get("wait_ms", "0"))
        except ValueError:
            return failure_response(
                Failure(ErrorKind.BAD_REQUEST, "wait_ms must be a number")
            )
        wait_ms = min(max(wait_ms, 0.0), self.wait_max_ms)
        return result_response(self.jobs.ask(job_id, wait_ms))

    def delete_job(self, job_id: str) -> HTTPResponse:
        """Cancel a job and return its result."""
        return result_response(self.jobs.cancel(job_id))

    def read_body(self) -> bytes | Failure:
        """Return the request's body; fail if it is too large."""
        raw = request.environ.pop("wsgi.input").read()
        if len(raw) > self.body_max_bytes:
            reason = f"the request body exceeds {self.body_max_bytes} bytes"
            return Failure(ErrorKind.TOO_LARGE, reason)
        return raw


def json_response(
    document: object, status: HTTPStatus = HTTPStatus.OK, retry_after_ms: int = 0
) -> HTTPResponse:
    """Return a JSON response, with Retry-After if ``retry_after_ms`` is not 0."""
    headers = {"Content-Type": JSON_CONTENT_TYPE}
    if retry_after_ms:
        headers["Retry-After"] = str(ceil(retry_after_ms / MS_PER_S))
    return HTTPResponse(json.dumps(document), status=status.value, headers=headers)


def failure_response(failure: Failure) -> HTTPResponse:
    """Return the response to a request that failed without a ``JobResult``."""
    return json_response(
        {"failure": failure_to_json(failure)},
        failure.response.http_status,
        failure.effective_retry_after_ms,
    )


def result_response(result: JobResult) -> HTTPResponse:
    """Return the response that carries a job's result."""
    retry_after_ms = (
        0 if result.failure is None else result.failure.effective_retry_after_ms
    )
    return json_response(
        result_to_json(result), http_status_of_result(result), retry_after_ms
    )


def error_page(error: HTTPError) -> str:
    """Return the JSON body for a bottle error or an exception in a route."""
    kind, reason = ERRORS_BY_STATUS.get(
        error.status_code, (ErrorKind.INTERNAL, "internal error; see the host's log")
    )
    if kind is ErrorKind.INTERNAL:
        log.error("Request failed: {!r}", error.exception)
    error.content_type = JSON_CONTENT_TYPE
    return json.dumps({"failure": failure_to_json(Failure(kind, reason))})
