"""Connection pool for one worker that closes long-idle connections."""

from time import monotonic

from urllib3 import HTTPConnectionPool
from urllib3.connection import HTTPConnection

IDLE_MAX_S = 10.0


class IdleTimeoutPool(HTTPConnectionPool):
    """A connection pool that does not reuse connections idle for ``IDLE_MAX_S``.

    Firewalls and NAT between two hosts drop idle connections; a request sent on
    a dropped one is lost without an error.
    """

    def __init__(self, address: str, connections: int) -> None:
        """Keep up to ``connections`` connections to ``address`` (``host:port``)."""
        host, _, port = address.rpartition(":")
        super().__init__(host, int(port), maxsize=connections, block=False)

    def _put_conn(self, conn: HTTPConnection | None) -> None:
        if conn is not None:
            conn.idle_since_s = monotonic()
        super()._put_conn(conn)

    def _get_conn(self, timeout: float | None = None) -> HTTPConnection:
        conn = super()._get_conn(timeout)
        _close_if_idle_since(conn, monotonic() - IDLE_MAX_S)
        return conn

    def close_idle(self, idle_s: float = IDLE_MAX_S) -> None:
        """Close the connections that have been idle for ``idle_s``."""
        for conn in tuple(self.pool.queue if self.pool else ()):
            if conn is not None:
                _close_if_idle_since(conn, monotonic() - idle_s)


def _close_if_idle_since(conn: HTTPConnection, since_s: float) -> None:
    """Close a connection idle since ``since_s``; its next request reopens it."""
    if getattr(conn, "idle_since_s", since_s + 1) <= since_s:
        conn.close()
