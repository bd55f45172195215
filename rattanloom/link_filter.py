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

    _no_sending: set[str] = field(factory=set)
    _no_hearing: set[str] = field(factory=set)

    def block(
        self, addresses: Iterable[str], sending: bool = True, hearing: bool = True
    ) -> None:
        """Cut the given addresses, in one or both directions."""
        addresses = set(addresses)
        if sending:
            self._no_sending |= addresses
        if hearing:
            self._no_hearing |= addresses

    def unblock(self, addresses: Iterable[str] | None = None) -> None:
        """Mend the given addresses, or all of them."""
        if addresses is None:
            addresses = self._no_sending | self._no_hearing
        self._no_sending -= set(addresses)
        self._no_hearing -= set(addresses)

    def may_send(self, address: str) -> bool:
        """Say whether messages to this address get through."""
        return address not in self._no_sending

    def may_hear(self, address: str) -> bool:
        """Say whether messages from this address get through."""
        return address not in self._no_hearing
