"""What this host knows of the other entry hosts, and how it learns it.

Every host numbers its heartbeats. A host is alive to us while its number
grows, whether it tells us itself or another host passes the number on, so
lost, doubled and reordered messages do not matter: only the greatest number
counts. Only the monotonic clock decides time-outs.
"""

from collections import deque
from collections.abc import Callable, Iterable

from attrs import define, field

from rattanloom.logs import get_log
from rattanloom.peers.messages import Heartbeat, MemberRecord, RelayedHeartbeat
from rattanloom.peers.protocol import Member, MemberState

log = get_log("peers")

NEVER_MS = float("-inf")
TIMEOUT_ROUNDS = 5
REMOTE_TIMEOUT_ROUNDS = 16
REMOTE_TIMEOUT_ROUNDS_PER_MEMBER = 0.25
PAIR_TIMEOUT_INTERVALS = 4
REMOVE_SILENT_AFTER_ROUNDS = 2_400
REMOVE_UNCONFIRMED_AFTER_ROUNDS = 64
REMOVE_CUT_OFF_AFTER_ROUNDS = 28_800
FORMER_INCARNATIONS_MAX = 32
FORMER_HOSTS_MAX = 256
MEMBERS_MAX = 512
REFUTATIONS_MAX = 3
INTERVAL_MAX_MS = 600_000
REACHABLE_STATES = frozenset({MemberState.LIVE, MemberState.LEAVING})


@define(eq=False)
class KnownMember:
    """One other entry host: its newest incarnation, and when we heard of it.

    ``direct_ms`` is when it last told us itself, ``alive_ms`` when its
    heartbeat number last grew by any way; ``receives_ours`` is what it says.
    ``is_alive`` says whether anybody lately heard the host, ``is_received`` whether
    we do. ``replaced_incarnation`` is the incarnation before it, until it tells us itself.
    """

    record: MemberRecord
    beat: int = 0
    direct_sequence: int = 0
    direct_ms: float = NEVER_MS
    alive_ms: float = NEVER_MS
    interval_ms: float = 0
    config_version: int = 0
    leaving: bool = False
    is_alive: bool = True
    is_received: bool = True
    receives_ours: bool = True
    state: MemberState = MemberState.SILENT
    added_ms: float = NEVER_MS
    replaced_incarnation: str = ""

    @property
    def is_confirmed(self) -> bool:
        """Say whether this incarnation was ever seen alive."""
        return self.alive_ms != NEVER_MS

    def to_member(self) -> Member:
        """Return this member as other parts see it."""
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
    """The known members, merged from heartbeats.

    ``on_change(member, word)`` is called for each new state, with a short word.
    """

    own: MemberRecord
    heartbeat_ms: float
    on_change: Callable[[KnownMember, str], None]
    _by_host: dict[str, KnownMember] = field(factory=dict)
    _newcomers: dict[str, KnownMember] = field(factory=dict)
    _by_key: dict[int, KnownMember] = field(factory=dict)
    _former: dict[str, deque[str]] = field(factory=dict)
    _refuted: dict[str, int] = field(factory=dict)

    def known(self) -> list[KnownMember]:
        """Return every member that was ever seen alive."""
        return [member for member in self._by_host.values() if member.is_confirmed]

    def all_members(self) -> list[KnownMember]:
        """Return every member, also those that were only introduced."""
        return list(self._by_host.values())

    def get(self, host: str) -> KnownMember | None:
        """Return the member of that name."""
        return self._by_host.get(host)

    def by_key(self, key: int) -> KnownMember | None:
        """Return the member whose newest incarnation has that key."""
        return self._by_key.get(key)

    def is_former(self, host: str, incarnation: str) -> bool:
        """Say whether the host itself has shown a newer incarnation."""
        return incarnation in self._former.get(host, ())

    def merge_record(self, record: MemberRecord, now_ms: float) -> MemberRecord | None:
        """Learn of a host; it counts as alive only once its number grows.

        Returns the record of a newer incarnation where one is known.
        """
        if record.host == self.own.host:
            self._meet_namesake(record)
            return None
        known = self._by_host.get(record.host)
        if known is None:
            if len(self._by_host) < MEMBERS_MAX:
                self._by_host[record.host] = self._newcomer(record, now_ms)
            return None
        if record.incarnation == known.record.incarnation:
            known.record = max(known.record, record, key=_rank)
            return None
        if record.rank < known.record.rank:
            return known.record
        self._introduce_newer(record, now_ms)
        return None

    def merge_heartbeat(
        self, heartbeat: Heartbeat, now_ms: float
    ) -> KnownMember | None:
        """Merge a heartbeat; return its sender, or None where it is unknown."""
        sender = self._by_key.get(heartbeat.sender)
        if sender is not None:
            self._hear_sender(sender, heartbeat, now_ms)
        for told in heartbeat.told:
            self._tell(told, now_ms)
        return sender

    def _tell(self, told: RelayedHeartbeat, now_ms: float) -> None:
        member = self._by_key.get(told.key)
        if member is None or told.beat <= member.beat:
            return
        seen_before = member.beat > 0
        member.beat = told.beat
        if seen_before:
            member.alive_ms = now_ms
            member.leaving |= told.leaving
            self._promote(member)

    def exclude_pause(self, pause_ms: float, now_ms: float) -> None:
        """Leave out a time in which this process itself was paused."""
        for member in self._by_host.values():
            member.direct_ms = min(member.direct_ms + pause_ms, now_ms)
            member.alive_ms = min(member.alive_ms + pause_ms, now_ms)
            member.added_ms = min(member.added_ms + pause_ms, now_ms)

    def update_states(self, now_ms: float) -> None:
        """Set every member's state, and forget those that are long gone."""
        for member in [*self._by_host.values(), *self._newcomers.values()]:
            self._forget_if_old(member, now_ms)
        zones: dict[str, list[KnownMember]] = {}
        for member in self.known():
            zones.setdefault(member.record.zone, []).append(member)
        for zone, members in zones.items():
            self._evaluate_zone(zone, members, now_ms)

    def _hear_sender(
        self, sender: KnownMember, heartbeat: Heartbeat, now_ms: float
    ) -> None:
        if heartbeat.beat <= sender.direct_sequence:
            return
        sender.direct_sequence = heartbeat.beat
        sender.beat = max(sender.beat, heartbeat.beat)
        sender.direct_ms = now_ms
        sender.alive_ms = now_ms
        sender.interval_ms = min(heartbeat.interval_ms, INTERVAL_MAX_MS)
        sender.config_version = max(sender.config_version, heartbeat.config_version)
        sender.leaving |= heartbeat.leaving
        sender.receives_ours = self.own.key not in heartbeat.unheard
        self._promote(sender)
        self._mark_former(sender)
        if sender.state not in REACHABLE_STATES:
            self._set_state(sender, self._direct_state(sender))

    def _meet_namesake(self, record: MemberRecord) -> None:
        """Outrank an earlier incarnation of this host whose clock was ahead."""
        if record.incarnation == self.own.incarnation or record.rank < self.own.rank:
            return
        times = self._refuted.get(record.incarnation, 0)
        if times >= REFUTATIONS_MAX or len(self._refuted) >= MEMBERS_MAX:
            return
        self._refuted[record.incarnation] = times + 1
        log.warning(
            "Another incarnation {} of this host is known; outranking it.",
            record.incarnation,
        )
        self.own = MemberRecord(
            self.own.host,
            self.own.zone,
            self.own.address,
            self.own.incarnation,
            record.started_wall_ms + 1,
        )

    def _newcomer(self, record: MemberRecord, now_ms: float) -> KnownMember:
        member = KnownMember(record, added_ms=now_ms)
        self._by_key[record.key] = member
        return member

    def _introduce_newer(self, record: MemberRecord, now_ms: float) -> None:
        waiting = self._newcomers.get(record.host)
        if waiting is None:
            self._newcomers[record.host] = self._newcomer(record, now_ms)
        elif waiting.record.incarnation == record.incarnation:
            waiting.record = max(waiting.record, record, key=_rank)
        elif record.rank > waiting.record.rank:
            del self._by_key[waiting.record.key]
            self._newcomers[record.host] = self._newcomer(record, now_ms)

    def _promote(self, member: KnownMember) -> None:
        """Put a newer incarnation in the older one's place, once seen alive."""
        host = member.record.host
        if self._newcomers.get(host) is not member:
            return
        del self._newcomers[host]
        old = self._by_host[host]
        del self._by_key[old.record.key]
        member.replaced_incarnation = old.record.incarnation
        self._by_host[host] = member
        self.on_change(member, "restarted")

    def _mark_former(self, member: KnownMember) -> None:
        """Note that the host itself showed that an incarnation is gone."""
        if not member.replaced_incarnation:
            return
        host = member.record.host
        former = self._former.setdefault(host, deque(maxlen=FORMER_INCARNATIONS_MAX))
        former.append(member.replaced_incarnation)
        member.replaced_incarnation = ""
        if member.record.incarnation in former:
            former.remove(member.record.incarnation)
        if len(self._former) > FORMER_HOSTS_MAX:
            del self._former[next(iter(self._former))]

    def _forget_if_old(self, member: KnownMember, now_ms: float) -> None:
        last_ms = max(member.alive_ms, member.added_ms)
        if now_ms - last_ms <= self._forget_after_beats(member) * self.heartbeat_ms:
            return
        host, key = member.record.host, member.record.key
        holder = self._newcomers if not member.is_confirmed else self._by_host
        if holder.get(host) is not member:
            holder = self._by_host
        del holder[host]
        del self._by_key[key]
        if member.is_confirmed:
            self.on_change(member, "forgotten")

    def _forget_after_beats(self, member: KnownMember) -> int:
        if not member.is_confirmed:
            return REMOVE_UNCONFIRMED_AFTER_ROUNDS
        if member.state is MemberState.CUT_OFF:
            return REMOVE_CUT_OFF_AFTER_ROUNDS
        return REMOVE_SILENT_AFTER_ROUNDS

    def _evaluate_zone(
        self, zone: str, members: list[KnownMember], now_ms: float
    ) -> None:
        for member in members:
            silence_ms = now_ms - member.alive_ms
            member.is_alive = silence_ms <= self._silent_after_ms(member)
        any_fresh = any(member.is_alive for member in members)
        whole_zone_fell = not any_fresh and self._fell_at_once(members)
        zone_heard = zone == self.own.zone or self._hears_zone(members, now_ms)
        for member in members:
            member.is_received = (
                member.is_alive and zone_heard and self._hears(member, now_ms)
            )
            self._set_state(member, self._state(member, whole_zone_fell))

    def _state(self, member: KnownMember, whole_zone_fell: bool) -> MemberState:
        if member.is_received:
            return self._direct_state(member)
        if member.is_alive or whole_zone_fell:
            return MemberState.CUT_OFF
        return MemberState.SILENT

    def _hears_zone(self, members: list[KnownMember], now_ms: float) -> bool:
        """Say whether any host of another zone reaches us."""
        last_ms = max(max(m.direct_ms, m.added_ms) for m in members)
        share_ms = min(map(self._pair_after_ms, members)) / len(members)
        after_ms = max(share_ms, self._silent_after_ms(members[0]))
        return now_ms - last_ms <= after_ms

    def _hears(self, member: KnownMember, now_ms: float) -> bool:
        """Say whether the host itself reaches us, or was met only lately.

        Where others pass on hardly more than it told us itself, it may have
        died, or some of its messages were lost: it still counts as heard.
        """
        last_ms = member.direct_ms
        if last_ms == NEVER_MS:
            last_ms = member.added_ms
        if now_ms - last_ms <= self._pair_after_ms(member):
            return True
        return member.alive_ms - last_ms <= self._silent_after_ms(member)

    def _direct_state(self, member: KnownMember) -> MemberState:
        if not member.receives_ours:
            return MemberState.CUT_OFF
        return MemberState.LEAVING if member.leaving else MemberState.LIVE

    def _fell_at_once(self, members: Iterable[KnownMember]) -> bool:
        times = [member.alive_ms for member in members]
        window_ms = max(self._silent_after_ms(member) for member in members)
        return len(times) > 1 and max(times) - min(times) <= window_ms

    def _silent_after_ms(self, member: KnownMember) -> float:
        if member.record.zone == self.own.zone:
            interval_ms = max(member.interval_ms, self.heartbeat_ms)
            return TIMEOUT_ROUNDS * interval_ms
        beats = REMOTE_TIMEOUT_ROUNDS + REMOTE_TIMEOUT_ROUNDS_PER_MEMBER * len(
            self._by_host
        )
        return beats * self.heartbeat_ms

    def _pair_after_ms(self, member: KnownMember) -> float:
        silent_after_ms = self._silent_after_ms(member)
        if member.record.zone == self.own.zone:
            return silent_after_ms
        return max(PAIR_TIMEOUT_INTERVALS * member.interval_ms, silent_after_ms)

    def _set_state(self, member: KnownMember, state: MemberState) -> None:
        if member.state is state:
            return
        member.state = state
        self.on_change(member, state.value)


def _rank(record: MemberRecord) -> tuple[int, str]:
    return record.rank
