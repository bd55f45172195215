"""Who owns which zone's workers: records in the store, and takeovers after a loss.

The owner keeps no lease in the store: its token is the lock, and the workers
are the judges of it. A daemon takes a zone over only when neither it nor any
daemon that it reaches hears the owner.
"""

from collections.abc import Callable, Sequence

import gevent
from attrs import define, evolve, field

from rattanloom.clock import MS_PER_S, Clock
from rattanloom.errors import Failure
from rattanloom.links.hub import LinkHub
from rattanloom.links.link import Link
from rattanloom.links.messages import AskOwner, Hello, OwnerAnswer, TakeZones
from rattanloom.logs import get_log
from rattanloom.ownership.records import (
    MEMBER_PREFIX,
    TABLE,
    Member,
    RecordError,
    ZoneOwner,
    member_ref,
    read_record,
    write_record,
    zone_ref,
)
from rattanloom.platform.rows import Committed, Condition, Conflicted, Row, Store
from rattanloom.tables import TableFollower

log = get_log("ownership")

TICK_MS = 50
# A broken link is dialled again at once; this long is left for it to come back.
LOST_AFTER_MS = 100
# Time for other daemons to be reached and to answer.
ASK_TIMEOUT_MS = 200
# Candidates try one after the other, so that mostly one writes.
RANK_DELAY_MS = 40
REGISTER_PAUSE_MS = 200
# Time to let all daemons of a first start register.
FIRST_START_MS = 300
PAUSE_AFTER_ASK_MS = 300
WANT_MS = 2_000


@define(eq=False)
class Ownership:
    """View of members and owners that this daemon holds.

    ``on_change`` is called after the set of owners changed.
    """

    own: Hello
    zones: tuple[str, ...]
    clock: Clock
    store: Store
    hub: LinkHub
    on_change: Callable[[], None]
    members: dict[str, Member] = field(factory=dict)
    owners: dict[str, ZoneOwner] = field(factory=dict)
    leaving: bool = False
    follower: TableFollower = field(init=False)
    registered_ms: float | None = None
    taken_ms: float = 0
    _lost_since: dict[str, float] = field(factory=dict)
    _asked_until_ms: float = 0
    _hearing: set[str] = field(factory=set)
    _answered: set[str] = field(factory=set)
    _taking: bool = False
    _own_versions: set[int] = field(factory=set)

    def __attrs_post_init__(self) -> None:
        self.follower = TableFollower(
            self.store, TABLE, self.clock, self._take_snapshot, self._take_rows
        )

    def run(self) -> None:
        """Register, then watch the owners for ever."""
        self._register()
        while True:
            gevent.sleep(TICK_MS / MS_PER_S)
            if not self.leaving:
                self._watch_owners()

    def is_owner(self, zone: str) -> bool:
        """Return whether this daemon owns a zone's workers."""
        record = self.owners.get(zone)
        return (
            record is not None and record.owner == self.own.node and self._mine(record)
        )

    def owned(self) -> dict[str, ZoneOwner]:
        """Return the records of the zones that this daemon owns."""
        return {zone: self.owners[zone] for zone in self.zones if self.is_owner(zone)}

    def preferred_owner(self) -> str | None:
        """Return the daemon to which jobs of this zone's clients go."""
        record = self.owners.get(self.own.zone)
        return record.owner if record else None

    def leave(self) -> None:
        """Hand the owned zones to another daemon, and unregister."""
        self.leaving = True
        self._remove_member(self.own.node)
        zones = tuple(self.owned())
        for member in self._candidates(set(self.hub.nodes())):
            link = self.hub.link(member.node)
            if not zones or link is None or member.node == self.own.node:
                continue
            log.info("handing zones {} to {}", ",".join(zones), member.node)
            link.send(TakeZones(zones))
            if self._wait_until_taken(zones):
                return

    def received(self, link: Link, message: AskOwner | OwnerAnswer | TakeZones) -> None:
        """Take a message about owners."""
        if isinstance(message, AskOwner):
            hears = message.owner == self.own.node or self.hub.hears(message.owner)
            link.send(OwnerAnswer(message.owner, hears))
        elif isinstance(message, OwnerAnswer):
            self._answered.add(link.peer.node)
            if message.hears:
                self._hearing.add(message.owner)
        elif not self.leaving:
            gevent.spawn(self._take, message.zones, f"asked by {link.peer.node}")

    def doubt(self) -> None:
        """Read the records again after a worker followed another token."""
        gevent.spawn(self.follower.read_now)

    def _mine(self, record: ZoneOwner) -> bool:
        return record.version in self._own_versions

    def _wait_until_taken(self, zones: Sequence[str]) -> bool:
        for _ in range(10):
            gevent.sleep(TICK_MS / MS_PER_S)
            if not any(self.is_owner(zone) for zone in zones):
                return True
        return False

    def _register(self) -> None:
        own = self.own
        member = Member(own.node, own.zone, own.address, own.started_wall_ms)
        write = (member_ref(own.node), write_record(member))
        while isinstance(self.store.transact((), (write,)), Failure):
            gevent.sleep(REGISTER_PAUSE_MS / MS_PER_S)
        self.registered_ms = self.clock.now_ms()

    def _remove_member(self, node: str) -> None:
        gevent.spawn(self.store.transact, (), (), (member_ref(node),))

    # Records

    def _take_snapshot(self, rows: Sequence[Row]) -> None:
        present = {row.ref.key for row in rows}
        for node in list(self.members):
            if MEMBER_PREFIX + node not in present:
                del self.members[node]
        self._take_rows(rows)

    def _take_rows(self, rows: Sequence[Row]) -> None:
        before = dict(self.owners)
        for row in rows:
            self._take_row(row)
        if self.owners != before:
            self._owners_changed(before)

    def _take_row(self, row: Row) -> None:
        if row.deleted:
            self.members.pop(row.ref.key.removeprefix(MEMBER_PREFIX), None)
            return
        try:
            record = read_record(row)
        except RecordError as error:
            log.warning("{}", error)
            return
        if isinstance(record, Member):
            self.members[record.node] = record
        else:
            known = self.owners.get(record.zone)
            if known is None or record.version > known.version:
                self.owners[record.zone] = record

    def _owners_changed(self, before: dict[str, ZoneOwner]) -> None:
        for zone, record in self.owners.items():
            if before.get(zone) != record:
                log.info(
                    "zone {} is owned by {} since epoch {}",
                    zone,
                    record.owner,
                    record.epoch,
                )
        self.on_change()

    # Losses

    def _watch_owners(self) -> None:
        now_ms = self.clock.now_ms()
        if self.follower.version is None or self.registered_ms is None:
            return
        lost = []
        for zone in self.zones:
            record = self.owners.get(zone)
            if record is None:
                if now_ms > self.registered_ms + FIRST_START_MS:
                    lost.append(zone)
            elif record.owner == self.own.node:
                if not self._mine(record):
                    lost.append(zone)
            elif self._is_lost(record.owner, now_ms):
                lost.append(zone)
        if lost and not self._taking:
            self._taking = True
            gevent.spawn(self._investigate, lost)

    def _is_lost(self, owner: str, now_ms: float) -> bool:
        member = self.members.get(owner)
        if member is not None:
            self.hub.want(owner, member.address, now_ms + WANT_MS)
        if self.hub.hears(owner):
            self._lost_since.pop(owner, None)
            return False
        return now_ms > self._lost_since.setdefault(owner, now_ms) + LOST_AFTER_MS

    def _investigate(self, zones: list[str]) -> None:
        try:
            self._take_if_lost(zones)
        finally:
            self._taking = False

    def _take_if_lost(self, zones: list[str]) -> None:
        owners = {self.owners[zone].owner for zone in zones if zone in self.owners}
        owners.discard(self.own.node)
        reached = self._ask_others(owners)
        if any(self.hub.hears(owner) or owner in self._hearing for owner in owners):
            gevent.sleep(PAUSE_AFTER_ASK_MS / MS_PER_S)
            return
        takeable = [zone for zone in zones if self._may_take(zone, reached)]
        if not takeable:
            return
        candidates = self._candidates(reached - owners)
        rank = [member.node for member in candidates].index(self.own.node)
        before = dict(self.owners)
        gevent.sleep(rank * RANK_DELAY_MS / MS_PER_S)
        if self.owners == before and not self.leaving:
            self._take(takeable, f"{','.join(owners) or 'nobody'} is lost")

    def _may_take(self, zone: str, reached: set[str]) -> bool:
        """Return whether most of a zone's daemons are on this side of a cut."""
        nodes = {member.node for member in self.members.values() if member.zone == zone}
        record = self.owners.get(zone)
        if record is not None:
            nodes.discard(record.owner)
        return 2 * len(nodes & reached) >= len(nodes)

    def _ask_others(self, owners: set[str]) -> set[str]:
        """Return the daemons that were reached, this one included."""
        self._hearing.clear()
        self._answered.clear()
        until_ms = self.clock.now_ms() + ASK_TIMEOUT_MS
        others = [
            member
            for member in self.members.values()
            if member.node not in owners and member.node != self.own.node
        ]
        asked: set[str] = set()
        while owners and self.clock.now_ms() < until_ms:
            for member in others:
                self.hub.want(member.node, member.address, until_ms)
                link = self.hub.link(member.node)
                if link is not None and member.node not in asked:
                    asked.add(member.node)
                    for owner in owners:
                        link.send(AskOwner(owner))
            if len(self._answered) >= len(others):
                break
            gevent.sleep(0.01)
        if not owners:
            return {member.node for member in others} | {self.own.node}
        return self._answered | {self.own.node}

    def _candidates(self, reached: set[str]) -> list[Member]:
        """Return those that may take over, the longest-lived first to come."""
        members = [
            member
            for member in self.members.values()
            if member.node in reached or member.node == self.own.node
        ]
        own = self.own
        if all(member.node != own.node for member in members):
            members.append(Member(own.node, own.zone, own.address, own.started_wall_ms))
        return sorted(
            members, key=lambda member: (-member.started_wall_ms, member.node)
        )

    def _take(self, zones: Sequence[str], reason: str) -> None:
        """Write this daemon as the owner of zones, if nobody else did."""
        records = []
        for zone in zones:
            known = self.owners.get(zone)
            epoch = known.epoch + 1 if known else 1
            records.append(ZoneOwner(zone, self.own.node, epoch))
        conditions = [
            Condition(zone_ref(zone), self._version_of(zone)) for zone in zones
        ]
        writes = [(zone_ref(record.zone), write_record(record)) for record in records]
        log.info("taking zones {}: {}", ",".join(zones), reason)
        result = self.store.transact(conditions, writes)
        if isinstance(result, Committed):
            self._taken(records, result.version)
        elif isinstance(result, Conflicted):
            log.info("another daemon was first")
            self.follower.read_now()
        else:
            log.warning("taking zones failed: {}", result.reason)
            self._settle_lost_take(records)

    def _settle_lost_take(self, records: Sequence[ZoneOwner]) -> None:
        """Find out whether a write whose answer was lost took effect."""
        read = self.store.read(TABLE)
        if isinstance(read, Failure):
            return
        written = {zone_ref(record.zone): record for record in records}
        for row in read.rows:
            expected = written.get(row.ref)
            if expected is not None and row.value == write_record(expected):
                self._own_versions.add(row.version)
        self._take_rows(read.rows)

    def _taken(self, records: Sequence[ZoneOwner], version: int) -> None:
        before = dict(self.owners)
        self._own_versions.add(version)
        self.taken_ms = self.clock.now_ms()
        for record in records:
            self.owners[record.zone] = evolve(record, version=version)
        self._owners_changed(before)

    def _version_of(self, zone: str) -> int:
        known = self.owners.get(zone)
        return known.version if known else 0
