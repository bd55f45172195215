"""The daemon's list of the workers that are registered in the platform's store."""

from collections.abc import Callable, Sequence

import gevent
from attrs import define, evolve, field

from rattanloom.clock import MS_PER_S, Clock
from rattanloom.decision_log import DecisionLog
from rattanloom.placement.workers import WorkerEntry
from rattanloom.platform.json_format import FormatError
from rattanloom.platform.rows import Row
from rattanloom.platform.worker_entries import WorkerEntryParser

log = DecisionLog("registry")

# How long a missing entry is kept. Entries that expired during an outage of the store
# reappear about 2 s after it.
MISSING_GRACE_MS = 2_500


@define(eq=False, repr=False)
class Registry:
    """The entries of live and leaving workers, by worker id.

    An entry that is deleted or missing in the store is removed here only after
    ``MISSING_GRACE_MS``; one that becomes invalid gets no new tasks meanwhile.
    ``on_change`` is called after entries changed, not after a change of
    ``cold_until_ms`` alone: that has, by worker id, when a worker that is slow now will
    have its normal speed. ``_cold_versions`` has the versions of the rows that it is
    from, since a row that is read again is older than at its first read.
    ``_invalid_versions`` has the versions of the rows that are invalid.
    """

    clock: Clock
    on_change: Callable[[], None]
    entries: dict[str, WorkerEntry] = field(factory=dict)
    cold_until_ms: dict[str, float] = field(factory=dict)
    _cold_versions: dict[str, int] = field(factory=dict)
    _invalid_versions: dict[str, int] = field(factory=dict)
    _parser: WorkerEntryParser = field(factory=WorkerEntryParser)
    _missing: set[str] = field(factory=set)
    _first_read_ms: float | None = None

    def is_complete(self) -> bool:
        """Return whether ``MISSING_GRACE_MS`` have passed since the first read.

        By then, entries that expired in an outage before that read have reappeared.
        """
        read_ms = self._first_read_ms
        return read_ms is not None and self.clock.now_ms() > read_ms + MISSING_GRACE_MS

    def apply_snapshot(self, rows: Sequence[Row]) -> None:
        """Apply a full read of the table; entries that it lacks become missing."""
        if self._first_read_ms is None:
            self._first_read_ms = self.clock.now_ms()
        present = {row.ref.key for row in rows}
        for worker_id in self.entries:
            if worker_id not in present:
                self._mark_missing(worker_id)
        for worker_id in self._invalid_versions.keys() - present:
            del self._invalid_versions[worker_id]
        self.apply_rows(rows)

    def apply_rows(self, rows: Sequence[Row]) -> None:
        """Apply changed or deleted rows of the table."""
        before = dict(self.entries)
        for row in rows:
            self._apply_row(row)
        # The parser returns the same entry unless a field that is used has changed.
        if any(
            entry is not before.get(worker_id)
            for worker_id, entry in self.entries.items()
        ):
            self.on_change()

    def _apply_row(self, row: Row) -> None:
        worker_id = row.ref.key
        if row.deleted:
            self._invalid_versions.pop(worker_id, None)
            if worker_id in self.entries:
                self._mark_missing(worker_id)
            return
        try:
            entry = self._parser.parse(row, self.clock.now_ms())
        except FormatError as error:
            self._reject(row, str(error))
            return
        self._invalid_versions.pop(worker_id, None)
        self._missing.discard(worker_id)
        self.entries[worker_id] = entry
        self._record_cold(worker_id, row.version)

    def _reject(self, row: Row, reason: str) -> None:
        """Use a worker no more whose entry is invalid, unless a valid one follows."""
        worker_id = row.ref.key
        if self._invalid_versions.get(worker_id) != row.version:
            self._invalid_versions[worker_id] = row.version
            log.warning("entry_unreadable", worker=worker_id, reason=reason)
        entry = self.entries.get(worker_id)
        if entry is not None:
            if entry.accepting:
                self.entries[worker_id] = evolve(entry, accepting=False)
            self._mark_missing(worker_id)

    def _record_cold(self, worker_id: str, version: int) -> None:
        left_ms = self._parser.slow_for_ms[worker_id]
        if left_ms <= 0:
            self.cold_until_ms.pop(worker_id, None)
        elif self._cold_versions.get(worker_id) != version:
            self._cold_versions[worker_id] = version
            self.cold_until_ms[worker_id] = self.clock.now_ms() + left_ms

    def _mark_missing(self, worker_id: str) -> None:
        if worker_id not in self._missing:
            self._missing.add(worker_id)
            gevent.spawn_later(
                MISSING_GRACE_MS / MS_PER_S, self._remove_missing, worker_id
            )

    def _remove_missing(self, worker_id: str) -> None:
        if worker_id in self._missing:
            log.info("worker_gone", worker=worker_id)
            self._missing.discard(worker_id)
            del self.entries[worker_id]
            self.cold_until_ms.pop(worker_id, None)
            self._cold_versions.pop(worker_id, None)
            self._parser.forget(worker_id)
            self.on_change()
