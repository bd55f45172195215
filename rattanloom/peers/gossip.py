"""Chooses what a heartbeat tells of other hosts and of the load."""

from random import Random

from attrs import define, evolve, field

from rattanloom.peers.load_exchange import LoadReporter
from rattanloom.peers.membership import KnownMember, Membership
from rattanloom.peers.messages import Heartbeat, RelayedHeartbeat

NEAR_TOLD_OF_ZONE = 1
NEAR_TOLD_OF_OTHERS = 2
FAR_TOLD_OF_ZONE = 3
FAR_TOLD_OF_OTHERS = 1
NEAR_LOAD_VALUES = 30
FAR_LOAD_VALUES_OFTEN = 30
FAR_LOAD_VALUES = 12
UNHEARD_MAX = 8


@define(eq=False)
class Gossip:
    """Picks the hosts to tell of; keeps each heartbeat small.

    A zone is told in turn. Receivers in other zones take turns themselves, so
    for them the hosts are drawn: two turns in step would leave gaps.
    """

    membership: Membership
    load_reporter: LoadReporter
    random: Random
    _zone_turn: int = 0
    _others_turn: int = 0
    _zone_mates: list[KnownMember] = field(factory=list)
    _others: list[KnownMember] = field(factory=list)

    def refresh(self) -> None:
        """Follow the membership and the load."""
        self.load_reporter.refresh()
        zone = self.membership.own.zone
        is_alive = [
            member for member in self.membership.confirmed_members() if member.is_alive
        ]
        self._zone_mates = [m for m in is_alive if m.record.zone == zone]
        self._others = [m for m in is_alive if m.record.zone != zone]

    def near(self, plain: Heartbeat) -> Heartbeat:
        """Return the heartbeat for every host of this zone."""
        return evolve(
            plain,
            told=_told(self._next_zone_mates() + self._next_others()),
            unheard=self._unheard_in_zone(),
            load=self.load_reporter.changes(NEAR_LOAD_VALUES),
        )

    def far(self, plain: Heartbeat, turn: int, often: bool = False) -> Heartbeat:
        """Return the ``turn``-th heartbeat for one host of another zone.

        Where there are few such hosts, each is sent to ``often``, and more.
        """
        values = FAR_LOAD_VALUES_OFTEN if often else FAR_LOAD_VALUES
        return evolve(
            plain,
            told=_told(
                self._draw(self._zone_mates, FAR_TOLD_OF_ZONE)
                + self._draw(self._others, FAR_TOLD_OF_OTHERS)
            ),
            load=self.load_reporter.slice(turn * values, values),
        )

    def _next_zone_mates(self) -> list[KnownMember]:
        mates = _in_turn(self._zone_mates, self._zone_turn, NEAR_TOLD_OF_ZONE)
        self._zone_turn += NEAR_TOLD_OF_ZONE
        return mates

    def _next_others(self) -> list[KnownMember]:
        others = _in_turn(self._others, self._others_turn, NEAR_TOLD_OF_OTHERS)
        self._others_turn += NEAR_TOLD_OF_OTHERS
        return others

    def _draw(self, members: list[KnownMember], count: int) -> list[KnownMember]:
        return self.random.sample(members, min(count, len(members)))

    def _unheard_in_zone(self) -> tuple[int, ...]:
        keys = [
            member.record.key
            for member in self.membership.confirmed_members()
            if member.record.zone == self.membership.own.zone and not member.is_received
        ]
        return tuple(keys[-UNHEARD_MAX:])


def _in_turn(members: list[KnownMember], turn: int, count: int) -> list[KnownMember]:
    size = len(members)
    return [members[(turn + step) % size] for step in range(min(count, size))]


def _told(members: list[KnownMember]) -> tuple[RelayedHeartbeat, ...]:
    return tuple(RelayedHeartbeat(m.record.key, m.beat, m.leaving) for m in members)
