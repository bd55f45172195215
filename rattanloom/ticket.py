"""Tickets: job identifiers that an entry host issues without a store write.

A ticket contains its issuer's zone, host, incarnation and epoch, and a MAC. Any
host can therefore forward a resubmission to the one process that has the job
in its ledger. Text form: ``zone~host~incarnation~epoch~number~mac``.
An *epoch* is a period of ``epoch_ms``. A ticket that is not used expires with the
epoch after the one in which it was issued, see ``ledger``.
"""

from secrets import token_hex

from attrs import define, field, frozen

from rattanloom.clock import Clock
from rattanloom.errors import ErrorKind, Failure
from rattanloom.keys import Keyring

SEPARATOR = "~"
MAC_BYTES = 10
INCARNATION_BYTES = 6
TICKET_MAX_CHARS = 200
FIELD_COUNT = 6


@frozen
class Ticket:
    """A parsed, authenticated ticket; ``text`` is its text form."""

    zone: str
    host: str
    incarnation: str
    epoch: int
    number: int
    text: str


def new_incarnation() -> str:
    """Return a random identifier of an incarnation, one run of a process."""
    return token_hex(INCARNATION_BYTES)


def parse_ticket(text: str, keys: Keyring) -> Ticket | Failure:
    """Parse and authenticate ``text``; return a BAD_TICKET failure if invalid."""
    if not text.isascii():
        return Failure(ErrorKind.BAD_TICKET, "ticket contains non-ASCII characters")
    if len(text) > TICKET_MAX_CHARS:
        return Failure(ErrorKind.BAD_TICKET, "ticket is too long")
    fields = text.split(SEPARATOR)
    if len(fields) != FIELD_COUNT:
        return Failure(ErrorKind.BAD_TICKET, "ticket is truncated or malformed")
    body, mac = text.rsplit(SEPARATOR, 1)
    if not _is_signed(body, mac, keys):
        return Failure(
            ErrorKind.BAD_TICKET,
            "ticket has an invalid signature; it was altered or issued elsewhere",
        )
    zone, host, incarnation, epoch, number, _ = fields
    return Ticket(zone, host, incarnation, int(epoch), int(number), text)


@define(eq=False)
class TicketIssuer:
    """Issues the tickets of one incarnation of one entry host.

    Epochs are counted from the start of the process on its monotonic clock, so they
    need no agreement between hosts and are not affected by jumps of the wall clock.
    """

    zone: str
    host: str
    incarnation: str
    keys: Keyring
    clock: Clock
    epoch_ms: float
    _started_ms: float = field(init=False)
    _next_number: int = field(init=False, default=0)

    def __attrs_post_init__(self) -> None:
        self._started_ms = self.clock.now_ms()

    def epoch(self) -> int:
        """Return the current epoch of this incarnation."""
        return int((self.clock.now_ms() - self._started_ms) // self.epoch_ms)

    def issue(self) -> str:
        """Return the text of a new ticket of the current epoch."""
        self._next_number += 1
        body = SEPARATOR.join(
            (
                self.zone,
                self.host,
                self.incarnation,
                str(self.epoch()),
                str(self._next_number),
            )
        )
        return f"{body}{SEPARATOR}{self.keys.sign(body.encode(), MAC_BYTES).hex()}"

    def has_issued(self, ticket: Ticket) -> bool:
        """Return whether this incarnation issued ``ticket``."""
        return (ticket.host, ticket.incarnation) == (self.host, self.incarnation)


def _is_signed(body: str, mac: str, keys: Keyring) -> bool:
    try:
        signature = bytes.fromhex(mac)
    except ValueError:
        return False
    return len(signature) == MAC_BYTES and keys.verify(body.encode(), signature)
