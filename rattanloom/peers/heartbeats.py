"""Heartbeats over UDP: one greenlet sends to each peer, one receives.

Hosts of one zone send to each other at every beat. Between zones each host
sends to one other host a beat, in turn, and tells of its whole zone.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from itertools import count

import gevent
from attrs import define, evolve, field
from gevent import Greenlet
from gevent.event import Event
from gevent.socket import AF_INET, SOCK_DGRAM, socket

from rattanloom.clock import MS_PER_S
from rattanloom.environment import Environment
from rattanloom.link_filter import LinkFilter
from rattanloom.logs import get_log
from rattanloom.metrics import Metrics
from rattanloom.peers.addresses import format_address, parse_address
from rattanloom.peers.heartbeat_codec import decode_heartbeat, encode_heartbeat
from rattanloom.peers.load_exchange import LoadTeller, LoadView
from rattanloom.peers.membership import KnownMember, Membership
from rattanloom.peers.messages import Heartbeat, LoadPart, MemberRecord
from rattanloom.peers.schema import BadMessageError
from rattanloom.peers.tidings import Tidings
from rattanloom.settings import Seed
from rattanloom.timer import TimerService

log = get_log("peers")

DATAGRAM_MAX_BYTES = 4_096
NEAR_SENDS_PER_BEAT_MAX = 12
FAR_SENDS_PER_BEAT = 1
FAR_INTERVAL_MIN_BEATS = 2
INTRODUCTIONS_PER_PEER = 3
RECEIVES_PER_TURN = 32
JITTER = 0.1
PAUSE_BEATS = 4
ASKS_MAX = 16
ASKING_ADDRESSES_MAX = 64
NAMES_PER_DATAGRAM = 24
NAMES_EVERY_BEATS = 4


@define(eq=False)
class Heartbeats:
    """Sends and receives the heartbeats of one entry host."""

    environment: Environment
    membership: Membership
    teller: LoadTeller
    seeds: tuple[Seed, ...]
    seal_key: bytes
    heartbeat_ms: float
    config_version: Callable[[], int]
    on_newer_config: Callable[[str, int], None]
    link_filter: LinkFilter
    metrics: Metrics
    leaving: bool = False
    beat: int = 1
    bytes_sent: int = 0
    bytes_received: int = 0
    datagrams: int = 0
    views: dict[int, LoadView] = field(factory=dict)
    _tidings: Tidings = field(init=False)
    _socket: socket | None = None
    _tick: Event = field(factory=Event)
    _last_tick_ms: float = 0
    _near_heartbeat: Heartbeat | None = None
    _near_datagram: bytes = b""
    _near_beat: int = 0
    _asks: dict[str, set[int]] = field(factory=dict)
    _names_told: dict[str, int] = field(factory=dict)
    _peers: dict[str, Greenlet] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self._tidings = Tidings(self.membership)

    @contextmanager
    def running(self, timers: TimerService) -> Iterator[None]:
        """Own the socket and the greenlets while the host serves."""
        with socket(AF_INET, SOCK_DGRAM) as udp_socket:
            udp_socket.bind(parse_address(self.membership.own.address))
            self._socket = udp_socket
            self._last_tick_ms = self.environment.clock.now_ms()
            self._on_beat()
            receiver = gevent.spawn(self._receive_all)
            beats = timers.subscribe("peers beat", self.heartbeat_ms, self._on_beat)
            try:
                yield
            finally:
                beats.cancel()
                gevent.killall([receiver, *self._peers.values()])
                self._peers.clear()

    def announce(self) -> None:
        """Send a heartbeat to every peer now."""
        self.beat += 1
        for address in self._destinations():
            self._send(address, self._plain(address))

    def _on_beat(self) -> None:
        now_ms = self.environment.clock.now_ms()
        elapsed_ms = now_ms - self._last_tick_ms
        self._last_tick_ms = now_ms
        if elapsed_ms > PAUSE_BEATS * self.heartbeat_ms:
            log.warning("This process was paused for {:.0f} ms.", elapsed_ms)
            self.metrics.count("peer_pauses")
            self.membership.forgive(elapsed_ms, now_ms)
        self.beat += 1
        self.membership.evaluate(now_ms)
        self.teller.refresh()
        self._drop_old_views()
        self._send_asks()
        self._start_peers()
        tick, self._tick = self._tick, Event()
        tick.set()

    def _drop_old_views(self) -> None:
        for key in list(self.views):
            if self.membership.by_key(key) is None:
                del self.views[key]

    def _destinations(self) -> dict[str, str]:
        """Return the zone of each address to send to."""
        zones = {
            member.record.address: member.record.zone
            for member in self.membership.learned()
        }
        for seed in self.seeds:
            known = self.membership.get(seed.host) is not None
            if not known and seed.host != self.membership.own.host:
                zones.setdefault(seed.address, seed.zone)
        zones.pop(self.membership.own.address, None)
        return zones

    def _start_peers(self) -> None:
        for address in self._destinations():
            peer = self._peers.get(address)
            if peer is None or peer.dead:
                self._peers[address] = gevent.spawn(self._run_peer, address)

    def _run_peer(self, address: str) -> None:
        """Send heartbeats to one address while it is worth sending to."""
        turn = 0
        met = None
        introductions = 0
        while True:
            zones = self._destinations()
            if address not in zones:
                break
            member = self._member_at(address)
            incarnation = member.record.incarnation if member else None
            if incarnation is None or incarnation != met:
                met, introductions = incarnation, INTRODUCTIONS_PER_PEER
            if zones[address] == self.membership.own.zone:
                self._send_near(address, introductions > 0)
                self._wait_beats(self._near_beats(zones))
            else:
                plain = self._plain(address)
                heartbeat = self._tidings.far(plain, self.teller, turn, self._now_ms())
                self._send(address, self._introducing(heartbeat, introductions > 0))
                turn += 1
                self._sleep_about(plain.interval_ms)
            introductions -= 1
        self._peers.pop(address, None)

    def _wait_beats(self, beats: int) -> None:
        for _ in range(beats):
            self._tick.wait()

    def _sleep_about(self, interval_ms: float) -> None:
        jitter = self.environment.random.uniform(1 - JITTER, 1 + JITTER)
        gevent.sleep(interval_ms * jitter / MS_PER_S)

    def _near_beats(self, zones: dict[str, str]) -> int:
        return -(-self._near_count(zones) // NEAR_SENDS_PER_BEAT_MAX)

    def _near_count(self, zones: dict[str, str]) -> int:
        return sum(zone == self.membership.own.zone for zone in zones.values())

    def _interval_ms(self, address: str) -> float:
        zones = self._destinations()
        if zones.get(address) == self.membership.own.zone:
            return self._near_beats(zones) * self.heartbeat_ms
        far_count = len(zones) - self._near_count(zones)
        beats = max(far_count / FAR_SENDS_PER_BEAT, FAR_INTERVAL_MIN_BEATS)
        return beats * self.heartbeat_ms

    def _member_at(self, address: str) -> KnownMember | None:
        for member in self.membership.learned():
            if member.record.address == address:
                return member
        return None

    def _send_near(self, address: str, introduce: bool) -> None:
        if self._near_beat != self.beat:
            self._near_beat = self.beat
            self._near_heartbeat = self._tidings.near(
                self._plain(address), self.teller, self._now_ms()
            )
            self._near_datagram = self._encode(self._near_heartbeat)
        if introduce:
            self._send(address, self._introducing(self._near_heartbeat, True))
        else:
            self._send_datagram(address, self._near_datagram)

    def _plain(self, address: str) -> Heartbeat:
        unheard = ()
        receiver = self._member_at(address)
        if receiver is not None and not receiver.heard:
            unheard = (receiver.record.key,)
        return Heartbeat(
            self.membership.own.key,
            self.beat,
            int(self._interval_ms(address)),
            self.config_version(),
            self.leaving,
            unheard=unheard,
        )

    def _introducing(self, heartbeat: Heartbeat, introduce: bool) -> Heartbeat:
        if not introduce:
            return heartbeat
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
        for number in count():
            if number % RECEIVES_PER_TURN == 0:
                gevent.sleep(0)
            try:
                datagram, source = self._socket.recvfrom(DATAGRAM_MAX_BYTES)
            except OSError as error:
                self.metrics.count("peer_receives_failed", type(error).__name__)
                continue
            self.bytes_received += len(datagram)
            self.datagrams += 1
            address = format_address(source)
            if not self.link_filter.may_hear(address):
                continue
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
        sender = self.membership.hear(heartbeat, now_ms)
        self._note_unknown(heartbeat, address)
        if sender is not None:
            self._take_load(sender, heartbeat, address)
            if heartbeat.config_version > self.config_version():
                self.on_newer_config(sender.record.host, heartbeat.config_version)
        if heartbeat.asks:
            self._answer_asks(heartbeat.asks, address)

    def _take_load(
        self, sender: KnownMember, heartbeat: Heartbeat, address: str
    ) -> None:
        view = self.views.setdefault(heartbeat.sender, LoadView())
        view.merge(heartbeat.beat, heartbeat.load)
        if view.lacks_names:
            view.lacks_names = False
            self._ask(address, heartbeat.sender)

    def _note_unknown(self, heartbeat: Heartbeat, address: str) -> None:
        keys = [heartbeat.sender, *(told.key for told in heartbeat.told)]
        for key in keys:
            own = key == self.membership.own.key
            if not own and self.membership.by_key(key) is None:
                self._ask(address, key)

    def _ask(self, address: str, key: int) -> None:
        if address not in self._asks and len(self._asks) >= ASKING_ADDRESSES_MAX:
            return
        keys = self._asks.setdefault(address, set())
        if len(keys) < ASKS_MAX:
            keys.add(key)

    def _send_asks(self) -> None:
        asks, self._asks = self._asks, {}
        for address, keys in asks.items():
            heartbeat = evolve(self._plain(address), asks=tuple(sorted(keys)))
            self._send(address, self._introducing(heartbeat, True))

    def _answer_asks(self, asks: tuple[int, ...], address: str) -> None:
        records = []
        for key in asks[:ASKS_MAX]:
            if key == self.membership.own.key:
                records.append(self.membership.own)
                self._tell_names(address)
            else:
                member = self.membership.by_key(key)
                records += [member.record] if member else []
        if records:
            self._introduce_to(address, tuple(records))

    def _introduce_to(self, address: str, records: tuple[MemberRecord, ...]) -> None:
        plain = self._plain(address)
        self._send(address, evolve(plain, introductions=records))

    def _tell_names(self, address: str) -> None:
        if self.beat - self._names_told.get(address, 0) < NAMES_EVERY_BEATS:
            return
        if len(self._names_told) >= ASKING_ADDRESSES_MAX:
            self._names_told.clear()
        self._names_told[address] = self.beat
        for start in range(0, self.teller.name_count, NAMES_PER_DATAGRAM):
            part: LoadPart = self.teller.names(start, NAMES_PER_DATAGRAM)
            heartbeat = evolve(self._plain(address), load=part)
            self._send(address, heartbeat)
