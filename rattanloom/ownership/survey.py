"""Asks the other daemons whether they hear an owner that this one lost."""

import gevent
from attrs import define, field

from rattanloom.clock import MS_PER_S, Clock
from rattanloom.links.hub import LinkHub
from rattanloom.links.link import Link
from rattanloom.links.messages import AskOwner, OwnerAnswer
from rattanloom.ownership.records import Member

# Time for a link to another daemon to open and for its answer.
ASK_TIMEOUT_MS = 150
POLL_MS = 10


@define(eq=False, repr=False)
class Survey:
    """One question at a time to all other daemons."""

    clock: Clock
    hub: LinkHub
    heard: set[str] = field(factory=set)
    answered: set[str] = field(factory=set)

    def ask(self, owners: set[str], others: list[Member]) -> None:
        """Ask others about owners; ``heard`` and ``answered`` hold the result."""
        self.heard.clear()
        self.answered.clear()
        until_ms = self.clock.now_ms() + ASK_TIMEOUT_MS
        asked: set[str] = set()
        while self.clock.now_ms() < until_ms and len(self.answered) < len(others):
            for member in others:
                self.hub.want(member.node, member.address, until_ms)
                link = self.hub.link(member.node)
                if link is not None and member.node not in asked:
                    asked.add(member.node)
                    for owner in owners:
                        link.send(AskOwner(owner))
            gevent.sleep(POLL_MS / MS_PER_S)

    def is_heard(self, owner: str) -> bool:
        """Return whether this daemon or one that answered hears an owner."""
        return self.hub.hears(owner) or owner in self.heard

    def received_question(self, link: Link, question: AskOwner, own: str) -> None:
        """Answer another daemon."""
        hears = question.owner == own or self.hub.hears(question.owner)
        link.send(OwnerAnswer(question.owner, hears))

    def received_answer(self, link: Link, answer: OwnerAnswer) -> None:
        """Take an answer."""
        self.answered.add(link.peer.node)
        if answer.hears:
            self.heard.add(answer.owner)
