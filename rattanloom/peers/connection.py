"""One connection to another entry host, shared by many requests."""

from collections.abc import Iterator
from contextlib import contextmanager
from itertools import count

import gevent
from attrs import define, field
from gevent.event import AsyncResult
from gevent.socket import create_connection, wait_read

from rattanloom.clock import MS_PER_S
from rattanloom.keys import Keyring
from rattanloom.link_filter import LinkFilter
from rattanloom.logs import get_log
from rattanloom.peers.addresses import parse_address
from rattanloom.peers.frame_stream import FrameStream, write_with_timeout
from rattanloom.peers.messages import (
    Frame,
    Hello,
    MemberRecord,
    Ping,
    Pong,
    Reply,
    Request,
)
from rattanloom.peers.schema import BadMessageError

log = get_log("peers")

UNANSWERED_PINGS_MAX = 4
IDLE_TIMES = 120


class _QuietError(Exception):
    """Nothing came within the time."""


class ConnectionLostError(Exception):
    """The connection ended or went silent before the answer came.

    ``handed_over`` says whether a byte of the request may have been received.
    """

    def __init__(self, reason: str, handed_over: bool = True):
        super().__init__(reason)
        self.handed_over = handed_over


@define(eq=False)
class PeerConnection:
    """An open connection to one incarnation of a peer.

    While requests wait, a ping goes out after every ``ping_ms`` without a
    frame; a connection without any frame for ``UNANSWERED_PINGS_MAX`` of them
    is given up, however long the requests may still take.
    """

    stream: FrameStream
    peer: MemberRecord
    ping_ms: float
    closed: bool = False
    _numbers: Iterator[int] = field(factory=lambda: count(1))
    _waiting: dict[int, AsyncResult] = field(factory=dict)
    _reader: gevent.Greenlet | None = None
    _unanswered_pings: int = 0
    _idle_times: int = 0

    def start(self) -> None:
        """Start the greenlet that reads this connection."""
        self._reader = gevent.spawn(self._read_all)

    def request(self, body: Request, within_ms: float) -> Reply:
        """Send a request and return its reply.

        Raises ``ConnectionLostError``, after which the request may have been
        received, and ``gevent.Timeout``.
        """
        if self.closed:
            raise ConnectionLostError("the connection was closed", handed_over=False)
        number = next(self._numbers)
        result = AsyncResult()
        self._waiting[number] = result
        try:
            self._write(Frame(body, number))
            return result.get(timeout=within_ms / MS_PER_S)
        finally:
            self._waiting.pop(number, None)

    def close(self, reason: str) -> None:
        """Close the connection and fail the requests that wait on it."""
        if self.closed:
            return
        self.closed = True
        self.stream.close()
        for result in list(self._waiting.values()):
            result.set_exception(ConnectionLostError(reason))
        if self._reader is not None and self._reader is not gevent.getcurrent():
            self._reader.kill(block=False)

    def _write(self, frame: Frame) -> None:
        try:
            write_with_timeout(
                self.stream, frame, UNANSWERED_PINGS_MAX * self.ping_ms / MS_PER_S
            )
        except OSError as error:
            self.close(f"not writable: {error}")
            raise ConnectionLostError(str(error)) from error

    def _read_all(self) -> None:
        reason = "closed by the peer"
        try:
            self._read_frames()
        except (OSError, BadMessageError, ConnectionLostError) as error:
            reason = str(error)
        self.close(reason)

    def _read_frames(self) -> None:
        while not self.closed:
            frame = self._read_within_ping()
            if frame is not None:
                self._unanswered_pings = 0
                self._deliver(frame)
            else:
                self._stay_quiet()

    def _read_within_ping(self) -> Frame | None:
        number = self.stream.socket.fileno()
        try:
            wait_read(number, self.ping_ms / MS_PER_S, _QuietError())
        except _QuietError:
            return None
        frame = self.stream.read()
        if frame is None:
            raise ConnectionLostError("closed by the peer")
        return frame

    def _stay_quiet(self) -> None:
        if self._waiting:
            self._idle_times = 0
            if self._unanswered_pings >= UNANSWERED_PINGS_MAX:
                raise ConnectionLostError("the connection went silent")
            self._unanswered_pings += 1
            self._write(Frame(Ping()))
            return
        self._idle_times += 1
        if self._idle_times > IDLE_TIMES:
            raise ConnectionLostError("idle")

    def _deliver(self, frame: Frame) -> None:
        if isinstance(frame.body, Pong):
            return
        result = self._waiting.get(frame.request_id)
        if result is not None:
            result.set(frame.body)


def open_connection(
    address: str,
    own: MemberRecord,
    seal_key: Keyring,
    link_filter: LinkFilter,
    ping_ms: float,
) -> PeerConnection:
    """Connect and exchange hellos; raises ``OSError`` or ``BadMessageError``."""
    within_s = UNANSWERED_PINGS_MAX * ping_ms / MS_PER_S
    connection = create_connection(parse_address(address), timeout=within_s)
    stream = FrameStream(connection, seal_key, link_filter, address)
    with _closed_on_error(stream):
        write_with_timeout(stream, Frame(Hello(own)), within_s)
        with gevent.Timeout(within_s, TimeoutError("no hello")):
            frame = stream.read()
        if frame is None or not isinstance(frame.body, Hello):
            raise BadMessageError("no hello")
    return PeerConnection(stream, frame.body.record, ping_ms)


@contextmanager
def _closed_on_error(stream: FrameStream) -> Iterator[None]:
    try:
        yield
    except BaseException:
        stream.close()
        raise
