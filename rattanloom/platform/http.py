"""The daemon's HTTP client: persistent connections to one server, no retries."""

from socket import MSG_PEEK

import gevent
from attrs import define, field, frozen
from urllib3 import HTTPConnectionPool, Timeout
from urllib3.connection import HTTPConnection
from urllib3.exceptions import (
    ClosedPoolError,
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
)
from urllib3.util import SKIP_HEADER

from rattanloom.clock import MS_PER_S
from rattanloom.errors import ErrorKind, Failure

# After these errors, the server definitely did not receive the request.
NOT_SENT_ERRORS = (NewConnectionError, ConnectTimeoutError, ClosedPoolError)
# The servers don't use User-Agent and Accept-Encoding, and sending them costs time.
HEADERS = {
    "Content-Type": "application/json",
    "User-Agent": SKIP_HEADER,
    "Accept-Encoding": SKIP_HEADER,
}


@frozen
class Response:
    """One HTTP response."""

    status: int
    body: bytes


class SingleSendConnection(HTTPConnection):
    """A connection that needs few system calls.

    Before a reuse, one call checks that the connection is still open. The headers and
    body of a request are sent together.
    """

    _delayed_headers: bytes | None = None
    _delays_headers: bool = False

    def request(
        self, method: str, url: str, body: bytes | None = None, **options: object
    ) -> None:
        """Send one request."""
        self._delayed_headers = None
        self._delays_headers = bool(body)
        super().request(method, url, body=body, **options)

    def send(self, data: bytes) -> None:
        """Send bytes, but hold back the headers of a request until its body follows."""
        if self._delays_headers:
            self._delays_headers = False
            self._delayed_headers = data
            return
        if self._delayed_headers is not None:
            data, self._delayed_headers = self._delayed_headers + data, None
        super().send(data)

    @property
    def is_connected(self) -> bool:
        """Return whether the connection is open and has no unread data."""
        if self.sock is None:
            return False
        self.sock.settimeout(0)
        try:
            self.sock.recv(1, MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False


class SingleSendPool(HTTPConnectionPool):
    """A pool of ``SingleSendConnection``."""

    ConnectionCls = SingleSendConnection


@define(eq=False, repr=False)
class HttpClient:
    """Sends requests to ``address`` (``ip:port``), from ``source_ip`` if given.

    Failures are PLATFORM_UNREACHABLE (the server definitely did not receive the
    request) or REPLY_LOST (the request may have taken effect, or may still do so).
    """

    address: str
    connections_max: int
    connect_timeout_ms: float
    source_ip: str = ""
    headers: dict[str, str] = field(factory=lambda: dict(HEADERS))
    _pool: SingleSendPool = field(init=False)

    def __attrs_post_init__(self) -> None:
        host, _, port = self.address.rpartition(":")
        self._pool = SingleSendPool(
            host,
            int(port),
            maxsize=self.connections_max,
            block=False,
            retries=False,
            source_address=(self.source_ip, 0) if self.source_ip else None,
        )

    def call(
        self, method: str, path: str, body: bytes | None, timeout_ms: float
    ) -> Response | Failure:
        """Send one request; return its response or a Failure within ``timeout_ms``."""
        timeout = Timeout(
            connect=min(self.connect_timeout_ms, timeout_ms) / MS_PER_S,
            read=timeout_ms / MS_PER_S,
        )
        timer = gevent.Timeout.start_new(timeout_ms / MS_PER_S)
        try:
            response = self._pool.urlopen(
                method,
                path,
                body=body,
                headers=self.headers,
                redirect=False,
                timeout=timeout,
            )
            return Response(response.status, response.data)
        except NOT_SENT_ERRORS as error:
            return Failure(
                ErrorKind.PLATFORM_UNREACHABLE,
                f"cannot connect to {self.address}: {type(error).__name__}",
            )
        except HTTPError as error:
            self.close_idle()
            return self._reply_lost(f"{type(error).__name__}")
        except gevent.Timeout as error:
            if error is not timer:
                raise
            self.close_idle()
            return self._reply_lost(f"timed out after {timeout_ms:.0f} ms")
        finally:
            timer.close()

    def close_idle(self) -> None:
        """Close the idle connections, which may be unresponsive as well."""
        idle = self._pool.pool
        if idle is None:
            return
        connections = [idle.get_nowait() for _ in range(idle.qsize())]
        for connection in connections:
            if connection is not None:
                connection.close()
            idle.put_nowait(None)

    def close(self) -> None:
        """Close the pool and its idle connections."""
        self._pool.close()

    def _reply_lost(self, reason: str) -> Failure:
        return Failure(
            ErrorKind.REPLY_LOST, f"no response from {self.address}: {reason}"
        )
