"""The HTTP handlers that every stand-in builds on."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from http import HTTPStatus
from socket import IPPROTO_TCP, SHUT_RDWR, TCP_NODELAY

from bottle import HTTPResponse, request
from gevent.pywsgi import WSGIHandler, WSGIServer

SOCKET_KEY = "standin.socket"


class NoDelayHandler(WSGIHandler):
    """Sends replies at once, as a production server does."""

    def handle(self) -> None:
        """Serve one connection without Nagle's delay."""
        self.socket.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        super().handle()


class SocketHandler(NoDelayHandler):
    """Gives the application its connection, so that it can drop it."""

    def get_environ(self) -> dict:
        """Return the WSGI environment with the socket added."""
        return super().get_environ() | {SOCKET_KEY: self.socket}


def drop_connection() -> None:
    """Close the connection of the present request, without an answer."""
    request.environ[SOCKET_KEY].shutdown(SHUT_RDWR)
    raise HTTPResponse(status=HTTPStatus.SERVICE_UNAVAILABLE)


@contextmanager
def serving_at(
    address: str, application: Callable, log: object = None
) -> Iterator[WSGIServer]:
    """Serve an application at ``address`` (host:port; port 0 takes a free one)."""
    server = WSGIServer(
        address, application, handler_class=SocketHandler, log=log, error_log=log
    )
    server.start()
    try:
        yield server
    finally:
        server.stop(timeout=0)
