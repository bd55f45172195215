"""Decides when an owner hands a zone over to another live daemon."""

from attrs import define, field

from rattanloom.clock import Clock
from rattanloom.decision_log import DecisionLog
from rattanloom.links.hub import LinkHub
from rattanloom.ownership.records import ZoneOwner
from rattanloom.ownership.view import OwnerView

log = DecisionLog("ownership")

# Time for which a better owner must have been alive before a zone is handed over:
# after a partition, workers that were cut off are registered again in about 2 s.
MERGE_AFTER_MS = 2_500
# A daemon replaces an owner that runs in the same zone only if it has more than this
# many times its cores, so that zones do not move back and forth between equal machines.
STRONGER_FACTOR = 1.5


@define(eq=False, repr=False)
class HandoverPlanner:
    """Selects the zones that this daemon should hand over, and their new owners.

    In a small deployment, all zones go to the owner that has the most of them. In a
    large one, a zone goes from an owner elsewhere to a daemon that runs in the zone,
    and from an owner in the zone to a much stronger daemon there.
    """

    clock: Clock
    hub: LinkHub
    view: OwnerView
    _alive_since_ms: dict[str, float] = field(factory=dict)

    def due_handovers(self, is_large_deployment: bool) -> dict[str, str]:
        """Return the new owner of each zone to hand over now."""
        now_ms = self.clock.now_ms()
        due = {}
        for zone, owner in self.view.owned().items():
            better = self._better_owner(zone, owner, is_large_deployment)
            if better is None or not self.hub.is_alive(better):
                self._alive_since_ms.pop(zone, None)
            elif (
                now_ms > self._alive_since_ms.setdefault(zone, now_ms) + MERGE_AFTER_MS
            ):
                del self._alive_since_ms[zone]
                log.info("zones_handed", zones=(zone,), to=better, reason="merge")
                due[zone] = better
        return due

    def _better_owner(
        self, zone: str, owner: ZoneOwner, is_large_deployment: bool
    ) -> str | None:
        if is_large_deployment:
            return self._better_owner_in_zone(zone)
        owners = {other.owner for other in self.view.owners.values()}
        best = min(owners, key=lambda node: (-len(self.view.zones_of(node)), node))
        return best if best != self.view.own_member.node else None

    def _better_owner_in_zone(self, zone: str) -> str | None:
        """Return the daemon in the zone that should own it instead, if any.

        Only linked daemons are compared: all daemons in a zone keep links to its
        owner.
        """
        own = self.view.own_member
        alive = {node for node in self.hub.nodes() if self.hub.is_alive(node)}
        best = self.view.candidates(alive, zone)[0]
        if best.node == own.node or best.zone != zone:
            return None
        is_stronger = best.cpu_cores > STRONGER_FACTOR * own.cpu_cores
        return best.node if own.zone != zone or is_stronger else None
