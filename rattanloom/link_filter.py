"""A switch that cuts this host off from chosen addresses, for tests and proofs.

Nothing is blocked unless a test asks for it. A blocked address behaves like
a cut network: what is sent there is lost without an error, and what comes
from there is dropped.
"""

from collections.abc import Iterable

from attrs import define, field


@define(eq=False)
class LinkFilter:
    """The addresses that are cut off, by direction."""

    _blocked_destinations: set[str] = field(factory=set)
    _blocked_sources: set[str] = field(factory=set)

    def block(
        self, addresses: Iterable[str], sending: bool = True, receiving: bool = True
    ) -> None:
        """Cut the given addresses, in one or both directions."""
        addresses = set(addresses)
        if sending:
            self._blocked_destinations |= addresses
        if receiving:
            self._blocked_sources |= addresses

    def unblock(self, addresses: Iterable[str] | None = None) -> None:
        """Mend the given addresses, or all of them."""
        if addresses is None:
            addresses = self._blocked_destinations | self._blocked_sources
        self._blocked_destinations -= set(addresses)
        self._blocked_sources -= set(addresses)

    def may_send(self, address: str) -> bool:
        """Say whether messages to this address get through."""
        return address not in self._blocked_destinations

    def may_receive(self, address: str) -> bool:
        """Say whether messages from this address get through."""
        return address not in self._blocked_sources
