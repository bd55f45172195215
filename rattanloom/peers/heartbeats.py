"""Heartbeats over UDP: one greenlet for each address sends, one receives.

A host sends to all local hosts every round or every few rounds, and to a few
remote hosts a round, in turn.
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

DATAGRAM_MAX_BYTES = 4_096  # a longer datagram is truncated, then refused
DATAGRAMS_PER_WAKEUP = 64  # of the receiving greenlet, before it yields
WAKEUPS_PER_ROUND = 2

# The first heartbeats to each new incarnation carry this host's record.
INTRODUCTIONS_PER_PEER = 3

# A round that starts late by more than this counts as a pause of the process.
PAUSE_ROUNDS = 1

# Longest wait of a sender for its turn; then it sends, or ends if its address is no
# longer scheduled.
TURN_TIMEOUT_ROUNDS = 240


@define(eq=False)
class Heartbeats:
    """Sends and receives the heartbeats of one entry host.

    ``sequence`` also grows at each announcement. ``datagrams`` counts those sent and
    received. ``peer_loads`` is keyed by the incarnation's key.
    """

    environment: Environment
    membership: Membership
    load_reporter: LoadReporter
    schedule: SendSchedule
    seal_key: Keyring
    config_version: Callable[[], int]
    on_newer_config: Callable[[str, int], None]
    link_filter: LinkFilter
    metrics: Metrics
    leaving: bool = False
    sequence: int = 1
    bytes_sent: int = 0
    bytes_received: int = 0
    datagrams: int = 0
    peer_loads: dict[int, PeerLoad] = field(factory=dict)
    _gossip: Gossip = field(init=False)
    _socket: socket | None = None
    _next_local_round: Event = field(factory=Event)
    _remote_turns: dict[str, Event] = field(factory=dict)
    _last_round_ms: float = 0
    _local_heartbeat: Heartbeat | None = None
    _local_datagram: bytes = b""
    _record_requests: RecordRequests = field(factory=RecordRequests)
    _senders: dict[str, Greenlet] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self._gossip = Gossip(
            self.membership, self.load_reporter, self.environment.random
        )

    @contextmanager
    def running(self, timers: TimerService) -> Iterator[None]:
        """Send and receive heartbeats until the context exits."""
        interval_ms = self.membership.heartbeat_ms
        with socket(AF_INET, SOCK_DGRAM) as udp_socket:
            udp_socket.setblocking(False)
            udp_socket.bind(parse_address(self.membership.own.address))
            self._socket = udp_socket
            self._last_round_ms = self._now_ms()
            self._on_round()
            receiver = gevent.spawn(self._receive_all)
            subscription = timers.subscribe("peers beat", interval_ms, self._on_round)
            try:
                yield
            finally:
                subscription.cancel()
                gevent.killall([receiver, *self._senders.values()])
                self._senders.clear()

    def announce(self) -> None:
        """Send a heartbeat without load to every peer now, between two rounds."""
        self.sequence += 1
        for address in self.schedule.zone_by_address:
            self._send(address, self._base_heartbeat(address))

    def _on_round(self) -> None:
        """Start a round: send record requests and wake the senders that are due."""
        now_ms = self._now_ms()
        self._allow_for_pause(now_ms)
        self.sequence += 1
        self._send_record_requests()
        if self.sequence % self.schedule.local_interval_rounds == 0:
            self._on_local_round(now_ms)
        for address in self.schedule.next_remote_addresses():
            if address in self._remote_turns:
                self._remote_turns[address].set()

    def _on_local_round(self, now_ms: float) -> None:
        """Update members, schedule and load, then wake the senders to local hosts."""
        self.membership.update_states(now_ms)
        self.schedule.refresh()
        self._gossip.refresh()
        self._local_heartbeat = None
        self._drop_old_loads()
        self._start_senders()
        finished_round, self._next_local_round = self._next_local_round, Event()
        finished_round.set()

    def _allow_for_pause(self, now_ms: float) -> None:
        late_ms = now_ms - self._last_round_ms - self.membership.heartbeat_ms
        self._last_round_ms = now_ms
        if late_ms > PAUSE_ROUNDS * self.membership.heartbeat_ms:
            log.warning("This process was paused for {:.0f} ms.", late_ms)
            self.metrics.count("peer_pauses")
            self.membership.exclude_pause(late_ms, now_ms)

    def _drop_old_loads(self) -> None:
        for key in list(self.peer_loads):
            if self.membership.by_key(key) is None:
                del self.peer_loads[key]

    def _start_senders(self) -> None:
        for address in self.schedule.zone_by_address:
            sender = self._senders.get(address)
            if sender is None or sender.dead:
                self._senders[address] = gevent.spawn(self._send_to_peer, address)

    def _send_to_peer(self, address: str) -> None:
        """Send heartbeats to one address while the schedule lists it.

        Every heartbeat to a seed that is not yet a member carries this host's record.
        """
        introduced_to = None
        introductions = 0
        turn = 0
        while address in self.schedule.zone_by_address:
            member = self.schedule.member_at(address)
            incarnation = member.record.incarnation if member else None
            if incarnation is None or incarnation != introduced_to:
                introduced_to, introductions = incarnation, INTRODUCTIONS_PER_PEER
            if self.schedule.is_local(address):
                self._send_local(address, introductions > 0)
                self._next_local_round.wait()
            else:
                self._send_remote(address, turn, introductions > 0)
                turn += 1
                self._await_turn(address)
            introductions -= 1
        self._senders.pop(address, None)

    def _await_turn(self, address: str) -> None:
        turn = self._remote_turns[address] = Event()
        try:
            turn.wait(TURN_TIMEOUT_ROUNDS * self.membership.heartbeat_ms / MS_PER_S)
        finally:
            del self._remote_turns[address]

    def _send_local(self, address: str, introduce: bool) -> None:
        """Send the heartbeat for all local hosts; it is encoded once a local round."""
        if self._local_heartbeat is None:
            base = self._base_heartbeat(address)
            self._local_heartbeat = self._gossip.for_local(base)
            self._local_datagram = self._encode(self._local_heartbeat)
        if introduce:
            self._send(address, self._with_introduction(self._local_heartbeat))
        else:
            self._send_datagram(address, self._local_datagram)

    def _send_remote(self, address: str, turn: int, introduce: bool) -> None:
        base = self._base_heartbeat(address)
        few_receivers = self.schedule.has_few_remote_hosts
        heartbeat = self._gossip.for_remote(base, turn, few_receivers)
        self._send(
            address, self._with_introduction(heartbeat) if introduce else heartbeat
        )

    def _base_heartbeat(self, address: str) -> Heartbeat:
        """Return a heartbeat to an address, without relayed members and load."""
        unheard = ()
        receiver = self.schedule.member_at(address)
        if receiver is not None and not receiver.is_received_here:
            unheard = (receiver.record.key,)
        return Heartbeat(
            self.membership.own.key,
            self.sequence,
            int(self.schedule.interval_ms(address)),
            self.config_version(),
            self.leaving,
            unheard=unheard,
        )

    def _with_introduction(self, heartbeat: Heartbeat) -> Heartbeat:
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
        """Receive in batches a few times a round: each wake-up costs processor time."""
        interval_s = self.membership.heartbeat_ms / WAKEUPS_PER_ROUND / MS_PER_S
        while True:
            waiting = self._receive_some()
            gevent.sleep(0 if waiting else interval_s)

    def _receive_some(self) -> bool:
        """Receive a bounded number of datagrams; return whether more may be waiting."""
        for _ in range(DATAGRAMS_PER_WAKEUP):
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
            log.error("Processing a heartbeat failed: {!r}.", error)

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
            newer = self.membership.merge_record(record, now_ms)
            if newer is not None:
                self._send_records(address, (newer,))
        sender = self.membership.merge_heartbeat(heartbeat, now_ms)
        self._request_unknown_records(heartbeat, address)
        if sender is not None:
            self._merge_load(sender, heartbeat)
            if heartbeat.config_version > self.config_version():
                self.on_newer_config(sender.record.host, heartbeat.config_version)
        if heartbeat.asks:
            self._reply_to_requests(heartbeat.asks, address)

    def _merge_load(self, sender: KnownMember, heartbeat: Heartbeat) -> None:
        peer_load = self.peer_loads.setdefault(heartbeat.sender, PeerLoad())
        peer_load.merge(heartbeat.beat, heartbeat.load)
        if peer_load.is_missing_names:
            peer_load.is_missing_names = False
            is_local = sender.record.zone == self.membership.own.zone
            self._record_requests.request_names(
                sender.record.address, heartbeat.sender, is_local
            )

    def _request_unknown_records(self, heartbeat: Heartbeat, address: str) -> None:
        """Request the records of unknown keys from the heartbeat's sender."""
        own_key = self.membership.own.key
        for key in [heartbeat.sender, *(relayed.key for relayed in heartbeat.told)]:
            if key != own_key and self.membership.by_key(key) is None:
                self._record_requests.request_record(address, key)

    def _send_record_requests(self) -> None:
        for address, keys in self._record_requests.pop_due(self.sequence).items():
            heartbeat = evolve(self._base_heartbeat(address), asks=keys)
            self._send(address, self._with_introduction(heartbeat))

    def _reply_to_requests(self, keys: tuple[int, ...], address: str) -> None:
        """Send the records of the keys, and for this host's key also its load names."""
        records = []
        for key in keys[:REQUESTED_KEYS_MAX]:
            if key == self.membership.own.key:
                records.append(self.membership.own)
                self._send_names(address)
            else:
                member = self.membership.by_key(key)
                records += [member.record] if member else []
        if records:
            self._send_records(address, tuple(records))

    def _send_records(self, address: str, records: tuple[MemberRecord, ...]) -> None:
        self._send(
            address, evolve(self._base_heartbeat(address), introductions=records)
        )

    def _send_names(self, address: str) -> None:
        if not self._record_requests.allow_names_reply(address, self.sequence):
            return
        for update in self.load_reporter.name_updates():
            self._send(address, evolve(self._base_heartbeat(address), load=update))
