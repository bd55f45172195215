"""An HTTP server whose connections share one budget: a greenlet per connection."""

from collections.abc import Iterator
from contextlib import contextmanager
from socket import IPPROTO_TCP, SO_RCVBUF, SO_SNDBUF, SOL_SOCKET, TCP_NODELAY

from attrs import define
from gevent.pool import Pool
from gevent.server import StreamServer
from gevent.socket import socket

from rattanloom.serving.budget import (
    RECEIVE_BUFFER_BYTES,
    SEND_BUFFER_BYTES,
    ClientBudget,
    Listener,
)
from rattanloom.serving.http_connection import Application, HttpConnection, HttpService

# Connections that the kernel queues until the server accepts them.
BACKLOG = 1_024
# Accepted in one turn of the event loop: connections that are closed for them keep
# their descriptors until the next turn.
ACCEPTS_PER_TURN = 8
BUSY_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\n"
    b"Content-Length: 0\r\n\r\n"
)


class DiscardedText:
    """The WSGI error stream; what goes wrong is logged by the application."""

    def write(self, text: str) -> None:
        """Discard a text."""

    def flush(self) -> None:
        """Do nothing."""


@define(eq=False, repr=False)
class HttpAcceptor:
    """Serves each accepted connection, if the budget admits it."""

    application: Application
    service: HttpService
    budget: ClientBudget
    listener: Listener
    environment: dict

    def serve(self, connection: socket, peer: tuple) -> None:
        """Serve one connection until its end."""
        http = HttpConnection(
            connection, self.application, self.environment, self.service
        )
        holding = self.budget.admit(self.listener, http.close)
        if holding is None:
            _refuse(connection)
            return
        connection.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        try:
            http.run(holding)
        finally:
            holding.release()
            connection.close()


@contextmanager
def serving_http(
    address: str,
    application: Application,
    service: HttpService,
    budget: ClientBudget,
    listener: Listener,
) -> Iterator[StreamServer]:
    """Serve a WSGI application on ``address`` until the block ends."""
    host, _, port = address.rpartition(":")
    environment = _environment(host, port)
    acceptor = HttpAcceptor(application, service, budget, listener, environment)
    server = StreamServer(
        (host, int(port)), acceptor.serve, backlog=BACKLOG, spawn=Pool()
    )
    server.init_socket()
    limit_accepted(server)
    server.start()
    try:
        yield server
    finally:
        server.stop(timeout=0)


def limit_accepted(server: StreamServer) -> None:
    """Limit the rate of accepted connections, and the kernel's buffers of each."""
    server.max_accept = ACCEPTS_PER_TURN
    server.socket.setsockopt(SOL_SOCKET, SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    server.socket.setsockopt(SOL_SOCKET, SO_SNDBUF, SEND_BUFFER_BYTES)


def _environment(host: str, port: str) -> dict:
    """Return the WSGI variables that all requests to an address share."""
    return {
        "SCRIPT_NAME": "",
        "SERVER_NAME": host,
        "SERVER_PORT": port,
        "wsgi.version": (1, 0),
        "wsgi.url_scheme": "http",
        "wsgi.multithread": False,
        "wsgi.multiprocess": False,
        "wsgi.run_once": False,
        "wsgi.errors": DiscardedText(),
    }


def _refuse(connection: socket) -> None:
    """Refuse a connection at once; its client may not get the response."""
    try:
        connection.send(BUSY_RESPONSE, timeout=0.0)
    except OSError:
        pass
    finally:
        connection.close()
