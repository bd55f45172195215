"""Schedules heartbeats to other hosts, at a bounded cost per round.

All local hosts receive one in the same round; remote hosts are spread over the
rounds.
"""

from attrs import define, field

from rattanloom.peers.membership import KnownMember, Membership
from rattanloom.settings import Seed

# Greatest average number of heartbeats that a host sends per round: to all hosts,
# and to local ones. Remote hosts share what the local ones leave.
SENDS_PER_ROUND = 5
LOCAL_SENDS_PER_ROUND = 3

# Shortest interval between two heartbeats to the same remote host.
REMOTE_INTERVAL_MIN_ROUNDS = 2


@define(eq=False)
class SendSchedule:
    """The addresses to send to: the members, and seeds not yet known as members.

    ``_remote_credit`` is the fraction of a heartbeat left over from earlier rounds.
    """

    membership: Membership
    seeds: tuple[Seed, ...]
    zone_by_address: dict[str, str] = field(factory=dict)
    local_interval_rounds: int = 1
    remote_interval_rounds: float = REMOTE_INTERVAL_MIN_ROUNDS
    _remote_addresses: list[str] = field(factory=list)
    _remote_turn: int = 0
    _remote_credit: float = 0
    _members: dict[str, KnownMember] = field(factory=dict)

    def refresh(self) -> None:
        """Update the addresses and intervals from the membership."""
        own = self.membership.own
        self._members = {
            member.record.address: member for member in self.membership.all_members()
        }
        zone_by_address = {
            address: m.record.zone for address, m in self._members.items()
        }
        for seed in self.seeds:
            known = self.membership.get(seed.host) is not None
            if not known and seed.host != own.host:
                zone_by_address.setdefault(seed.address, seed.zone)
        zone_by_address.pop(own.address, None)
        self.zone_by_address = zone_by_address
        local_count = sum(zone == own.zone for zone in zone_by_address.values())
        remote_count = len(zone_by_address) - local_count
        self.local_interval_rounds = max(1, -(-local_count // LOCAL_SENDS_PER_ROUND))
        remote_per_round = SENDS_PER_ROUND - local_count / self.local_interval_rounds
        self.remote_interval_rounds = max(
            remote_count / remote_per_round, REMOTE_INTERVAL_MIN_ROUNDS
        )
        self._remote_addresses = [
            address for address in zone_by_address if not self.is_local(address)
        ]

    @property
    def has_few_remote_hosts(self) -> bool:
        """Return whether remote hosts receive heartbeats at the shortest interval."""
        return self.remote_interval_rounds <= REMOTE_INTERVAL_MIN_ROUNDS

    def next_remote_addresses(self) -> list[str]:
        """Return the addresses of the remote hosts that are due in this round."""
        self._remote_credit += len(self._remote_addresses) / self.remote_interval_rounds
        due = int(self._remote_credit)
        self._remote_credit -= due
        turns = range(self._remote_turn, self._remote_turn + due)
        self._remote_turn += due
        return [
            self._remote_addresses[turn % len(self._remote_addresses)] for turn in turns
        ]

    def is_local(self, address: str) -> bool:
        """Return whether the address belongs to a host of this zone."""
        return self.zone_by_address.get(address) == self.membership.own.zone

    def interval_ms(self, address: str) -> float:
        """Return the average time between two heartbeats to an address."""
        rounds = (
            self.local_interval_rounds
            if self.is_local(address)
            else self.remote_interval_rounds
        )
        return rounds * self.membership.heartbeat_ms

    def member_at(self, address: str) -> KnownMember | None:
        """Return the member at an address."""
        return self._members.get(address)
