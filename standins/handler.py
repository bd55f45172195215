"""The HTTP handler that every stand-in builds on."""

from socket import IPPROTO_TCP, TCP_NODELAY

from gevent.pywsgi import WSGIHandler


class NoDelayHandler(WSGIHandler):
    """Sends replies at once, as a production server does."""

    def handle(self) -> None:
        """Serve one connection without Nagle's delay."""
        self.socket.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        super().handle()
