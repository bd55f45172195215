"""Who owns which zone's workers: takeovers after a loss, and planned handovers.

The store records owners, but no lease of theirs: a worker obeys the highest
fencing token, so that the workers are the judges. A daemon takes a zone over
only when neither it nor any daemon that it reaches hears the owner. Without the
store it claims the zone, under a token that the next recorded owner exceeds.
"""

from collections.abc import Callable, Sequence

import gevent
from attrs import define, field

from rattanloom.clock import MS_PER_S, Clock
from rattanloom.decision_log import DecisionLog
from rattanloom.errors import Failure
from rattanloom.links.hub import LinkHub
from rattanloom.links.link import Link
from rattanloom.links.messages import (
    AskOwner,
    Hello,
    OwnerAnswer,
    OwnershipMessage,
    TakeZones,
    ZoneClaims,
)
from rattanloom.ownership.beats import Beats
from rattanloom.ownership.records import (
    TABLE,
    Member,
    ZoneOwner,
    claim_number,
    member_ref,
    write_record,
    zone_ref,
)
from rattanloom.ownership.survey import Survey
from rattanloom.ownership.view import OwnerView
from rattanloom.platform.rows import Committed, Condition, Conflicted, Store
from rattanloom.tables import TableFollower

log = DecisionLog("ownership")

TICK_MS = 50
# A broken link is dialled again at once; this long is left for it to come back.
LOST_AFTER_MS = 100
# Candidates try one after the other, so that mostly one writes.
RANK_DELAY_MS = 30
# A write takes 10 ms; after this the zone is claimed without the store.
STORE_PATIENCE_MS = 120
REGISTER_PAUSE_MS = 200
# Time to let all daemons of a first start register.
FIRST_START_MS = 300
# Pause after others said that they hear the owner.
HEARD_PAUSE_MS = 300
WANT_MS = 2_000
# Owners that hear each other again merge what they own after this time: workers
# that were cut off are registered again about 2 s after the cut.
MERGE_AFTER_MS = 2_500
# One placer serves this many workers in half of a core (docs/CAPACITY.md).
WORKERS_PER_PLACER_MAX = 64


@define(eq=False)
class Ownership:
    """Keeps every zone owned by one daemon.

    ``known_workers`` tells the registered workers, ``refresh_workers`` reads
    them again, ``workers_complete`` tells whether all can be known. ``on_change``
    is called after owners changed.
    """

    own: Hello
    zones: tuple[str, ...]
    clock: Clock
    store: Store
    hub: LinkHub
    known_workers: Callable[[], set[str]]
    refresh_workers: Callable[[], object]
    workers_complete: Callable[[], bool]
    on_change: Callable[[], None]
    leaving: bool = False
    inherited_ms: dict[str, float] = field(factory=dict)
    view: OwnerView = field(init=False)
    survey: Survey = field(init=False)
    beats: Beats = field(init=False)
    follower: TableFollower = field(init=False)
    _registered_ms: float | None = None
    _lost_since: dict[str, float] = field(factory=dict)
    _heard_since: dict[str, float] = field(factory=dict)
    _investigating: bool = False
    _claims: int = 0

    def __attrs_post_init__(self) -> None:
        own = self.own
        member = Member(own.node, own.zone, own.address, own.started_wall_ms)
        self.view = OwnerView(member, self.on_change)
        self.survey = Survey(self.clock, self.hub)
        self.beats = Beats(own.node, self.clock, self.store)
        self.follower = TableFollower(
            self.store,
            TABLE,
            self.clock,
            self.view.take_snapshot,
            self.view.take_rows,
        )

    def run(self) -> None:
        """Register, then watch the owners for ever."""
        self._register()
        while True:
            gevent.sleep(TICK_MS / MS_PER_S)
            if not self.leaving and self.follower.version is not None:
                self._watch_owners()
                self._merge()
            if self.owned():
                self.beats.beat()

    def owned(self) -> dict[str, ZoneOwner]:
        """Return the zones that this daemon owns."""
        return self.view.owned()

    def is_owner(self, node: str) -> bool:
        """Return whether a daemon owns any zone."""
        return bool(self.view.zones_of(node))

    def preferred_owner(self) -> str | None:
        """Return the daemon to which jobs of this zone's clients go."""
        owner = self.view.owners.get(self.own.zone)
        return owner.owner if owner else None

    def reached_owner(self) -> str | None:
        """Return the preferred owner, or another one if only that is heard."""
        preferred = self.preferred_owner()
        owners = {owner.owner for owner in self.view.owners.values()}
        for node in sorted(owners, key=lambda node: (node != preferred, node)):
            if node == self.own.node:
                if self.owned():
                    return node
            elif self.hub.hears(node):
                return node
        return None

    def leave(self) -> None:
        """Unregister, and hand the owned zones to another daemon."""
        self.leaving = True
        gevent.spawn(self.store.transact, (), (), (member_ref(self.own.node),))
        self.view.members.pop(self.own.node, None)
        zones = tuple(self.owned())
        for member in self.view.candidates(set(self.hub.nodes())):
            link = self.hub.link(member.node)
            if not zones or link is None or member.node == self.own.node:
                continue
            log.info(
                "zones_handed_over", zones=zones, to=member.node, reason="stopping"
            )
            link.send(TakeZones(zones, tuple(self.known_workers())))
            if self._wait_until_taken():
                return

    def received(self, link: Link, message: OwnershipMessage) -> None:
        """Take a message about owners."""
        if isinstance(message, AskOwner):
            self.survey.received_question(link, message, self.own.node)
        elif isinstance(message, OwnerAnswer):
            self.survey.received_answer(link, message)
        elif isinstance(message, ZoneClaims):
            self.view.take_owners(
                ZoneOwner(zone, message.owner, epoch, message.claim)
                for zone, epoch in zip(message.zones, message.epochs, strict=True)
            )
        elif not self.leaving:
            gevent.spawn(self._take_asked, message, link.peer.node)

    def _take_asked(self, message: TakeZones, asker: str) -> None:
        """Take zones from an owner that lives; its workers have to be known."""
        wanted = set(message.workers)
        self.refresh_workers()
        complete = wanted <= self.known_workers()
        self._take(message.zones, f"asked by {asker}", complete)

    def link_opened(self, link: Link) -> None:
        """Tell another daemon of the zones that the store does not record."""
        claimed = [owner for owner in self.owned().values() if owner.claim]
        if claimed:
            link.send(_claims_message(claimed))

    def worker_fenced(self, zone: str) -> None:
        """Take that a worker of an owned zone follows another token."""
        gevent.spawn(self._after_fence, zone)

    def _after_fence(self, zone: str) -> None:
        token = self.view.owners[zone].fencing_token
        failure = self.follower.read_now()
        owner = self.view.owners[zone]
        if failure is None and zone in self.owned() and owner.fencing_token == token:
            self._take((zone,), "its workers follow another token", False)

    def _wait_until_taken(self) -> bool:
        for _ in range(10):
            gevent.sleep(TICK_MS / MS_PER_S)
            if not self.owned():
                return True
        return False

    def _register(self) -> None:
        write = (member_ref(self.own.node), write_record(self.view.own))
        while isinstance(self.store.transact((), (write,)), Failure):
            gevent.sleep(REGISTER_PAUSE_MS / MS_PER_S)
        self._registered_ms = self.clock.now_ms()

    # Losses

    def _watch_owners(self) -> None:
        lost = [zone for zone in self.zones if self._is_zone_lost(zone)]
        if lost and not self._investigating:
            self._investigating = True
            gevent.spawn(self._investigate, lost)

    def _is_zone_lost(self, zone: str) -> bool:
        now_ms = self.clock.now_ms()
        owner = self.view.owners.get(zone)
        if owner is None:
            return now_ms > (self._registered_ms or now_ms) + FIRST_START_MS
        if owner.owner == self.own.node:
            return zone not in self.owned()
        return self._is_lost(owner.owner, now_ms)

    def _is_lost(self, owner: str, now_ms: float) -> bool:
        member = self.view.members.get(owner)
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
            self._investigating = False

    def _take_if_lost(self, zones: list[str]) -> None:
        owners = {
            self.view.owners[zone].owner for zone in zones if zone in self.view.owners
        }
        owners.discard(self.own.node)
        others = [
            member
            for node, member in self.view.members.items()
            if node not in owners and node != self.own.node
        ]
        reached = {self.own.node}
        if owners:
            self.survey.ask(owners, others)
            reached |= self.survey.answered
        else:
            reached |= {member.node for member in others}
        if any(self.survey.is_heard(owner) for owner in owners):
            gevent.sleep(HEARD_PAUSE_MS / MS_PER_S)
            return
        gevent.spawn(self.refresh_workers)
        before = dict(self.view.owners)
        takeable = self._takeable(zones, owners, reached)
        rank = self.view.candidates(reached).index(self.view.own)
        gevent.sleep(rank * RANK_DELAY_MS / MS_PER_S)
        if takeable and self.view.owners == before and not self.leaving:
            self._take_or_claim(takeable, f"{','.join(owners) or 'nobody'} is lost")

    def _takeable(
        self, zones: list[str], owners: set[str], reached: set[str]
    ) -> list[str]:
        """Return the zones that this side of a cut may take.

        A daemon that reaches few others may itself be the one that is cut off.
        Then the store tells whether the owner lives; without the store only
        the own zone is taken, as nobody else may reach it.
        """
        takeable = [
            zone for zone in zones if self.view.is_on_larger_side(zone, reached)
        ]
        if takeable or not owners:
            return takeable or zones
        silent = self.beats.are_silent(owners)
        if isinstance(silent, Failure):
            return [zone for zone in zones if zone == self.own.zone]
        if not silent:
            log.info("zones_not_taken", zones=zones, reason="the owner beats")
        return zones if silent else []

    def _take_or_claim(self, zones: Sequence[str], reason: str) -> None:
        """Write the record, or claim the zones if the store does not answer soon."""
        tokens = {zone: self._token(zone) for zone in zones}
        write = gevent.spawn(self._take, zones, reason)
        write.join(timeout=STORE_PATIENCE_MS / MS_PER_S)
        unchanged = [zone for zone in zones if self._token(zone) == tokens[zone]]
        if unchanged and (not write.ready() or write.value is False):
            self._claim(unchanged)

    def _token(self, zone: str) -> int:
        owner = self.view.owners.get(zone)
        return owner.fencing_token if owner else 0

    def _claim(self, zones: Sequence[str]) -> None:
        self._claims += 1
        claim = claim_number(self.own.node, self._claims)
        claimed = [
            ZoneOwner(zone, self.own.node, self._epoch(zone), claim) for zone in zones
        ]
        log.warning("zones_claimed", zones=zones, reason="the store does not answer")
        self._note_taken(claimed)
        for node in self.hub.nodes():
            self.hub.link(node).send(_claims_message(claimed))

    def _epoch(self, zone: str) -> int:
        owner = self.view.owners.get(zone)
        return owner.epoch if owner else 0

    def _take(
        self, zones: Sequence[str], reason: str, complete: bool | None = None
    ) -> bool:
        """Write this daemon as the owner of zones; False if the store failed.

        ``complete`` says whether all workers of the owner before are known.
        """
        records = [
            ZoneOwner(zone, self.own.node, self._epoch(zone) + 1) for zone in zones
        ]
        conditions = [
            Condition(zone_ref(zone), self.view.version(zone)) for zone in zones
        ]
        writes = [(zone_ref(record.zone), write_record(record)) for record in records]
        log.info("zones_taking", zones=zones, reason=reason)
        result = self.store.transact(conditions, writes)
        if isinstance(result, Committed):
            for zone in zones:
                self.view.versions[zone] = result.version
            self._note_taken(records, complete)
        elif isinstance(result, Conflicted):
            log.info("zones_not_taken", zones=zones, reason="another daemon was first")
            self.follower.read_now()
        else:
            log.warning("zones_not_taken", zones=zones, reason=result.reason)
            return self._settle_lost_take(records)
        return True

    def _settle_lost_take(self, records: Sequence[ZoneOwner]) -> bool:
        """Find out whether a write whose answer was lost took effect."""
        read = self.store.read(TABLE)
        if isinstance(read, Failure):
            return False
        values = {row.ref: row.value for row in read.rows}
        written = [
            record
            for record in records
            if values.get(zone_ref(record.zone)) == write_record(record)
        ]
        if written:
            self._note_taken(written)
        self.view.take_rows(read.rows)
        return bool(written)

    def _note_taken(
        self, records: Sequence[ZoneOwner], complete: bool | None = None
    ) -> None:
        """Note from which owners all zones were taken with these."""
        if complete is None:
            complete = self.workers_complete()
        before = {self.view.owners.get(record.zone) for record in records}
        old_owners = {owner.owner for owner in before if owner} - {self.own.node}
        taken = {record.zone for record in records}
        for owner in old_owners:
            if complete and self.view.zones_of(owner) <= taken:
                self.inherited_ms[owner] = self.clock.now_ms()
        self.view.take_owners(records, own=True)

    # Planned handovers

    def _merge(self) -> None:
        """Hand zones over that another daemon should own."""
        owned = self.owned()
        if not owned:
            return
        now_ms = self.clock.now_ms()
        for zone, owner in owned.items():
            better = self._better_owner(zone, owner)
            if better is None or not self.hub.hears(better):
                self._heard_since.pop(zone, None)
            elif now_ms > self._heard_since.setdefault(zone, now_ms) + MERGE_AFTER_MS:
                del self._heard_since[zone]
                log.info("zones_handed", zones=(zone,), to=better, reason="merge")
                message = TakeZones((zone,), tuple(self.known_workers()))
                self.hub.link(better).send(message)

    def _better_owner(self, zone: str, owner: ZoneOwner) -> str | None:
        if len(self.known_workers()) > WORKERS_PER_PLACER_MAX:
            return self._owner_within(zone)
        owners = {other.owner for other in self.view.owners.values()}
        best = min(owners, key=lambda node: (-len(self.view.zones_of(node)), node))
        return best if best != self.own.node else None

    def _owner_within(self, zone: str) -> str | None:
        """Return a daemon of the zone that should own it."""
        if zone == self.own.zone:
            return None
        now_ms = self.clock.now_ms()
        for member in self.view.candidates(set(self.view.members)):
            if member.zone == zone:
                self.hub.want(member.node, member.address, now_ms + WANT_MS)
                return member.node
        return None


def _claims_message(claimed: Sequence[ZoneOwner]) -> ZoneClaims:
    first = claimed[0]
    return ZoneClaims(
        first.owner,
        first.claim,
        tuple(owner.zone for owner in claimed),
        tuple(owner.epoch for owner in claimed),
    )
