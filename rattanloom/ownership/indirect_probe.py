"""Checks through peers whether owners that this daemon does not reach are alive."""

import gevent
from attrs import define, field

from rattanloom.clock import MS_PER_S, Clock
from rattanloom.links.hub import LinkHub
from rattanloom.links.link import Link
from rattanloom.links.messages import OwnerLivenessQuery, OwnerLivenessReply
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

    The results since the last ``clear`` are ``alive_owners``, the owners to which some
    peer has a live link, and ``responding_peers``, the peers that replied.
    ``_replies`` holds the peer and the owner of each reply.
    """

    clock: Clock
    hub: LinkHub
    alive_owners: set[str] = field(factory=set)
    responding_peers: set[str] = field(factory=set)
    _replies: set[tuple[str, str]] = field(factory=set)

    def clear(self) -> None:
        """Forget the results of earlier probes."""
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

    def is_owner_alive(self, owner: str) -> bool:
        """Return whether this daemon or a peer has a live link to the owner."""
        return self.hub.is_alive(owner) or owner in self.alive_owners

    def handle_query(
        self, link: Link, query: OwnerLivenessQuery, own_node: str
    ) -> None:
        """Reply to the query of a peer; ``own_node`` is this daemon."""
        is_alive = query.owner == own_node or self.hub.is_alive(query.owner)
        link.send(OwnerLivenessReply(query.owner, is_alive))

    def handle_reply(self, link: Link, reply: OwnerLivenessReply) -> None:
        """Record the reply of a peer."""
        self.responding_peers.add(link.peer.node)
        self._replies.add((link.peer.node, reply.owner))
        if reply.is_alive:
            self.alive_owners.add(reply.owner)
