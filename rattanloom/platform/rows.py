"""Rows of the platform's store, as the rest of the program uses them."""

from collections.abc import Sequence
from typing import Protocol

from attrs import frozen

from rattanloom.errors import Failure

ABSENT = 0


@frozen
class RowRef:
    """Names one row; ``part`` is the partition that orders its writes."""

    table: str
    part: str
    key: str


@frozen
class Row:
    """One row; ``value`` is None where it is deleted or can't be read."""

    ref: RowRef
    version: int
    value: bytes | None
    deleted: bool = False


@frozen
class Condition:
    """The version that a row must have; ABSENT means that it must not exist."""

    ref: RowRef
    version: int


@frozen
class TableSnapshot:
    """All rows of a table as of one ``version`` of the store."""

    rows: tuple[Row, ...]
    version: int


@frozen
class ChangedRows:
    """Rows that changed, up to ``version``."""

    rows: tuple[Row, ...]
    version: int


@frozen
class Committed:
    """A transaction took effect as ``version``."""

    version: int


@frozen
class Conflicted:
    """A transaction had no effect; ``rows`` are the rows as they are now."""

    rows: tuple[Row, ...]


class Store(Protocol):
    """The transactional table service; failures are values, see ``Failure``."""

    def read(self, table: str) -> TableSnapshot | Failure:
        """Return all rows of the empty part of ``table``."""

    def poll_changes(
        self, table: str, after_version: int, wait_ms: int
    ) -> ChangedRows | Failure:
        """Wait for rows of ``table`` that changed after a version."""

    def transact(
        self,
        conditions: Sequence[Condition],
        writes: Sequence[tuple[RowRef, bytes]],
        removals: Sequence[RowRef] = (),
    ) -> Committed | Conflicted | Failure:
        """Apply all writes and removals if every row has its expected version."""
