"""The stand-alone version's stand-in worker starts an attempt at most once.

Guards against an attempt that starts twice, or after its stop, when requests are
repeated or reordered.
"""

import gevent
import pytest
from attrs import evolve

from rattanloom.clock import SystemClock
from rattanloom.targets.protocol import Attempt, AttemptState
from standins.worker_attempts import AttemptTable
from tests.dispatch_utils import until
from tests.utils import FakeClock


def attempt(number=1, ms=60_000, start_within_ms=0.0, lease_ms=60_000):
    return Attempt(
        f"j.0.{number}", "j", 0, number, "k", "", 1, ms, start_within_ms, lease_ms
    )


def start_later(table, request):
    return gevent.spawn(table.start, request, table.clock.now_ms())


def test_stop_before_the_start_fences_the_attempt():
    table = AttemptTable(SystemClock(), slots=1)
    assert table.stop("j.0.1").state is AttemptState.NEVER_STARTED
    reply = table.start(attempt(), table.clock.now_ms())
    assert reply.state is AttemptState.NEVER_STARTED
    assert not table.starts


def test_repeated_start_returns_the_reply_of_the_first():
    table = AttemptTable(SystemClock(), slots=2)
    both = [start_later(table, attempt(ms=20)) for _ in range(2)]
    assert {greenlet.get().state for greenlet in both} == {AttemptState.DONE}
    assert table.start(attempt(), table.clock.now_ms()).state is AttemptState.DONE
    assert len(table.starts) == 1


def test_queued_attempt_starts_once_a_slot_is_free_and_is_refused_on_timeout():
    table = AttemptTable(SystemClock(), slots=1)
    first = start_later(table, attempt(1))
    gevent.idle()
    assert table.start(attempt(2), table.clock.now_ms()).state is AttemptState.BUSY
    queued = start_later(table, attempt(3, ms=1, start_within_ms=60_000))
    gevent.idle()
    assert table.look_up("j.0.3", 0).state is AttemptState.RUNNING
    assert table.probe().busy_slots == 2
    table.stop("j.0.1")
    assert first.get().state is AttemptState.STOPPED
    assert queued.get().state is AttemptState.DONE
    assert table.probe().busy_slots == 0


@pytest.mark.parametrize("slot_freed_first", [True, False])
def test_stop_of_a_queued_attempt_wins_over_a_freed_slot(slot_freed_first):
    table = AttemptTable(SystemClock(), slots=1)
    start_later(table, attempt(1))
    gevent.idle()
    queued = start_later(table, attempt(2, start_within_ms=60_000))
    gevent.idle()
    if slot_freed_first:
        table._running["j.0.1"].stopped.set()
        until(lambda: "j.0.1" not in table._running)
    assert table.stop("j.0.2").state is not AttemptState.NOT_SEEN
    stop_state = table.stop("j.0.2").state
    assert queued.get().state is stop_state
    started = {start.attempt_id for start in table.starts}
    assert ("j.0.2" in started) == (stop_state is AttemptState.STOPPED)
    table.stop("j.0.1")
    until(lambda: table.probe().busy_slots == 0)


def test_reply_says_how_far_back_all_attempts_are_recorded():
    clock = FakeClock(ms=1_000)
    table = AttemptTable(clock, slots=1, finished_max=2)
    clock.ms = 5_000
    assert table.probe().remembers_ms == 4_000
    for number in range(3):
        table.stop(f"j.0.{number}")
        clock.ms += 100
    assert table.probe().remembers_ms == 300


def test_run_is_stopped_when_its_lease_expires():
    table = AttemptTable(SystemClock(), slots=1)
    short_lease = evolve(attempt(), lease_ms=5)
    reply = table.start(short_lease, table.clock.now_ms())
    assert reply.state is AttemptState.STOPPED


def test_reply_has_the_slots_of_its_sender_and_of_all_senders():
    table = AttemptTable(SystemClock(), slots=4)
    for number, sender in enumerate(("a", "a", "b")):
        start_later(table, evolve(attempt(number), sender=sender))
    gevent.idle()
    reply = start_later(table, evolve(attempt(4, ms=1), sender="a")).get()
    assert (reply.busy_slots, reply.sender_slots) == (3, 2)
