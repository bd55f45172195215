"""A job is refused only on evidence that nothing of it has run; otherwise given up."""

from contextlib import contextmanager

import pytest
from attrs import define, evolve, field
from gevent.event import Event

from rattanloom.errors import Failure
from rattanloom.placement.jobs import OutcomeKind
from rattanloom.placement.placer import Placer
from rattanloom.placement.workers import (
    RefusalReason,
    Refused,
    RunOutcome,
    StartOrder,
)
from tests.dispatcher_fakes import (
    LOST,
    FakeReceiver,
    FakeWorker,
    make_submitted_job,
    wait_for,
)
from tests.test_placer import (
    TOKEN,
    all_ready,
    running_placer,
    start_inherited_run,
)

CLAIMANT_TOKEN = TOKEN | 1 << 39
NEXT_TOKEN = 2 << 40
JOB = make_submitted_job(remaining_ms=2_000, estimate_ms=100)
TASK = f"{JOB.job_id}.0.0.0"


@define(eq=False)
class CutOffWorker(FakeWorker):
    """A worker that is cut off with each start order; the replies wait and are lost.

    The test carries the orders out, which are kept in ``late_orders``.
    """

    reply_lost: Event = field(factory=Event)

    def start(self, order: StartOrder) -> Failure:
        """Keep the order; report its reply as lost once the test says so."""
        self.late_orders.append(order)
        self.cut_off = True
        self.reply_lost.wait()
        return LOST


@contextmanager
def lost_order(worker: CutOffWorker, receiver: FakeReceiver):
    """Submit a job whose only start order gets no reply; yield placer and order."""
    with running_placer(worker) as placer:
        assert wait_for(lambda: all_ready(placer))
        placer.submit(receiver, JOB, ())
        assert wait_for(lambda: worker.late_orders)
        placer.workers["w1"].apply_entry(evolve(worker.entry(), accepting=False))
        yield placer, worker.late_orders[0]


def run_and_note_end(worker: CutOffWorker, order: StartOrder) -> None:
    """Carry an order out; let another placer of the zone take note of the run's end."""
    worker.carry_out(order)
    worker.end(TASK)
    worker.token = CLAIMANT_TOKEN
    worker.finished.clear()


def give_up(placer: Placer, receiver: FakeReceiver) -> OutcomeKind:
    """Return the outcome of a job once no run of it is left and it gets no worker."""
    assert wait_for(lambda: not placer.active_runs)
    assert wait_for(lambda: receiver.outcomes)
    return receiver.outcomes[0].kind


def test_job_whose_end_another_placer_noted_is_not_refused():
    # A short zone cut: the claimant of the zone noted the end of the only run.
    worker, receiver = CutOffWorker("w1"), FakeReceiver()
    with lost_order(worker, receiver) as (placer, order):
        worker.reply_lost.set()
        run_and_note_end(worker, order)
        placer.workers["w1"].raise_fencing_token(NEXT_TOKEN)
        worker.cut_off = False
        assert give_up(placer, receiver) is OutcomeKind.GIVEN_UP


def test_job_is_not_refused_if_its_zone_changed_hands_before_the_reply_was_lost():
    worker, receiver = CutOffWorker("w1"), FakeReceiver()
    with lost_order(worker, receiver) as (placer, order):
        placer.workers["w1"].raise_fencing_token(NEXT_TOKEN)
        run_and_note_end(worker, order)
        worker.reply_lost.set()
        worker.cut_off = False
        assert give_up(placer, receiver) is OutcomeKind.GIVEN_UP


def test_job_is_refused_if_its_order_was_fenced_off_under_the_same_ownership():
    worker, receiver = CutOffWorker("w1"), FakeReceiver()
    with lost_order(worker, receiver) as (placer, order):
        worker.reply_lost.set()
        worker.cut_off = False
        assert give_up(placer, receiver) is OutcomeKind.REFUSED
        assert not worker.starts
        assert order.fencing_token < worker.token


class RefusingWorker(FakeWorker):
    """A worker that has a run of an attempt, and has no room for a later one."""

    def start(self, order: StartOrder) -> Refused:
        """Refuse an order."""
        self.starts.append(order)
        if order.attempt == 1:
            return Refused(RefusalReason.ATTEMPT_TOO_OLD)
        return Refused(RefusalReason.NO_ROOM)


def test_job_of_which_a_worker_knows_an_earlier_attempt_is_not_refused():
    worker, receiver = RefusingWorker("w1"), FakeReceiver()
    with running_placer(worker) as placer:
        assert wait_for(lambda: all_ready(placer))
        placer.submit(receiver, JOB, ())
        assert wait_for(lambda: len(worker.starts) > 1)
        placer.workers["w1"].apply_entry(evolve(worker.entry(), accepting=False))
        assert give_up(placer, receiver) is OutcomeKind.GIVEN_UP


@pytest.mark.parametrize("outcome", [RunOutcome.DONE, RunOutcome.EXPIRED])
@pytest.mark.parametrize("known_first", [False, True], ids=["run", "job"])
def test_job_whose_run_of_a_former_placer_has_ended_is_not_refused(
    outcome, known_first
):
    # Its client posted it again to another daemon, which knew no former placer.
    worker, receiver = FakeWorker("w1"), FakeReceiver()
    job = make_submitted_job(count=2, remaining_ms=2_000, estimate_ms=100)
    start_inherited_run(worker, TASK)
    worker.end(TASK, outcome)
    worker.cut_off = known_first
    with running_placer(worker) as placer:
        placer.workers["w1"].apply_entry(evolve(worker.entry(), accepting=False))
        assert known_first or wait_for(lambda: all_ready(placer))
        placer.submit(receiver, job, ())
        worker.cut_off = False
        assert give_up(placer, receiver) is OutcomeKind.GIVEN_UP
