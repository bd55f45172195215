"""HTTP client of one worker: starts, looks up and stops attempts; sends probes."""

import json
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import gevent
from attrs import asdict, define, field
from cattrs import Converter
from cattrs.errors import BaseValidationError
from urllib3 import Retry, Timeout
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
)

from rattanloom.clock import MS_PER_S
from rattanloom.errors import ErrorKind, Failure
from rattanloom.link_filter import LinkFilter
from rattanloom.targets.connections import IdleTimeoutPool
from rattanloom.targets.protocol import Attempt, AttemptReply

CONNECT_TIMEOUT_MS = 1_000
REQUEST_TIMEOUT_MS = 2_000
HTTP_OK = 200
HEADERS = {"Content-Type": "application/json"}
FRESH_HEADERS = {"Connection": "close"}
NO_RETRIES = Retry(total=False, redirect=0)
CONVERTER = Converter()

ReplyOrFailure = AttemptReply | Failure


@define(eq=False)
class TargetClient:
    """Sends requests to one worker; keeps up to ``connections`` open for reuse.

    A start reuses an idle connection if there is one. Look-ups, stops and
    probes open a new one, since a kept connection may be dead.
    """

    name: str
    address: str
    connections: int
    link_filter: LinkFilter = field(factory=LinkFilter)
    _pool: IdleTimeoutPool | None = None

    def start(self, attempt: Attempt, reply_timeout_ms: float) -> ReplyOrFailure:
        """Start the attempt; return once it has finished or was refused."""
        path = f"/v1/attempts/{attempt.attempt_id}"
        body = json.dumps(asdict(attempt, recurse=False))
        timeout = _timeout(reply_timeout_ms)
        reply = self._exchange(
            attempt.attempt_id,
            lambda: self._kept_pool().urlopen(
                "POST",
                path,
                body=body,
                headers=HEADERS,
                timeout=timeout,
                retries=NO_RETRIES,
            ),
        )
        if isinstance(reply, Failure):
            self.drop_connections()
        return reply

    def look_up(self, attempt_id: str, wait_ms: float) -> ReplyOrFailure:
        """Request the state of the attempt over a new connection."""
        path = f"/v1/attempts/{attempt_id}?wait_ms={wait_ms:.0f}"
        return self._request("GET", path, attempt_id, REQUEST_TIMEOUT_MS + wait_ms)

    def stop(self, attempt_id: str) -> ReplyOrFailure:
        """Stop the attempt over a new connection, or fence it if not started."""
        return self._request(
            "DELETE", f"/v1/attempts/{attempt_id}", attempt_id, REQUEST_TIMEOUT_MS
        )

    def probe(self) -> ReplyOrFailure:
        """Request the worker's slots without starting an attempt."""
        return self._request("GET", "/v1/worker", "", REQUEST_TIMEOUT_MS)

    def close_idle(self) -> None:
        """Close the connections that have been idle for ``IDLE_MAX_S``."""
        if self._pool is not None:
            self._pool.close_idle()

    def drop_connections(self) -> None:
        """Close every idle connection, as others may be dead after one has failed."""
        if self._pool is not None:
            self._pool.close_idle(idle_s=0)

    def close(self) -> None:
        """Close the pool and its idle connections."""
        if self._pool is not None:
            self._pool.close()

    def _kept_pool(self) -> IdleTimeoutPool:
        """Return the pool, created at first use: most workers are never used."""
        if self._pool is None:
            self._pool = IdleTimeoutPool(self.address, self.connections)
        return self._pool

    def _request(
        self, method: str, path: str, attempt_id: str, timeout_ms: float
    ) -> ReplyOrFailure:
        with _fresh_pool(self.address) as pool:
            return self._exchange(
                attempt_id,
                lambda: pool.urlopen(
                    method,
                    path,
                    headers=FRESH_HEADERS,
                    timeout=_timeout(timeout_ms),
                    retries=NO_RETRIES,
                ),
            )

    def _exchange(self, attempt_id: str, send: Callable) -> ReplyOrFailure:
        if not self.link_filter.may_send(self.address):
            gevent.sleep(CONNECT_TIMEOUT_MS / MS_PER_S)
            return Failure(ErrorKind.NO_TARGETS, "worker is cut off")
        reply = _send(attempt_id, send)
        if not self.link_filter.may_receive(self.address):
            return _outcome_unknown("worker was cut off before it replied")
        return reply


def _timeout(read_ms: float) -> Timeout:
    return Timeout(
        connect=CONNECT_TIMEOUT_MS / MS_PER_S, read=max(read_ms, 1.0) / MS_PER_S
    )


@contextmanager
def _fresh_pool(address: str) -> Iterator[IdleTimeoutPool]:
    pool = IdleTimeoutPool(address, 1)
    try:
        yield pool
    finally:
        pool.close()


def _send(attempt_id: str, send: Callable) -> ReplyOrFailure:
    """Send one request; return its reply, or a failure if none was received.

    The failure is NO_TARGETS if no connection could be opened, so that the
    request was not sent, and OUTCOME_UNKNOWN otherwise.
    """
    try:
        reply = send()
    except (NewConnectionError, ConnectTimeoutError) as error:
        return Failure(ErrorKind.NO_TARGETS, f"worker cannot be reached: {error}")
    except (HTTPError, OSError) as error:
        return _outcome_unknown(f"no reply from the worker: {error}")
    return _decode(attempt_id, reply.status, reply.data)


def _decode(attempt_id: str, status: int, body: bytes) -> ReplyOrFailure:
    if status != HTTP_OK:
        return _outcome_unknown(f"worker replied with HTTP status {status}")
    try:
        reply = CONVERTER.structure(json.loads(body), AttemptReply)
    except (ValueError, KeyError, TypeError, BaseValidationError):
        return _outcome_unknown("worker sent a malformed reply")
    if reply.attempt_id != attempt_id:
        return _outcome_unknown("worker replied about another attempt")
    return reply


def _outcome_unknown(reason: str) -> Failure:
    return Failure(ErrorKind.OUTCOME_UNKNOWN, reason)
