"""Tests of the placer with tasks that crash each worker that starts them."""

import gevent
import pytest

from rattanloom.placement.jobs import OutcomeKind
from tests.dispatcher_fakes import (
    FakeReceiver,
    FakeWorker,
    make_submitted_job,
    wait_for,
)
from tests.test_placer import all_ready, running_placer

CRASHING_JOB = "00000000000000cc"
CRASHING_TASK = f"{CRASHING_JOB}.0.0.0"
# Times that a client sends a job, and its pause between them.
SENDS_MAX = 8
RESEND_S = 0.3


def make_workers(number: int, **settings) -> list[FakeWorker]:
    """Return workers that the crashing task crashes."""
    crashing = frozenset([CRASHING_TASK])
    return [
        FakeWorker(f"w{index}", crashing=crashing, **settings)
        for index in range(number)
    ]


def send_until_final(placer, receiver: FakeReceiver, job_id: str = CRASHING_JOB):
    """Send a job like a client, until its outcome is final; return the outcome."""
    for _ in range(SENDS_MAX):
        receiver.outcomes.clear()
        placer.submit(receiver, make_submitted_job(job_id, remaining_ms=1_500), ())
        assert wait_for(lambda: receiver.outcomes)
        if receiver.outcomes[0].kind is not OutcomeKind.GIVEN_UP:
            break
        gevent.sleep(RESEND_S)
    return receiver.outcomes[0]


def count_starts(workers: list[FakeWorker], task: str) -> int:
    return sum(order.task == task for worker in workers for order in worker.starts)


# A worker is back before its lease has expired, or long after.
@pytest.mark.parametrize("down_s", [0.2, 2.0])
def test_task_that_crashes_its_workers_starts_twice_however_often_it_is_sent(down_s):
    workers = make_workers(6, down_s=down_s)
    with running_placer(*workers) as placer:
        assert wait_for(lambda: all_ready(placer))
        outcome = send_until_final(placer, FakeReceiver())
    assert outcome.kind is OutcomeKind.FAILED
    assert count_starts(workers, CRASHING_TASK) == 2
