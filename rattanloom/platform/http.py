"""The daemon's HTTP client: persistent connections to one server, no retries."""

import http.client
from socket import MSG_PEEK

import gevent
from attrs import define, field, frozen
from urllib3.connection import HTTPConnection
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError
from urllib3.util import SKIP_HEADER

from rattanloom.clock import MS_PER_S
from rattanloom.errors import ErrorKind, Failure

# After these errors, the server definitely did not receive the request.
NOT_SENT_ERRORS = (NewConnectionError, ConnectTimeoutError)
LOST_REPLY_ERRORS = (HTTPError, http.client.HTTPException, OSError)
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
    """A connection that needs few system calls and little processor time.

    Before a reuse, one call checks that the connection is still open. The headers and
    body of a request are sent together. Requests and responses are those of
    ``http.client``: urllib3's own ones take half of the time of a short request.
    """

    _delayed_headers: bytes | None = None
    _delays_headers: bool = False

    def request(
        self, method: str, url: str, body: bytes | None = None, **options: object
    ) -> None:
        """Send one request."""
        self._delayed_headers = None
        self._delays_headers = bool(body)
        http.client.HTTPConnection.request(self, method, url, body=body, **options)

    def putheader(self, header: str, *values: str) -> None:
        """Add a header, unless its value is ``SKIP_HEADER``."""
        if SKIP_HEADER not in values:
            http.client.HTTPConnection.putheader(self, header, *values)

    def getresponse(self) -> http.client.HTTPResponse:
        """Return the response, of which the body is not read yet."""
        return http.client.HTTPConnection.getresponse(self)

    def send(self, data: bytes) -> None:
        """Send bytes, but hold back the headers of a request until its body follows."""
        if self._delays_headers:
            self._delays_headers = False
            self._delayed_headers = data
            return
        if self._delayed_headers is not None:
            data, self._delayed_headers = self._delayed_headers + data, None
        http.client.HTTPConnection.send(self, data)

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
    closed: bool = False
    _idle: list[SingleSendConnection] = field(factory=list)

    def call(
        self, method: str, path: str, body: bytes | None, timeout_ms: float
    ) -> Response | Failure:
        """Send one request; return its response or a Failure within ``timeout_ms``."""
        if self.closed:
            return self._not_sent("the client is closed")
        connection = self._take_connection()
        timer = gevent.Timeout.start_new(timeout_ms / MS_PER_S)
        try:
            if connection.sock is None:
                connection.connect()
            # The timer limits the whole call.
            connection.sock.settimeout(None)
            connection.request(method, path, body=body, headers=self.headers)
            received = connection.getresponse()
            response = Response(received.status, received.read())
        except NOT_SENT_ERRORS as error:
            return self._not_sent(type(error).__name__)
        except LOST_REPLY_ERRORS as error:
            self._discard(connection)
            return self._reply_lost(f"{type(error).__name__}")
        except gevent.Timeout as error:
            if error is not timer:
                raise
            if connection.sock is None:
                return self._not_sent("timed out")
            self._discard(connection)
            return self._reply_lost(f"timed out after {timeout_ms:.0f} ms")
        finally:
            timer.close()
        self._keep_connection(connection)
        return response

    def close_idle(self) -> None:
        """Close the idle connections, which may be unresponsive as well."""
        while self._idle:
            self._idle.pop().close()

    def close(self) -> None:
        """Close the idle connections; refuse further calls."""
        self.closed = True
        self.close_idle()

    def _take_connection(self) -> SingleSendConnection:
        """Return an idle connection that is still open, or a new one."""
        while self._idle:
            connection = self._idle.pop()
            if connection.is_connected:
                return connection
            connection.close()
        host, _, port = self.address.rpartition(":")
        return SingleSendConnection(
            host,
            int(port),
            timeout=self.connect_timeout_ms / MS_PER_S,
            source_address=(self.source_ip, 0) if self.source_ip else None,
        )

    def _keep_connection(self, connection: SingleSendConnection) -> None:
        """Keep a connection for further calls, unless the server closes it."""
        is_full = len(self._idle) >= self.connections_max
        if connection.sock is None or self.closed or is_full:
            connection.close()
        else:
            self._idle.append(connection)

    def _discard(self, connection: SingleSendConnection) -> None:
        """Close a connection after a failure, and the idle ones with it."""
        connection.close()
        self.close_idle()

    def _not_sent(self, reason: str) -> Failure:
        return Failure(
            ErrorKind.PLATFORM_UNREACHABLE,
            f"cannot connect to {self.address}: {reason}",
        )

    def _reply_lost(self, reason: str) -> Failure:
        return Failure(
            ErrorKind.REPLY_LOST, f"no response from {self.address}: {reason}"
        )
