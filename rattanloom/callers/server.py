"""gevent HTTP server of an entry host, with timeouts and a limit on connections."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from socket import IPPROTO_TCP, TCP_NODELAY

import gevent
from attrs import define
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer

from rattanloom.clock import MS_PER_S
from rattanloom.logs import get_log

log = get_log("callers")

# Longest wait for a further request on a connection.
IDLE_TIMEOUT_MS = 75_000
# Connections that the kernel queues until the server accepts them.
BACKLOG = 1024
IN_FLIGHT_POLL_MS = 10


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


class TimeoutHandler(WSGIHandler):
    """Closes connections that are idle too long or receive headers too slowly.

    ``header_timeout_ms`` is the timeout of the first request line, and of the
    headers of each request.
    """

    header_timeout_ms = 5_000
    in_flight: "InFlight"
    served_requests = 0

    def handle(self) -> None:
        """Serve one connection, with Nagle's algorithm disabled."""
        self.socket.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        super().handle()

    def read_requestline(self) -> str:
        """Read a request line, the first one with the header timeout."""
        timeout_ms = IDLE_TIMEOUT_MS if self.served_requests else self.header_timeout_ms
        self.served_requests += 1
        with gevent.Timeout(timeout_ms / MS_PER_S, False):
            return super().read_requestline()
        return ""

    def read_request(self, raw_requestline: str) -> bool:
        """Read the headers; raise ``gevent.Timeout`` if they take too long."""
        timeout = gevent.Timeout(self.header_timeout_ms / MS_PER_S)
        with timeout:
            return super().read_request(raw_requestline)

    def handle_one_request(self) -> object:
        """Serve one request; if reading its headers times out, close the connection."""
        try:
            return super().handle_one_request()
        except gevent.Timeout:
            return None

    def handle_one_response(self) -> None:
        """Handle one request, counted as in flight until its response is written."""
        with self.in_flight.track_request():
            super().handle_one_response()

    def log_error(self, message: str, *args: object) -> None:
        """Log a malformed request in one line at debug level."""
        log.debug("Malformed request: {}", message % args if args else message)


@contextmanager
def serving_http(
    address: str,
    application: Callable,
    header_timeout_ms: float,
    connections_max: int,
    in_flight: InFlight,
) -> Iterator[WSGIServer]:
    """Serve a WSGI application on ``address`` until the block ends."""
    host, _, port = address.rpartition(":")
    attributes = {"header_timeout_ms": header_timeout_ms, "in_flight": in_flight}
    handler = type("Handler", (TimeoutHandler,), attributes)
    server = WSGIServer(
        (host, int(port)),
        application,
        handler_class=handler,
        spawn=Pool(connections_max),
        backlog=BACKLOG,
        log=None,
        error_log=None,
    )
    server.start()
    try:
        yield server
    finally:
        server.stop(timeout=1)
