"""Rows of ``standins.store``, the metadata store of the daemons' platform.

One counter over all tables gives each transaction its version. Removed rows are kept
without a value, so that changes include them.
"""

from collections.abc import Sequence

from attrs import define, field, frozen


@frozen
class RowRef:
    """Identifies one row by its table, partition and key."""

    table: str
    part: str
    key: str


@frozen
class StoredRow:
    """One row; ``value`` is base64 text, or None if the row was removed."""

    ref: RowRef
    version: int
    value: str | None


@define(eq=False)
class TableRows:
    """The rows of all tables; changes are known after version ``history_from``."""

    rows: dict[RowRef, StoredRow] = field(factory=dict)
    version: int = 0
    history_from: int = 0

    def read(self, table: str, part: str, first_key: str) -> list[StoredRow]:
        """Return the rows of one partition from ``first_key`` on, sorted by key."""
        found = [
            row
            for ref, row in self.rows.items()
            if (ref.table, ref.part) == (table, part)
            and ref.key >= first_key
            and row.value is not None
        ]
        return sorted(found, key=lambda row: row.ref.key.encode())

    def changes(self, table: str, after_version: int) -> list[StoredRow] | None:
        """Return the rows changed after a version; None if that history was dropped."""
        if after_version < self.history_from:
            return None
        found = [
            row
            for ref, row in self.rows.items()
            if ref.table == table and row.version > after_version
        ]
        return sorted(found, key=lambda row: row.version)

    def transact(
        self,
        expected: Sequence[tuple[RowRef, int]],
        writes: Sequence[tuple[RowRef, str | None]],
    ) -> list[StoredRow]:
        """Apply all writes, or none if a version is not the expected one.

        Returns the rows whose versions differ; none if the writes were applied.
        """
        differing = [
            self.rows.get(ref, StoredRow(ref, 0, None))
            for ref, version in expected
            if self._current_version(ref) != version
        ]
        if not differing:
            self.version += 1
            for ref, value in writes:
                self.rows[ref] = StoredRow(ref, self.version, value)
        return differing

    def drop_history(self) -> None:
        """Drop the history of all changes up to now, and all removed rows."""
        self.history_from = self.version
        removed = [ref for ref, row in self.rows.items() if row.value is None]
        for ref in removed:
            del self.rows[ref]

    def _current_version(self, ref: RowRef) -> int:
        row = self.rows.get(ref)
        return 0 if row is None or row.value is None else row.version
