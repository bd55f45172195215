"""Rows and transactions of the platform's metadata store, and its interface."""

from collections.abc import Sequence
from typing import Protocol

from attrs import frozen

from rattanloom.errors import Failure

ABSENT = 0


@frozen
class RowRef:
    """Identifies a row; ``part`` is the partition that orders its writes."""

    table: str
    part: str
    key: str


@frozen
class Row:
    """One row; ``value`` is None if the row is deleted or not valid base64."""

    ref: RowRef
    version: int
    value: bytes | None
    deleted: bool = False


@frozen
class Condition:
    """The version that a row must have; ABSENT requires that it does not exist."""

    ref: RowRef
    version: int


@frozen
class TableSnapshot:
    """All rows of a table as of one ``version`` of the store."""

    rows: tuple[Row, ...]
    version: int


@frozen
class ChangedRows:
    """Rows that changed, up to ``version`` of the store."""

    rows: tuple[Row, ...]
    version: int


@frozen
class Committed:
    """Result of a transaction that took effect as ``version`` of the store."""

    version: int


@frozen
class Conflicted:
    """Result of a transaction without effect; ``rows`` are the current rows."""

    rows: tuple[Row, ...]


class Store(Protocol):
    """The metadata store; failed calls return a ``Failure``."""

    def read(self, table: str) -> TableSnapshot | Failure:
        """Return all rows of the empty part of ``table``."""

    def poll_changes(
        self, table: str, after_version: int, wait_ms: int
    ) -> ChangedRows | Failure:
        """Wait up to ``wait_ms`` for rows that changed after ``after_version``."""

    def transact(
        self,
        conditions: Sequence[Condition],
        writes: Sequence[tuple[RowRef, bytes]],
        removals: Sequence[RowRef] = (),
    ) -> Committed | Conflicted | Failure:
        """Apply all writes and removals, or none if a condition fails."""
