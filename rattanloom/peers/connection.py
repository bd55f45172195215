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

# Unanswered pings after which a connection is closed. As many periods of ``ping_ms``
# are the time-out for connecting, for the hello and for writing a frame.
UNANSWERED_PINGS_MAX = 4

# Periods of ``ping_ms`` with neither a frame nor a pending request, before an idle
# connection is closed. A frame does not reset their number; a period without a frame
# but with a pending request does.
IDLE_PERIODS_MAX = 120


class _NoFrameError(Exception):
    """No frame started within ``ping_ms``."""


class ConnectionLostError(Exception):
    """The connection ended or timed out before the reply arrived.

    ``handed_over`` is true if the peer may have received a byte of the request.
    """

    def __init__(self, reason: str, handed_over: bool = True):
        super().__init__(reason)
        self.handed_over = handed_over


@define(eq=False)
class PeerConnection:
    """An open connection to one incarnation of a peer, ``peer``.

    While requests are pending, a ping is sent after every ``ping_ms`` without
    a frame. After ``UNANSWERED_PINGS_MAX`` unanswered pings the connection is
    closed, however long the requests may still take.
    """

    stream: FrameStream
    peer: MemberRecord
    ping_ms: float
    closed: bool = False
    _request_ids: Iterator[int] = field(factory=lambda: count(1))
    _pending: dict[int, AsyncResult] = field(factory=dict)
    _reader: gevent.Greenlet | None = None
    _unanswered_pings: int = 0
    _idle_periods: int = 0

    def start(self) -> None:
        """Start the greenlet that reads this connection."""
        self._reader = gevent.spawn(self._read_all)

    def request(self, body: Request, timeout_ms: float) -> Reply:
        """Send a request and return its reply.

        Raises ``UnsendableError`` (no byte was sent), ``ConnectionLostError``, or
        ``gevent.Timeout`` (the peer may have received the request).
        """
        if self.closed:
            raise ConnectionLostError("the connection is closed", handed_over=False)
        request_id = next(self._request_ids)
        result = AsyncResult()
        self._pending[request_id] = result
        try:
            self._write(Frame(body, request_id))
            return result.get(timeout=timeout_ms / MS_PER_S)
        finally:
            self._pending.pop(request_id, None)

    def close(self, reason: str) -> None:
        """Close the connection and fail its pending requests."""
        if self.closed:
            return
        self.closed = True
        self.stream.close()
        for result in list(self._pending.values()):
            result.set_exception(ConnectionLostError(reason))
        if self._reader is not None and self._reader is not gevent.getcurrent():
            self._reader.kill(block=False)

    def _write(self, frame: Frame) -> None:
        try:
            write_with_timeout(
                self.stream, frame, UNANSWERED_PINGS_MAX * self.ping_ms / MS_PER_S
            )
        except OSError as error:
            self.close(f"writing failed: {error}")
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
            frame = self._read_for_one_period()
            if frame is not None:
                self._unanswered_pings = 0
                self._deliver(frame)
            else:
                self._on_no_frame()

    def _read_for_one_period(self) -> Frame | None:
        descriptor = self.stream.socket.fileno()
        try:
            wait_read(descriptor, self.ping_ms / MS_PER_S, _NoFrameError())
        except _NoFrameError:
            return None
        frame = self.stream.read()
        if frame is None:
            raise ConnectionLostError("closed by the peer")
        return frame

    def _on_no_frame(self) -> None:
        """Ping if a request is pending; raise ``ConnectionLostError`` at a limit."""
        if self._pending:
            self._idle_periods = 0
            if self._unanswered_pings >= UNANSWERED_PINGS_MAX:
                raise ConnectionLostError("the peer did not reply to the pings")
            self._unanswered_pings += 1
            self._write(Frame(Ping()))
            return
        self._idle_periods += 1
        if self._idle_periods > IDLE_PERIODS_MAX:
            raise ConnectionLostError("idle")

    def _deliver(self, frame: Frame) -> None:
        """Pass a reply to its request; late and unrequested replies are discarded."""
        if isinstance(frame.body, Pong):
            return
        result = self._pending.get(frame.request_id)
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
    timeout_s = UNANSWERED_PINGS_MAX * ping_ms / MS_PER_S
    connection = create_connection(parse_address(address), timeout=timeout_s)
    stream = FrameStream(connection, seal_key, link_filter, address)
    with _closed_on_error(stream):
        write_with_timeout(stream, Frame(Hello(own)), timeout_s)
        with gevent.Timeout(timeout_s, TimeoutError("no hello within the time-out")):
            frame = stream.read()
        if frame is None or not isinstance(frame.body, Hello):
            raise BadMessageError("the first frame is not a hello")
    return PeerConnection(stream, frame.body.record, ping_ms)


@contextmanager
def _closed_on_error(stream: FrameStream) -> Iterator[None]:
    try:
        yield
    except BaseException:
        stream.close()
        raise
