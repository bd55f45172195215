"""To whom heartbeats go, and how often, so that a daemon's cost stays bounded."""

from attrs import define, field

from rattanloom.peers.membership import KnownMember, Membership
from rattanloom.settings import Seed

SENDS_PER_BEAT = 5
NEAR_SENDS_PER_BEAT = 3
FAR_INTERVAL_MIN_BEATS = 2


@define(eq=False)
class Destinations:
    """The addresses to send to: known members, and seeds not yet known."""

    membership: Membership
    seeds: tuple[Seed, ...]
    zones: dict[str, str] = field(factory=dict)
    near_beats: int = 1
    far_beats: float = FAR_INTERVAL_MIN_BEATS
    _far: list[str] = field(factory=list)
    _far_turn: int = 0
    _far_share: float = 0
    _members: dict[str, KnownMember] = field(factory=dict)

    def refresh(self) -> None:
        """Follow the membership; called once a beat."""
        own = self.membership.own
        self._members = {
            member.record.address: member for member in self.membership.learned()
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
        self.near_beats = max(1, -(-near_count // NEAR_SENDS_PER_BEAT))
        far_per_beat = SENDS_PER_BEAT - near_count / self.near_beats
        self.far_beats = max(far_count / far_per_beat, FAR_INTERVAL_MIN_BEATS)
        self._far = [address for address in zones if not self.is_near(address)]

    @property
    def sends_far_often(self) -> bool:
        """Say whether hosts of other zones are few enough to send to often."""
        return self.far_beats <= FAR_INTERVAL_MIN_BEATS

    def next_far(self) -> list[str]:
        """Return the addresses in other zones whose turn it is in this beat."""
        self._far_share += len(self._far) / self.far_beats
        due = int(self._far_share)
        self._far_share -= due
        turns = range(self._far_turn, self._far_turn + due)
        self._far_turn += due
        return [self._far[turn % len(self._far)] for turn in turns]

    def is_near(self, address: str) -> bool:
        """Say whether the address belongs to a host of this zone."""
        return self.zones.get(address) == self.membership.own.zone

    def interval_ms(self, address: str) -> float:
        """Return the time between two heartbeats to an address."""
        beats = self.near_beats if self.is_near(address) else self.far_beats
        return beats * self.membership.heartbeat_ms

    def member_at(self, address: str) -> KnownMember | None:
        """Return the member at an address."""
        return self._members.get(address)
