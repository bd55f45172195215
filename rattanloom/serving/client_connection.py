"""Tells whether a client has disconnected while its request is served."""

from select import POLLRDHUP
from socket import socket

import gevent
from attrs import define
from gevent.monkey import get_original
from gevent.socket import wait_read

from rattanloom.clock import MS_PER_S

# That of gevent knows no POLLRDHUP.
poll = get_original("select", "poll")

POLL_MS = 20


@define(eq=False, repr=False)
class ClientConnection:
    """A client's connection while a request of it is served."""

    socket: socket

    def is_closed(self) -> bool:
        """Return whether the client has disconnected, without waiting.

        Data that was not read yet, such as another request, may precede the end.
        """
        descriptor = self.socket.fileno()
        if descriptor < 0:
            return True
        poller = poll()
        poller.register(descriptor, POLLRDHUP)
        return bool(poller.poll(0))

    def wait_until_closed(self) -> None:
        """Wait until the client disconnects."""
        try:
            wait_read(self.socket.fileno())
            while not self.is_closed():
                # Readable by data that is not read before the response.
                gevent.sleep(POLL_MS / MS_PER_S)
        except OSError:
            return
