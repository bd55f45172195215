"""The daemon's HTTP API for clients.

A client posts a job to the path of a queue followed by the job's id, and gets the
outcome in the response. Jobs are not stored.
"""

from collections.abc import Callable
from http import HTTPStatus
from math import isfinite

import gevent
from attrs import define, field
from bottle import Bottle, HTTPResponse, request

from rattanloom.clock import MS_PER_S
from rattanloom.decision_log import DecisionLog
from rattanloom.ingress.job_router import JobRouter
from rattanloom.ingress.pending_job import PendingJob
from rattanloom.ingress.queues import Queue, QueueTable
from rattanloom.metrics import Metrics
from rattanloom.placement.jobs import JobOutcome, OutcomeKind
from rattanloom.platform.job_format import (
    encode_error,
    encode_state,
    is_job_id,
    parse_job_request,
)
from rattanloom.platform.json_format import FormatError
from rattanloom.serving.client_connection import ClientConnection
from rattanloom.serving.http_connection import CONNECTION_KEY

log = DecisionLog("ingress")

DEADLINE_HEADER = "Deadline-Ms"
# The response is sent this long before the client's deadline.
RESPONSE_MARGIN_MS = 15
# The client of a given up job returns after this time at the earliest: a run that could
# not be stopped ends within 1.2 s (``job_lease``).
GIVEN_UP_RETRY_AFTER_MIN_MS = 2_000
CANCEL_RETRY_AFTER_MS = 1_000
STATES_BY_KIND = {
    OutcomeKind.COMPLETE: "complete",
    OutcomeKind.FAILED: "failed",
    OutcomeKind.CANCELLED: "cancelled",
}


@define(eq=False, repr=False)
class ClientApi:
    """Routes and handles the requests of clients.

    ``cancel_job`` cancels a job at all daemons, and returns whether it is known here.
    ``wait_until_told`` returns whether all daemons that may have it know of that.
    """

    queues: QueueTable
    job_router: JobRouter
    metrics: Metrics
    cancel_job: Callable[[str], bool]
    wait_until_told: Callable[[str], bool] = lambda job_id: True
    app: Bottle = field(factory=Bottle)

    def __attrs_post_init__(self) -> None:
        # Unexpected exceptions are passed on to the server, which logs them.
        self.app.config["catchall"] = False
        self.app.route("/<path:path>", "POST", self.post_job)
        self.app.route("/<path:path>", "GET", self.get_job)
        self.app.route("/<path:path>", "DELETE", self.delete_job)

    def post_job(self, path: str) -> HTTPResponse:
        """Submit a job; respond with its outcome, or an error before its deadline."""
        found = self._find_queue(f"/{path}")
        if isinstance(found, HTTPResponse):
            return found
        queue, job_id = found
        if not is_job_id(job_id):
            return _error(HTTPStatus.BAD_REQUEST, f"{job_id!r} is not a job id")
        try:
            posted = parse_job_request(job_id, _take_body(), queue, _deadline_ms(queue))
        except FormatError as error:
            return _error(HTTPStatus.BAD_REQUEST, str(error))
        if posted.is_durable:
            return _error(
                HTTPStatus.SERVICE_UNAVAILABLE, "stored jobs are not supported"
            )
        connection = request.environ[CONNECTION_KEY]
        if connection.is_closed():
            # A request that waited in the socket while this process was frozen: its
            # client may have sent the job to another daemon since.
            log.info("client_gone", job=job_id)
            return _error(HTTPStatus.SERVICE_UNAVAILABLE, "the client disconnected")
        pending = self.job_router.submit(posted.job, lambda: not connection.is_closed())
        outcome = self._wait_for_outcome(pending, posted.job.remaining_ms)
        response = _outcome_response(outcome)
        age_ms = self.job_router.clock.now_ms() - pending.arrived_ms
        self.metrics.count("jobs_answered", str(response.status_code))
        self.metrics.observe("job_answer", age_ms)
        log.info(
            "job_answered",
            job=job_id,
            status=response.status_code,
            placer=pending.placer,
            reason=outcome.reason
            if outcome
            else "the client disconnected or its deadline passed",
            age_ms=round(age_ms),
        )
        return response

    def get_job(self, path: str) -> HTTPResponse:
        """Respond that a queue has 0 pending jobs, or that a job does not exist.

        No job is stored, so none outlives the request that posted it.
        """
        found = self._find_queue(f"/{path}")
        if isinstance(found, HTTPResponse):
            return found
        if not found[1]:
            return _json(HTTPStatus.OK, b'{"pending":0}')
        return _error(HTTPStatus.GONE, "no such job")

    def delete_job(self, path: str) -> HTTPResponse:
        """Cancel a job that some daemon may have, as no job is stored.

        The request that posted it is answered that it was cancelled.
        """
        found = self._find_queue(f"/{path}")
        if isinstance(found, HTTPResponse):
            return found
        _, job_id = found
        if is_job_id(job_id):
            if self.cancel_job(job_id):
                return _json(HTTPStatus.OK, encode_state("cancelled"))
            if not self.wait_until_told(job_id):
                return _error(
                    HTTPStatus.SERVICE_UNAVAILABLE,
                    "not all daemons that may have the job could be told; cancel again",
                    CANCEL_RETRY_AFTER_MS,
                )
        return _error(HTTPStatus.GONE, "no such job is known here")

    def _find_queue(self, path: str) -> tuple[Queue, str] | HTTPResponse:
        if self.queues.configuration is None:
            return _error(HTTPStatus.SERVICE_UNAVAILABLE, "no configuration yet", 1_000)
        queue = self.queues.find(request.get_header("Host", ""), path)
        if queue is None:
            return _error(HTTPStatus.NOT_FOUND, "no such queue")
        return queue, path.removeprefix(queue.path_prefix)

    def _wait_for_outcome(
        self, pending: PendingJob, remaining_ms: float
    ) -> JobOutcome | None:
        """Return the outcome; None if the client disconnects or the deadline nears.

        At the deadline, a job that was never sent to a placer is refused.
        """
        watch = gevent.spawn(
            self._watch_client, pending, request.environ[CONNECTION_KEY]
        )
        try:
            timeout_ms = max(0, remaining_ms - RESPONSE_MARGIN_MS)
            return pending.result.get(timeout=timeout_ms / MS_PER_S)
        except gevent.Timeout:
            return self.job_router.expire(pending)
        finally:
            # Waits until the watcher is off the event loop: libev aborts the process if
            # the response closes the connection before that.
            watch.kill()

    def _watch_client(self, pending: PendingJob, connection: ClientConnection) -> None:
        connection.wait_until_closed()
        self.job_router.cancel(pending)
        pending.result.set(None)


def _take_body() -> bytes:
    """Return the body of the request, which is freed once it is parsed."""
    return request.environ.pop("wsgi.input").read()


def _deadline_ms(queue: Queue) -> float:
    """Return how long the client waits; the queue's timeout without a valid header."""
    try:
        deadline_ms = float(request.get_header(DEADLINE_HEADER))
    except (TypeError, ValueError):
        return queue.timeout_ms
    return deadline_ms if isfinite(deadline_ms) else queue.timeout_ms


def _outcome_response(outcome: JobOutcome | None) -> HTTPResponse:
    if outcome is None:
        return _error(HTTPStatus.GATEWAY_TIMEOUT, "the job did not finish in time")
    if outcome.kind in STATES_BY_KIND:
        return _json(HTTPStatus.OK, encode_state(STATES_BY_KIND[outcome.kind]))
    retry_after_ms = outcome.retry_after_ms
    if outcome.kind is OutcomeKind.REFUSED:
        status = HTTPStatus.SERVICE_UNAVAILABLE
    else:
        status = HTTPStatus.GATEWAY_TIMEOUT
        if retry_after_ms:
            retry_after_ms = max(retry_after_ms, GIVEN_UP_RETRY_AFTER_MIN_MS)
    return _error(status, outcome.reason, retry_after_ms)


def _json(status: HTTPStatus, body: bytes) -> HTTPResponse:
    return HTTPResponse(
        body=body, status=status.value, headers={"Content-Type": "application/json"}
    )


def _error(status: HTTPStatus, reason: str, retry_after_ms: int = 0) -> HTTPResponse:
    response = _json(status, encode_error(reason))
    if retry_after_ms:
        response.set_header("Retry-After", str(-(-retry_after_ms // MS_PER_S)))
    return response
