"""Crowds of clients that break the limits, and what they make a process hold."""

import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from itertools import chain, repeat
from pathlib import Path

import gevent
from attrs import define, field, frozen

from experiments.cluster import Process

# A client that could send nothing for this long holds its connection open.
BLOCKED_S = 1.5
# Of one client, however little it could send at a time.
SENDING_MAX_S = 8.0
SAMPLE_S = 0.05
PIECE_BYTES = 65_536
CONNECT_TIMEOUT_S = 5.0
MB = 1_000_000


@frozen
class Shape:
    """What each of ``clients`` sends: ``pieces`` in order, and then nothing."""

    name: str
    clients: int
    pieces: Callable[[], Iterator[bytes]]


@define(eq=False)
class Usage:
    """The largest memory, in bytes, and number of descriptors seen of a process."""

    process: Process
    memory_bytes: int = 0
    descriptors: int = 0
    _ip: str = field(init=False)

    def __attrs_post_init__(self) -> None:
        host = self.process.address.rpartition(":")[0]
        self._ip = socket.inet_aton(host)[::-1].hex().upper()

    def sample_all(self, ports: frozenset[int]) -> None:
        """Sample until the process or this greenlet ends."""
        while self.process.is_running:
            self.sample(ports)
            gevent.sleep(SAMPLE_S)

    def sample(self, ports: frozenset[int]) -> None:
        """Add up resident, temporary and sockets' bytes; count the descriptors."""
        folder = Path("/proc", str(self.process.popen.pid))
        try:
            status = (folder / "status").read_text()
            descriptors = list((folder / "fd").iterdir())
            temporary = sum(map(_deleted_file_bytes, descriptors))
        except (FileNotFoundError, ProcessLookupError):
            return
        resident = int(status.partition("VmRSS:")[2].split()[0]) * 1024
        memory = resident + temporary + self._queued_bytes(ports)
        self.memory_bytes = max(self.memory_bytes, memory)
        self.descriptors = max(self.descriptors, len(descriptors))

    def _queued_bytes(self, ports: frozenset[int]) -> int:
        """Return what the sockets hold: unread data, and answers not taken yet."""
        rows = Path("/proc/net/tcp").read_text().splitlines()[1:]
        total = 0
        for row in rows:
            _, local, _, state, queues, *_ = row.split()
            ip, _, port = local.partition(":")
            is_listening = state == "0A"  # its queue counts connections
            if ip == self._ip and int(port, 16) in ports and not is_listening:
                total += sum(int(queue, 16) for queue in queues.split(":"))
        return total


def _deleted_file_bytes(descriptor: Path) -> int:
    try:
        path = str(descriptor.readlink())
        is_temporary = path.startswith("/tmp/") and path.endswith("(deleted)")
        return descriptor.stat().st_size if is_temporary else 0
    except OSError:
        return 0


@contextmanager
def pressing(shape: Shape, address: str, process: Process) -> Iterator[Usage]:
    """Send what a shape says, and hold the connections open during the block."""
    host, _, port = address.rpartition(":")
    usage = Usage(process)
    sampler = gevent.spawn(usage.sample_all, frozenset({int(port)}))
    clients = [
        gevent.spawn(_send_all, (host, int(port)), shape.pieces())
        for _ in range(shape.clients)
    ]
    connections = [client.get() for client in clients]
    try:
        yield usage
    finally:
        for connection in filter(None, connections):
            connection.close()
        sampler.kill()


def _send_all(
    address: tuple[str, int], pieces: Iterator[bytes]
) -> socket.socket | None:
    """Send the pieces until the server takes no more; return the open connection."""
    try:
        connection = socket.create_connection(address, CONNECT_TIMEOUT_S)
    except OSError:
        return None
    connection.settimeout(BLOCKED_S)
    try:
        with gevent.Timeout(SENDING_MAX_S, TimeoutError):
            for piece in pieces:
                connection.sendall(piece)
    except TimeoutError:
        return connection
    except OSError:
        connection.close()
        return None
    return connection


def repeated(piece: bytes, total_bytes: int) -> Iterator[bytes]:
    """Return a piece again and again, in sends of about ``PIECE_BYTES``."""
    count = max(1, PIECE_BYTES // len(piece))
    sends = total_bytes // (len(piece) * count) + 1
    return repeat(piece * count, sends)


def head_of_long_lines() -> Iterator[bytes]:
    """Return a head of 99 lines of 60 KB, which does not end."""
    lines = (b"X-%d: %b\r\n" % (number, b"x" * 60_000) for number in range(99))
    return chain([b"GET /readyz HTTP/1.1\r\nHost: desk.example\r\n"], lines)


def head_of_short_lines() -> Iterator[bytes]:
    """Return a head of lines of 1 KB, which does not end."""
    return chain(
        [b"GET / HTTP/1.1\r\n"], repeated(b"X: %b\r\n" % (b"x" * 1024), 4 * MB)
    )


def long_request_line() -> Iterator[bytes]:
    """Return a request line that does not end."""
    return chain([b"GET /"], repeated(b"x" * PIECE_BYTES, 4 * MB))


def empty_lines() -> Iterator[bytes]:
    """Return empty lines before a request that does not come."""
    return repeated(b"\r\n", 4 * MB)


def short_body(
    path: str, length: int, host: str = "desk.example"
) -> Callable[[], Iterator[bytes]]:
    """Return bodies of a length, of which the last byte is missing."""
    head = f"POST {path} HTTP/1.1\r\nHost: {host}\r\nContent-Length: {length}\r\n\r\n"
    return lambda: iter([head.encode() + b"x" * (length - 1)])


def chunked_body(path: str, length: int, chunk: int) -> Callable[[], Iterator[bytes]]:
    """Return bodies of chunks, of which the last one is missing."""
    head = (
        f"POST {path} HTTP/1.1\r\nHost: desk.example\r\nTransfer-Encoding: chunked\r\n"
    )
    piece = b"%x\r\n%b\r\n" % (chunk, b"x" * chunk)
    return lambda: iter([head.encode() + b"\r\n", piece * (length // chunk)])


def unread_answers(
    request: bytes, total_bytes: int = PIECE_BYTES
) -> Callable[[], Iterator[bytes]]:
    """Return complete requests, one after the other; nobody reads the answers."""
    return lambda: repeated(request, total_bytes)


def nothing() -> Iterator[bytes]:
    """Return nothing to send."""
    return iter(())


def frame_short_of_its_end(length: int) -> Callable[[], Iterator[bytes]]:
    """Return a length prefix and all bytes of the message but the last one."""
    prefix = length.to_bytes(4, "big")
    return lambda: chain(
        [prefix], repeat(b"x" * PIECE_BYTES, (length - 1) // PIECE_BYTES)
    )
