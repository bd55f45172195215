"""To whom heartbeats go, and how often, so that a daemon's cost stays bounded."""

from attrs import define, field

from rattanloom.peers.membership import KnownMember, Membership
from rattanloom.settings import Seed

SENDS_PER_ROUND = 5
LOCAL_SENDS_PER_ROUND = 3
REMOTE_INTERVAL_MIN_ROUNDS = 2


@define(eq=False)
class SendSchedule:
    """The addresses to send to: known members, and seeds not yet known."""

    membership: Membership
    seeds: tuple[Seed, ...]
    zones: dict[str, str] = field(factory=dict)
    local_interval_rounds: int = 1
    remote_interval_rounds: float = REMOTE_INTERVAL_MIN_ROUNDS
    _far: list[str] = field(factory=list)
    _far_turn: int = 0
    _far_share: float = 0
    _members: dict[str, KnownMember] = field(factory=dict)

    def refresh(self) -> None:
        """Follow the membership; called once a beat."""
        own = self.membership.own
        self._members = {
            member.record.address: member for member in self.membership.all_members()
        }
        zones = {address: m.record.zone for address, m in self._members.items()}
        for seed in self.seeds:
            known = self.membership.get(seed.host) is not None
            if not known and seed.host != own.host:
                zones.setdefault(seed.address, seed.zone)
        zones.pop(own.address, None)
        self.zones = zones
        near_count = sum(zone == own.zone for zone in zones.values())
        far_count = len(zones) - near_count
        self.local_interval_rounds = max(1, -(-near_count // LOCAL_SENDS_PER_ROUND))
        far_per_beat = SENDS_PER_ROUND - near_count / self.local_interval_rounds
        self.remote_interval_rounds = max(
            far_count / far_per_beat, REMOTE_INTERVAL_MIN_ROUNDS
        )
        self._far = [address for address in zones if not self.is_local(address)]

    @property
    def sends_remote_often(self) -> bool:
        """Say whether hosts of other zones are few enough to send to often."""
        return self.remote_interval_rounds <= REMOTE_INTERVAL_MIN_ROUNDS

    def next_remote(self) -> list[str]:
        """Return the addresses in other zones whose turn it is in this beat."""
        self._far_share += len(self._far) / self.remote_interval_rounds
        due = int(self._far_share)
        self._far_share -= due
        turns = range(self._far_turn, self._far_turn + due)
        self._far_turn += due
        return [self._far[turn % len(self._far)] for turn in turns]

    def is_local(self, address: str) -> bool:
        """Say whether the address belongs to a host of this zone."""
        return self.zones.get(address) == self.membership.own.zone

    def interval_ms(self, address: str) -> float:
        """Return the time between two heartbeats to an address."""
        beats = (
            self.local_interval_rounds
            if self.is_local(address)
            else self.remote_interval_rounds
        )
        return beats * self.membership.heartbeat_ms

    def member_at(self, address: str) -> KnownMember | None:
        """Return the member at an address."""
        return self._members.get(address)
