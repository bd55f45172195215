"""Chooses what a heartbeat tells of other hosts and of the load."""

from attrs import define, evolve, field

from rattanloom.peers.load_exchange import LoadTeller
from rattanloom.peers.membership import KnownMember, Membership
from rattanloom.peers.messages import Heartbeat, ToldBeat

NEAR_TOLD_OF_ZONE = 1
NEAR_TOLD_OF_OTHERS = 2
FAR_TOLD_OF_ZONE = 3
FAR_TOLD_OF_OTHERS = 1
NEAR_LOAD_VALUES = 30
FAR_LOAD_VALUES = 12
UNHEARD_MAX = 8


@define(eq=False)
class Tidings:
    """Picks, in turn, the hosts to tell of; keeps each heartbeat small."""

    membership: Membership
    teller: LoadTeller
    _zone_turn: int = 0
    _others_turn: int = 0
    _zone_mates: list[KnownMember] = field(factory=list)
    _others: list[KnownMember] = field(factory=list)

    def refresh(self) -> None:
        """Follow the membership and the load."""
        self.teller.refresh()
        zone = self.membership.own.zone
        fresh = [member for member in self.membership.known() if member.fresh]
        self._zone_mates = [m for m in fresh if m.record.zone == zone]
        self._others = [m for m in fresh if m.record.zone != zone]

    def near(self, plain: Heartbeat) -> Heartbeat:
        """Return the heartbeat for every host of this zone."""
        return evolve(
            plain,
            told=self._told(NEAR_TOLD_OF_ZONE, NEAR_TOLD_OF_OTHERS),
            unheard=self._unheard_in_zone(),
            load=self.teller.changes(NEAR_LOAD_VALUES),
        )

    def far(self, plain: Heartbeat, turn: int) -> Heartbeat:
        """Return the ``turn``-th heartbeat for one host of another zone."""
        return evolve(
            plain,
            told=self._told(FAR_TOLD_OF_ZONE, FAR_TOLD_OF_OTHERS),
            load=self.teller.slice(turn * FAR_LOAD_VALUES, FAR_LOAD_VALUES),
        )

    def _told(self, zone_count: int, others_count: int) -> tuple[ToldBeat, ...]:
        chosen = _in_turn(self._zone_mates, self._zone_turn, zone_count)
        chosen += _in_turn(self._others, self._others_turn, others_count)
        self._zone_turn += zone_count
        self._others_turn += others_count
        return tuple(ToldBeat(m.record.key, m.beat, m.leaving) for m in chosen)

    def _unheard_in_zone(self) -> tuple[int, ...]:
        keys = [
            member.record.key
            for member in self.membership.known()
            if member.record.zone == self.membership.own.zone and not member.heard
        ]
        return tuple(keys[-UNHEARD_MAX:])


def _in_turn(members: list[KnownMember], turn: int, count: int) -> list[KnownMember]:
    size = len(members)
    return [members[(turn + step) % size] for step in range(min(count, size))]
