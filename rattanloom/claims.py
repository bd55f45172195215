"""Claims: bind a caller's idempotency key to one ticket in the platform's table.

Used by the stand-alone version. A row ``claim/k/<hash of team and key>`` is inserted
if absent, before any task of the job starts. Its value holds the ticket and the
digest of the job's content. If the row exists, its ticket is used instead. Each host
batches its inserts and has one write in flight at a time; all hosts together stay
below ``WRITES_PER_S`` batches per second.
"""

from collections import OrderedDict
from collections.abc import Callable, Sequence
from hashlib import blake2b

import gevent
from attrs import define, field, frozen
from gevent.event import AsyncResult

from rattanloom.claim_expiry import FIRST_VERSION, ClaimExpiry, index_change
from rattanloom.clock import MS_PER_S
from rattanloom.environment import Environment
from rattanloom.errors import ErrorKind, Failure, Ran
from rattanloom.logs import get_log
from rattanloom.platform.protocol import (
    ABSENT,
    Change,
    Committed,
    Conflicted,
    Row,
    Table,
)
from rattanloom.settings import EntrySettings
from rattanloom.ticket import TicketIssuer
from rattanloom.timer import TimerService

log = get_log("claims")

KEY_PREFIX = "claim/k/"
HASH_BYTES = 16
BATCH_MAX_CLAIMS = 100
WRITES_PER_S = 200
PENDING_MAX_CLAIMS = 5_000
LOST_REPLIES_MAX = 3  # for one batch
CACHE_MAX_CLAIMS = 4_000
CACHED_MS = 3_600_000
SEPARATOR = " "

TicketOrFailure = str | Failure


@frozen
class Claim:
    """A key to bind: its row key, the ticket proposed for it and the job's digest."""

    row_key: str
    ticket: str
    digest: str

    @property
    def value(self) -> str:
        """Return the row's value: ticket and digest, separated by a space."""
        return f"{self.ticket}{SEPARATOR}{self.digest}"


@frozen
class _CachedClaim:
    row: Row
    until_ms: float


@define(eq=False)
class _PendingClaim:
    claim: Claim
    result: AsyncResult = field(factory=AsyncResult)


def row_key_of(team: str, key: str) -> str:
    """Return the row key of a caller's key; each team has its own namespace."""
    text = f"{len(team)}:{team}{key}"
    digest = blake2b(text.encode(errors="surrogatepass"), digest_size=HASH_BYTES)
    return f"{KEY_PREFIX}{digest.hexdigest()}"


def _one_host() -> int:
    return 1


@define(eq=False)
class Claims:
    """Binds keys to tickets, and batches the writes of one host."""

    settings: EntrySettings
    environment: Environment
    table: Table
    issuer: TicketIssuer
    host_count: Callable[[], int] = _one_host
    expiry: ClaimExpiry = field(init=False)
    _pending: list[_PendingClaim] = field(factory=list, init=False)
    _writer: gevent.Greenlet | None = field(default=None, init=False)
    _cache: OrderedDict[str, _CachedClaim] = field(factory=OrderedDict, init=False)
    _batch_count: int = field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        self.expiry = ClaimExpiry(self.environment, self.table)

    def start(self, timers: TimerService, host_count: Callable[[], int]) -> None:
        """Start expiring claims; ``host_count`` counts the known entry hosts."""
        self.host_count = host_count
        self.expiry.start(timers)

    def claim(
        self, team: str, key: str, digest: bytes, ticket: str, timeout_ms: float
    ) -> TicketOrFailure:
        """Bind the key to ``ticket`` unless it is bound; return the ticket bound to it.

        Failures: KEY_REUSED, OVERLOADED, PLATFORM_UNREACHABLE. After
        PLATFORM_UNREACHABLE the key may still become bound to ``ticket``.
        """
        claim = Claim(row_key_of(team, key), ticket, digest.hex())
        cached = self._cached_row(claim.row_key)
        if cached is not None:
            return _bound_ticket(cached, claim)
        if len(self._pending) >= PENDING_MAX_CLAIMS:
            return Failure(
                ErrorKind.OVERLOADED,
                "too many keys are waiting to be claimed; resubmit with the same key",
                ran=Ran.MAY_HAVE_RUN,
            )
        pending = _PendingClaim(claim)
        self._pending.append(pending)
        self._ensure_writer()
        try:
            return pending.result.get(timeout=max(0.0, timeout_ms) / MS_PER_S)
        except gevent.Timeout:
            return _unreachable_failure()

    def replace_ticket(
        self, team: str, key: str, digest: bytes, old_ticket: str, ticket: str
    ) -> TicketOrFailure:
        """Bind a key to ``ticket`` in place of ``old_ticket``, which never starts.

        Returns the ticket that is now bound: ``ticket``, or the one that another
        host bound first. The caller must make sure that no job of ``old_ticket``
        has started or can start.
        """
        old = Claim(row_key_of(team, key), old_ticket, digest.hex())
        claim = Claim(old.row_key, ticket, old.digest)
        row = self._current_row(old.row_key)
        if isinstance(row, Row) and row.value == old.value:
            row = self._replace_row(row, claim)
        if isinstance(row, Failure):
            return _unreachable_failure()
        self._cache_row(row)
        return _bound_ticket(row, claim)

    def _replace_row(self, row: Row, claim: Claim) -> Row | Failure:
        """Replace a row if its version is unchanged; return the current row."""
        generation = self.expiry.generation()
        if isinstance(generation, Failure):
            return generation
        written = self.table.transact(
            [
                Change(row.key, row.version, claim.value),
                self._index_change(generation, [row.key], row.version + 1),
            ]
        )
        if isinstance(written, Committed | Conflicted):
            return written.rows[0]
        return self._current_row(row.key)

    def _index_change(
        self, generation: int, keys: Sequence[str], version: int
    ) -> Change:
        self._batch_count += 1
        name = f"{self.issuer.host}.{self.issuer.incarnation}.{self._batch_count}"
        return index_change(generation, name, keys, version)

    def _current_row(self, row_key: str) -> Row | Failure:
        rows = self.table.read([row_key])
        if isinstance(rows, Failure):
            return rows
        return (
            rows[0] if rows else Failure(ErrorKind.NOT_FOUND, "the key is not claimed")
        )

    def _cached_row(self, row_key: str) -> Row | None:
        cached = self._cache.get(row_key)
        if cached is None:
            return None
        if cached.until_ms <= self.environment.clock.now_ms():
            del self._cache[row_key]
            return None
        return cached.row

    def _cache_row(self, row: Row) -> None:
        until_ms = self.environment.clock.now_ms() + CACHED_MS
        self._cache[row.key] = _CachedClaim(row, until_ms)
        if len(self._cache) > CACHE_MAX_CLAIMS:
            self._cache.popitem(last=False)

    def _ensure_writer(self) -> None:
        if self._writer is None or self._writer.dead:
            self._writer = gevent.spawn(self._write_batches)

    def _write_batches(self) -> None:
        while self._pending:
            started_ms = self.environment.clock.now_ms()
            batch = self._next_batch()
            try:
                self._write_batch(batch)
            finally:
                _fail_unresolved(batch)
            spent_ms = self.environment.clock.now_ms() - started_ms
            interval_ms = MS_PER_S * self.host_count() / WRITES_PER_S
            gevent.sleep(max(0.0, interval_ms - spent_ms) / MS_PER_S)

    def _next_batch(self) -> dict[str, list[_PendingClaim]]:
        taken = self._pending[:BATCH_MAX_CLAIMS]
        del self._pending[:BATCH_MAX_CLAIMS]
        batch: dict[str, list[_PendingClaim]] = {}
        for pending in taken:
            batch.setdefault(pending.claim.row_key, []).append(pending)
        return batch

    def _write_batch(self, batch: dict[str, list[_PendingClaim]]) -> None:
        """Write a batch; write unbound claims again after a conflict or lost reply."""
        unresolved = dict(batch)
        lost_replies = 0
        while unresolved and lost_replies < LOST_REPLIES_MAX:
            rows = self._insert([group[0].claim for group in unresolved.values()])
            if isinstance(rows, Failure):
                return
            lost_replies += not rows
            for row in rows:
                group = unresolved.pop(row.key, ())
                self._cache_row(row)
                for pending in group:
                    pending.result.set(_bound_ticket(row, pending.claim))

    def _insert(self, claims: Sequence[Claim]) -> tuple[Row, ...] | Failure:
        """Insert the claims; return the rows of those known to be bound.

        A conflict has no effect: only the rows that existed before are returned.
        The result is empty only if the reply was lost and the write had no effect.
        """
        generation = self.expiry.generation()
        if isinstance(generation, Failure):
            return generation
        keys = [claim.row_key for claim in claims]
        changes = [Change(claim.row_key, ABSENT, claim.value) for claim in claims]
        changes.append(self._index_change(generation, keys, FIRST_VERSION))
        written = self.table.transact(changes)
        if isinstance(written, Committed | Conflicted):
            return tuple(row for row in written.rows if row.key in keys)
        if written.kind is not ErrorKind.REPLY_LOST:
            return written
        log.info("reply to a write of claims was lost; reading {} keys back", len(keys))
        return self.table.read(keys)


def _bound_ticket(row: Row, claim: Claim) -> TicketOrFailure:
    ticket, _, digest = row.value.partition(SEPARATOR)
    if digest != claim.digest:
        return Failure(
            ErrorKind.KEY_REUSED,
            "this key was used for a job with other content; use a new key",
        )
    return ticket


def _fail_unresolved(batch: dict[str, list[_PendingClaim]]) -> None:
    for group in batch.values():
        for pending in group:
            if not pending.result.ready():
                pending.result.set(_unreachable_failure())


def _unreachable_failure() -> Failure:
    return Failure(
        ErrorKind.PLATFORM_UNREACHABLE,
        "the key could not be claimed, so this submission started nothing; an "
        "earlier one of the same key may have run; resubmit with the same key",
        ran=Ran.MAY_HAVE_RUN,
    )
