"""HTTP client of the platform's table, object store and host list."""

from collections.abc import Sequence
from http import HTTPStatus
from typing import TypeVar
from urllib.parse import quote

import gevent
from attrs import define, field, frozen
from gevent import Timeout as GeventTimeout
from urllib3 import HTTPConnectionPool, Timeout
from urllib3.exceptions import (
    ClosedPoolError,
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
)

from rattanloom.clock import MS_PER_S
from rattanloom.errors import ErrorKind, Failure
from rattanloom.link_filter import LinkFilter
from rattanloom.platform.messages import (
    HostsResponse,
    MessageError,
    ReadRequest,
    RowsResponse,
    ScanRequest,
    TransactRequest,
    decode_message,
    encode_message,
)
from rattanloom.platform.protocol import (
    Change,
    Committed,
    Conflicted,
    ListedTarget,
    Row,
)

T = TypeVar("T")

POOL_CONNECTIONS = 8
# The timeout of a complete call, as a multiple of ``timeout_ms``.
TOTAL_TIMEOUT_FACTOR = 2
# After these errors and statuses, a request definitely had no effect.
NOT_SENT_ERRORS = (NewConnectionError, ConnectTimeoutError, ClosedPoolError)
REFUSED_STATUSES = frozenset(
    {HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS}
)


@frozen
class Response:
    """One HTTP response of the platform."""

    status: int
    body: bytes


@define(eq=False, repr=False)
class PlatformClient:
    """Sends requests to the platform at ``address`` (``host:port``).

    ``timeout_ms`` limits connecting and each wait for data of the response; a
    complete call may take twice as long. The client never retries.
    """

    address: str
    timeout_ms: float = 1000
    link_filter: LinkFilter = field(factory=LinkFilter)
    _pool: HTTPConnectionPool = field(init=False)
    _hosts_body: bytes | None = None
    _hosts: tuple[ListedTarget, ...] = ()

    def __attrs_post_init__(self) -> None:
        host, _, port = self.address.rpartition(":")
        timeout_s = self.timeout_ms / MS_PER_S
        self._pool = HTTPConnectionPool(
            host.strip("[]"),
            int(port),
            maxsize=POOL_CONNECTIONS,
            timeout=Timeout(connect=timeout_s, read=timeout_s),
            retries=False,
        )

    def read(self, keys: Sequence[str]) -> tuple[Row, ...] | Failure:
        """Return the rows that exist among ``keys``, from one snapshot."""
        request = encode_message(ReadRequest(tuple(keys)))
        response = self._fetch("POST", "/table/read", request)
        return response if isinstance(response, Failure) else _decode_rows(response)

    def scan(self, prefix: str, limit: int) -> tuple[Row, ...] | Failure:
        """Return up to ``limit`` rows whose key starts with ``prefix``, in order."""
        request = encode_message(ScanRequest(prefix, limit))
        response = self._fetch("POST", "/table/scan", request)
        return response if isinstance(response, Failure) else _decode_rows(response)

    def transact(self, changes: Sequence[Change]) -> Committed | Conflicted | Failure:
        """Apply all of ``changes`` or none."""
        request = encode_message(TransactRequest(tuple(changes)))
        response = self._write("POST", "/table/transact", request)
        if isinstance(response, Failure):
            return response
        try:
            rows = decode_message(response.body, RowsResponse).rows
        except MessageError as error:
            return _reply_lost(str(error))
        if response.status == HTTPStatus.CONFLICT:
            return Conflicted(rows)
        return Committed(rows)

    def put(self, name: str, content: bytes) -> None | Failure:
        """Store ``content`` under ``name``; repeating the call has no effect.

        Other content under this name is kept and returns a CONFLICT failure.
        """
        response = self._write("PUT", _object_path(name), content)
        if isinstance(response, Failure):
            return response
        if response.status == HTTPStatus.CONFLICT:
            return Failure(ErrorKind.CONFLICT, f"object {name} has other content")
        return None

    def get(self, name: str) -> bytes | Failure:
        """Return the content, or a NOT_FOUND or PLATFORM_UNREACHABLE failure."""
        response = self._fetch("GET", _object_path(name))
        return response if isinstance(response, Failure) else response.body

    def listed_targets(self) -> tuple[ListedTarget, ...] | Failure:
        """Return the workers on the platform's host list.

        While the list is unchanged, every call returns the same object.
        """
        response = self._fetch("GET", "/hosts")
        if isinstance(response, Failure):
            return response
        if response.body == self._hosts_body:
            return self._hosts
        decoded = _decode(response, HostsResponse)
        if isinstance(decoded, Failure):
            return decoded
        self._hosts_body, self._hosts = response.body, decoded.targets
        return self._hosts

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()

    def _fetch(self, method: str, path: str, body: bytes | None = None) -> object:
        """Send a read; any failure but NOT_FOUND is PLATFORM_UNREACHABLE."""
        response = self._request(method, path, body)
        if isinstance(response, Failure):
            return _unreachable(response.reason)
        if response.status == HTTPStatus.NOT_FOUND:
            return Failure(
                ErrorKind.NOT_FOUND, f"{path} does not exist on the platform"
            )
        if response.status != HTTPStatus.OK:
            return _unreachable(f"the platform returned status {response.status}")
        return response

    def _write(self, method: str, path: str, body: bytes) -> Response | Failure:
        """Send a write; PLATFORM_UNREACHABLE only if it definitely had no effect."""
        response = self._request(method, path, body)
        if isinstance(response, Failure):
            return response
        if response.status in (HTTPStatus.OK, HTTPStatus.CONFLICT):
            return response
        if response.status in REFUSED_STATUSES:
            return _unreachable(
                f"the platform refused the request: status {response.status}"
            )
        return _reply_lost(f"the platform returned status {response.status}")

    def _request(
        self, method: str, path: str, body: bytes | None
    ) -> Response | Failure:
        if not self.link_filter.may_send(self.address):
            gevent.sleep(self.timeout_ms / MS_PER_S)
            return _unreachable(f"{self.address} is cut off")
        response = self._request_unfiltered(method, path, body)
        if not self.link_filter.may_receive(self.address):
            return _reply_lost(f"{self.address} was cut off before it responded")
        return response

    def _request_unfiltered(
        self, method: str, path: str, body: bytes | None
    ) -> Response | Failure:
        total_timeout_s = TOTAL_TIMEOUT_FACTOR * self.timeout_ms / MS_PER_S
        timer = GeventTimeout.start_new(total_timeout_s)
        try:
            response = self._pool.request(method, path, body=body, redirect=False)
            return Response(response.status, response.data)
        except NOT_SENT_ERRORS as error:
            return _unreachable(f"cannot connect to {self.address}: {error}")
        except HTTPError as error:
            self._close_idle()
            return _reply_lost(f"no response from {self.address}: {error}")
        except GeventTimeout as error:
            if error is not timer:
                raise
            self._close_idle()
            return _reply_lost(
                f"no complete response from {self.address} within {total_timeout_s} s"
            )
        finally:
            timer.close()

    def _close_idle(self) -> None:
        """Close the idle connections, which may be unresponsive as well."""
        idle = self._pool.pool
        connections = [idle.get_nowait() for _ in range(idle.qsize())]
        for connection in connections:
            if connection is not None:
                connection.close()
            idle.put_nowait(None)


def _object_path(name: str) -> str:
    return f"/objects/{quote(name)}"


def _decode_rows(response: Response) -> tuple[Row, ...] | Failure:
    decoded = _decode(response, RowsResponse)
    return decoded if isinstance(decoded, Failure) else decoded.rows


def _decode(response: Response, model: type[T]) -> T | Failure:
    try:
        return decode_message(response.body, model)
    except MessageError as error:
        return _unreachable(str(error))


def _unreachable(reason: str) -> Failure:
    return Failure(ErrorKind.PLATFORM_UNREACHABLE, reason)


def _reply_lost(reason: str) -> Failure:
    return Failure(ErrorKind.REPLY_LOST, reason)
