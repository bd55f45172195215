"""HTTP server of an entry host, with limits on what its callers hold."""

import json
from collections.abc import Iterator
from contextlib import AbstractContextManager, contextmanager, nullcontext
from http import HTTPStatus

import gevent
from attrs import define
from gevent.server import StreamServer
from gevent.socket import socket

from rattanloom.callers.api import failure_response
from rattanloom.clock import MS_PER_S
from rattanloom.errors import ErrorKind, Failure
from rattanloom.logs import get_log
from rattanloom.serving.budget import ClientBudget
from rattanloom.serving.http_connection import Application, HttpResponse
from rattanloom.serving.http_server import serving_http as serving_within_budget
from rattanloom.serving.limits import ClientLimits, RequestLimits

log = get_log("callers")

# Longest wait for a further request on a connection.
IDLE_TIMEOUT_MS = 75_000
BODY_MAX_BYTES = 1_000_000
HEADER_MAX_BYTES = 16_384
IN_FLIGHT_POLL_MS = 10
LOGGED_PATH_CHARS = 200
KINDS_BY_STATUS = {
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE: ErrorKind.TOO_LARGE,
    HTTPStatus.METHOD_NOT_ALLOWED: ErrorKind.METHOD_NOT_ALLOWED,
    HTTPStatus.SERVICE_UNAVAILABLE: ErrorKind.OVERLOADED,
}


@define(eq=False)
class InFlight:
    """Counts the requests in flight: received, but without a complete response."""

    count: int = 0

    @contextmanager
    def track_request(self) -> Iterator[None]:
        """Count one request as in flight while the block runs."""
        self.count += 1
        try:
            yield
        finally:
            self.count -= 1

    def wait_until_none(self, within_ms: float) -> bool:
        """Wait until no request is in flight; return False on timeout."""
        with gevent.Timeout(within_ms / MS_PER_S, False):
            while self.count:
                gevent.sleep(IN_FLIGHT_POLL_MS / MS_PER_S)
        return not self.count


@define(eq=False)
class CallerConnections:
    """The ``HttpService`` of an entry host."""

    limits: RequestLimits
    client_limits: ClientLimits
    in_flight: InFlight

    def request_limits(self) -> RequestLimits:
        """Return the limits of a request."""
        return self.limits

    def is_closing(self) -> bool:
        """Return False: a stopping host closes the connections itself."""
        return False

    def idle(self, connection: socket) -> AbstractContextManager[None]:
        """Return a context without effect."""
        return nullcontext()

    def reading_and_serving(self) -> AbstractContextManager[None]:
        """Return a context without effect: requests count once they are read."""
        return nullcontext()

    def responding(self) -> AbstractContextManager[None]:
        """Return a context that counts a request as in flight."""
        return self.in_flight.track_request()

    def refusal(self, status: HTTPStatus, reason: str) -> HttpResponse:
        """Return the response that refuses a request."""
        kind = KINDS_BY_STATUS.get(status, ErrorKind.BAD_REQUEST)
        response = failure_response(Failure(kind, reason))
        headers = tuple(response.headerlist)
        return HttpResponse(response.status_line, headers, response.body.encode())

    def log_failure(self, path: str, reason: str, where: str) -> None:
        """Log an unexpected exception."""
        path = path[:LOGGED_PATH_CHARS]
        log.error("Request for {} failed: {} at {}.", path, reason, where)


def log_clients_limited(counts: dict[str, int]) -> None:
    """Log the numbers of refused requests and closed connections by reason."""
    log.warning("Limits on clients: {}.", json.dumps(counts))


@contextmanager
def serving_http(
    address: str,
    application: Application,
    header_timeout_ms: float,
    connections_max: int,
    in_flight: InFlight,
    client_limits: ClientLimits | None = None,
    budget: ClientBudget | None = None,
    header_max_bytes: int = HEADER_MAX_BYTES,
    body_max_bytes: int = BODY_MAX_BYTES,
) -> Iterator[StreamServer]:
    """Serve a WSGI application on ``address`` until the block ends."""
    limits = RequestLimits(
        header_max_bytes, body_max_bytes, header_timeout_ms, IDLE_TIMEOUT_MS
    )
    service = CallerConnections(limits, client_limits or ClientLimits(), in_flight)
    budget = budget or ClientBudget()
    listener = budget.add_listener("callers", connections_max)
    with serving_within_budget(
        address, application, service, budget, listener
    ) as server:
        yield server
