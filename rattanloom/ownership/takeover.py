"""Detects that the owner of a zone is lost and takes the zone over."""

from collections.abc import Callable

import gevent
from attrs import define, field

from rattanloom.clock import MS_PER_S, Clock
from rattanloom.decision_log import DecisionLog
from rattanloom.errors import Failure
from rattanloom.links.hub import LinkHub
from rattanloom.ownership.acquisition import ZoneAcquirer
from rattanloom.ownership.confirmation import (
    CONFIRMATION_TIMEOUT_MS,
    OwnerConfirmation,
)
from rattanloom.ownership.indirect_probe import IndirectProbe
from rattanloom.ownership.records import Member, ZoneOwner
from rattanloom.ownership.store_heartbeats import StoreHeartbeats
from rattanloom.ownership.view import OwnerView

log = DecisionLog("ownership")

# An owner is lost after this time without a live link. A broken link is redialled
# within ``RECONNECT_PAUSE_MS`` and can be open again by then.
LOST_AFTER_MS = 100
# Delay between two successive candidates, so that usually only one of them writes.
# Longer than the interval of ticks: candidates notice a loss up to a tick apart.
RANK_DELAY_MS = 90
# Delay after its registration before a daemon takes a zone that has no owner; at the
# first start of a deployment, all daemons register within this time.
FIRST_START_MS = 300
# This many candidates probe peers at the same time. The next ones start after the
# delay, unless the zone has a new owner by then; all have started after the maximum.
PROBING_CANDIDATES = 6
PROBING_DELAY_MS = 250
PROBING_DELAY_MAX_MS = 1_000
# Pause after an indirect probe that found the owner alive.
OWNER_ALIVE_PAUSE_MS = 300
# How long a link is kept after the last request for it.
LINK_KEEP_MS = 2_000


@define(eq=False, repr=False)
class Takeover:
    """Watches the owners of zones and replaces those that are lost.

    ``zones`` are all zones of the deployment. ``is_large_deployment`` is that of
    ``Ownership``. ``registered_ms`` is when this daemon registered.
    ``_unreachable_since_ms`` maps the node of an owner without a live link to the time
    of the first check that found none.
    """

    zones: tuple[str, ...]
    clock: Clock
    hub: LinkHub
    view: OwnerView
    confirmation: OwnerConfirmation
    indirect_probe: IndirectProbe
    store_heartbeats: StoreHeartbeats
    acquirer: ZoneAcquirer
    is_large_deployment: Callable[[], bool]
    registered_ms: float | None = None
    leaving: bool = False
    _unreachable_since_ms: dict[str, float] = field(factory=dict)
    _is_running: bool = False

    def check_owners(self) -> None:
        """Start a takeover of the zones that need an owner; only one runs at a time."""
        zones = [zone for zone in self._watched_zones() if self._needs_owner(zone)]
        if zones and not self._is_running:
            self._is_running = True
            gevent.spawn(self._run_takeover, zones)

    def is_settled(self) -> bool:
        """Return whether all watched zones have a live owner that confirms them."""
        return not self._is_running and all(
            map(self.confirmation.is_confirmed, self._watched_zones())
        )

    def _watched_zones(self) -> tuple[str, ...]:
        """Return the zones whose owners this daemon watches and keeps links to.

        In a large deployment, a daemon that owns no zone watches only the zone in
        which it runs and those whose records name it, which it owned before a restart;
        owners watch all zones.
        """
        if self.is_large_deployment() and self.view.owners and not self.view.owned():
            own = self.view.own_member
            return tuple({own.zone} | self.view.zones_of(own.node))
        return self.zones

    def _needs_owner(self, zone: str) -> bool:
        now_ms = self.clock.now_ms()
        owner = self.view.owners.get(zone)
        if owner is None:
            return now_ms > (self.registered_ms or now_ms) + FIRST_START_MS
        if owner.owner == self.view.own_member.node:
            return zone not in self.view.owned()
        return self._is_takeover_due(zone, owner.owner, now_ms)

    def _is_takeover_due(self, zone: str, owner: str, now_ms: float) -> bool:
        """Return whether an owner has been lost for long enough.

        It is lost if it is unreachable, or if it does not confirm the zone in time.
        The wait is longer for candidates of a lower rank: if all daemons of a large
        zone probed all others at once, the links would take longer than the probe.
        """
        member = self.view.members.get(owner)
        if member is not None:
            self.hub.keep_link(owner, member.address, now_ms + LINK_KEEP_MS)
        if self.hub.is_alive(owner):
            self._unreachable_since_ms.pop(owner, None)
            lost_ms = self.confirmation.unconfirmed_ms(zone)
            lost_after_ms = CONFIRMATION_TIMEOUT_MS
        else:
            lost_ms = now_ms - self._unreachable_since_ms.setdefault(owner, now_ms)
            lost_after_ms = LOST_AFTER_MS
        if lost_ms <= lost_after_ms:
            return False
        return lost_ms > lost_after_ms + self._probing_delay_ms(zone, owner)

    def _probing_delay_ms(self, zone: str, lost_owner: str) -> float:
        preferred_zone = zone if self.is_large_deployment() else None
        rank = self.view.rank(preferred_zone, (lost_owner,))
        delay_ms = rank // PROBING_CANDIDATES * PROBING_DELAY_MS
        return min(delay_ms, PROBING_DELAY_MAX_MS)

    def _run_takeover(self, zones: list[str]) -> None:
        try:
            self._take_over_if_lost(self._acquire_own(zones))
        finally:
            self._is_running = False

    def _acquire_own(self, zones: list[str]) -> list[str]:
        """Acquire the zones whose records name this daemon; return the others.

        Only this daemon knows that they have no owner, so it waits for no probe and not
        for its rank.
        """
        own = self.view.zones_of(self.view.own_member.node).intersection(zones)
        if own and not self.leaving:
            reason = "owned by a former incarnation"
            self.acquirer.acquire_or_claim(sorted(own), reason)
        return [zone for zone in zones if zone not in own]

    def _take_over_if_lost(self, zones: list[str]) -> None:
        if not zones:
            return
        own_node = self.view.own_member.node
        before = {zone: self.view.owners.get(zone) for zone in zones}
        owners_by_zone = {zone: owner.owner for zone, owner in before.items() if owner}
        owners = set(owners_by_zone.values())
        peers = [
            member
            for node, member in self.view.members.items()
            if node not in owners and node != own_node
        ]
        # Owners that are alive, but do not confirm their zones.
        alive_owners = {owner for owner in owners if self.hub.is_alive(owner)}
        reachable_nodes = {own_node} | alive_owners
        if owners:
            reachable_nodes |= self._probe(owners_by_zone, peers)
        else:
            reachable_nodes |= {member.node for member in peers}
        free = [
            zone
            for zone in zones
            if zone not in owners_by_zone
            or not self.indirect_probe.is_owner_alive(owners_by_zone[zone], zone)
        ]
        if not free:
            gevent.sleep(OWNER_ALIVE_PAUSE_MS / MS_PER_S)
            return
        lost = {owners_by_zone[zone] for zone in free if zone in owners_by_zone}
        takeable = self._zones_to_take(free, lost - alive_owners, reachable_nodes)
        self._take_over_by_rank(
            {zone: before[zone] for zone in takeable},
            reachable_nodes,
            ",".join(sorted(lost)) or "none, the zones have no other owner",
        )

    def _probe(self, owners_by_zone: dict[str, str], peers: list[Member]) -> set[str]:
        """Probe owners through peers; return the nodes that replied.

        In a large deployment, only the daemons of the zones and other owners keep
        links to an owner. The others are probed only if a majority is needed.
        """
        zones, owners = list(owners_by_zone), set(owners_by_zone.values())
        near, far = peers, []
        if self.is_large_deployment():
            near = [peer for peer in peers if self._may_have_link(peer, zones)]
            far = [peer for peer in peers if not self._may_have_link(peer, zones)]
        probe = self.indirect_probe
        probe.clear()
        probe.run(owners, near)
        reached = {self.view.own_member.node, *probe.responding_peers}
        is_decided = any(
            probe.is_owner_alive(owner, zone)
            or self.view.is_majority_reached(zone, reached)
            for zone, owner in owners_by_zone.items()
        )
        if far and not is_decided:
            probe.run(owners, far)
        return probe.responding_peers

    def _may_have_link(self, peer: Member, zones: list[str]) -> bool:
        """Return whether a peer watches the owners of some of the zones."""
        return peer.zone in zones or bool(self.view.zones_of(peer.node))

    def _zones_to_take(
        self, zones: list[str], owners: set[str], reachable_nodes: set[str]
    ) -> list[str]:
        """Return the zones that this daemon may take over.

        These are the zones for which it reaches a majority, or all if it reaches none
        and there are no other ``owners``. If there are, this daemon may be cut off
        itself, and checks their heartbeats in the store. Without the store, it takes
        only the zone in which it runs, which all other daemons may fail to reach.
        """
        takeable = [
            zone
            for zone in zones
            if self.view.is_majority_reached(zone, reachable_nodes)
        ]
        if takeable or not owners:
            return takeable or zones
        stopped = self.store_heartbeats.have_stopped(owners)
        if isinstance(stopped, Failure):
            return [zone for zone in zones if zone == self.view.own_member.zone]
        if not stopped:
            log.info(
                "zones_not_taken",
                zones=zones,
                reason="an owner still writes heartbeats",
            )
        return zones if stopped else []

    def _take_over_by_rank(
        self,
        before: dict[str, ZoneOwner | None],
        reachable_nodes: set[str],
        lost_owners: str,
    ) -> None:
        """Take each zone that has no new owner after the delay of this daemon's rank.

        ``before`` maps the zones to their owners before the probe. The rank is this
        daemon's position among the candidates for the zone.
        """
        started_ms = self.clock.now_ms()
        by_rank: dict[int, list[str]] = {}
        for zone in before:
            by_rank.setdefault(self._rank(zone, reachable_nodes), []).append(zone)
        for rank, ranked in sorted(by_rank.items()):
            wait_ms = started_ms + rank * RANK_DELAY_MS - self.clock.now_ms()
            gevent.sleep(max(0, wait_ms) / MS_PER_S)
            free = [
                zone for zone in ranked if self.view.owners.get(zone) is before[zone]
            ]
            if free and not self.leaving:
                self.acquirer.acquire_or_claim(free, f"lost owners: {lost_owners}")

    def _rank(self, zone: str, reachable_nodes: set[str]) -> int:
        preferred_zone = zone if self.is_large_deployment() else None
        return self.view.candidates(reachable_nodes, preferred_zone).index(
            self.view.own_member
        )
