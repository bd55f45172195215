"""The ledger is bounded, and what it drops never makes a ticket valid again."""

import tracemalloc

from hypothesis import given
from hypothesis import strategies as st

from rattanloom.errors import ErrorKind, Failure, Ran
from rattanloom.job import JobResult, ResultKind
from rattanloom.ledger import CHUNK_TICKETS, RUNNING_MAX_JOBS, Ledger
from rattanloom.ticket import Ticket

KEEP_BYTES = 1_000_000


def ticket(number, epoch=0):
    text = f"z~a~i~{epoch}~{number}~0123456789abcdef0123"
    return Ticket("z", "a", "i", epoch, number, text)


def run(ledger, number, epoch=0, keep_bytes=KEEP_BYTES, tasks=1):
    running = ledger.start(ticket(number, epoch), b"digest")
    outputs = tuple(f"{number}-{index}" for index in range(tasks))
    result = JobResult(running.ticket.text, ResultKind.COMPLETE, outputs)
    ledger.end(running, result, epoch, keep_bytes)


def test_kept_results_stay_within_their_byte_limit():
    for tasks in (1, 40, 210):
        tracemalloc.start()
        ledger = Ledger()
        for number in range(3_000):
            run(ledger, number, tasks=tasks)
        used_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert used_bytes <= 1.1 * KEEP_BYTES


def test_a_result_larger_than_the_limit_is_reported_as_run():
    ledger = Ledger()
    run(ledger, 1, keep_bytes=10)
    refusal = ledger.admit(ticket(1), b"digest", 0)
    assert (refusal.kind, refusal.effective_ran) == (ErrorKind.TICKET_EXPIRED, Ran.RAN)


def test_running_jobs_are_bounded():
    ledger = Ledger()
    for number in range(RUNNING_MAX_JOBS):
        ledger.start(ticket(number), b"")
    refusal = ledger.start(ticket(RUNNING_MAX_JOBS), b"")
    assert (refusal.kind, refusal.effective_ran) == (ErrorKind.OVERLOADED, Ran.NOT_RUN)
    assert ledger.admit(ticket(RUNNING_MAX_JOBS), b"", 0) is None


@given(
    st.lists(
        st.tuples(st.integers(0, 2 * CHUNK_TICKETS), st.integers(0, 3)), max_size=60
    ),
    st.sampled_from([0, 5_000, KEEP_BYTES]),
)
def test_a_used_ticket_is_never_valid_again(steps, keep_bytes):
    ledger = Ledger()
    used = set()
    epoch = 0
    for number, pause in steps:
        epoch += pause == 3
        for known_number, known_epoch in used:
            known = ticket(known_number, known_epoch)
            assert ledger.admit(known, b"digest", epoch) is not None
        if all(number != known_number for known_number, _ in used):
            run(ledger, number, epoch, keep_bytes)
            used.add((number, epoch))


def test_an_unused_ticket_is_refused_after_its_epochs():
    ledger = Ledger()
    assert ledger.admit(ticket(1, 0), b"", 1) is None
    late = ledger.admit(ticket(1, 0), b"", 2)
    assert isinstance(late, Failure)
    assert late.effective_ran is Ran.MAY_HAVE_RUN
