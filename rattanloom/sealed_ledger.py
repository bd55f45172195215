"""Sealed ledgers: the ledgers of stopped processes, kept in the object store.

On a planned stop an entry host writes its ledger to the object store once it starts
no more jobs. Hosts that later receive one of its tickets read the ledger: it
contains the job's result, or shows that the ticket was never used and its job
definitely did not run. A crashed process leaves no ledger, so jobs of its tickets
stay MAY_HAVE_RUN. Objects are named ``ledger/<host>/<incarnation>``; two epochs after
the stop they are of no use, and the store expires them.
"""

import json
from base64 import b64decode, b64encode
from collections import OrderedDict
from typing import Protocol

import gevent
from attrs import define, field, frozen
from gevent.event import AsyncResult

from rattanloom.callers.submission import result_from_json, result_to_json
from rattanloom.clock import MS_PER_S, Clock
from rattanloom.errors import ErrorKind, Failure, Ran
from rattanloom.job import JobResult
from rattanloom.ledger import KeptResult, Ledger, LedgerSnapshot
from rattanloom.logs import get_log
from rattanloom.platform.protocol import ObjectStore
from rattanloom.ticket import Ticket, TicketIssuer

log = get_log("ledger")

PREFIX = "ledger"
CACHE_MAX_LEDGERS = 8
ABSENT_CACHED_MS = 2_000
READ_TIMEOUT_MS = 300
SEALED_RESULTS_MAX_BYTES = 4_000_000


@frozen
class SealedLedger:
    """The ledger of a stopped incarnation, and the epoch in which it stopped."""

    ledger: Ledger
    epoch: int

    def admit(self, ticket: Ticket, digest: bytes) -> JobResult | Failure:
        """Return the result for a resubmitted ticket, or why there is none."""
        known = self.ledger.admit(ticket, digest, self.epoch)
        return _unused_ticket_failure() if known is None else known

    def result(self, ticket: Ticket) -> JobResult | Failure:
        """Return a ticket's result, or why there is none."""
        known = self.ledger.result(ticket, self.epoch)
        return _unused_ticket_failure() if known is None else known


class StoppedLedgers(Protocol):
    """The interface of ``SealedLedgers`` that the job service uses."""

    def seal(self, ledger: Ledger, issuer: TicketIssuer) -> None | Failure:
        """Store this process's ledger for other processes."""

    def find(self, ticket: Ticket) -> SealedLedger | None:
        """Return the ledger of the process that issued the ticket, if it is stored."""


class NoLedgers:
    """Used without an object store: stores no ledger and finds none."""

    def seal(self, ledger: Ledger, issuer: TicketIssuer) -> None | Failure:
        """Do nothing."""

    def find(self, ticket: Ticket) -> SealedLedger | None:
        """Return None."""
        return None


@define(eq=False)
class SealedLedgers:
    """Writes this process's ledger and reads those of other processes.

    Ledgers that were read are cached. A missing one is requested again after
    ``ABSENT_CACHED_MS`` at the earliest, so that tickets of a crashed host cause few
    reads. ``READ_TIMEOUT_MS`` limits how long an outage of the store delays a response.
    """

    objects: ObjectStore
    clock: Clock
    _cached: OrderedDict[str, SealedLedger] = field(factory=OrderedDict)
    _absent_until_ms: OrderedDict[str, float] = field(factory=OrderedDict)
    _fetching: dict[str, AsyncResult] = field(factory=dict)

    def seal(self, ledger: Ledger, issuer: TicketIssuer) -> None | Failure:
        """Write this process's ledger; it must not start any job afterwards."""
        content = encode(ledger, issuer.epoch())
        return self.objects.put(_name(issuer.host, issuer.incarnation), content)

    def find(self, ticket: Ticket) -> SealedLedger | None:
        """Return the ledger of the process that issued the ticket, if readable."""
        name = _name(ticket.host, ticket.incarnation)
        if name in self._cached:
            return self._cached[name]
        if self._absent_until_ms.get(name, 0.0) > self.clock.now_ms():
            return None
        if name not in self._fetching:
            self._fetching[name] = AsyncResult()
            gevent.spawn(self._fetch_once, name)
        return self._fetching[name].get()

    def _fetch_once(self, name: str) -> None:
        """Fetch one ledger for all concurrent callers."""
        sealed = None
        try:
            with gevent.Timeout(READ_TIMEOUT_MS / MS_PER_S, False):
                sealed = self._fetch(name)
        finally:
            if sealed is None:
                until_ms = self.clock.now_ms() + ABSENT_CACHED_MS
                _cache_entry(self._absent_until_ms, name, until_ms)
            else:
                _cache_entry(self._cached, name, sealed)
            self._fetching.pop(name).set(sealed)

    def _fetch(self, name: str) -> SealedLedger | None:
        content = self.objects.get(name)
        if isinstance(content, Failure):
            return None
        try:
            return decode(content)
        except (ValueError, KeyError, TypeError) as error:
            log.error("cannot parse sealed ledger {}: {!r}", name, error)
            return None


def encode(ledger: Ledger, epoch: int) -> bytes:
    """Return a ledger as JSON, without results beyond ``SEALED_RESULTS_MAX_BYTES``.

    ``spared`` are the extended tickets, ``marks`` the statuses, ``answers`` the
    results of ``LedgerSnapshot``. The oldest results are left out.
    """
    snapshot = ledger.snapshot(SEALED_RESULTS_MAX_BYTES)
    document = {
        "epoch": epoch,
        "spared": list(snapshot.extended),
        "marks": [
            [ticket_epoch, chunk, b64encode(statuses).decode()]
            for ticket_epoch, chunk, statuses in snapshot.statuses
        ],
        "answers": [
            [number, kept.digest.hex(), kept.ended_epoch, result_to_json(kept.result)]
            for number, kept in snapshot.results
        ],
    }
    return json.dumps(document).encode()


def decode(content: bytes) -> SealedLedger:
    """Return the ledger in JSON written by ``encode``."""
    document = json.loads(content)
    statuses = tuple(
        (ticket_epoch, chunk, b64decode(text))
        for ticket_epoch, chunk, text in document["marks"]
    )
    results = tuple(
        (number, KeptResult(result_from_json(result), bytes.fromhex(digest), ended, 0))
        for number, digest, ended, result in document["answers"]
    )
    ledger = Ledger.restore(
        LedgerSnapshot(statuses, results, tuple(document["spared"]))
    )
    return SealedLedger(ledger, document["epoch"])


def _unused_ticket_failure() -> Failure:
    return Failure(
        ErrorKind.HOME_GONE,
        "the entry host that issued this ticket stopped before it was used; "
        "request a new ticket",
        ran=Ran.NOT_RUN,
    )


def _name(host: str, incarnation: str) -> str:
    return f"{PREFIX}/{host}/{incarnation}"


def _cache_entry(cache: OrderedDict, name: str, value: object) -> None:
    cache[name] = value
    if len(cache) > CACHE_MAX_LEDGERS:
        cache.popitem(last=False)
