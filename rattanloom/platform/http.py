"""The daemon's HTTP client: persistent connections to one server, no retries.

Written for little processor time a call: a request is one send of bytes that are mostly
prepared, and the parser of the response is ``httptools``.
"""

from http import HTTPStatus
from socket import IPPROTO_TCP, MSG_PEEK, TCP_NODELAY, create_connection, socket
from time import monotonic

import gevent
from attrs import define, field, frozen
from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser

from rattanloom.clock import MS_PER_S
from rattanloom.errors import ErrorKind, Failure

RECEIVE_BYTES = 65_536
# Of the status line and headers, including those of responses with status 100.
HEAD_MAX_BYTES = 65_536
CONTINUE, OK = int(HTTPStatus.CONTINUE), int(HTTPStatus.OK)
HTTP_PORT = "80"  # left out of the header ``Host``
HEADERS = {"Content-Type": "application/json"}
LINE_ENDS = (b"\r", b"\n")  # the parser skips them before a response
METHODS_WITH_BODY = frozenset({"PATCH", "POST", "PUT"})
VERSIONS = frozenset({"1.1", "1.0", "0.9"})


class ResponseError(Exception):
    """The response is invalid or incomplete; the message says why."""


@frozen
class Response:
    """One HTTP response."""

    status: int
    body: bytes


class ResponseReader:
    """Reads one response from the bytes that a connection receives.

    ``response`` is None until it is complete. ``keeps_connection`` is then set if the
    connection may carry a further request. Responses with status 100 are skipped;
    other 1xx ones end the call and the connection.
    """

    def __init__(self) -> None:
        self.response: Response | None = None
        self.keeps_connection = False
        self._parser = HttpResponseParser(self)
        self._received_bytes = 0
        self._status = 0
        self.on_message_begin()

    def feed(self, data: bytes) -> None:
        """Read a non-empty piece; raise ``ResponseError`` if it is invalid."""
        if not self._received_bytes and data[:1] in LINE_ENDS:
            raise ResponseError("it begins with an empty line")
        self._received_bytes += len(data)
        # A response that is complete before the last byte is followed by other data.
        self._feed_parser(data[:-1])
        has_extra_data = self.response is not None
        self._feed_parser(data[-1:])
        if has_extra_data:
            self.keeps_connection = False
        if self.response is not None:
            del self._parser  # ends the reference cycle
        elif not self._status and self._received_bytes > HEAD_MAX_BYTES:
            raise ResponseError(f"its headers exceed {HEAD_MAX_BYTES} bytes")

    def end(self) -> Response:
        """Return a response that ends with the connection; raise if it was cut."""
        if not self._status or self._has_length:
            raise ResponseError("the connection was closed")
        return Response(self._status, b"".join(self._body))

    def on_message_begin(self) -> None:
        """Prepare for the headers of a response."""
        self._has_length = False
        self._connection_options = b""
        self._body: list[bytes] = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Note the headers about the end of the body and of the connection."""
        name = name.lower()
        if name == b"connection":
            self._connection_options += value.lower()
        elif name == b"content-length":
            self._has_length = True
        elif name == b"transfer-encoding":
            self._has_length = True
            if value.lower() != b"chunked":
                raise ResponseError(f"its transfer encoding is {value!r}")

    def on_headers_complete(self) -> None:
        """Note the status, unless the final response is still to follow."""
        version = self._parser.get_http_version()
        if version not in VERSIONS:
            raise ResponseError(f"its HTTP version is {version}")
        status = self._parser.get_status_code()
        if status < CONTINUE:
            raise ResponseError(f"its status is {status}")
        if status == CONTINUE or self.response is not None:
            return
        self._status = status
        options = self._connection_options
        is_persistent = (
            b"close" not in options if version == "1.1" else b"keep-alive" in options
        )
        self.keeps_connection = is_persistent and status >= OK

    def on_body(self, piece: bytes) -> None:
        """Collect the body."""
        self._body.append(piece)

    def on_message_complete(self) -> None:
        """Complete the response, unless it was one with status 100."""
        if self._status and self.response is None:
            self.response = Response(self._status, b"".join(self._body))

    def _feed_parser(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except HttpParserUpgrade:
            return
        except HttpParserError as error:
            # Invalid data after a complete response only ends the connection.
            if self.response is None:
                reason = error.__context__ or error  # of a callback, or the parser's
                raise ResponseError(f"it is invalid: {reason}") from error
            self.keeps_connection = False


@define(eq=False, repr=False)
class HttpClient:
    """Sends requests to ``address`` (``ip:port``), from ``source_ip`` if given.

    Failures are PLATFORM_UNREACHABLE (the server definitely did not receive the
    request) or REPLY_LOST (the request may have taken effect, or may still do so).
    ``headers`` are sent with each request, as they were at the first.
    """

    address: str
    connections_max: int
    connect_timeout_ms: float
    source_ip: str = ""
    headers: dict[str, str] = field(factory=lambda: dict(HEADERS))
    closed: bool = False
    _head: bytes = b""
    _idle: list[socket] = field(factory=list)

    def call(
        self, method: str, path: str, body: bytes | None, timeout_ms: float
    ) -> Response | Failure:
        """Send one request; return its response or a Failure within ``timeout_ms``."""
        if self.closed:
            return self._not_sent("the client is closed")
        deadline_s = monotonic() + timeout_ms / MS_PER_S
        try:
            request = self._make_request(method, path, body)
            connection = self._take_connection() or self._connect(timeout_ms)
        except (OSError, ValueError) as error:
            return self._not_sent(f"{type(error).__name__}: {error}")
        reader = ResponseReader()
        try:
            response = _exchange(connection, request, reader, deadline_s)
        except TimeoutError:
            reason = f"timed out after {timeout_ms:.0f} ms"
        except (OSError, ResponseError) as error:
            reason = f"{type(error).__name__}: {error}"
        else:
            self._release_connection(connection, reader.keeps_connection)
            return response
        connection.close()
        self.close_idle()
        return self._reply_lost(reason)

    def close_idle(self) -> None:
        """Close the idle connections, which may be unresponsive as well."""
        while self._idle:
            self._idle.pop().close()

    def close(self) -> None:
        """Close the idle connections; refuse further calls."""
        self.closed = True
        self.close_idle()

    def _make_request(self, method: str, path: str, body: bytes | None) -> bytes:
        """Return the bytes of a request; raise ``ValueError`` if a text has no form."""
        if not self._head:
            self._head = _encode_headers(self.address, self.headers)
        line = f"{method} {path} HTTP/1.1\r\n".encode("ascii")
        if body is None and method not in METHODS_WITH_BODY:
            return b"%b%b\r\n" % (line, self._head)
        body = body or b""
        return b"%b%bContent-Length: %d\r\n\r\n%b" % (
            line,
            self._head,
            len(body),
            body,
        )

    def _take_connection(self) -> socket | None:
        """Return an idle connection that is still open; None if there is none."""
        while self._idle:
            connection = self._idle.pop()
            if _is_connected(connection):
                return connection
            connection.close()
        return None

    def _connect(self, timeout_ms: float) -> socket:
        host, _, port = self.address.rpartition(":")
        # Limits the resolution of a host name as well.
        with gevent.Timeout(timeout_ms / MS_PER_S, TimeoutError("timed out")):
            connection = create_connection(
                (host.strip("[]"), int(port)),
                self.connect_timeout_ms / MS_PER_S,
                (self.source_ip, 0) if self.source_ip else None,
            )
        connection.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        return connection

    def _release_connection(self, connection: socket, is_persistent: bool) -> None:
        """Keep a connection for further calls, unless the server closes it."""
        is_full = len(self._idle) >= self.connections_max
        if not is_persistent or self.closed or is_full:
            connection.close()
        else:
            self._idle.append(connection)

    def _not_sent(self, reason: str) -> Failure:
        return Failure(
            ErrorKind.PLATFORM_UNREACHABLE,
            f"cannot connect to {self.address}: {reason}",
        )

    def _reply_lost(self, reason: str) -> Failure:
        return Failure(
            ErrorKind.REPLY_LOST, f"no response from {self.address}: {reason}"
        )


def _encode_headers(address: str, headers: dict[str, str]) -> bytes:
    """Return the headers that all requests to a server share."""
    host, _, port = address.rpartition(":")
    lines = {"Host": host if port == HTTP_PORT else address, **headers}
    for name, value in lines.items():
        if not (name + value).isprintable():
            raise ValueError(f"header {name} has the value {value!r}")
    return "".join(f"{name}: {lines[name]}\r\n" for name in lines).encode("latin-1")


def _is_connected(connection: socket) -> bool:
    """Return whether a connection is open and has no unread data."""
    connection.settimeout(0)
    try:
        connection.recv(1, MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def _exchange(
    connection: socket, request: bytes, reader: ResponseReader, deadline_s: float
) -> Response:
    """Send a request and return the response.

    Raises ``ResponseError``, or ``OSError``; ``TimeoutError`` at the deadline.
    """
    _limit_waits(connection, deadline_s)
    sent = connection.send(request)
    if sent < len(request):
        connection.sendall(memoryview(request)[sent:])
    while reader.response is None:
        _limit_waits(connection, deadline_s)
        data = connection.recv(RECEIVE_BYTES)
        if not data:
            return reader.end()
        reader.feed(data)
    return reader.response


def _limit_waits(connection: socket, deadline_s: float) -> None:
    remaining_s = deadline_s - monotonic()
    if remaining_s <= 0:
        raise TimeoutError("timed out")
    connection.settimeout(remaining_s)
