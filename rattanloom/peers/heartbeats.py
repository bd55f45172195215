"""Heartbeats over UDP: one greenlet sends to each peer, one receives.

Hosts of one zone send to each other at every beat or every few. Between zones
each host sends to a few others a beat, in turn, and tells of its whole zone.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import gevent
from attrs import define, evolve, field
from gevent import Greenlet
from gevent.event import Event
from gevent.socket import AF_INET, SOCK_DGRAM, socket

from rattanloom.clock import MS_PER_S
from rattanloom.environment import Environment
from rattanloom.keys import Keyring
from rattanloom.link_filter import LinkFilter
from rattanloom.logs import get_log
from rattanloom.metrics import Metrics
from rattanloom.peers.addresses import format_address, parse_address
from rattanloom.peers.gossip import Gossip
from rattanloom.peers.heartbeat_codec import decode_heartbeat, encode_heartbeat
from rattanloom.peers.load_exchange import LoadReporter, PeerLoad
from rattanloom.peers.membership import KnownMember, Membership
from rattanloom.peers.messages import Heartbeat, MemberRecord
from rattanloom.peers.record_requests import REQUESTED_KEYS_MAX, RecordRequests
from rattanloom.peers.schema import BadMessageError
from rattanloom.peers.send_schedule import SendSchedule
from rattanloom.timer import TimerService

log = get_log("peers")

DATAGRAM_MAX_BYTES = 4_096
RECEIVES_PER_TURN = 64
RECEIVES_PER_BEAT = 2
INTRODUCTIONS_PER_PEER = 3
PAUSE_BEATS = 1
FORGOTTEN_AFTER_BEATS = 240


@define(eq=False)
class Heartbeats:
    """Sends and receives the heartbeats of one entry host."""

    environment: Environment
    membership: Membership
    load_reporter: LoadReporter
    destinations: SendSchedule
    seal_key: Keyring
    config_version: Callable[[], int]
    on_newer_config: Callable[[str, int], None]
    link_filter: LinkFilter
    metrics: Metrics
    leaving: bool = False
    beat: int = 1
    bytes_sent: int = 0
    bytes_received: int = 0
    datagrams: int = 0
    peer_loads: dict[int, PeerLoad] = field(factory=dict)
    _gossip: Gossip = field(init=False)
    _socket: socket | None = None
    _tick: Event = field(factory=Event)
    _far_turns: dict[str, Event] = field(factory=dict)
    _last_tick_ms: float = 0
    _near_heartbeat: Heartbeat | None = None
    _near_datagram: bytes = b""
    _asks: RecordRequests = field(factory=RecordRequests)
    _peers: dict[str, Greenlet] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self._gossip = Gossip(
            self.membership, self.load_reporter, self.environment.random
        )

    @contextmanager
    def running(self, timers: TimerService) -> Iterator[None]:
        """Own the socket and the greenlets while the host serves."""
        interval_ms = self.membership.heartbeat_ms
        with socket(AF_INET, SOCK_DGRAM) as udp_socket:
            udp_socket.setblocking(False)
            udp_socket.bind(parse_address(self.membership.own.address))
            self._socket = udp_socket
            self._last_tick_ms = self._now_ms()
            self._on_beat()
            receiver = gevent.spawn(self._receive_all)
            beats = timers.subscribe("peers beat", interval_ms, self._on_beat)
            try:
                yield
            finally:
                beats.cancel()
                gevent.killall([receiver, *self._peers.values()])
                self._peers.clear()

    def announce(self) -> None:
        """Send a heartbeat to every peer now."""
        self.beat += 1
        for address in self.destinations.zones:
            self._send(address, self._plain(address))

    def _on_beat(self) -> None:
        now_ms = self._now_ms()
        self._allow_for_pause(now_ms)
        self.beat += 1
        self._send_asks()
        if self.beat % self.destinations.local_interval_rounds == 0:
            self._on_near_beat(now_ms)
        for address in self.destinations.next_remote():
            if address in self._far_turns:
                self._far_turns[address].set()

    def _on_near_beat(self, now_ms: float) -> None:
        self.membership.update_states(now_ms)
        self.destinations.refresh()
        self._gossip.refresh()
        self._near_heartbeat = None
        self._drop_old_views()
        self._start_peers()
        tick, self._tick = self._tick, Event()
        tick.set()

    def _allow_for_pause(self, now_ms: float) -> None:
        late_ms = now_ms - self._last_tick_ms - self.membership.heartbeat_ms
        self._last_tick_ms = now_ms
        if late_ms > PAUSE_BEATS * self.membership.heartbeat_ms:
            log.warning("This process was paused for {:.0f} ms.", late_ms)
            self.metrics.count("peer_pauses")
            self.membership.exclude_pause(late_ms, now_ms)

    def _drop_old_views(self) -> None:
        for key in list(self.peer_loads):
            if self.membership.by_key(key) is None:
                del self.peer_loads[key]

    def _start_peers(self) -> None:
        for address in self.destinations.zones:
            peer = self._peers.get(address)
            if peer is None or peer.dead:
                self._peers[address] = gevent.spawn(self._run_peer, address)

    def _run_peer(self, address: str) -> None:
        """Send heartbeats to one address while it is worth sending to."""
        met = None
        introductions = 0
        turn = 0
        while address in self.destinations.zones:
            member = self.destinations.member_at(address)
            incarnation = member.record.incarnation if member else None
            if incarnation is None or incarnation != met:
                met, introductions = incarnation, INTRODUCTIONS_PER_PEER
            if self.destinations.is_local(address):
                self._send_near(address, introductions > 0)
                self._tick.wait()
            else:
                self._send_far(address, turn, introductions > 0)
                turn += 1
                self._await_turn(address)
            introductions -= 1
        self._peers.pop(address, None)

    def _await_turn(self, address: str) -> None:
        turn = self._far_turns[address] = Event()
        try:
            turn.wait(FORGOTTEN_AFTER_BEATS * self.membership.heartbeat_ms / MS_PER_S)
        finally:
            del self._far_turns[address]

    def _send_near(self, address: str, introduce: bool) -> None:
        """Send what all hosts of this zone are told; it is encoded once."""
        if self._near_heartbeat is None:
            plain = self._plain(address)
            self._near_heartbeat = self._gossip.near(plain)
            self._near_datagram = self._encode(self._near_heartbeat)
        if introduce:
            self._send(address, self._introducing(self._near_heartbeat))
        else:
            self._send_datagram(address, self._near_datagram)

    def _send_far(self, address: str, turn: int, introduce: bool) -> None:
        plain = self._plain(address)
        often = self.destinations.sends_remote_often
        heartbeat = self._gossip.far(plain, turn, often)
        self._send(address, self._introducing(heartbeat) if introduce else heartbeat)

    def _plain(self, address: str) -> Heartbeat:
        unheard = ()
        receiver = self.destinations.member_at(address)
        if receiver is not None and not receiver.is_received:
            unheard = (receiver.record.key,)
        return Heartbeat(
            self.membership.own.key,
            self.beat,
            int(self.destinations.interval_ms(address)),
            self.config_version(),
            self.leaving,
            unheard=unheard,
        )

    def _introducing(self, heartbeat: Heartbeat) -> Heartbeat:
        return evolve(heartbeat, introductions=(self.membership.own,))

    def _now_ms(self) -> float:
        return self.environment.clock.now_ms()

    def _encode(self, heartbeat: Heartbeat) -> bytes:
        return encode_heartbeat(self.seal_key, heartbeat)

    def _send(self, address: str, heartbeat: Heartbeat) -> None:
        self._send_datagram(address, self._encode(heartbeat))

    def _send_datagram(self, address: str, datagram: bytes) -> None:
        if not self.link_filter.may_send(address):
            return
        try:
            self._socket.sendto(datagram, parse_address(address))
        except OSError as error:
            self.metrics.count("peer_sends_failed", type(error).__name__)
            return
        self.bytes_sent += len(datagram)
        self.datagrams += 1

    def _receive_all(self) -> None:
        """Take in what has arrived a few times a beat: each wake-up costs."""
        interval_s = self.membership.heartbeat_ms / RECEIVES_PER_BEAT / MS_PER_S
        while True:
            waiting = self._receive_some()
            gevent.sleep(0 if waiting else interval_s)

    def _receive_some(self) -> bool:
        """Take in a bounded number of datagrams; say whether more may wait."""
        for _ in range(RECEIVES_PER_TURN):
            try:
                datagram, source = self._socket.recvfrom(DATAGRAM_MAX_BYTES)
            except BlockingIOError:
                return False
            except OSError as error:
                self.metrics.count("peer_receives_failed", type(error).__name__)
                continue
            self.bytes_received += len(datagram)
            self.datagrams += 1
            address = format_address(source)
            if self.link_filter.may_receive(address):
                self._receive_safely(datagram, address)
        return True

    def _receive_safely(self, datagram: bytes, address: str) -> None:
        try:
            self._receive(datagram, address)
        except Exception as error:
            self.metrics.count("peer_receives_failed", type(error).__name__)
            log.error("A heartbeat could not be taken in: {!r}.", error)

    def _receive(self, datagram: bytes, address: str) -> None:
        try:
            heartbeat = decode_heartbeat(self.seal_key, datagram)
        except BadMessageError:
            self.metrics.count("peer_datagrams_refused")
            return
        if heartbeat.sender == self.membership.own.key:
            return
        now_ms = self._now_ms()
        for record in heartbeat.introductions:
            newer = self.membership.introduce(record, now_ms)
            if newer is not None:
                self._introduce_to(address, (newer,))
        sender = self.membership.merge_heartbeat(heartbeat, now_ms)
        self._note_unknown(heartbeat, address)
        if sender is not None:
            self._take_load(sender, heartbeat)
            if heartbeat.config_version > self.config_version():
                self.on_newer_config(sender.record.host, heartbeat.config_version)
        if heartbeat.asks:
            self._answer_asks(heartbeat.asks, address)

    def _take_load(self, sender: KnownMember, heartbeat: Heartbeat) -> None:
        view = self.peer_loads.setdefault(heartbeat.sender, PeerLoad())
        view.merge(heartbeat.beat, heartbeat.load)
        if view.is_missing_names:
            view.is_missing_names = False
            near = sender.record.zone == self.membership.own.zone
            self._asks.request_names(sender.record.address, heartbeat.sender, near)

    def _note_unknown(self, heartbeat: Heartbeat, address: str) -> None:
        own_key = self.membership.own.key
        for key in [heartbeat.sender, *(told.key for told in heartbeat.told)]:
            if key != own_key and self.membership.by_key(key) is None:
                self._asks.request_record(address, key)

    def _send_asks(self) -> None:
        for address, keys in self._asks.take(self.beat).items():
            heartbeat = evolve(self._plain(address), asks=keys)
            self._send(address, self._introducing(heartbeat))

    def _answer_asks(self, asks: tuple[int, ...], address: str) -> None:
        records = []
        for key in asks[:REQUESTED_KEYS_MAX]:
            if key == self.membership.own.key:
                records.append(self.membership.own)
                self._tell_names(address)
            else:
                member = self.membership.by_key(key)
                records += [member.record] if member else []
        if records:
            self._introduce_to(address, tuple(records))

    def _introduce_to(self, address: str, records: tuple[MemberRecord, ...]) -> None:
        self._send(address, evolve(self._plain(address), introductions=records))

    def _tell_names(self, address: str) -> None:
        if not self._asks.allow_names_reply(address, self.beat):
            return
        for part in self.load_reporter.name_updates():
            self._send(address, evolve(self._plain(address), load=part))
