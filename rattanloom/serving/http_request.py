"""Reads HTTP/1.1 requests from a connection; what it holds is limited as it arrives.

``httptools`` parses heads and chunks. It is fed up to the end of one message only, so
that pipelined requests are parsed one by one.
"""

from http import HTTPStatus
from socket import socket

import gevent
from attrs import define, field, frozen
from httptools import (
    HttpParserError,
    HttpParserInvalidMethodError,
    HttpParserUpgrade,
    HttpRequestParser,
)

from rattanloom.clock import MS_PER_S
from rattanloom.serving.budget import ORDINARY_BYTES, Holding
from rattanloom.serving.limits import RequestLimits

READ_BYTES = 16_384
REQUEST_LINE_MAX_BYTES = 8_192
HEADERS_MAX = 100
# Of each header, beside its name and value.
HEADER_EXTRA_BYTES = 4
HEAD_END = b"\r\n\r\n"
LINE_END = b"\r\n"
# Chunks may take this many times the bytes of their data, and so much in addition:
# each chunk costs processor time, however short it is.
CHUNK_OVERHEAD_FACTOR = 2
CHUNK_OVERHEAD_BYTES = 16_384
VERSIONS = frozenset({"1.0", "1.1"})
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class RequestRefusedError(Exception):
    """The request is refused with ``status``, for ``reason``.

    ``label`` is the reason in the metrics. Nothing of the request has run.
    """

    def __init__(self, status: HTTPStatus, reason: str, label: str):
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.label = label


class ClientGoneError(Exception):
    """The client has closed the connection before the end of its request."""


@frozen
class RequestHead:
    """The first line and the headers of a request.

    ``headers`` has the names in lower case. ``body_bytes`` is None if the body comes
    in chunks.
    """

    method: str
    target: str
    version: str
    headers: tuple[tuple[str, str], ...]
    keeps_connection: bool
    body_bytes: int | None

    @property
    def expects_continue(self) -> bool:
        """Return whether the client waits for a response before it sends the body."""
        return ("expect", "100-continue") in self.headers


class MessageCollector:
    """Receives the callbacks of a parser, for one request.

    ``body_bytes`` is the length of the data in chunks so far, which fills the begin of
    ``body``; data beyond its end is counted only.
    """

    def __init__(self) -> None:
        self.target = b""
        self.headers: list[tuple[str, str]] = []
        self.body = bytearray()
        self.body_bytes = 0
        self.has_head = False
        self.is_complete = False

    def on_url(self, target: bytes) -> None:
        """Collect the target, which may come in pieces."""
        self.target += target

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; those behind chunks are ignored."""
        if not self.has_head:
            self.headers.append(
                (name.decode("latin-1").lower(), value.decode("latin-1"))
            )

    def on_headers_complete(self) -> None:
        """Note the end of the head."""
        self.has_head = True

    def on_body(self, piece: bytes) -> None:
        """Collect data of a chunk."""
        end = self.body_bytes + len(piece)
        if end <= len(self.body):
            self.body[self.body_bytes : end] = piece
        self.body_bytes = end

    def grow(self, body_bytes_max: int) -> None:
        """Make room for the largest body, at once: growth in steps leaves gaps."""
        body = bytearray(body_bytes_max)
        body[: self.body_bytes] = self.body[: self.body_bytes]
        self.body = body

    def on_message_complete(self) -> None:
        """Note the end of the request."""
        self.is_complete = True


@define(eq=False, repr=False)
class RequestReader:
    """Reads the requests of one connection, one after the other.

    ``_received`` has what was received behind the last request.
    """

    socket: socket
    holding: Holding
    _received: bytearray = field(factory=bytearray)
    _collector: MessageCollector = field(init=False)
    _parser: HttpRequestParser = field(init=False)

    def wait_for_data(self, timeout_ms: float) -> bool:
        """Wait for the first byte of a request; return False if none arrives."""
        if not self._received:
            with gevent.Timeout(timeout_ms / MS_PER_S, False):
                self._received += self.socket.recv(READ_BYTES)
        return bool(self._received)

    def read_head(self, limits: RequestLimits) -> RequestHead:
        """Read the first line and the headers of a request."""
        content = self._read_until_head_end(limits)
        self._collector = MessageCollector()
        self._parser = HttpRequestParser(self._collector)
        try:
            self._parser.feed_data(content)
        except HttpParserUpgrade:
            pass  # The request is served without the other protocol.
        except HttpParserInvalidMethodError as error:
            status = HTTPStatus.METHOD_NOT_ALLOWED
            raise RequestRefusedError(status, str(error), "malformed") from error
        except HttpParserError as error:
            raise _malformed(str(error)) from error
        return self._checked_head(limits)

    def read_body(self, head: RequestHead, body_bytes_max: int) -> bytearray:
        """Read the body of a request."""
        if head.body_bytes is None:
            self._continue_if_expected(head)
            return self._read_chunks(body_bytes_max)
        if head.body_bytes > body_bytes_max:
            raise _too_large_body(body_bytes_max)
        if head.body_bytes > ORDINARY_BYTES:
            self._take_memory(head.body_bytes)
        body = bytearray(head.body_bytes)
        read_bytes = min(len(self._received), head.body_bytes)
        body[:read_bytes] = self._received[:read_bytes]
        del self._received[:read_bytes]
        if read_bytes < head.body_bytes:
            self._continue_if_expected(head)
        rest = memoryview(body)[read_bytes:]
        while rest:
            size_bytes = self.socket.recv_into(rest)
            if not size_bytes:
                raise ClientGoneError
            rest = rest[size_bytes:]
        return body

    def _read_until_head_end(self, limits: RequestLimits) -> bytes:
        extra_bytes = REQUEST_LINE_MAX_BYTES + HEADERS_MAX * HEADER_EXTRA_BYTES
        head_bytes_max = limits.header_bytes_max + extra_bytes
        if head_bytes_max > 2 * READ_BYTES:
            self._take_memory(head_bytes_max)
        received, begin = self._received, 0
        while (end := received.find(HEAD_END, begin)) < 0:
            begin = max(0, len(received) - len(HEAD_END) + 1)
            _check_begin(received)
            if len(received) > head_bytes_max:
                raise _too_large_head()
            received += self._receive(READ_BYTES)
        _check_begin(received)
        end += len(HEAD_END)
        if end > head_bytes_max + len(HEAD_END):
            raise _too_large_head()
        content = bytes(received[:end])
        del received[:end]
        return content

    def _checked_head(self, limits: RequestLimits) -> RequestHead:
        collector, parser = self._collector, self._parser
        headers = collector.headers
        header_bytes = sum(len(name) + len(value) for name, value in headers)
        if header_bytes > limits.header_bytes_max or len(headers) > HEADERS_MAX:
            raise _too_large_head()
        values = dict(headers)
        coding = values.get("transfer-encoding")
        version = parser.get_http_version()
        if not collector.has_head or version not in VERSIONS:
            raise _malformed(f"the HTTP version is {version}")
        if coding is not None and coding.lower() != "chunked":
            raise _malformed("the transfer encoding is not chunked")
        length = 0
        if coding is None:
            length = int(values.get("content-length") or 0)
        return RequestHead(
            parser.get_method().decode("latin-1"),
            collector.target.decode("latin-1"),
            version,
            tuple(headers),
            parser.should_keep_alive(),
            length if coding is None else None,
        )

    def _read_chunks(self, body_bytes_max: int) -> bytearray:
        """Read a body in chunks; feed the parser up to the end of the message.

        The message ends with an empty line, which may arrive in two pieces.
        """
        collector, fed_bytes, tail = self._collector, 0, b""
        collector.grow(min(ORDINARY_BYTES, body_bytes_max))
        while not collector.is_complete:
            if not self._received:
                self._received += self._receive(READ_BYTES)
            piece, tail = self._next_piece(tail)
            fed_bytes += len(piece)
            if len(collector.body) < body_bytes_max and self._needs_room(piece):
                self._take_memory(body_bytes_max)
                collector.grow(body_bytes_max)
            try:
                self._parser.feed_data(piece)
            except HttpParserError as error:
                raise _malformed(str(error)) from error
            data_bytes = collector.body_bytes
            allowed_bytes = CHUNK_OVERHEAD_FACTOR * data_bytes + CHUNK_OVERHEAD_BYTES
            if data_bytes > body_bytes_max or fed_bytes > allowed_bytes:
                raise _too_large_body(body_bytes_max)
        body, collector.body = collector.body, bytearray()
        del body[collector.body_bytes :]
        return body

    def _needs_room(self, piece: bytes) -> bool:
        collector = self._collector
        return collector.body_bytes + len(piece) > len(collector.body)

    def _next_piece(self, tail: bytes) -> tuple[bytes, bytes]:
        """Return the data up to the next empty line, and the end of all data so far."""
        seen = tail + self._received
        end = seen.find(HEAD_END)
        length = len(self._received) if end < 0 else end + len(HEAD_END) - len(tail)
        piece = bytes(self._received[:length])
        del self._received[:length]
        return piece, (tail + piece)[1 - len(HEAD_END) :] if end < 0 else b""

    def _receive(self, size_bytes: int) -> bytes:
        data = self.socket.recv(size_bytes)
        if not data:
            raise ClientGoneError
        return data

    def _take_memory(self, number_bytes: int) -> None:
        if not self.holding.take_large(number_bytes):
            raise overloaded()

    def _continue_if_expected(self, head: RequestHead) -> None:
        if head.expects_continue:
            self.socket.sendall(CONTINUE_RESPONSE)


def overloaded() -> RequestRefusedError:
    """Return the refusal of a request for which there is no memory."""
    reason = "the clients of this process hold too much memory"
    return RequestRefusedError(HTTPStatus.SERVICE_UNAVAILABLE, reason, "memory")


def _check_begin(received: bytearray) -> None:
    """Refuse empty lines before a request, and a first line that is too long."""
    if received.startswith((b"\r", b"\n")):
        raise _malformed("an empty line precedes the request")
    is_long = len(received) > REQUEST_LINE_MAX_BYTES
    if is_long and received.find(LINE_END, 0, REQUEST_LINE_MAX_BYTES) < 0:
        status = HTTPStatus.REQUEST_URI_TOO_LONG
        raise RequestRefusedError(status, "the request line is too long", "head_size")


def _malformed(reason: str) -> RequestRefusedError:
    return RequestRefusedError(HTTPStatus.BAD_REQUEST, reason, "malformed")


def _too_large_head() -> RequestRefusedError:
    status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
    return RequestRefusedError(status, "the headers are too large", "head_size")


def _too_large_body(body_bytes_max: int) -> RequestRefusedError:
    status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
    reason = f"the request body exceeds {body_bytes_max} bytes"
    return RequestRefusedError(status, reason, "body_size")
