"""Helpers shared by several test files."""

import socket

from attrs import define
from gevent.pool import Pool

from rattanloom.errors import ErrorKind, Failure


@define
class FakeClock:
    """A clock that the test advances by setting ``ms``."""

    ms: float = 0.0

    def now_ms(self):
        return self.ms

    def wall_ms(self):
        return self.ms


class FakeObjects:
    """An object store in memory that counts its reads and fails while ``down``."""

    def __init__(self):
        self.contents = {}
        self.reads = 0
        self.down = False

    def put(self, name, content):
        if self.down:
            return Failure(ErrorKind.PLATFORM_UNREACHABLE, "down")
        self.contents[name] = content
        return None

    def get(self, name):
        self.reads += 1
        if self.down or name not in self.contents:
            return Failure(ErrorKind.NOT_FOUND, "no such object")
        return self.contents[name]


def send_random_requests(address, random, count):
    """Send ``count`` requests of random bytes, some after a valid prefix."""
    prefixes = (b"", b"POST ", b"GET /v1/jobs/", b"POST /v1/jobs HTTP/1.1\r\n")
    payloads = [
        random.choice(prefixes) + random.randbytes(random.randrange(1, 200))
        for _ in range(count)
    ]
    Pool(20).map(lambda payload: send_bytes(address, payload), payloads)


def send_bytes(address, payload):
    """Send bytes over a new connection and read the response."""
    with socket.create_connection(address) as connection:
        connection.settimeout(5)
        try:
            connection.sendall(payload)
            connection.shutdown(socket.SHUT_WR)
            connection.recv(4000)
        except OSError:
            pass
