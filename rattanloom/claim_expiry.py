"""Expires old claims in the platform's table without relying on a wall clock.

The row ``claim/age`` holds the current generation, a counter. A process increments
it after reading the same value for ``GENERATION_MS`` of its monotonic clock. Each
batch of claims has one index row ``claim/i/<generation>/<batch>`` that lists its
claims. Both are deleted together once their generation is more than
``KEPT_GENERATIONS`` older than the current one. Index rows sort by generation, so
only the oldest are scanned.
"""

from collections.abc import Sequence

from attrs import define, field

from rattanloom.environment import Environment
from rattanloom.errors import Failure
from rattanloom.logs import get_log
from rattanloom.platform.protocol import (
    ABSENT,
    Change,
    Committed,
    Row,
    Table,
)
from rattanloom.timer import TimerService

log = get_log("claims")

AGE_KEY = "claim/age"
INDEX_PREFIX = "claim/i/"
GENERATION_DIGITS = 10
GENERATION_MS = 3_600_000
KEPT_GENERATIONS = 24
POLL_MS = 60_000
# Maximum time since the generation in a new index row was read.
GENERATION_MAX_AGE_MS = 600_000
DELETED_PER_POLL_BATCHES = 20
FIRST_VERSION = 1  # the table's version of a newly inserted row
SEPARATOR = " "


def index_change(
    generation: int, batch_name: str, keys: Sequence[str], version: int
) -> Change:
    """Return the insert of the index row of a batch.

    ``version`` is the table's version of the batch's claim rows after the write.
    """
    key = f"{INDEX_PREFIX}{generation:0{GENERATION_DIGITS}d}/{batch_name}"
    return Change(key, ABSENT, SEPARATOR.join([str(version), *keys]))


def generation_of(index_row: Row) -> int:
    """Return the generation in an index row's key."""
    return int(index_row.key.removeprefix(INDEX_PREFIX).split("/")[0])


@define(eq=False)
class ClaimExpiry:
    """Tracks the current generation and deletes claims of expired generations."""

    environment: Environment
    table: Table
    _row: Row = field(default=Row(AGE_KEY, ABSENT, "0"), init=False)
    _unchanged_since_ms: float = field(default=0.0, init=False)
    _read_at_ms: float | None = field(default=None, init=False)

    def start(self, timers: TimerService) -> None:
        """Start polling the generation and deleting expired claims."""
        timers.subscribe("claim expiry", POLL_MS, self.poll)

    def generation(self) -> int | Failure:
        """Return the generation as read at most ``GENERATION_MAX_AGE_MS`` ago."""
        now_ms = self.environment.clock.now_ms()
        if (
            self._read_at_ms is None
            or now_ms - self._read_at_ms > GENERATION_MAX_AGE_MS
        ):
            failure = self._read()
            if failure is not None:
                return failure
        return int(self._row.value)

    def poll(self) -> None:
        """Increment the generation if it is due, and delete expired claims."""
        if self._read() is not None:
            return
        self._increment_if_due()
        self._delete_expired()

    def _read(self) -> Failure | None:
        requested_ms = self.environment.clock.now_ms()
        rows = self.table.read([AGE_KEY])
        if isinstance(rows, Failure):
            return rows
        row = rows[0] if rows else Row(AGE_KEY, ABSENT, "0")
        if self._read_at_ms is None or row != self._row:
            self._row = row
            self._unchanged_since_ms = self.environment.clock.now_ms()
        self._read_at_ms = requested_ms
        return None

    def _increment_if_due(self) -> None:
        if self.environment.clock.now_ms() - self._unchanged_since_ms < GENERATION_MS:
            return
        incremented = str(int(self._row.value) + 1)
        self.table.transact([Change(AGE_KEY, self._row.version, incremented)])

    def _delete_expired(self) -> None:
        index_rows = self.table.scan(INDEX_PREFIX, DELETED_PER_POLL_BATCHES)
        if isinstance(index_rows, Failure):
            return
        for index_row in index_rows:
            if generation_of(index_row) + KEPT_GENERATIONS >= int(self._row.value):
                return
            if not self._delete(index_row):
                return

    def _delete(self, index_row: Row) -> bool:
        """Delete a batch and its index row in one transaction.

        A repeated or delayed deletion fails, since the index row is gone. A claim
        that was bound to a new ticket in the meantime has another version and stays;
        the index row of that write lists it.
        """
        version, *keys = index_row.value.split(SEPARATOR)
        rows = self.table.read(keys)
        if isinstance(rows, Failure):
            return False
        changes = [
            Change(row.key, row.version, None)
            for row in rows
            if row.version == int(version)
        ]
        changes.append(Change(index_row.key, index_row.version, None))
        return isinstance(self.table.transact(changes), Committed)
