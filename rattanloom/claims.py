"""Claims: a caller's own key bound to one ticket in the platform's table.

A row ``claim/k/<hash of team and key>`` is inserted, on condition that it does
not exist, before anything of the job starts. Its value names the ticket and
the digest of the job's content; whoever loses the insert reads the winner's
ticket. Inserts of one host are batched: one write is in flight at a time.
"""

from collections.abc import Sequence
from hashlib import blake2b

import gevent
from attrs import define, field, frozen
from gevent.event import AsyncResult

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
from rattanloom.ticket import TicketMint

log = get_log("claims")

KEY_PREFIX = "claim/k/"
HASH_BYTES = 16
BATCH_MAX_CLAIMS = 100
BATCH_INTERVAL_MS = 50
WAITING_MAX_CLAIMS = 5_000
WRITE_ATTEMPTS_MAX = 3
SEPARATOR = " "

Outcome = str | Failure


@frozen
class Claim:
    """One key to be bound: the row's key, the proposed ticket, the digest."""

    row_key: str
    ticket: str
    digest: str

    @property
    def value(self) -> str:
        """Return the row's value."""
        return f"{self.ticket}{SEPARATOR}{self.digest}"


@define(eq=False)
class _Waiting:
    claim: Claim
    result: AsyncResult = field(factory=AsyncResult)


def row_key_of(team: str, key: str) -> str:
    """Return the table key of a caller's key; teams do not share keys."""
    text = f"{len(team)}:{team}{key}"
    digest = blake2b(text.encode(errors="replace"), digest_size=HASH_BYTES)
    return f"{KEY_PREFIX}{digest.hexdigest()}"


@define(eq=False)
class Claims:
    """Binds keys to tickets; the claims of one host share its writes."""

    settings: EntrySettings
    environment: Environment
    table: Table
    mint: TicketMint
    _waiting: list[_Waiting] = field(factory=list, init=False)
    _writer: gevent.Greenlet | None = field(default=None, init=False)

    def claim(self, team: str, key: str, digest: bytes, ticket: str) -> Outcome:
        """Return the ticket bound to the key, whoever bound it.

        Failures: KEY_REUSED, OVERLOADED, PLATFORM_UNREACHABLE.
        """
        if len(self._waiting) >= WAITING_MAX_CLAIMS:
            return Failure(
                ErrorKind.OVERLOADED, "too many keys wait to be claimed; come back"
            )
        waiting = _Waiting(Claim(row_key_of(team, key), ticket, digest.hex()))
        self._waiting.append(waiting)
        self._wake_writer()
        return waiting.result.get()

    def _wake_writer(self) -> None:
        if self._writer is None or self._writer.dead:
            self._writer = gevent.spawn(self._write_batches)

    def _write_batches(self) -> None:
        while self._waiting:
            started_ms = self.environment.clock.now_ms()
            batch = self._take_batch()
            try:
                self._settle(batch)
            finally:
                _answer_rest(batch)
            spent_ms = self.environment.clock.now_ms() - started_ms
            gevent.sleep(max(0.0, BATCH_INTERVAL_MS - spent_ms) / MS_PER_S)

    def _take_batch(self) -> dict[str, list[_Waiting]]:
        taken = self._waiting[:BATCH_MAX_CLAIMS]
        del self._waiting[:BATCH_MAX_CLAIMS]
        batch: dict[str, list[_Waiting]] = {}
        for waiting in taken:
            batch.setdefault(waiting.claim.row_key, []).append(waiting)
        return batch

    def _settle(self, batch: dict[str, list[_Waiting]]) -> None:
        unsettled = dict(batch)
        for _ in range(WRITE_ATTEMPTS_MAX + BATCH_MAX_CLAIMS):
            if not unsettled:
                return
            rows = self._insert([held[0].claim for held in unsettled.values()])
            if isinstance(rows, Failure):
                return
            for row in rows:
                for waiting in unsettled.pop(row.key, ()):
                    waiting.result.set(_bound_ticket(row, waiting.claim))

    def _insert(self, claims: Sequence[Claim]) -> tuple[Row, ...] | Failure:
        """Insert the claims; return those rows that exist afterwards."""
        changes = [Change(claim.row_key, ABSENT, claim.value) for claim in claims]
        written = self.table.transact(changes)
        if isinstance(written, Committed | Conflicted):
            return written.rows
        if written.kind is not ErrorKind.REPLY_LOST:
            return written
        return self.table.read([claim.row_key for claim in claims])


def _bound_ticket(row: Row, claim: Claim) -> Outcome:
    ticket, _, digest = row.value.partition(SEPARATOR)
    if digest != claim.digest:
        return Failure(
            ErrorKind.KEY_REUSED,
            "this key was used for a job of other content; use a new key",
        )
    return ticket


def _answer_rest(batch: dict[str, list[_Waiting]]) -> None:
    for held in batch.values():
        for waiting in held:
            if not waiting.result.ready():
                waiting.result.set(_unreachable())


def _unreachable() -> Failure:
    return Failure(
        ErrorKind.PLATFORM_UNREACHABLE,
        "the key could not be claimed, so this submission started nothing; an "
        "earlier one of the same key may have run; resubmit with the same key",
        ran=Ran.MAY_HAVE_RUN,
    )
