"""Checks through peers whether owners that this daemon does not reach are alive."""

import gevent
from attrs import define, field

from rattanloom.clock import MS_PER_S, Clock
from rattanloom.links.hub import LinkHub
from rattanloom.links.link import Link
from rattanloom.links.messages import (
    OWNED_ZONES_VERSION,
    OwnerLivenessQuery,
    OwnerLivenessReply,
)
from rattanloom.ownership.confirmation import OwnerConfirmation
from rattanloom.ownership.records import Member

# Time to open a link to a peer and to receive its replies.
PROBE_TIMEOUT_MS = 150
POLL_MS = 10
# Links to peers outlast a probe by the time in which this daemon or a peer takes the
# zones over, since one that claims them without the store announces it over its links.
LINK_KEEP_MS = 2_000


@define(eq=False, repr=False)
class IndirectProbe:
    """Queries peers about owners; only one probe may run at a time.

    The results since the last ``clear`` are ``held_zones``, the owner and the zone of
    each ownership that some peer knows to be valid, ``alive_owners``, the owners to
    which some peer of an older build has a live link, and ``responding_peers``, the
    peers that replied. ``_replies`` holds the peer and the owner of each reply.
    """

    clock: Clock
    hub: LinkHub
    confirmation: OwnerConfirmation
    held_zones: set[tuple[str, str]] = field(factory=set)
    alive_owners: set[str] = field(factory=set)
    responding_peers: set[str] = field(factory=set)
    _replies: set[tuple[str, str]] = field(factory=set)

    def clear(self) -> None:
        """Forget the results of earlier probes."""
        self.held_zones.clear()
        self.alive_owners.clear()
        self.responding_peers.clear()
        self._replies.clear()

    def run(self, owners: set[str], peers: list[Member]) -> None:
        """Probe until each peer replied about each owner, or the timeout."""
        until_ms = self.clock.now_ms() + PROBE_TIMEOUT_MS
        queried: set[str] = set()
        expected = {(peer.node, owner) for peer in peers for owner in owners}
        while self.clock.now_ms() < until_ms and not expected <= self._replies:
            for peer in peers:
                self.hub.keep_link(peer.node, peer.address, until_ms + LINK_KEEP_MS)
                link = self.hub.link(peer.node)
                if link is not None and peer.node not in queried:
                    queried.add(peer.node)
                    for owner in owners:
                        link.send(OwnerLivenessQuery(owner))
            gevent.sleep(POLL_MS / MS_PER_S)

    def is_owner_alive(self, owner: str, zone: str) -> bool:
        """Return whether this daemon or a peer knows that the owner holds the zone.

        A peer of an older build tells only whether the process is alive, which does
        not count if this daemon has a live link to it itself.
        """
        if (owner, zone) in self.held_zones:
            return True
        if self.hub.is_alive(owner):
            return not self.confirmation.is_overdue(zone)
        return owner in self.alive_owners

    def handle_query(self, link: Link, query: OwnerLivenessQuery) -> None:
        """Reply to the query of a peer."""
        zones = tuple(sorted(self.confirmation.held_zones(query.owner)))
        is_alive = bool(zones) or self.confirmation.is_alive_old_build(query.owner)
        link.send(OwnerLivenessReply(query.owner, is_alive, zones))

    def handle_reply(self, link: Link, reply: OwnerLivenessReply) -> None:
        """Record the reply of a peer."""
        self.responding_peers.add(link.peer.node)
        self._replies.add((link.peer.node, reply.owner))
        self.held_zones.update((reply.owner, zone) for zone in reply.zones)
        if reply.is_alive and link.peer.protocol_version < OWNED_ZONES_VERSION:
            self.alive_owners.add(reply.owner)
