"""Membership of the entry hosts, derived from heartbeats.

A host counts as alive while its sequence number grows, whether its heartbeats
arrive directly or other hosts relay the number. Only the greatest number counts,
so lost, duplicated and reordered messages do no harm. Time-outs use the
monotonic clock only. The package docstring defines the terms.
"""

from collections import deque
from collections.abc import Callable, Iterable

from attrs import define, field

from rattanloom.logs import get_log
from rattanloom.peers.messages import Heartbeat, MemberRecord, RelayedHeartbeat
from rattanloom.peers.protocol import Member, MemberState

log = get_log("peers")

NEVER_MS = float("-inf")

# See ``_alive_timeout_ms`` for the time-outs of local and remote members, and
# ``_direct_timeout_ms`` for those of direct heartbeats. Intervals are
# ``KnownMember.interval_ms``.
LOCAL_TIMEOUT_INTERVALS = 5
REMOTE_TIMEOUT_ROUNDS = 16
REMOTE_TIMEOUT_ROUNDS_PER_MEMBER = 0.25
DIRECT_TIMEOUT_INTERVALS = 4

# A member is removed after this time without a sign of life: 10 min, 16 s and 2 h
# at the default interval of 250 ms. Unconfirmed: never seen alive.
REMOVE_SILENT_AFTER_ROUNDS = 2_400
REMOVE_UNCONFIRMED_AFTER_ROUNDS = 64
REMOVE_CUT_OFF_AFTER_ROUNDS = 28_800

# Bounds of the memory used: former incarnations of one host, hosts with former
# incarnations, members.
FORMER_INCARNATIONS_MAX = 32
FORMER_HOSTS_MAX = 256
MEMBERS_MAX = 512

OUTRANKINGS_MAX = 3  # of one other incarnation of this host
INTERVAL_MAX_MS = 600_000  # longer announced intervals are clipped
REACHABLE_STATES = frozenset({MemberState.LIVE, MemberState.LEAVING})


@define(eq=False)
class KnownMember:
    """One incarnation of another entry host: a member or the successor of one.

    ``sequence`` is its greatest known sequence number, ``direct_sequence`` the
    greatest of its direct heartbeats. ``last_direct_ms`` is the time of its last
    direct heartbeat, ``last_alive_ms`` the time at which ``sequence`` last grew,
    ``added_ms`` the time at which its record arrived. ``interval_ms`` is the
    interval that it announced for its heartbeats to this host.

    ``is_alive``: some host, possibly this one, received its heartbeats recently.
    ``is_received_here``: this host did. ``receives_from_here``: it does not report
    this host as unheard. ``replaced_incarnation`` is the incarnation that it
    replaced, until its first direct heartbeat.
    """

    record: MemberRecord
    sequence: int = 0
    direct_sequence: int = 0
    last_direct_ms: float = NEVER_MS
    last_alive_ms: float = NEVER_MS
    interval_ms: float = 0
    config_version: int = 0
    leaving: bool = False
    is_alive: bool = True
    is_received_here: bool = True
    receives_from_here: bool = True
    state: MemberState = MemberState.SILENT
    added_ms: float = NEVER_MS
    replaced_incarnation: str = ""

    @property
    def is_confirmed(self) -> bool:
        """Return whether this incarnation was ever seen alive."""
        return self.last_alive_ms != NEVER_MS

    def to_member(self) -> Member:
        """Return the public view of this member."""
        record = self.record
        return Member(
            record.host,
            record.zone,
            record.address,
            record.incarnation,
            record.started_wall_ms,
            self.state,
            self.config_version,
        )


@define(eq=False)
class Membership:
    """The members, merged from heartbeats; ``own`` is the record of this host.

    ``on_change(member, change)`` is called with the value of a member's new state,
    with ``restarted`` when a successor replaces it, or with ``forgotten`` when it
    is removed.
    """

    own: MemberRecord
    heartbeat_ms: float
    on_change: Callable[[KnownMember, str], None]
    _by_host: dict[str, KnownMember] = field(factory=dict)
    _successors: dict[str, KnownMember] = field(factory=dict)
    _by_key: dict[int, KnownMember] = field(factory=dict)
    _former_incarnations: dict[str, deque[str]] = field(factory=dict)
    _outrankings: dict[str, int] = field(factory=dict)

    def confirmed_members(self) -> list[KnownMember]:
        """Return the members that were seen alive at least once."""
        return [member for member in self._by_host.values() if member.is_confirmed]

    def all_members(self) -> list[KnownMember]:
        """Return all members, also those never seen alive; without successors."""
        return list(self._by_host.values())

    def get(self, host: str) -> KnownMember | None:
        """Return the member with that host name."""
        return self._by_host.get(host)

    def by_key(self, key: int) -> KnownMember | None:
        """Return the member or successor whose incarnation has that key."""
        return self._by_key.get(key)

    def is_former(self, host: str, incarnation: str) -> bool:
        """Return whether a direct heartbeat showed a newer incarnation of the host."""
        return incarnation in self._former_incarnations.get(host, ())

    def merge_record(self, record: MemberRecord, now_ms: float) -> MemberRecord | None:
        """Add a member or successor, or update the record of a known incarnation.

        A new incarnation is confirmed only once its sequence number grows. A record
        older than the listed one is ignored; the listed one is returned, to be sent
        back.
        """
        if record.host == self.own.host:
            self._outrank_earlier_incarnation(record)
            return None
        known = self._by_host.get(record.host)
        if known is None:
            if len(self._by_host) < MEMBERS_MAX:
                self._by_host[record.host] = self._add_member(record, now_ms)
            return None
        if record.incarnation == known.record.incarnation:
            known.record = max(known.record, record, key=_rank)
            return None
        if record.rank < known.record.rank:
            return known.record
        self._merge_newer_record(record, now_ms)
        return None

    def merge_heartbeat(
        self, heartbeat: Heartbeat, now_ms: float
    ) -> KnownMember | None:
        """Merge a heartbeat; return its sender, or None if the sender is unknown."""
        sender = self._by_key.get(heartbeat.sender)
        if sender is not None:
            self._merge_direct(sender, heartbeat, now_ms)
        for relayed in heartbeat.told:
            self._merge_relayed(relayed, now_ms)
        return sender

    def _merge_relayed(self, relayed: RelayedHeartbeat, now_ms: float) -> None:
        member = self._by_key.get(relayed.key)
        if member is None or relayed.beat <= member.sequence:
            return
        # The first number shows no growth yet, so it is no sign of life.
        has_sequence = member.sequence > 0
        member.sequence = relayed.beat
        if has_sequence:
            member.last_alive_ms = now_ms
            member.leaving |= relayed.leaving
            self._promote(member)

    def exclude_pause(self, pause_ms: float, now_ms: float) -> None:
        """Exclude a pause of this process from the time-outs of all members."""
        for member in self._by_host.values():
            member.last_direct_ms = min(member.last_direct_ms + pause_ms, now_ms)
            member.last_alive_ms = min(member.last_alive_ms + pause_ms, now_ms)
            member.added_ms = min(member.added_ms + pause_ms, now_ms)

    def update_states(self, now_ms: float) -> None:
        """Update the state of every member and remove expired members."""
        for member in [*self._by_host.values(), *self._successors.values()]:
            self._remove_if_expired(member, now_ms)
        zones: dict[str, list[KnownMember]] = {}
        for member in self.confirmed_members():
            zones.setdefault(member.record.zone, []).append(member)
        for zone, members in zones.items():
            self._evaluate_zone(zone, members, now_ms)

    def _merge_direct(
        self, sender: KnownMember, heartbeat: Heartbeat, now_ms: float
    ) -> None:
        if heartbeat.beat <= sender.direct_sequence:
            return
        sender.direct_sequence = heartbeat.beat
        sender.sequence = max(sender.sequence, heartbeat.beat)
        sender.last_direct_ms = now_ms
        sender.last_alive_ms = now_ms
        sender.interval_ms = min(heartbeat.interval_ms, INTERVAL_MAX_MS)
        sender.config_version = max(sender.config_version, heartbeat.config_version)
        sender.leaving |= heartbeat.leaving
        sender.receives_from_here = self.own.key not in heartbeat.unheard
        self._promote(sender)
        self._record_former(sender)
        if sender.state not in REACHABLE_STATES:
            self._set_state(sender, self._state_if_received(sender))

    def _outrank_earlier_incarnation(self, record: MemberRecord) -> None:
        """Raise this host's start time above that of an earlier incarnation.

        Needed if the clock was ahead when that incarnation started. Bounded, so
        that two live processes of one name do not outrank each other forever.
        """
        if record.incarnation == self.own.incarnation or record.rank < self.own.rank:
            return
        times = self._outrankings.get(record.incarnation, 0)
        if times >= OUTRANKINGS_MAX or len(self._outrankings) >= MEMBERS_MAX:
            return
        self._outrankings[record.incarnation] = times + 1
        log.warning(
            "Peers list incarnation {} of this host as newer; raising the rank of "
            "this one above it.",
            record.incarnation,
        )
        self.own = MemberRecord(
            self.own.host,
            self.own.zone,
            self.own.address,
            self.own.incarnation,
            record.started_wall_ms + 1,
        )

    def _add_member(self, record: MemberRecord, now_ms: float) -> KnownMember:
        member = KnownMember(record, added_ms=now_ms)
        self._by_key[record.key] = member
        return member

    def _merge_newer_record(self, record: MemberRecord, now_ms: float) -> None:
        successor = self._successors.get(record.host)
        if successor is None:
            self._successors[record.host] = self._add_member(record, now_ms)
        elif successor.record.incarnation == record.incarnation:
            successor.record = max(successor.record, record, key=_rank)
        elif record.rank > successor.record.rank:
            del self._by_key[successor.record.key]
            self._successors[record.host] = self._add_member(record, now_ms)

    def _promote(self, member: KnownMember) -> None:
        """Replace the listed incarnation if ``member`` is its successor."""
        host = member.record.host
        if self._successors.get(host) is not member:
            return
        del self._successors[host]
        old = self._by_host[host]
        del self._by_key[old.record.key]
        member.replaced_incarnation = old.record.incarnation
        self._by_host[host] = member
        self.on_change(member, "restarted")

    def _record_former(self, member: KnownMember) -> None:
        """Record the replaced incarnation as former, after a direct heartbeat."""
        if not member.replaced_incarnation:
            return
        host = member.record.host
        former = self._former_incarnations.setdefault(
            host, deque(maxlen=FORMER_INCARNATIONS_MAX)
        )
        former.append(member.replaced_incarnation)
        member.replaced_incarnation = ""
        if member.record.incarnation in former:
            former.remove(member.record.incarnation)
        if len(self._former_incarnations) > FORMER_HOSTS_MAX:
            del self._former_incarnations[next(iter(self._former_incarnations))]

    def _remove_if_expired(self, member: KnownMember, now_ms: float) -> None:
        """Remove a member or successor after a long time without a sign of life."""
        last_ms = max(member.last_alive_ms, member.added_ms)
        if now_ms - last_ms <= self._remove_after_rounds(member) * self.heartbeat_ms:
            return
        host, key = member.record.host, member.record.key
        by_host = self._successors if not member.is_confirmed else self._by_host
        if by_host.get(host) is not member:
            by_host = self._by_host
        del by_host[host]
        del self._by_key[key]
        if member.is_confirmed:
            self.on_change(member, "forgotten")

    def _remove_after_rounds(self, member: KnownMember) -> int:
        if not member.is_confirmed:
            return REMOVE_UNCONFIRMED_AFTER_ROUNDS
        if member.state is MemberState.CUT_OFF:
            return REMOVE_CUT_OFF_AFTER_ROUNDS
        return REMOVE_SILENT_AFTER_ROUNDS

    def _evaluate_zone(
        self, zone: str, members: list[KnownMember], now_ms: float
    ) -> None:
        """Update the states of the members of one zone.

        If none of them is alive, all are silent, or cut off if they timed out
        together.
        """
        for member in members:
            idle_ms = now_ms - member.last_alive_ms
            member.is_alive = idle_ms <= self._alive_timeout_ms(member)
        is_any_alive = any(member.is_alive for member in members)
        is_zone_lost = not is_any_alive and self._timed_out_together(members)
        is_zone_received = zone == self.own.zone or self._receives_zone(members, now_ms)
        for member in members:
            member.is_received_here = (
                member.is_alive and is_zone_received and self._receives(member, now_ms)
            )
            self._set_state(member, self._new_state(member, is_zone_lost))

    def _new_state(self, member: KnownMember, is_zone_lost: bool) -> MemberState:
        if member.is_received_here:
            return self._state_if_received(member)
        if member.is_alive or is_zone_lost:
            return MemberState.CUT_OFF
        return MemberState.SILENT

    def _receives_zone(self, members: list[KnownMember], now_ms: float) -> bool:
        """Return whether direct heartbeats of any of a remote zone's members arrive.

        All of them send to this host, so the time-out is that of a single member
        divided by their number, but at least that of relayed heartbeats.
        """
        last_ms = max(max(m.last_direct_ms, m.added_ms) for m in members)
        share_ms = min(map(self._direct_timeout_ms, members)) / len(members)
        after_ms = max(share_ms, self._alive_timeout_ms(members[0]))
        return now_ms - last_ms <= after_ms

    def _receives(self, member: KnownMember, now_ms: float) -> bool:
        """Return whether direct heartbeats arrive, or the member was added recently.

        After the time-out of direct heartbeats, a member still counts as received
        unless relayed ones show it alive more than ``_alive_timeout_ms`` after its
        last direct one: it may have died, or some of its messages were lost.
        """
        last_ms = member.last_direct_ms
        if last_ms == NEVER_MS:
            last_ms = member.added_ms
        if now_ms - last_ms <= self._direct_timeout_ms(member):
            return True
        return member.last_alive_ms - last_ms <= self._alive_timeout_ms(member)

    def _state_if_received(self, member: KnownMember) -> MemberState:
        """Return the state of a member whose direct heartbeats arrive."""
        if not member.receives_from_here:
            return MemberState.CUT_OFF
        return MemberState.LEAVING if member.leaving else MemberState.LIVE

    def _timed_out_together(self, members: Iterable[KnownMember]) -> bool:
        """Return whether several last signs of life lie within one time-out."""
        times = [member.last_alive_ms for member in members]
        window_ms = max(self._alive_timeout_ms(member) for member in members)
        return len(times) > 1 and max(times) - min(times) <= window_ms

    def _alive_timeout_ms(self, member: KnownMember) -> float:
        """Return the time-out of heartbeats from anyone, direct or relayed.

        For remote members it grows with the number of members, as a heartbeat
        relays only a few of them (see ``gossip``).
        """
        if member.record.zone == self.own.zone:
            interval_ms = max(member.interval_ms, self.heartbeat_ms)
            return LOCAL_TIMEOUT_INTERVALS * interval_ms
        rounds = REMOTE_TIMEOUT_ROUNDS + REMOTE_TIMEOUT_ROUNDS_PER_MEMBER * len(
            self._by_host
        )
        return rounds * self.heartbeat_ms

    def _direct_timeout_ms(self, member: KnownMember) -> float:
        """Return the time-out of direct heartbeats.

        For remote members with long intervals, it exceeds ``_alive_timeout_ms``.
        """
        timeout_ms = self._alive_timeout_ms(member)
        if member.record.zone == self.own.zone:
            return timeout_ms
        return max(DIRECT_TIMEOUT_INTERVALS * member.interval_ms, timeout_ms)

    def _set_state(self, member: KnownMember, state: MemberState) -> None:
        if member.state is state:
            return
        member.state = state
        self.on_change(member, state.value)


def _rank(record: MemberRecord) -> tuple[int, str]:
    return record.rank
