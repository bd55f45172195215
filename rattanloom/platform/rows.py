"""Interface of the platform's metadata store, and its rows."""

from collections.abc import Sequence
from typing import Protocol

from attrs import frozen

from rattanloom.errors import Failure

# Version of a row that does not exist.
ABSENT = 0
# Longest time for the response to a poll of changes, on top of its wait. A slow store
# takes some 400 ms.
POLL_RESPONSE_TIMEOUT_MS = 500


@frozen
class RowRef:
    """Identifies a row; ``part`` is a partition of the table that orders its writes."""

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
    """All rows of a table; those changed after ``version`` may be outdated."""

    rows: tuple[Row, ...]
    version: int


@frozen
class ChangedRows:
    """Rows that changed, in order, up to ``version`` of the store."""

    rows: tuple[Row, ...]
    version: int


@frozen
class Committed:
    """Result of a transaction that took effect as ``version`` of the store."""

    version: int


@frozen
class Conflicted:
    """Result of a transaction without effect.

    ``rows`` are the rows that failed a condition, as they are now.
    """

    rows: tuple[Row, ...]


class Store(Protocol):
    """The metadata store; failed calls return a ``Failure``."""

    def read(self, table: str) -> TableSnapshot | Failure:
        """Return all rows of ``table`` whose part is ``""``."""

    def poll_changes(
        self, table: str, after_version: int, wait_ms: int
    ) -> ChangedRows | Failure:
        """Return rows that changed after a version; wait up to ``wait_ms`` for one.

        Fails at the latest ``POLL_RESPONSE_TIMEOUT_MS`` after the wait.
        """

    def transact(
        self,
        conditions: Sequence[Condition],
        writes: Sequence[tuple[RowRef, bytes]],
        removals: Sequence[RowRef] = (),
    ) -> Committed | Conflicted | Failure:
        """Apply all writes and removals, or none if a condition fails."""
