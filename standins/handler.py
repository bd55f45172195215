"""HTTP handlers and server shared by the stand-ins of both versions."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from http import HTTPStatus
from socket import IPPROTO_TCP, SHUT_RDWR, TCP_NODELAY

from bottle import HTTPResponse, request
from gevent.pywsgi import WSGIHandler, WSGIServer

from rattanloom.ingress.server import wait_until_closed

# Key of the socket in the WSGI environment.
SOCKET_KEY = "standin.socket"


class NoDelayHandler(WSGIHandler):
    """Serves with Nagle's algorithm disabled, as production servers do."""

    def handle(self) -> None:
        """Serve one connection with ``TCP_NODELAY`` set."""
        self.socket.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        super().handle()


class SocketHandler(NoDelayHandler):
    """Adds the socket to the WSGI environment for ``drop_connection``."""

    def get_environ(self) -> dict:
        """Return the WSGI environment with the socket added."""
        return super().get_environ() | {SOCKET_KEY: self.socket}


def drop_connection() -> None:
    """Close the current request's connection without a response; never return."""
    with suppress(OSError):
        request.environ[SOCKET_KEY].shutdown(SHUT_RDWR)
    raise HTTPResponse(status=HTTPStatus.SERVICE_UNAVAILABLE)


def hold_until_closed() -> None:
    """Leave the current request without a response until the client disconnects.

    Never returns.
    """
    wait_until_closed(request.environ[SOCKET_KEY])
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
