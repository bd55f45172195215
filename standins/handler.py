"""HTTP handlers and server shared by the stand-ins of both versions."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from http import HTTPStatus
from socket import IPPROTO_TCP, SHUT_RDWR, TCP_NODELAY

from bottle import HTTPResponse, request
from gevent.pywsgi import WSGIHandler, WSGIServer

from rattanloom.serving.client_connection import ClientConnection

# Key of the ``ClientConnection`` in the WSGI environment.
CONNECTION_KEY = "standin.connection"


class NoDelayHandler(WSGIHandler):
    """Serves with Nagle's algorithm disabled, as production servers do."""

    def handle(self) -> None:
        """Serve one connection with ``TCP_NODELAY`` set."""
        self.socket.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        super().handle()


class SocketHandler(NoDelayHandler):
    """Adds the connection to the WSGI environment for ``drop_connection``."""

    def get_environ(self) -> dict:
        """Return the WSGI environment with the connection added."""
        connection = ClientConnection(self.socket)
        return super().get_environ() | {CONNECTION_KEY: connection}


def drop_connection() -> None:
    """Close the current request's connection without a response; never return."""
    with suppress(OSError):
        request.environ[CONNECTION_KEY].socket.shutdown(SHUT_RDWR)
    raise HTTPResponse(status=HTTPStatus.SERVICE_UNAVAILABLE)


def hold_until_closed() -> None:
    """Leave the current request without a response until the client disconnects.

    Never returns.
    """
    request.environ[CONNECTION_KEY].wait_until_closed()
    drop_connection()


@contextmanager
def serving_at(
    address: str, application: Callable, log: object = None
) -> Iterator[WSGIServer]:
    """Serve at ``address`` (host:port; port 0: a free one) until the block ends."""
    server = WSGIServer(
        address, application, handler_class=SocketHandler, log=log, error_log=log
    )
    server.start()
    try:
        yield server
    finally:
        server.stop(timeout=0)
