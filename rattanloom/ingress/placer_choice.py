"""Which placer a job goes to: its zone's own, or one with room where that is full."""

from collections.abc import Callable, Mapping

from attrs import define, field, frozen

from rattanloom.clock import Clock

# Placers tell their room every 100 ms; older news do not count.
FRESH_MS = 350
# Below this room of the own zone's placer links to the others are opened: some
# seven tasks of the largest kinds.
LOW_ROOM_MILLICORES = 100_000


@frozen
class ChosenPlacer:
    """A daemon, and the zone whose workers it was chosen for."""

    node: str
    zone: str


@define(eq=False, repr=False)
class KnownRoom:
    """What a placer told of its room, less what was sent to it since."""

    millicores: float
    told_ms: float


@define(eq=False, repr=False)
class PlacerChoice:
    """Chooses among the owners of zones.

    ``reached`` returns the owners that are heard, by zone, the preferred zone
    first. ``owner`` returns the owner of a zone, heard or not.
    """

    clock: Clock
    reached: Callable[[], Mapping[str, str]]
    owner: Callable[[str], str | None]
    rooms: dict[str, KnownRoom] = field(factory=dict)

    def take_room(self, node: str, millicores: float) -> None:
        """Take what a placer tells of its room; below 0 tasks wait there."""
        self.rooms[node] = KnownRoom(millicores, self.clock.now_ms())

    def is_preferred_short(self) -> bool:
        """Return whether jobs may soon have to go to another zone's placer."""
        node = next(iter(self.reached().values()), None)
        if node is None:
            return True
        return self._room(node, LOW_ROOM_MILLICORES) < LOW_ROOM_MILLICORES

    def choose(self, need_millicores: float) -> ChosenPlacer | None:
        """Return the placer for a new job; None if none is heard.

        The preferred one gets it unless it has told that it has no room for it
        while another has.
        """
        reached = self.reached()
        if not reached:
            return None
        zone, node = next(iter(reached.items()))
        if self._room(node, need_millicores) < need_millicores:
            zone, node = max(
                reached.items(), key=lambda owner: self._room(owner[1], need_millicores)
            )
        if node in self.rooms:
            self.rooms[node].millicores -= need_millicores
        return ChosenPlacer(node, zone)

    def successor(self, zone: str) -> ChosenPlacer | None:
        """Return who has the workers of a zone by now."""
        node = self.owner(zone)
        return None if node is None else ChosenPlacer(node, zone)

    def _room(self, node: str, unknown_millicores: float) -> float:
        room = self.rooms.get(node)
        if room is None or self.clock.now_ms() > room.told_ms + FRESH_MS:
            return unknown_millicores
        return room.millicores
