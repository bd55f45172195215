"""Chooses what a heartbeat tells of other hosts and of the load."""

from attrs import define, evolve

from rattanloom.peers.load_exchange import LoadTeller
from rattanloom.peers.membership import KnownMember, Membership
from rattanloom.peers.messages import Heartbeat, ToldBeat

NEAR_TOLD_OF_ZONE = 1
NEAR_TOLD_OF_OTHERS = 2
FAR_TOLD_OF_ZONE_MAX = 8
FAR_TOLD_OF_OTHERS = 2
NEAR_LOAD_VALUES = 24
FAR_LOAD_VALUES = 32
UNHEARD_MAX = 8


@define(eq=False)
class Tidings:
    """Picks, in turn, the hosts to tell of; keeps each heartbeat small."""

    membership: Membership
    _near_turn: int = 0
    _others_turn: int = 0
    _far_turn: int = 0

    def near(self, plain: Heartbeat, teller: LoadTeller, now_ms: float) -> Heartbeat:
        """Return the heartbeat for every host of this zone."""
        zone_mates, others = self._fresh_members(now_ms)
        told = _in_turn(zone_mates, self._near_turn, NEAR_TOLD_OF_ZONE)
        told += _in_turn(others, self._others_turn, NEAR_TOLD_OF_OTHERS)
        self._near_turn += NEAR_TOLD_OF_ZONE
        self._others_turn += NEAR_TOLD_OF_OTHERS
        return evolve(
            plain,
            told=_told(told),
            unheard=self._unheard_in_zone(),
            load=teller.changes(NEAR_LOAD_VALUES),
        )

    def far(
        self,
        plain: Heartbeat,
        teller: LoadTeller,
        turn: int,
        now_ms: float,
    ) -> Heartbeat:
        """Return the ``turn``-th heartbeat for one host of another zone."""
        zone_mates, others = self._fresh_members(now_ms)
        told = _in_turn(zone_mates, self._far_turn, FAR_TOLD_OF_ZONE_MAX)
        told += _in_turn(others, self._others_turn, FAR_TOLD_OF_OTHERS)
        self._far_turn += FAR_TOLD_OF_ZONE_MAX
        self._others_turn += FAR_TOLD_OF_OTHERS
        return evolve(
            plain,
            told=_told(told),
            load=teller.slice(turn * FAR_LOAD_VALUES, FAR_LOAD_VALUES),
        )

    def _fresh_members(
        self, now_ms: float
    ) -> tuple[list[KnownMember], list[KnownMember]]:
        zone_mates, others = [], []
        for member in self.membership.known():
            if not self.membership.is_fresh(member, now_ms):
                continue
            near = member.record.zone == self.membership.own.zone
            (zone_mates if near else others).append(member)
        return zone_mates, others

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


def _told(members: list[KnownMember]) -> tuple[ToldBeat, ...]:
    return tuple(
        ToldBeat(member.record.key, member.beat, member.leaving) for member in members
    )
