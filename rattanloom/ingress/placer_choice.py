"""Chooses a placer for a job: the preferred one, or another if that one is full.

The preferred placer is the reachable owner that comes first in the order of zones,
which starts with this daemon's own zone. Evacuated zones are left out.
"""

from collections.abc import Callable, Collection, Container, Mapping

from attrs import define, field, frozen

from rattanloom.clock import Clock

# Reports older than this are ignored; in a large deployment, placers send one every
# 100 ms.
CAPACITY_MAX_AGE_MS = 350
# While the preferred placer has less free capacity than this, links to the other
# placers are kept. About seven tasks of the largest kinds need this much.
LOW_CAPACITY_MILLICORES = 100_000


@frozen
class ChosenPlacer:
    """A placer, and the zone for which it was chosen."""

    node: str
    zone: str


@define(eq=False, repr=False)
class PlacerCapacity:
    """A placer's last reported free capacity, less the need of jobs sent since."""

    millicores: float
    received_ms: float


@define(eq=False, repr=False)
class PlacerChoice:
    """Chooses among the owners of zones.

    ``reachable_owners`` returns the reachable owners by zone, the preferred zone
    first. ``owner_of`` returns the owner of a zone, reachable or not.
    ``evacuated_zones`` is changed by its owner; ``zones`` are all zones.
    """

    clock: Clock
    reachable_owners: Callable[[], Mapping[str, str]]
    owner_of: Callable[[str], str | None]
    evacuated_zones: Container[str] = frozenset()
    zones: Collection[str] = ()
    free_capacity: dict[str, PlacerCapacity] = field(factory=dict)

    def record_free_capacity(self, node: str, millicores: float) -> None:
        """Record the capacity that a placer reports; below 0 if tasks wait there."""
        self.free_capacity[node] = PlacerCapacity(millicores, self.clock.now_ms())

    def is_preferred_nearly_full(self) -> bool:
        """Return whether jobs may soon have to go to another placer.

        Always while the preferred zone is evacuated: its jobs go to all other placers.
        """
        zone, node = next(iter(self.reachable_owners().items()), ("", None))
        if node is None or zone in self.evacuated_zones:
            return True
        return (
            self._free_millicores(node, LOW_CAPACITY_MILLICORES)
            < LOW_CAPACITY_MILLICORES
        )

    def choose(
        self, need_millicores: float, excluded: Container[str] = ()
    ) -> ChosenPlacer | None:
        """Return the placer for a new job; None if none is reachable.

        The placers ``excluded`` have rejected the job or handed it back. The chosen one
        is the preferred placer or, if it has too little free capacity for the job or
        its zone is evacuated, the placer with the most. A placer without a recent
        report counts as having just enough. The job's need is subtracted from the
        capacity of the returned placer.
        """
        reachable_owners = self.reachable_owners()
        open_owners = {
            zone: node
            for zone, node in reachable_owners.items()
            if zone not in self.evacuated_zones and node not in excluded
        }
        if not open_owners:
            return None
        zone, node = next(iter(open_owners.items()))
        is_preferred = zone == next(iter(reachable_owners))
        is_full = self._free_millicores(node, need_millicores) < need_millicores
        if not is_preferred or is_full:
            zone, node = max(
                open_owners.items(),
                key=lambda item: self._free_millicores(item[1], need_millicores),
            )
        if node in self.free_capacity:
            self.free_capacity[node].millicores -= need_millicores
        return ChosenPlacer(node, zone)

    def may_reach_other(self, excluded_nodes: Collection[str] = ()) -> bool:
        """Return whether a placer of an open zone is known, reachable or not.

        If it has no link yet, ``choose`` may return it in a moment. A zone may be
        without an owner for a moment, too.
        """
        open_zones = [zone for zone in self.zones if zone not in self.evacuated_zones]
        return not self.zones or any(
            self.owner_of(zone) not in excluded_nodes for zone in open_zones
        )

    def current_owner(self, zone: str) -> ChosenPlacer | None:
        """Return the current owner of a zone, for a job that was sent there before."""
        node = self.owner_of(zone)
        return None if node is None else ChosenPlacer(node, zone)

    def _free_millicores(self, node: str, default_millicores: float) -> float:
        """Return a placer's free capacity; the default without a recent report."""
        capacity = self.free_capacity.get(node)
        if (
            capacity is None
            or self.clock.now_ms() > capacity.received_ms + CAPACITY_MAX_AGE_MS
        ):
            return default_millicores
        return capacity.millicores
