"""Shares the records of crashes between daemons, so that the next placer has them."""

from attrs import define

from rattanloom.links.hub import LinkHub
from rattanloom.links.link import Link
from rattanloom.links.messages import RUN_LOSSES_VERSION, RunLosses
from rattanloom.placement.crash_records import RunLoss
from rattanloom.placement.placer import Placer

# Losses in one message, far below the longest one that a link accepts.
LOSSES_PER_MESSAGE = 500


@define(eq=False, repr=False)
class CrashExchange:
    """Announces the losses that the placer records, and adds those of peers.

    Peers of a build that does not know the message get none.
    """

    hub: LinkHub
    placer: Placer

    def announce(self, loss: RunLoss) -> None:
        """Send a new or newly decided loss to all linked peers."""
        for node in self.hub.nodes():
            self._send(self.hub.link(node), (loss,))

    def on_link_opened(self, link: Link) -> None:
        """Send all known losses to a peer, which may become the placer."""
        losses = self.placer.crash_policy.records.losses()
        for start in range(0, len(losses), LOSSES_PER_MESSAGE):
            self._send(link, losses[start : start + LOSSES_PER_MESSAGE])

    def handle(self, message: RunLosses) -> None:
        """Add the losses that a peer announced."""
        self.placer.add_losses(message.losses)

    def _send(self, link: Link | None, losses: tuple[RunLoss, ...]) -> None:
        if link is not None and link.peer.protocol_version >= RUN_LOSSES_VERSION:
            link.send(RunLosses(losses))
