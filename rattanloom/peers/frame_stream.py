"""Frames on one TCP connection, each a length prefix and a sealed message."""

import struct
from collections.abc import Iterator
from contextlib import contextmanager

import gevent
from attrs import define, field
from gevent.lock import Semaphore
from gevent.socket import IPPROTO_TCP, TCP_NODELAY, socket

from rattanloom.keys import Keyring
from rattanloom.link_filter import LinkFilter
from rattanloom.peers.frame_codec import decode_frame, encode_frame
from rattanloom.peers.messages import Frame
from rattanloom.peers.schema import BadMessageError, UnsendableError
from rattanloom.serving.budget import Holding

LENGTH = struct.Struct(">I")
FRAME_MAX_BYTES = 32_000_000
# A longer frame is charged to the budget of all clients while it is read.
CHARGED_FRAME_BYTES = 16_384


@define(eq=False)
class FrameStream:
    """One connection; any greenlet may write, only one may read.

    ``peer_address`` is the other host's listening address; on an accepted
    connection it is empty until the hello arrives. Frames that the link filter
    blocks are dropped without an error. ``holding`` is that of an accepted connection.
    """

    socket: socket
    seal_key: Keyring
    link_filter: LinkFilter
    peer_address: str = ""
    holding: Holding | None = None
    bytes_sent: int = 0
    bytes_received: int = 0
    _write_lock: Semaphore = field(factory=Semaphore)

    def __attrs_post_init__(self) -> None:
        self.socket.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)

    def write(self, frame: Frame) -> None:
        """Send a frame.

        Raises ``OSError`` if the connection fails, and ``UnsendableError``,
        before any byte is sent, if the frame cannot be encoded or is too large.
        """
        content = encode_frame(self.seal_key, frame)
        if len(content) > FRAME_MAX_BYTES:
            raise UnsendableError(f"a frame of {len(content)} bytes is too large")
        if not self.link_filter.may_send(self.peer_address):
            return
        with self._write_lock:
            self.socket.sendall(LENGTH.pack(len(content)) + content)
        self.bytes_sent += LENGTH.size + len(content)

    def read(self, max_bytes: int = FRAME_MAX_BYTES) -> Frame | None:
        """Return the next frame, or None at the end of the connection.

        Raises ``OSError``, also when the socket's time-out passes without data,
        and ``BadMessageError``.
        """
        while True:
            prefix = self._read_exactly(LENGTH.size)
            if prefix is None:
                return None
            (size_bytes,) = LENGTH.unpack(prefix)
            if size_bytes > max_bytes:
                raise BadMessageError(f"a frame of {size_bytes} bytes is too large")
            with self._charged(size_bytes):
                content = self._read_exactly(size_bytes)
                if content is None:
                    return None
                self.bytes_received += LENGTH.size + size_bytes
                if self.link_filter.may_receive(self.peer_address):
                    return decode_frame(self.seal_key, content)

    @contextmanager
    def _charged(self, size_bytes: int) -> Iterator[None]:
        """Charge a large frame while the block runs; raise ``OSError`` if it can't."""
        if self.holding is None or size_bytes <= CHARGED_FRAME_BYTES:
            yield
            return
        if not self.holding.take_large(size_bytes):
            raise OSError("the clients of this process hold too much memory")
        try:
            yield
        finally:
            self.holding.budget.give_back(self.holding, size_bytes)

    def close(self) -> None:
        """Close the connection."""
        self.socket.close()

    def _read_exactly(self, size_bytes: int) -> bytes | None:
        """Return that many bytes, or None if the connection ends before them."""
        chunks = []
        missing_bytes = size_bytes
        while missing_bytes:
            chunk = self.socket.recv(min(missing_bytes, 65_536))
            if not chunk:
                return None
            chunks.append(chunk)
            missing_bytes -= len(chunk)
        return b"".join(chunks)


def write_with_timeout(stream: FrameStream, frame: Frame, timeout_s: float) -> None:
    """Send a frame; raises ``OSError`` also when the peer reads too slowly."""
    with gevent.Timeout(
        timeout_s, TimeoutError("the peer does not read from the connection")
    ):
        stream.write(frame)
