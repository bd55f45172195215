"""Interfaces of the platform's table, object store and host list.

The metadata store and its rows are in ``rows.py``.
"""

from collections.abc import Sequence
from typing import Protocol

from attrs import frozen

from rattanloom.errors import Failure

# Version of a row that does not exist.
ABSENT = 0


@frozen
class Row:
    """One row of the table; ``version`` counts its changes, from 1."""

    key: str
    version: int
    value: str


@frozen
class Change:
    """One write to a row, on condition that the row has ``expected_version``.

    ABSENT as ``expected_version`` requires that the row does not exist;
    ``value`` None deletes the row.
    """

    key: str
    expected_version: int
    value: str | None


@frozen
class Committed:
    """Result of a transaction that took effect; ``rows`` are its rows after it.

    A deleted row has version ABSENT.
    """

    rows: tuple[Row, ...]


@frozen
class Conflicted:
    """Result of a transaction without effect.

    ``rows`` are the rows that did not have the expected version, as they are; a row
    that does not exist has version ABSENT.
    """

    rows: tuple[Row, ...]


class Table(Protocol):
    """The transactional table service.

    Failures are PLATFORM_UNREACHABLE (definitely no effect) or REPLY_LOST
    (the write may have taken effect).
    """

    def read(self, keys: Sequence[str]) -> tuple[Row, ...] | Failure:
        """Return the rows that exist among ``keys``, from one snapshot."""

    def scan(self, prefix: str, limit: int) -> tuple[Row, ...] | Failure:
        """Return up to ``limit`` rows whose key starts with ``prefix``, in order."""

    def transact(self, changes: Sequence[Change]) -> Committed | Conflicted | Failure:
        """Apply all of ``changes`` or none."""


class ObjectStore(Protocol):
    """The object store, which maps names to immutable byte strings."""

    def put(self, name: str, content: bytes) -> None | Failure:
        """Store ``content`` under ``name``; repeating the call has no effect."""

    def get(self, name: str) -> bytes | Failure:
        """Return the content, or a NOT_FOUND or PLATFORM_UNREACHABLE failure."""


@frozen
class ListedTarget:
    """One worker on the platform's host list, which the dispatcher uses as a target.

    ``address`` is ``host:port``; ``connections`` is how many the worker accepts.
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
    """The platform's list of live and leaving workers, updated with a delay."""

    def listed_targets(self) -> tuple[ListedTarget, ...] | Failure:
        """Return the workers on the list."""
