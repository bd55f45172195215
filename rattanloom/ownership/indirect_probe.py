"""Asks the other daemons whether they hear an owner that this one lost."""

import gevent
from attrs import define, field

from rattanloom.clock import MS_PER_S, Clock
from rattanloom.links.hub import LinkHub
from rattanloom.links.link import Link
from rattanloom.links.messages import OwnerLivenessQuery, OwnerLivenessReply
from rattanloom.ownership.records import Member

# Time for a link to another daemon to open and for its answer.
PROBE_TIMEOUT_MS = 150
POLL_MS = 10


@define(eq=False, repr=False)
class IndirectProbe:
    """One question at a time to all other daemons."""

    clock: Clock
    hub: LinkHub
    alive_owners: set[str] = field(factory=set)
    responding_peers: set[str] = field(factory=set)

    def run(self, owners: set[str], others: list[Member]) -> None:
        """Ask others about owners; ``alive_owners`` and ``responding_peers`` hold the result."""
        self.alive_owners.clear()
        self.responding_peers.clear()
        until_ms = self.clock.now_ms() + PROBE_TIMEOUT_MS
        asked: set[str] = set()
        while self.clock.now_ms() < until_ms and len(self.responding_peers) < len(
            others
        ):
            for member in others:
                self.hub.keep_link(member.node, member.address, until_ms)
                link = self.hub.link(member.node)
                if link is not None and member.node not in asked:
                    asked.add(member.node)
                    for owner in owners:
                        link.send(OwnerLivenessQuery(owner))
            gevent.sleep(POLL_MS / MS_PER_S)

    def is_owner_alive(self, owner: str) -> bool:
        """Return whether this daemon or one that answered hears an owner."""
        return self.hub.is_alive(owner) or owner in self.alive_owners

    def handle_query(self, link: Link, question: OwnerLivenessQuery, own: str) -> None:
        """Answer another daemon."""
        is_alive = question.owner == own or self.hub.is_alive(question.owner)
        link.send(OwnerLivenessReply(question.owner, is_alive))

    def handle_reply(self, link: Link, answer: OwnerLivenessReply) -> None:
        """Take an answer."""
        self.responding_peers.add(link.peer.node)
        if answer.is_alive:
            self.alive_owners.add(answer.owner)
