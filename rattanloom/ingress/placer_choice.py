"""Which placer a job goes to: its zone's own, or one with room where that is full."""

from collections.abc import Callable, Mapping

from attrs import define, field, frozen

from rattanloom.clock import Clock

# Placers tell their room every 100 ms; older news do not count.
CAPACITY_MAX_AGE_MS = 350
# Below this room of the own zone's placer links to the others are opened: some
# seven tasks of the largest kinds.
LOW_CAPACITY_MILLICORES = 100_000


@frozen
class ChosenPlacer:
    """A daemon, and the zone whose workers it was chosen for."""

    node: str
    zone: str


@define(eq=False, repr=False)
class PlacerCapacity:
    """What a placer told of its room, less what was sent to it since."""

    millicores: float
    received_ms: float


@define(eq=False, repr=False)
class PlacerChoice:
    """Chooses among the owners of zones.

    ``reachable_owners`` returns the owners that are heard, by zone, the preferred zone
    first. ``owner_of`` returns the owner of a zone, heard or not.
    """

    clock: Clock
    reachable_owners: Callable[[], Mapping[str, str]]
    owner_of: Callable[[str], str | None]
    free_capacity: dict[str, PlacerCapacity] = field(factory=dict)

    def record_free_capacity(self, node: str, millicores: float) -> None:
        """Take what a placer tells of its room; below 0 tasks wait there."""
        self.free_capacity[node] = PlacerCapacity(millicores, self.clock.now_ms())

    def is_preferred_nearly_full(self) -> bool:
        """Return whether jobs may soon have to go to another zone's placer."""
        node = next(iter(self.reachable_owners().values()), None)
        if node is None:
            return True
        return (
            self._free_millicores(node, LOW_CAPACITY_MILLICORES)
            < LOW_CAPACITY_MILLICORES
        )

    def choose(self, need_millicores: float) -> ChosenPlacer | None:
        """Return the placer for a new job; None if none is heard.

        The preferred one gets it unless it has told that it has no room for it
        while another has.
        """
        reachable_owners = self.reachable_owners()
        if not reachable_owners:
            return None
        zone, node = next(iter(reachable_owners.items()))
        if self._free_millicores(node, need_millicores) < need_millicores:
            zone, node = max(
                reachable_owners.items(),
                key=lambda owner_of: self._free_millicores(
                    owner_of[1], need_millicores
                ),
            )
        if node in self.free_capacity:
            self.free_capacity[node].millicores -= need_millicores
        return ChosenPlacer(node, zone)

    def successor(self, zone: str) -> ChosenPlacer | None:
        """Return who has the workers of a zone by now."""
        node = self.owner_of(zone)
        return None if node is None else ChosenPlacer(node, zone)

    def _free_millicores(self, node: str, unknown_millicores: float) -> float:
        capacity = self.free_capacity.get(node)
        if (
            capacity is None
            or self.clock.now_ms() > capacity.received_ms + CAPACITY_MAX_AGE_MS
        ):
            return unknown_millicores
        return capacity.millicores
