"""Keeps one daemon in charge of the workers of each zone.

The store records owners without a lease, so two daemons may both act as the owner of
a zone; workers then accept only the one with the higher fencing token. A daemon
takes a zone over only when neither it nor any reachable peer has a live link to the
owner. Without the store, it claims the zone under a token that is lower than that
of the next recorded owner.
"""

from collections.abc import Callable
from math import inf

import gevent
from attrs import define, field

from rattanloom.clock import MS_PER_S, Clock
from rattanloom.decision_log import DecisionLog
from rattanloom.links.hub import LinkHub
from rattanloom.links.link import Link
from rattanloom.links.messages import (
    WORKERS_IN_USE_VERSION,
    OwnedZones,
    OwnerLivenessQuery,
    OwnerLivenessReply,
    OwnershipMessage,
    TakeZones,
    WorkersInUse,
    ZoneClaims,
)
from rattanloom.ownership.acquisition import ZoneAcquirer, make_claims_message
from rattanloom.ownership.confirmation import OwnerConfirmation
from rattanloom.ownership.handover_planner import HandoverPlanner
from rattanloom.ownership.indirect_probe import IndirectProbe
from rattanloom.ownership.records import TABLE, Member, ZoneOwner
from rattanloom.ownership.registration import Registration
from rattanloom.ownership.stated_workers import StatedWorkers
from rattanloom.ownership.store_heartbeats import StoreHeartbeats
from rattanloom.ownership.takeover import LINK_KEEP_MS, Takeover
from rattanloom.ownership.view import OwnerView
from rattanloom.platform.rows import Store
from rattanloom.tables import TableFollower

log = DecisionLog("ownership")

# Changes of the store within this time are read together: at a first start, all
# daemons register within 300 ms, and each change makes all of them read the store.
SETTLE_MS = 60
POLL_MS = 50
# Time for one peer to take over the zones of a stopping owner; after it, the owner
# tries the next peer.
HANDOVER_TIMEOUT_MS = 500
# One placer serves this many workers with half of a core (docs/CAPACITY.md). In a
# deployment with more workers, each zone has its own owner.
WORKERS_PER_PLACER_MAX = 64
# This many of the first candidates for a zone are ready to take it over at any time.
LIKELY_SUCCESSORS = 2


@define(eq=False, repr=False)
class Ownership:
    """Keeps every zone owned by one daemon.

    ``known_workers`` returns the ids of the registered workers, ``refresh_workers``
    reads them again and returns whether it succeeded. ``workers_read_ms`` returns when
    the last successful read was sent. ``on_change`` is called after owners changed.
    ``leaving`` is set once this daemon stops. ``_acquired_ms`` is when it last acquired
    a zone, ``_owned_tokens`` are the fencing tokens of its zones.
    """

    own_member: Member
    zones: tuple[str, ...]
    clock: Clock
    store: Store
    hub: LinkHub
    known_workers: Callable[[], set[str]]
    refresh_workers: Callable[[], bool]
    workers_read_ms: Callable[[], float]
    on_change: Callable[[], None]
    leaving: bool = False
    _acquired_ms: float = -inf
    _owned_tokens: set[int] = field(factory=set)
    view: OwnerView = field(init=False)
    confirmation: OwnerConfirmation = field(init=False)
    registration: Registration = field(init=False)
    indirect_probe: IndirectProbe = field(init=False)
    store_heartbeats: StoreHeartbeats = field(init=False)
    stated_workers: StatedWorkers = field(init=False)
    follower: TableFollower = field(init=False)
    acquirer: ZoneAcquirer = field(init=False)
    takeover: Takeover = field(init=False)
    handover_planner: HandoverPlanner = field(init=False)

    def __attrs_post_init__(self) -> None:
        clock, hub, store = self.clock, self.hub, self.store
        self.view = OwnerView(self.own_member, self._on_owners_changed)
        self.confirmation = OwnerConfirmation(clock, hub, self.view)
        self.registration = Registration(self.own_member, store)
        self.indirect_probe = IndirectProbe(clock, hub, self.confirmation)
        self.store_heartbeats = StoreHeartbeats(self.own_member.node, clock, store)
        self.stated_workers = StatedWorkers(clock, hub)
        self.follower = TableFollower(
            store,
            TABLE,
            clock,
            self.view.apply_snapshot,
            self.view.apply_rows,
            settle_ms=SETTLE_MS,
        )
        self.acquirer = ZoneAcquirer(
            clock,
            store,
            hub,
            self.view,
            self.follower,
            self._check_takeover,
        )
        self.takeover = Takeover(
            self.zones,
            clock,
            hub,
            self.view,
            self.confirmation,
            self.indirect_probe,
            self.store_heartbeats,
            self.acquirer,
            self.is_large_deployment,
        )
        self.handover_planner = HandoverPlanner(clock, hub, self.view)

    def tick(self) -> None:
        """Start due takeovers, handovers and records of claimed zones.

        Owners also write heartbeats; other daemons close expired links. Called at short
        intervals; does nothing before this daemon is registered.
        """
        if self.takeover.registered_ms is None:
            return
        self.confirmation.announce()
        if not self.leaving and self.follower.version is not None:
            self.takeover.check_owners()
            self._start_due_handovers()
            self.acquirer.record_claims_if_due()
        if self.owned():
            self.store_heartbeats.write_if_due()
        else:
            self.hub.close_expired_links()

    def is_settled(self) -> bool:
        """Return whether this daemon is registered and has nothing to take over."""
        return self.takeover.registered_ms is not None and self.takeover.is_settled()

    def is_large_deployment(self) -> bool:
        """Return whether each zone should have its own owner."""
        return len(self.known_workers()) > WORKERS_PER_PLACER_MAX

    def is_likely_successor(self) -> bool:
        """Return whether this daemon is among the first candidates for its zone."""
        zone = self.own_member.zone if self.is_large_deployment() else None
        return self.view.rank(zone, self.owners()) < LIKELY_SUCCESSORS

    def owned(self) -> dict[str, ZoneOwner]:
        """Return the zones that this incarnation owns, with their owner records."""
        return self.view.owned()

    def is_owner(self, node: str) -> bool:
        """Return whether the daemon ``node`` owns any zone in this incarnation.

        It counts as one until it fails to confirm its zones in time.
        """
        if node == self.own_member.node:
            return bool(self.owned())
        return any(
            not self.confirmation.is_overdue(zone) for zone in self.view.zones_of(node)
        )

    def workers_used_by(self, node: str) -> frozenset[str] | None:
        """Return all workers on which runs of a former owner may be active.

        None if they are not known, or if owners and workers were not read since zones
        were acquired here: while its link was lost, it may have got new ones.
        """
        read_ms = min(self.workers_read_ms(), self.follower.read_ms)
        if read_ms <= self._acquired_ms:
            return None
        zones_changed_ms = self.view.reassigned_ms.get(node, -inf)
        return self.stated_workers.used_by(node, zones_changed_ms)

    def owner_of(self, zone: str) -> str | None:
        """Return the node that owns a zone, reachable or not; None without an owner.

        A node that lost the zone with its former incarnation is no owner.
        """
        owner = self.view.owners.get(zone)
        if owner is None or self.confirmation.is_overdue(zone):
            return None
        is_lost = owner.owner == self.own_member.node and zone not in self.owned()
        return None if is_lost else owner.owner

    def reachable_owners(self) -> dict[str, str]:
        """Return the reachable owners by zone; the zone of this daemon comes first."""
        zones = sorted(
            self.view.owners, key=lambda zone: (zone != self.own_member.zone, zone)
        )
        return {
            zone: self.view.owners[zone].owner
            for zone in zones
            if self.confirmation.is_held(zone)
        }

    def owners(self) -> set[str]:
        """Return the nodes that own zones."""
        return {owner.owner for owner in self.view.owners.values()}

    def request_link(self, node: str) -> None:
        """Keep a link to another member open for ``LINK_KEEP_MS``."""
        member = self.view.members.get(node)
        if member is not None and node != self.own_member.node:
            self.hub.keep_link(node, member.address, self.clock.now_ms() + LINK_KEEP_MS)

    def leave(self) -> None:
        """Unregister this daemon and hand its zones over to peers."""
        self.leaving = self.takeover.leaving = True
        gevent.spawn(self.registration.unregister)
        self.view.members.pop(self.own_member.node, None)
        for zones in self._handover_groups():
            self._hand_over_zones(zones)

    def handle_message(self, link: Link, message: OwnershipMessage) -> None:
        """Handle a message about owners."""
        if isinstance(message, OwnerLivenessQuery):
            self.indirect_probe.handle_query(link, message)
        elif isinstance(message, OwnerLivenessReply):
            self.indirect_probe.handle_reply(link, message)
        elif isinstance(message, OwnedZones):
            self.confirmation.record(link, message)
        elif isinstance(message, WorkersInUse):
            self.stated_workers.record(link, frozenset(message.workers))
        elif isinstance(message, ZoneClaims):
            self.view.apply_owners(
                ZoneOwner(zone, message.owner, epoch, message.claim)
                for zone, epoch in zip(message.zones, message.epochs, strict=True)
            )
        elif not self.leaving:
            if link.peer.protocol_version < WORKERS_IN_USE_VERSION:
                self.stated_workers.record(link, frozenset(message.workers))
            gevent.spawn(self._handle_take_zones, message, link.peer.node)

    def on_link_opened(self, link: Link) -> None:
        """Tell the peer the workers in use, and the zones claimed without the store.

        All zones are announced again if they changed since the link's hello.
        """
        self.stated_workers.on_link_opened(link)
        self.confirmation.on_link_opened(link)
        claimed = [owner for owner in self.owned().values() if owner.claim]
        if claimed:
            link.send(make_claims_message(claimed))

    def on_worker_fenced(self, zone: str) -> None:
        """Acquire an owned zone again after a worker refused this daemon's token."""
        gevent.spawn(self._reacquire_fenced_zone, zone)

    def _reacquire_fenced_zone(self, zone: str) -> None:
        token = self.view.token(zone)
        failure = self.follower.read_now()
        if failure is None and zone in self.owned() and self.view.token(zone) == token:
            self.acquirer.acquire((zone,), "a worker refused the fencing token")

    def _on_owners_changed(self) -> None:
        owned = {owner.fencing_token for owner in self.owned().values()}
        if owned - self._owned_tokens:
            self._acquired_ms = self.clock.now_ms()
        self._owned_tokens = owned
        self.confirmation.announce()
        self._inform_former_owners()
        self.on_change()

    def _inform_former_owners(self) -> None:
        """Send former owners the records that replaced theirs.

        One that does not reach the store would go on with jobs that this daemon is
        about to send to the new owners.
        """
        for node, record in self.view.pop_superseded():
            link = self.hub.link(node)
            if link is not None and self.confirmation.may_hold(link, record.zone):
                link.send(make_claims_message([record]))

    def register(self) -> None:
        """Register this daemon; it takes no zones before."""
        self.registration.register()
        self.takeover.registered_ms = self.clock.now_ms()

    def _check_takeover(self, former_owners: set[str]) -> None:
        """Read owners and workers, and log the workers that are not registered."""
        reading = gevent.spawn(self.follower.read_now)
        is_read = self.refresh_workers() and reading.get() is None
        used = {node: self.workers_used_by(node) for node in former_owners}
        missing = frozenset().union(*filter(None, used.values())) - self.known_workers()
        log.info(
            "takeover_checked",
            former_owners=sorted(former_owners),
            tables_read=is_read,
            missing_workers=sorted(missing),
            unstated=sorted(node for node in used if used[node] is None),
        )

    # Planned handovers

    def _handle_take_zones(self, message: TakeZones, sender: str) -> None:
        """Read the workers again, then acquire the zones that the sender hands over."""
        self.refresh_workers()
        self.acquirer.acquire(message.zones, f"requested by {sender}")

    def _start_due_handovers(self) -> None:
        for zone, node in self.handover_planner.due_handovers(
            self.is_large_deployment()
        ).items():
            self._send_take_zones(node, (zone,))

    def _send_take_zones(self, node: str, zones: tuple[str, ...]) -> None:
        link = self.hub.link(node)
        if link is not None:
            link.send(TakeZones(zones, tuple(self.known_workers())))

    def _handover_groups(self) -> list[tuple[str, ...]]:
        """Return the owned zones in groups, each to be taken over by one daemon."""
        zones = tuple(self.owned())
        if self.is_large_deployment():
            return [(zone,) for zone in zones]
        return [zones] if zones else []

    def _hand_over_zones(self, zones: tuple[str, ...]) -> None:
        preferred_zone = zones[0] if self.is_large_deployment() else None
        for member in self.view.candidates(set(self.hub.nodes()), preferred_zone):
            if (
                member.node == self.own_member.node
                or self.hub.link(member.node) is None
            ):
                continue
            log.info(
                "zones_handed_over", zones=zones, to=member.node, reason="stopping"
            )
            self._send_take_zones(member.node, zones)
            if self._wait_until_taken(zones):
                return

    def _wait_until_taken(self, zones: tuple[str, ...]) -> bool:
        until_ms = self.clock.now_ms() + HANDOVER_TIMEOUT_MS
        while self.clock.now_ms() < until_ms:
            gevent.sleep(POLL_MS / MS_PER_S)
            if not set(zones) & set(self.owned()):
                return True
        return False
