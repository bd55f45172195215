"""Tickets name their minting process and cannot be forged."""

from rattanloom.errors import ErrorKind, Failure
from rattanloom.ticket import TicketMint, parse_ticket
from tests.utils import FakeClock

KEY = b"0123456789abcdef"


def mint(clock):
    return TicketMint("Adum", "adum-1", "aa00", KEY, clock, epoch_ms=1000)


def test_ticket_names_its_minting_process_and_epoch():
    clock = FakeClock()
    tickets = mint(clock)
    clock.ms = 2500
    ticket = parse_ticket(tickets.mint(), KEY)
    assert (ticket.zone, ticket.host, ticket.incarnation) == ("Adum", "adum-1", "aa00")
    assert ticket.epoch == 2
    assert tickets.minted(ticket)


def test_truncated_changed_and_foreign_tickets_are_refused():
    text = mint(FakeClock()).mint()
    forged = text.replace("adum-1", "adum-2")
    for bad in ("", "x", text[:-1], forged, text + "0", "~" * 5, "a" * 500):
        failure = parse_ticket(bad, KEY)
        assert isinstance(failure, Failure)
        assert failure.kind is ErrorKind.BAD_TICKET
    assert isinstance(parse_ticket(text, b"another key 0000"), Failure)
