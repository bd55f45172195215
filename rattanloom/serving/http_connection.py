"""Serves the HTTP requests of one client connection to a WSGI application."""

from collections.abc import Callable, Iterable
from contextlib import AbstractContextManager
from email.utils import formatdate
from functools import lru_cache
from http import HTTPStatus
from io import BytesIO
from socket import SHUT_RD, SHUT_WR
from time import time
from typing import Protocol
from urllib.parse import unquote_to_bytes

import gevent
from attrs import define, field, frozen
from gevent.socket import socket

from rattanloom.background import raised_at
from rattanloom.clock import MS_PER_S
from rattanloom.serving.budget import ACTIVE_BYTES, Holding, Phase
from rattanloom.serving.client_connection import ClientConnection
from rattanloom.serving.http_request import (
    ClientGoneError,
    RequestHead,
    RequestReader,
    RequestRefusedError,
    overloaded,
)
from rattanloom.serving.limits import ClientLimits, RequestLimits

# Key of the ``ClientConnection`` in the WSGI environment.
CONNECTION_KEY = "rattanloom.connection"
# After a refusal, what the client still sends is read for this long: a connection that
# is closed with unread data is reset, and the client may lose the response.
LINGER_MS = 500
LINGER_MAX_BYTES = 1_000_000
# What is read then is not used, so all connections share this buffer.
DISCARDED = bytearray(65_536)
RESPONSE_FREE_BYTES = ACTIVE_BYTES // 2
# CGI variables that have no prefix ``HTTP_``.
UNPREFIXED = {"content-type": "CONTENT_TYPE", "content-length": "CONTENT_LENGTH"}
Application = Callable[[dict, Callable], Iterable[bytes]]


class HttpService(Protocol):
    """What a program decides about the connections to one of its listeners."""

    client_limits: ClientLimits

    def request_limits(self) -> RequestLimits:
        """Return the active limits of a request."""

    def is_closing(self) -> bool:
        """Return whether clients should connect to another process."""

    def idle(self, connection: socket) -> AbstractContextManager[None]:
        """Return a context in which a connection waits for a request."""

    def reading_and_serving(self) -> AbstractContextManager[None]:
        """Return a context in which a request is read and served."""

    def responding(self) -> AbstractContextManager[None]:
        """Return a context in which a complete request is served."""

    def refusal(self, status: HTTPStatus, reason: str) -> "HttpResponse":
        """Return the response that refuses a request."""

    def log_failure(self, path: str, reason: str, where: str) -> None:
        """Log an unexpected exception of the application."""


@frozen
class HttpResponse:
    """A response of the application; ``status`` has the code and the phrase."""

    status: str
    headers: tuple[tuple[str, str], ...]
    body: bytes = b""


@define(eq=False, repr=False)
class HttpConnection:
    """One client connection, served until one side closes it.

    ``environment`` has the WSGI variables that all requests share.
    """

    socket: socket
    application: Application
    environment: dict
    service: HttpService
    holding: Holding = field(init=False)
    _reader: RequestReader = field(init=False)
    _requests: int = 0

    def run(self, holding: Holding) -> None:
        """Serve the connection until its end."""
        self.holding = holding
        self._reader = RequestReader(self.socket, holding)
        try:
            while self._serve_next():
                self._requests += 1
                self.holding.wait_for_request()
                # A client that sends without a pause would keep others waiting.
                gevent.sleep(0)
        except (OSError, ClientGoneError):
            return  # The connection has ended; nobody can be told.

    def close(self) -> None:
        """Close the connection, from another greenlet, for the memory that it holds.

        The greenlet that is reading a request sees an end of the data, and refuses it.
        """
        try:
            if self.holding.phase is Phase.RECEIVING:
                self.socket.shutdown(SHUT_RD)
            else:
                self.socket.close()
        except OSError:
            self.socket.close()

    def _serve_next(self) -> bool:
        """Serve one request; return whether another one may follow."""
        limits = self.service.request_limits()
        timeout_ms = limits.idle_timeout_ms
        if not self._requests:
            timeout_ms = limits.header_timeout_ms
        with self.service.idle(self.socket):
            if not self._reader.wait_for_data(timeout_ms):
                return False
        with self.service.reading_and_serving():
            found = self._read_or_refusal(limits)
            if isinstance(found, RequestRefusedError):
                # Frees what was read of the request.
                del self._reader
                self._refuse(found)
                return False
            if found is None:
                return False
            with self.service.responding():
                return self._respond(*found)

    def _read_or_refusal(
        self, limits: RequestLimits
    ) -> tuple[RequestHead, dict] | RequestRefusedError | None:
        """Return a request as ``_read`` does, or why it is refused.

        A raised exception refers to the frames that have the data of the request.
        """
        try:
            return self._read(limits)
        except RequestRefusedError as refusal:
            refusal.__context__ = refusal.__cause__ = None
            return refusal.with_traceback(None)

    def _read(self, limits: RequestLimits) -> tuple[RequestHead, dict] | None:
        """Read a request; return its head and environment, None if its head is late."""
        if not self.holding.begin_request():
            raise overloaded()
        body_bytes_max = min(limits.body_bytes_max, self.holding.budget.large_max_bytes)
        head, body = None, None
        try:
            with gevent.Timeout(limits.header_timeout_ms / MS_PER_S, False):
                head = self._reader.read_head(limits)
            if head is None:
                self._count_closed("header_timeout")
                return None
            with gevent.Timeout(self._body_timeout_ms / MS_PER_S, False):
                body = self._reader.read_body(head, body_bytes_max)
        except (ClientGoneError, OSError):
            if self.holding.is_evicted:
                raise overloaded() from None
            raise
        if body is None:
            status = HTTPStatus.REQUEST_TIMEOUT
            reason = f"the body did not arrive within {self._body_timeout_ms} ms"
            raise RequestRefusedError(status, reason, "body_timeout")
        if not self.holding.begin_serving():
            raise overloaded()
        return head, self._environ(head, body)

    @property
    def _body_timeout_ms(self) -> int:
        return self.service.client_limits.body_timeout_ms

    def _respond(self, head: RequestHead, environ: dict) -> bool:
        """Run the application and write its response; return whether to go on."""
        response = self._run_application(environ)
        keeps = head.keeps_connection and not self.service.is_closing()
        return self._write(response, head, keeps)

    def _run_application(self, environ: dict) -> HttpResponse:
        started: list[tuple[str, list[tuple[str, str]]]] = []

        def start_response(status: str, headers: list, exc_info: object = None) -> None:
            started[:] = [(status, headers)]

        try:
            result = self.application(environ, start_response)
            try:
                content = b"".join(result)
            finally:
                if hasattr(result, "close"):
                    result.close()
            status, headers = started[0]
            return HttpResponse(status, tuple(headers), content)
        except Exception as error:
            self.service.log_failure(
                environ["PATH_INFO"],
                f"{type(error).__name__}: {error}",
                raised_at(error),
            )
            status = HTTPStatus.INTERNAL_SERVER_ERROR
            return HttpResponse(f"{status.value} {status.phrase}", ())

    def _environ(self, head: RequestHead, body: bytearray) -> dict:
        path, _, query = head.target.partition("?")
        environ = {
            **self.environment,
            "REQUEST_METHOD": head.method,
            "PATH_INFO": unquote_to_bytes(path.encode("latin-1")).decode("latin-1"),
            "QUERY_STRING": query,
            "SERVER_PROTOCOL": f"HTTP/{head.version}",
            "wsgi.input": BytesIO(body),
            CONNECTION_KEY: ClientConnection(self.socket),
        }
        for name, value in head.headers:
            if "_" in name or name == "transfer-encoding":
                continue  # "a_b" and "a-b" have the same variable; the body is whole.
            variable = UNPREFIXED.get(name) or f"HTTP_{name.replace('-', '_').upper()}"
            known = environ.get(variable)
            environ[variable] = value if known is None else f"{known},{value}"
        if head.body_bytes is None:
            environ["CONTENT_LENGTH"] = str(len(body))
        return environ

    def _write(self, response: HttpResponse, head: RequestHead, keeps: bool) -> bool:
        """Write a response; return whether the connection may carry another request."""
        content = _encode(response, head.method == "HEAD", keeps, head.version)
        extra_bytes = len(content) - RESPONSE_FREE_BYTES
        if extra_bytes > 0 and not self.holding.take_large(extra_bytes):
            self._count_closed("response_memory")
            return False
        self.holding.begin_response()
        timeout_ms = self.service.client_limits.response_timeout_ms
        with gevent.Timeout(timeout_ms / MS_PER_S, False):
            self.socket.sendall(content)
            return keeps and not self.holding.is_evicted
        self._count_closed("response_timeout")
        return False

    def _refuse(self, refusal: RequestRefusedError) -> None:
        """Refuse a request, and wait a little until the client has the response."""
        self.holding.budget.count_refused(self.holding.listener, refusal.label)
        response = self.service.refusal(refusal.status, refusal.reason)
        self.holding.begin_closing()
        # A response of this size fits into the socket's buffer.
        self.socket.send(_encode(response, False, False, "1.1"), timeout=0.0)
        if not self.holding.is_evicted:
            self._linger()

    def _linger(self) -> None:
        self.socket.shutdown(SHUT_WR)
        read_bytes = 0
        with gevent.Timeout(LINGER_MS / MS_PER_S, False):
            while read_bytes < LINGER_MAX_BYTES:
                size_bytes = self.socket.recv_into(DISCARDED)
                if not size_bytes:
                    return
                read_bytes += size_bytes

    def _count_closed(self, reason: str) -> None:
        self.holding.budget.count_closed(self.holding.listener, reason)


def _encode(
    response: HttpResponse, omits_body: bool, keeps: bool, version: str
) -> bytes:
    """Return the bytes of a response."""
    lines = [f"HTTP/1.1 {response.status}"]
    names = set()
    for name, value in response.headers:
        names.add(name.lower())
        lines.append(f"{name}: {value}")
    if "content-length" not in names:
        lines.append(f"Content-Length: {len(response.body)}")
    if "date" not in names:
        lines.append(f"Date: {_http_date(int(time()))}")
    if "connection" not in names and (not keeps or version == "1.0"):
        lines.append(f"Connection: {'keep-alive' if keeps else 'close'}")
    head = "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"
    return head if omits_body else head + response.body


@lru_cache(maxsize=1)
def _http_date(unix_s: int) -> str:
    return formatdate(unix_s, usegmt=True)
