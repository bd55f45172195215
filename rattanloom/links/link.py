"""A link: one TCP connection between two daemons.

Both sides send a hello first; after it, either side may send at any time. Each
message is preceded by its length.
"""

import struct
from collections import deque
from collections.abc import Callable, Iterable
from math import inf
from typing import Protocol

import gevent
from attrs import define, field
from gevent.event import Event
from gevent.socket import IPPROTO_TCP, TCP_NODELAY, socket

from rattanloom.background import run_and_log_failure
from rattanloom.clock import MS_PER_S, Clock
from rattanloom.decision_log import DecisionLog
from rattanloom.links.codec import BadMessageError, decode_message, encode_message
from rattanloom.links.messages import (
    JOB_LEASES_VERSION,
    Hello,
    LeaseProbe,
    LeaseProbeReply,
    Message,
    Ping,
)
from rattanloom.serving.budget import Holding

log = DecisionLog("links")

LENGTH = struct.Struct(">I")
MESSAGE_MAX_BYTES = 1_000_000
# An idle link sends pings at this interval.
PING_INTERVAL_MS = 150
# A daemon that owns zones sends probes at this interval.
PROBE_INTERVAL_MS = 100
# A probe is sent at once for a job that arrives this long after the last answered one.
PROBE_AGE_MAX_MS = 150
# A link that receives no data for this time is closed: two pings in a row are late. So
# is one on which a write takes this time: the peer has stopped reading.
RECEIVE_TIMEOUT_MS = 450
HELLO_TIMEOUT_MS = 400
# A longer first message is refused unread: its sender may be anyone.
HELLO_MAX_BYTES = 65_536
# A longer message is charged to the budget of all clients while it is read.
CHARGED_MESSAGE_BYTES = 16_384
# Most bytes that are read from the socket at once.
READ_BYTES = 65_536
PING = Ping()
PING_CONTENT = encode_message(PING)


NO_MEMORY = "the clients of this process hold too much memory"


class LinkLostError(Exception):
    """Raised when the peer has closed the connection."""


class LinkHandler(Protocol):
    """Receives the events of a link, in the link's reader greenlet."""

    def handle_message(self, link: "Link", message: Message) -> None:
        """Handle a received message; must not block."""

    def handle_lost(self, link: "Link", reason: str) -> None:
        """Handle the end of the link; called once, if a hello was received."""


@define(eq=False, repr=False)
class Link:
    """A link to another daemon.

    ``peer`` is the hello of that daemon, None until it is received. ``dialled`` is
    set if this daemon opened the connection. The link closes if the peer is another
    node than ``expected_node``. ``peer_zones`` has the fencing tokens of the zones that
    the peer last stated to own; it ends with the link, and so with the incarnation.
    ``ping_due_ms`` and ``probe_due_ms`` are when the next ping and the next probe are
    due; ``LinkKeepalive`` sends them, and closes the link at ``lost_at_ms``.
    ``_write_started_ms`` is set during a write. ``_answered_ms`` is when the last
    message was sent that the peer has answered: its hello answers the own one.
    ``holding`` is that of an accepted connection.
    """

    socket: socket
    clock: Clock
    own_hello: Hello
    handler: LinkHandler
    peer: Hello | None = None
    last_received_ms: float = 0
    dialled: bool = False
    expected_node: str | None = None
    peer_zones: dict[str, int] = field(factory=dict)
    holding: Holding | None = None
    closed: bool = False
    closed_ms: float = inf
    ping_due_ms: float = 0
    probe_due_ms: float = 0
    _answered_ms: float = 0
    _close_reason: str = ""
    _write_started_ms: float | None = None
    _outgoing: deque[tuple[Message, bytes]] = field(factory=deque)
    _writable: Event = field(factory=Event)
    _buffer: bytearray = field(factory=bytearray)

    def run(self, on_open: Callable[["Link"], None]) -> None:
        """Exchange hellos, then read messages until the link closes."""
        self.socket.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        writer = gevent.spawn(self._write_all)
        reason = "closed by the peer"
        try:
            hello_sent_ms = self.clock.now_ms()
            self.send(self.own_hello)
            self._read_hello()
            self._answered_ms = hello_sent_ms
            # An unexpected error concerns the first messages; the link stays open.
            run_and_log_failure(on_open, self)
            self._read_all()
        except (OSError, BadMessageError, LinkLostError) as error:
            reason = str(error) or type(error).__name__
            reason = self._close_reason or reason
        finally:
            self.close()
            # The closed link is referred to until the next full garbage collection.
            self._buffer.clear()
            writer.kill(block=False)
        if self.peer is not None:
            self.handler.handle_lost(self, reason)

    def send(self, message: Message) -> None:
        """Queue a message; it is dropped without an error if the link closes first."""
        if not self.closed:
            self._queue(message, encode_frame(message))

    def send_frame(self, message: Message, frame: bytes) -> None:
        """Send an encoded message; write it at once if no data is queued.

        Unlike after ``send``, some of its bytes may have been written if ``unsent``
        returns it.
        """
        if self.closed:
            return
        if not self._is_writing:
            frame = frame[self._write_at_once(frame) :]
        if frame and not self.closed:
            self._queue(message, frame)

    def send_ping(self) -> None:
        """Send a ping, unless other data is about to be written."""
        self.ping_due_ms = self.clock.now_ms() + PING_INTERVAL_MS
        if not self._is_writing:
            self.send_frame(PING, PING_FRAME)

    @property
    def has_job_leases(self) -> bool:
        """Return whether the peer replies to probes and withdraws jobs."""
        return self.peer.protocol_version >= JOB_LEASES_VERSION

    def send_probe(self) -> None:
        """Ask the peer to renew the leases of the jobs that it sent on this link."""
        now_ms = self.clock.now_ms()
        self.probe_due_ms = now_ms + PROBE_INTERVAL_MS
        message = LeaseProbe(now_ms)
        self.send_frame(message, encode_frame(message))

    def needs_probe(self) -> bool:
        """Return whether the last reply is older than the probes allow for."""
        age_ms = self.clock.now_ms() - self._answered_ms
        return self.has_job_leases and age_ms > PROBE_AGE_MAX_MS

    def renewed_ms(self) -> float:
        """Return when the peer last renewed the leases of its jobs on this link.

        It has sent a message since. Data that was on its way for long does not count,
        but for peers of an older build.
        """
        return self._answered_ms if self.has_job_leases else self.last_received_ms

    def unsent(self) -> tuple[Message, ...]:
        """Return the messages of a closed link of which no byte was written."""
        return tuple(message for message, _ in self._outgoing)

    def close(self, reason: str = "closed by this daemon") -> None:
        """Close the connection and drop the queued messages."""
        if not self.closed:
            self.closed, self.closed_ms = True, self.clock.now_ms()
            self._close_reason = reason
            self._writable.set()
            self.socket.close()

    def is_alive(self) -> bool:
        """Return whether the link is open and received data recently."""
        idle_ms = self.clock.now_ms() - self.last_received_ms
        return not self.closed and idle_ms < RECEIVE_TIMEOUT_MS

    @property
    def lost_at_ms(self) -> float:
        """Return when the link is lost unless data is received and written."""
        since_ms = self.last_received_ms
        if self._write_started_ms is not None:
            since_ms = min(since_ms, self._write_started_ms)
        return since_ms + RECEIVE_TIMEOUT_MS

    @property
    def _is_writing(self) -> bool:
        return bool(self._outgoing) or self._write_started_ms is not None

    def _queue(self, message: Message, frame: bytes) -> None:
        self._outgoing.append((message, frame))
        self._writable.set()

    def _write_at_once(self, frame: bytes) -> int:
        """Write what the socket takes without a wait; return the number of bytes."""
        try:
            sent_bytes = self.socket.send(frame, timeout=0.0)
        except BlockingIOError:
            return 0
        except OSError as error:
            self._close_after_failed_write(error)
            return 0
        self.ping_due_ms = self.clock.now_ms() + PING_INTERVAL_MS
        return sent_bytes

    def _write_all(self) -> None:
        while not self.closed:
            self._writable.wait()
            self._writable.clear()
            if self.closed:
                return
            content = b"".join(content for _, content in self._outgoing)
            self._outgoing.clear()
            self._write_started_ms = self.clock.now_ms()
            try:
                self.socket.sendall(content)
            except OSError as error:
                self._close_after_failed_write(error)
                return
            self._write_started_ms = None
            self.ping_due_ms = self.clock.now_ms() + PING_INTERVAL_MS

    def _close_after_failed_write(self, error: OSError) -> None:
        log.info("link_write_failed", reason=str(error))
        self.close()

    def _read_hello(self) -> None:
        if self.holding is not None and not self.holding.begin_request():
            raise LinkLostError(NO_MEMORY)
        with gevent.Timeout(HELLO_TIMEOUT_MS / MS_PER_S, TimeoutError("no hello")):
            hello = decode_message(self._read_content(HELLO_MAX_BYTES))
        if not isinstance(hello, Hello):
            raise BadMessageError("the first message of the peer is not a hello")
        if self.expected_node not in (None, hello.node):
            raise BadMessageError(f"the peer is {hello.node}")
        if self.holding is not None and not self.holding.begin_serving():
            raise LinkLostError(NO_MEMORY)
        # From here on, LinkKeepalive closes the link if it is late.
        self.peer = hello
        self.peer_zones = dict(zip(hello.zones, hello.tokens, strict=True))

    def _read_all(self) -> None:
        while not self.closed:
            content = self._read_content(MESSAGE_MAX_BYTES)
            if content == PING_CONTENT:
                continue
            self._handle(decode_message(content))
            self._give_back(len(content))

    def _handle(self, message: Message) -> None:
        """Reply to a probe; pass on what concerns other components."""
        if isinstance(message, LeaseProbe):
            reply = LeaseProbeReply(message.sent_ms)
            self.send_frame(reply, encode_frame(reply))
            return
        if isinstance(message, LeaseProbeReply) and not self._record_reply(message):
            return
        if not isinstance(message, Ping):
            # An unexpected error concerns one message; the link stays open.
            run_and_log_failure(self.handler.handle_message, self, message)

    def _record_reply(self, reply: LeaseProbeReply) -> bool:
        """Record a reply; return whether the one before was late."""
        was_late = self.needs_probe()
        if self._answered_ms < reply.sent_ms <= self.clock.now_ms():
            self._answered_ms = reply.sent_ms
        return was_late

    def _read_content(self, max_bytes: int) -> bytes:
        (size_bytes,) = LENGTH.unpack(self._read_exactly(LENGTH.size))
        if size_bytes > max_bytes:
            raise BadMessageError(f"message of {size_bytes} bytes is too long")
        if self._is_charged(size_bytes) and not self.holding.take_large(size_bytes):
            raise LinkLostError(NO_MEMORY)
        return self._read_exactly(size_bytes)

    def _is_charged(self, size_bytes: int) -> bool:
        is_client = self.holding is not None and self.peer is not None
        return is_client and size_bytes > CHARGED_MESSAGE_BYTES

    def _give_back(self, size_bytes: int) -> None:
        if self._is_charged(size_bytes):
            self.holding.budget.give_back(self.holding, size_bytes)

    def _read_exactly(self, size_bytes: int) -> bytes:
        while len(self._buffer) < size_bytes:
            chunk = self.socket.recv(READ_BYTES)
            if not chunk:
                raise LinkLostError("closed by the peer")
            self.last_received_ms = self.clock.now_ms()
            self._buffer += chunk
        content = bytes(self._buffer[:size_bytes])
        del self._buffer[:size_bytes]
        return content


def send_to_all(links: Iterable[Link], message: Message) -> None:
    """Send a message over several links; it is encoded once."""
    frame = None
    for link in links:
        frame = frame or encode_frame(message)
        link.send_frame(message, frame)


def encode_frame(message: Message) -> bytes:
    """Return the bytes of a message on a link, its length first."""
    content = encode_message(message)
    return LENGTH.pack(len(content)) + content


PING_FRAME = encode_frame(PING)
