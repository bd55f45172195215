"""Other processes return results from the sealed ledger of a stopped process."""

from rattanloom.errors import ErrorKind, Failure, Ran
from rattanloom.job import JobResult, ResultKind
from rattanloom.keys import Keyring
from rattanloom.ledger import Ledger
from rattanloom.sealed_ledger import SealedLedgers
from rattanloom.ticket import TicketIssuer, parse_ticket
from tests.utils import FakeClock, FakeObjects

KEY = Keyring(b"0123456789abcdef")
KEEP_BYTES = 1_000_000


def stopped_process(clock):
    """Return the issuer and ledger of a process, and its job's ticket and result."""
    issuer = TicketIssuer("Adum", "adum-1", "aa00", KEY, clock, epoch_ms=1000)
    ledger = Ledger()
    ticket = parse_ticket(issuer.issue(), KEY)
    running = ledger.start(ticket, b"digest")
    result = JobResult(ticket.text, ResultKind.COMPLETE, ("proof",), run_ms=3.0)
    ledger.end(running, result, issuer.epoch(), KEEP_BYTES)
    return issuer, ledger, ticket, result


def test_resubmission_to_a_stopped_process_gets_its_result():
    clock, objects = FakeClock(), FakeObjects()
    issuer, ledger, ticket, result = stopped_process(clock)
    SealedLedgers(objects, clock).seal(ledger, issuer)
    sealed = SealedLedgers(objects, clock).find(ticket)
    assert sealed.admit(ticket, b"digest") == result
    assert sealed.result(ticket) == result
    assert sealed.admit(ticket, b"another").kind is ErrorKind.KEY_REUSED


def test_unused_ticket_of_a_stopped_process_is_reported_not_run():
    clock, objects = FakeClock(), FakeObjects()
    issuer, ledger, *_ = stopped_process(clock)
    unused = parse_ticket(issuer.issue(), KEY)
    SealedLedgers(objects, clock).seal(ledger, issuer)
    refusal = SealedLedgers(objects, clock).find(unused).result(unused)
    assert refusal.effective_ran is Ran.NOT_RUN


def test_ticket_too_old_at_the_stop_may_have_run():
    clock, objects = FakeClock(), FakeObjects()
    issuer, ledger, ticket, _ = stopped_process(clock)
    clock.ms = 2_000
    SealedLedgers(objects, clock).seal(ledger, issuer)
    refusal = SealedLedgers(objects, clock).find(ticket).result(ticket)
    assert refusal.kind is ErrorKind.TICKET_EXPIRED
    assert refusal.effective_ran is Ran.MAY_HAVE_RUN


def test_job_still_running_at_the_stop_may_have_run():
    clock, objects = FakeClock(), FakeObjects()
    issuer, ledger, *_ = stopped_process(clock)
    running = parse_ticket(issuer.issue(), KEY)
    ledger.start(running, b"digest")
    SealedLedgers(objects, clock).seal(ledger, issuer)
    refusal = SealedLedgers(objects, clock).find(running).result(running)
    assert refusal.effective_ran is Ran.MAY_HAVE_RUN


def test_crashed_process_leaves_no_ledger_and_costs_few_reads():
    clock, objects = FakeClock(), FakeObjects()
    *_, ticket, _ = stopped_process(clock)
    ledgers = SealedLedgers(objects, clock)
    assert all(ledgers.find(ticket) is None for _ in range(100))
    assert objects.reads == 1


def test_corrupt_ledger_is_treated_as_missing():
    clock, objects = FakeClock(), FakeObjects()
    *_, ticket, _ = stopped_process(clock)
    objects.contents["ledger/adum-1/aa00"] = b'{"epoch": 1}'
    assert SealedLedgers(objects, clock).find(ticket) is None


def test_running_job_cannot_be_started_again():
    *_, ledger, ticket, _ = stopped_process(FakeClock())
    ledger = Ledger()
    ledger.start(ticket, b"digest")
    assert isinstance(ledger.start(ticket, b"digest"), Failure)
