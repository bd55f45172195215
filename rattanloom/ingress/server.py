"""The daemon's HTTP server for clients, and the state of its connections."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from http import HTTPStatus

import gevent
from attrs import define, field
from gevent.server import StreamServer
from gevent.socket import socket

from rattanloom.clock import MS_PER_S, Clock
from rattanloom.decision_log import DecisionLog
from rattanloom.platform.job_format import encode_error
from rattanloom.serving.budget import ClientBudget
from rattanloom.serving.http_connection import Application, HttpResponse
from rattanloom.serving.http_server import serving_http
from rattanloom.serving.limits import (
    CONNECTIONS_MAX,
    ClientLimits,
    RequestLimits,
)

log = DecisionLog("ingress")

POLL_MS = 20
# Of pages for operators and the load balancer: their requests have no body.
PAGE_LIMITS = RequestLimits(header_bytes_max=8_192, body_bytes_max=0)
LOGGED_PATH_CHARS = 200
RETRY_AFTER_S = 1


@define(eq=False, repr=False)
class ConnectionState:
    """State shared by all client connections; the ``HttpService`` of a daemon.

    ``limits`` returns the active limits. While ``is_closing`` returns true, responses
    have ``Connection: close``, so that clients connect to another daemon.
    ``requests_in_flight`` counts requests from their first byte on. ``idle_sockets``
    are those of connections without a request.
    """

    limits: Callable[[], RequestLimits]
    is_closing: Callable[[], bool]
    client_limits: ClientLimits = field(factory=ClientLimits)
    requests_in_flight: int = 0
    idle_sockets: set[socket] = field(factory=set)

    def request_limits(self) -> RequestLimits:
        """Return the active limits of a request."""
        return self.limits()

    @contextmanager
    def idle(self, connection: socket) -> Iterator[None]:
        """Note that a connection waits for a request while the block runs."""
        self.idle_sockets.add(connection)
        try:
            yield
        finally:
            self.idle_sockets.discard(connection)

    @contextmanager
    def reading_and_serving(self) -> Iterator[None]:
        """Count a request as in flight while the block runs."""
        self.requests_in_flight += 1
        try:
            yield
        finally:
            self.requests_in_flight -= 1

    @contextmanager
    def responding(self) -> Iterator[None]:
        """Do nothing: the request is counted since its first byte."""
        yield

    def refusal(self, status: HTTPStatus, reason: str) -> HttpResponse:
        """Return the response that refuses a request."""
        headers = [("Content-Type", "application/json")]
        if status is HTTPStatus.SERVICE_UNAVAILABLE:
            headers.append(("Retry-After", str(RETRY_AFTER_S)))
        line = f"{status.value} {status.phrase}"
        return HttpResponse(line, tuple(headers), encode_error(reason))

    def log_failure(self, path: str, reason: str, where: str) -> None:
        """Log an unexpected exception."""
        path = path[:LOGGED_PATH_CHARS]
        log.error("request_failed", path=path, reason=reason, where=where)

    def close_idle(self) -> None:
        """Close the connections that have no request in progress."""
        for connection in list(self.idle_sockets):
            connection.close()


@contextmanager
def serving_page(
    name: str,
    address: str,
    application: Application,
    budget: ClientBudget,
    client_limits: ClientLimits,
) -> Iterator[None]:
    """Serve a page on ``address`` until the block ends; ``name`` is the listener's."""
    state = ConnectionState(lambda: PAGE_LIMITS, lambda: False, client_limits)
    listener = budget.add_listener(
        name, client_limits.page_connections_max, is_internal=True
    )
    with serving_http(address, application, state, budget, listener):
        yield


def log_clients_limited(counts: dict[str, int]) -> None:
    """Log the numbers of refused requests and closed connections by reason."""
    log.warning("clients_limited", counts=counts)


@contextmanager
def serving(
    address: str, application: Application, state: ConnectionState
) -> Iterator[StreamServer]:
    """Serve a WSGI application on ``address``, with a budget of its own."""
    budget = ClientBudget()
    listener = budget.add_listener("clients", CONNECTIONS_MAX)
    with serving_http(address, application, state, budget, listener) as server:
        yield server


def finish_requests(
    server: StreamServer, state: ConnectionState, clock: Clock, until_ms: float
) -> None:
    """Serve the open requests, accept no more, and serve those that came meanwhile."""
    wait_for_requests(state, clock, until_ms)
    server.close()
    state.close_idle()
    wait_for_requests(state, clock, until_ms)


def wait_for_requests(state: ConnectionState, clock: Clock, until_ms: float) -> None:
    """Wait until no request is open, at most until ``until_ms``."""
    while state.requests_in_flight and clock.now_ms() < until_ms:
        gevent.sleep(POLL_MS / MS_PER_S)
