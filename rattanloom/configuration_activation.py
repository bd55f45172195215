"""Decides whether a host may activate a version, by which of its peers hold it.

If possible, a version is held in two zones before it is active anywhere. A host that
is replaced during an outage of the platform can then fetch it from a peer, even if
every host of its zone is replaced at once.
"""

from enum import Enum

from attrs import frozen

from rattanloom.peers.protocol import Member

NO_VERSION = 0


class ActivationReason(Enum):
    """Why a version was activated."""

    HELD_BY_PEERS = "held by every live host of the zone and by another zone's"
    HELD_BY_ZONE = "held by every live host of the zone, no other zone is reachable"
    HELD_BY_OTHERS = "held by a live host of another zone, none of this zone is live"
    WAIT_PASSED = "the wait for the live peers to hold it passed"
    ALONE = "no other entry host is known"


@frozen
class KnownPeers:
    """The other entry hosts known to one host.

    ``other_seeds`` are the names of the seeds in its settings, except its own.
    """

    zone: str
    live_peers: tuple[Member, ...]
    other_seeds: frozenset[str]

    def reason_to_activate(self, version: int) -> ActivationReason | None:
        """Return why ``version`` may be activated, or None if it has to wait."""
        if not self.live_peers and not self.other_seeds:
            return ActivationReason.ALONE
        zone_peers = [peer for peer in self.live_peers if peer.zone == self.zone]
        other_zone_peers = [peer for peer in self.live_peers if peer.zone != self.zone]
        if not all(peer.config_version >= version for peer in zone_peers):
            return None
        if any(peer.config_version >= version for peer in other_zone_peers):
            return (
                ActivationReason.HELD_BY_PEERS
                if zone_peers
                else ActivationReason.HELD_BY_OTHERS
            )
        return (
            ActivationReason.HELD_BY_ZONE
            if zone_peers and not other_zone_peers
            else None
        )

    def newest_reported_version(self) -> int:
        """Return the newest version reported by a live peer."""
        versions = (peer.config_version for peer in self.live_peers)
        return max(versions, default=NO_VERSION)

    def all_seeds_reported(self) -> bool:
        """Return whether every other seed is live and has reported a version."""
        reported = {peer.host for peer in self.live_peers if peer.config_version}
        return reported.issuperset(self.other_seeds)
