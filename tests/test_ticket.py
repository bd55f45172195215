"""Tickets contain their issuer and cannot be forged."""

from rattanloom.errors import ErrorKind, Failure
from rattanloom.keys import Keyring
from rattanloom.ticket import TicketIssuer, parse_ticket
from tests.utils import FakeClock

KEY = Keyring(b"0123456789abcdef")


def issuer(clock):
    return TicketIssuer("Adum", "adum-1", "aa00", KEY, clock, epoch_ms=1000)


def test_ticket_contains_its_issuer_and_epoch():
    clock = FakeClock()
    tickets = issuer(clock)
    clock.ms = 2500
    ticket = parse_ticket(tickets.issue(), KEY)
    assert (ticket.zone, ticket.host, ticket.incarnation) == ("Adum", "adum-1", "aa00")
    assert ticket.epoch == 2
    assert tickets.has_issued(ticket)


def test_truncated_changed_and_foreign_tickets_are_refused():
    text = issuer(FakeClock()).issue()
    forged = text.replace("adum-1", "adum-2")
    for bad in ("", "x", text[:-1], forged, text + "0", "~" * 5, "a" * 500):
        failure = parse_ticket(bad, KEY)
        assert isinstance(failure, Failure)
        assert failure.kind is ErrorKind.BAD_TICKET
    assert isinstance(parse_ticket(text, Keyring(b"another key 0000")), Failure)


def test_key_rotation_refuses_no_ticket():
    old_key, new_key = b"the first key 0000", b"the second key 000"
    steps = [
        Keyring(old_key),
        Keyring(old_key, (new_key,)),
        Keyring(new_key, (old_key,)),
        Keyring(new_key),
    ]
    for before, after in zip(steps, steps[1:], strict=False):
        signers = (before, after)
        texts = [
            TicketIssuer("Adum", "adum-1", "aa00", keys, FakeClock(), 1000).issue()
            for keys in signers
        ]
        accepted = [
            not isinstance(parse_ticket(text, keys), Failure)
            for text in texts
            for keys in signers
        ]
        assert all(accepted)


def test_signature_for_one_purpose_is_invalid_for_another():
    keys = Keyring(b"0123456789abcdef")
    signature = keys.for_purpose(b"peers").sign(b"content", 8)
    assert not keys.verify(b"content", signature)
