"""Sealed ledgers: what a stopped process leaves behind for its callers.

A process that ends in order writes its ledger to the object store, after it
has refused its last start. Whoever is asked for one of its tickets later reads
it there: the whole answer where there is one, and a sure "not run" for a ticket
that was never used. A process that crashes leaves none, and its tickets stay
"may have run". Objects are named ``ledger/<host>/<incarnation>``; they are of
no use two epochs after the stop and are left to the store's expiry.
"""

import json
from base64 import b64decode, b64encode
from collections import OrderedDict

from attrs import define, field, frozen

from rattanloom.callers.submission import answer_from_json, answer_to_json
from rattanloom.clock import Clock
from rattanloom.errors import ErrorKind, Failure, Ran
from rattanloom.job import JobAnswer
from rattanloom.ledger import KeptAnswer, Ledger, LedgerState
from rattanloom.logs import get_log
from rattanloom.platform.protocol import ObjectStore
from rattanloom.ticket import Ticket, TicketMint

log = get_log("ledger")

PREFIX = "ledger"
READ_MAX_LEDGERS = 8
ABSENT_FOR_MS = 2_000
SEALED_ANSWERS_MAX_BYTES = 4_000_000


@frozen
class SealedLedger:
    """One stopped incarnation's ledger, as of the epoch of its stop."""

    ledger: Ledger
    epoch: int

    def admit(self, ticket: Ticket, digest: bytes) -> JobAnswer | Failure:
        """Return what is known of a resubmitted ticket; it never starts."""
        known = self.ledger.admit(ticket, digest, self.epoch)
        return _never_used() if known is None else known

    def answer(self, ticket: Ticket) -> JobAnswer | Failure:
        """Return what is known of a ticket."""
        known = self.ledger.answer(ticket, self.epoch)
        return _never_used() if known is None else known


@define(eq=False)
class SealedLedgers:
    """Writes this process's sealed ledger and reads those of others.

    A ledger that was found is kept, one that was not is asked for again after
    ``ABSENT_FOR_MS``, so that a crashed host's callers cost few reads.
    """

    objects: ObjectStore
    clock: Clock
    _read: OrderedDict[str, SealedLedger] = field(factory=OrderedDict)
    _absent_until_ms: OrderedDict[str, float] = field(factory=OrderedDict)

    def seal(self, ledger: Ledger, mint: TicketMint) -> None | Failure:
        """Write the ledger of this process; it must not start anything after."""
        content = encode(ledger, mint.epoch())
        return self.objects.put(_name(mint.host, mint.incarnation), content)

    def find(self, ticket: Ticket) -> SealedLedger | None:
        """Return the ledger that the ticket's process left, if it can be read."""
        name = _name(ticket.host, ticket.incarnation)
        if name in self._read:
            return self._read[name]
        now_ms = self.clock.now_ms()
        if self._absent_until_ms.get(name, now_ms) > now_ms:
            return None
        sealed = self._fetch(name)
        if sealed is None:
            _remember(self._absent_until_ms, name, now_ms + ABSENT_FOR_MS)
        else:
            _remember(self._read, name, sealed)
        return sealed

    def _fetch(self, name: str) -> SealedLedger | None:
        content = self.objects.get(name)
        if isinstance(content, Failure):
            return None
        try:
            return decode(content)
        except (ValueError, KeyError, TypeError) as error:
            log.error("Sealed ledger {} cannot be read: {!r}.", name, error)
            return None


def encode(ledger: Ledger, epoch: int) -> bytes:
    """Return a ledger as the content of an object; newest answers first kept."""
    state = ledger.state(SEALED_ANSWERS_MAX_BYTES)
    document = {
        "epoch": epoch,
        "marks": [
            [ticket_epoch, chunk, b64encode(marks).decode()]
            for ticket_epoch, chunk, marks in state.marks
        ],
        "answers": [
            [number, kept.digest.hex(), kept.ended_epoch, answer_to_json(kept.answer)]
            for number, kept in state.answers
        ],
    }
    return json.dumps(document).encode()


def decode(content: bytes) -> SealedLedger:
    """Return the ledger in an object's content."""
    document = json.loads(content)
    marks = tuple(
        (ticket_epoch, chunk, b64decode(text))
        for ticket_epoch, chunk, text in document["marks"]
    )
    answers = tuple(
        (number, KeptAnswer(answer_from_json(answer), bytes.fromhex(digest), ended, 0))
        for number, digest, ended, answer in document["answers"]
    )
    ledger = Ledger.restore(LedgerState(marks, answers))
    return SealedLedger(ledger, document["epoch"])


def _never_used() -> Failure:
    return Failure(
        ErrorKind.HOME_GONE,
        "the entry host of this ticket stopped before the ticket was used; take a "
        "new ticket",
        ran=Ran.NOT_RUN,
    )


def _name(host: str, incarnation: str) -> str:
    return f"{PREFIX}/{host}/{incarnation}"


def _remember(kept: OrderedDict, name: str, value: object) -> None:
    kept[name] = value
    if len(kept) > READ_MAX_LEDGERS:
        kept.popitem(last=False)
