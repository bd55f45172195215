"""Selects the relayed members and load values of each heartbeat."""

from random import Random

from attrs import define, evolve, field

from rattanloom.peers.load_exchange import LoadReporter
from rattanloom.peers.membership import KnownMember, Membership
from rattanloom.peers.messages import Heartbeat, RelayedHeartbeat

# Members of this host's own zone and of other zones that are relayed in one heartbeat,
# to a local and to a remote host.
LOCAL_OWN_ZONE_MEMBERS = 1
LOCAL_OTHER_ZONE_MEMBERS = 2
REMOTE_OWN_ZONE_MEMBERS = 3
REMOTE_OTHER_ZONE_MEMBERS = 1

# Values of teams and targets in one heartbeat.
LOCAL_LOAD_VALUES = 30
REMOTE_LOAD_VALUES_FEW_RECEIVERS = 30
REMOTE_LOAD_VALUES = 12

# Most keys in ``unheard`` of one heartbeat.
UNHEARD_MAX = 8


@define(eq=False)
class Gossip:
    """Selects a few live members for each heartbeat, to keep it small.

    All local hosts receive the same heartbeat, with members in round-robin order.
    Remote hosts receive theirs in turn, with members drawn at random: if the
    members were in round-robin order too, the two rotations could be in step, and
    some receivers would never get some members.
    """

    membership: Membership
    load_reporter: LoadReporter
    random: Random
    _local_turn: int = 0
    _remote_turn: int = 0
    _local_members: list[KnownMember] = field(factory=list)
    _remote_members: list[KnownMember] = field(factory=list)

    def refresh(self) -> None:
        """Update the members and the load to select from."""
        self.load_reporter.refresh()
        zone = self.membership.own.zone
        alive = [
            member for member in self.membership.confirmed_members() if member.is_alive
        ]
        self._local_members = [m for m in alive if m.record.zone == zone]
        self._remote_members = [m for m in alive if m.record.zone != zone]

    def for_local(self, base: Heartbeat) -> Heartbeat:
        """Return the heartbeat for all local hosts."""
        return evolve(
            base,
            told=_relayed_heartbeats(
                self._next_local_members() + self._next_remote_members()
            ),
            unheard=self._unheard_in_zone(),
            load=self.load_reporter.changes(LOCAL_LOAD_VALUES),
        )

    def for_remote(
        self, base: Heartbeat, turn: int, few_receivers: bool = False
    ) -> Heartbeat:
        """Return the ``turn``-th heartbeat for one remote host.

        With ``few_receivers`` it holds more load values. ``unheard`` stays as in
        ``base``, where it concerns the receiver only.
        """
        values = (
            REMOTE_LOAD_VALUES_FEW_RECEIVERS if few_receivers else REMOTE_LOAD_VALUES
        )
        return evolve(
            base,
            told=_relayed_heartbeats(
                self._draw(self._local_members, REMOTE_OWN_ZONE_MEMBERS)
                + self._draw(self._remote_members, REMOTE_OTHER_ZONE_MEMBERS)
            ),
            load=self.load_reporter.slice(turn * values, values),
        )

    def _next_local_members(self) -> list[KnownMember]:
        members = _in_turn(
            self._local_members, self._local_turn, LOCAL_OWN_ZONE_MEMBERS
        )
        self._local_turn += LOCAL_OWN_ZONE_MEMBERS
        return members

    def _next_remote_members(self) -> list[KnownMember]:
        others = _in_turn(
            self._remote_members, self._remote_turn, LOCAL_OTHER_ZONE_MEMBERS
        )
        self._remote_turn += LOCAL_OTHER_ZONE_MEMBERS
        return others

    def _draw(self, members: list[KnownMember], count: int) -> list[KnownMember]:
        return self.random.sample(members, min(count, len(members)))

    def _unheard_in_zone(self) -> tuple[int, ...]:
        """Return keys of local members whose heartbeats do not arrive here."""
        keys = [
            member.record.key
            for member in self.membership.confirmed_members()
            if member.record.zone == self.membership.own.zone
            and not member.is_received_here
        ]
        return tuple(keys[-UNHEARD_MAX:])


def _in_turn(members: list[KnownMember], turn: int, count: int) -> list[KnownMember]:
    size = len(members)
    return [members[(turn + step) % size] for step in range(min(count, size))]


def _relayed_heartbeats(members: list[KnownMember]) -> tuple[RelayedHeartbeat, ...]:
    return tuple(RelayedHeartbeat(m.record.key, m.sequence, m.leaving) for m in members)
