"""On what ground a held version may be put in force: which peers hold it too.

A host that is replaced during an outage of the platform then finds the
version at a peer, also if every host of its zone is replaced at once.
"""

from enum import Enum

from attrs import frozen

from rattanloom.peers.protocol import Member

NO_VERSION = 0


class Ground(Enum):
    """Why a version was put in force."""

    HELD_BY_PEERS = "held by every live host of the zone and by another zone's"
    HELD_BY_ZONE = "held by every live host of the zone, no other zone is reachable"
    HELD_BY_OTHERS = "held by a live host of another zone, none of this zone is live"
    WAIT_PASSED = "the wait for the live peers to hold it passed"
    ALONE = "no other entry host is known"


@frozen
class Surroundings:
    """The other entry hosts, as one host sees them.

    ``other_seeds`` are the names of the entry hosts in its settings.
    """

    zone: str
    live_peers: tuple[Member, ...]
    other_seeds: frozenset[str]

    def ground_for(self, version: int) -> Ground | None:
        """Return the ground that the others give for ``version``, if any."""
        if not self.live_peers and not self.other_seeds:
            return Ground.ALONE
        mates = [peer for peer in self.live_peers if peer.zone == self.zone]
        others = [peer for peer in self.live_peers if peer.zone != self.zone]
        if not all(peer.config_version >= version for peer in mates):
            return None
        if any(peer.config_version >= version for peer in others):
            return Ground.HELD_BY_PEERS if mates else Ground.HELD_BY_OTHERS
        return Ground.HELD_BY_ZONE if mates and not others else None

    def newest_told(self) -> int:
        """Return the newest version that a live peer told."""
        versions = (peer.config_version for peer in self.live_peers)
        return max(versions, default=NO_VERSION)

    def every_seed_told(self) -> bool:
        """Say whether every seed is live and told which version it holds."""
        told = {peer.host for peer in self.live_peers if peer.config_version}
        return told.issuperset(self.other_seeds)
