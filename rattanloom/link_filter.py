"""Simulates a partition between this process and chosen addresses, for fault injection.

Messages to and from a blocked address are dropped without an error.
"""

from collections.abc import Iterable

from attrs import define, field


@define(eq=False)
class LinkFilter:
    """The blocked addresses, by direction."""

    _blocked_destinations: set[str] = field(factory=set)
    _blocked_sources: set[str] = field(factory=set)

    def block(
        self, addresses: Iterable[str], sending: bool = True, receiving: bool = True
    ) -> None:
        """Block the given addresses, in one or both directions."""
        addresses = set(addresses)
        if sending:
            self._blocked_destinations |= addresses
        if receiving:
            self._blocked_sources |= addresses

    def unblock(self, addresses: Iterable[str] | None = None) -> None:
        """Unblock the given addresses, or all of them."""
        if addresses is None:
            addresses = self._blocked_destinations | self._blocked_sources
        self._blocked_destinations -= set(addresses)
        self._blocked_sources -= set(addresses)

    def may_send(self, address: str) -> bool:
        """Return whether messages to this address are sent."""
        return address not in self._blocked_destinations

    def may_receive(self, address: str) -> bool:
        """Return whether messages from this address are accepted."""
        return address not in self._blocked_sources
