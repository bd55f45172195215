"""What rattanloom asks of the platform's services, as ``Protocol`` types."""

from collections.abc import Sequence
from typing import Protocol

from attrs import frozen

from rattanloom.errors import Failure

ABSENT = 0


@frozen
class Row:
    """One row of the table; ``version`` counts its changes, from 1."""

    key: str
    version: int
    value: str


@frozen
class Change:
    """One conditional write: succeeds only on ``expected_version``.

    ``expected_version`` ABSENT demands that the row does not exist;
    ``value`` None deletes the row.
    """

    key: str
    expected_version: int
    value: str | None


@frozen
class Committed:
    """A transaction took effect; ``rows`` are the rows as written."""

    rows: tuple[Row, ...]


@frozen
class Conflicted:
    """A transaction had no effect; ``rows`` are the rows that differed.

    A row that was expected and is absent appears with version ABSENT.
    """

    rows: tuple[Row, ...]


class Table(Protocol):
    """The transactional table service.

    Failures are PLATFORM_UNREACHABLE (surely without effect) or REPLY_LOST
    (the write may have taken effect).
    """

    def read(self, keys: Sequence[str]) -> tuple[Row, ...] | Failure:
        """Return the rows that exist among ``keys``, from one snapshot."""

    def scan(self, prefix: str, limit: int) -> tuple[Row, ...] | Failure:
        """Return up to ``limit`` rows whose key starts with ``prefix``, in order."""

    def transact(self, changes: Sequence[Change]) -> Committed | Conflicted | Failure:
        """Apply all of ``changes``, or none of them."""


class ObjectStore(Protocol):
    """The object store: immutable byte strings under names."""

    def put(self, name: str, content: bytes) -> None | Failure:
        """Store ``content``; storing the same name and content again is harmless."""

    def get(self, name: str) -> bytes | Failure:
        """Return the content, or a NOT_FOUND or PLATFORM_UNREACHABLE failure."""


@frozen
class ListedTarget:
    """One worker on the platform's host list, which lags.

    ``address`` is ``host:port``.
    """

    name: str
    zone: str
    address: str
    slots: int
    connections: int
    accelerator: bool = False
    leaving: bool = False
    rack: str = ""


class HostList(Protocol):
    """The platform's lagging list of live and leaving workers."""

    def listed_targets(self) -> tuple[ListedTarget, ...] | Failure:
        """Return the workers as the platform last knew them."""
