"""Tests of the placer with tasks that crash each worker that starts them."""

from contextlib import contextmanager

import gevent
import pytest
from attrs import evolve

from rattanloom.placement.crash_records import LossState, TaskRisk
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
SHARED_JOB = "00000000000000bb"
# Times that a client sends a job, and its pause between them.
SENDS_MAX = 24
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


@contextmanager
def progressing(workers: list[FakeWorker]):
    """Let all runs make progress inside the block, so that none is stalled."""

    def progress() -> None:
        while True:
            gevent.sleep(0.05)
            for worker in workers:
                for key in worker.running:
                    worker.running[key] += 1

    greenlet = gevent.spawn(progress)
    try:
        yield
    finally:
        greenlet.kill()


def crash_while_shared(placer, workers, shared_job: str) -> None:
    """Start a job's task, then the crashing one on the same worker."""
    job = make_submitted_job(shared_job, remaining_ms=9_000, estimate_ms=3_000)
    placer.submit(FakeReceiver(), job, ())
    assert wait_for(lambda: any(worker.running for worker in workers))
    placer.submit(FakeReceiver(), make_submitted_job(CRASHING_JOB), ())
    assert wait_for(lambda: any(worker.down for worker in workers))


def test_task_that_shared_a_worker_with_a_crashing_one_starts_again_alone():
    workers = make_workers(3, down_s=9.0)
    shared_task = f"{SHARED_JOB}.0.0.0"
    with running_placer(*workers) as placer:
        assert wait_for(lambda: all_ready(placer))
        crash_while_shared(placer, workers, SHARED_JOB)
        assert wait_for(lambda: count_starts(workers, shared_task) == 2)
        (worker,) = [one for one in workers if (shared_task, 2) in one.running]
        placer.submit(FakeReceiver(), make_submitted_job("00000000000000dd"), ())
        gevent.sleep(0.1)
        assert list(worker.running) == [(shared_task, 2)]


def test_task_lost_twice_with_workers_that_were_cut_off_is_not_given_up():
    workers = [FakeWorker(f"w{index}") for index in range(3)]
    receiver = FakeReceiver()
    task = f"{SHARED_JOB}.0.0.0"
    with running_placer(*workers) as placer, progressing(workers):
        assert wait_for(lambda: all_ready(placer))
        job = make_submitted_job(SHARED_JOB, remaining_ms=20_000, estimate_ms=8_000)
        placer.submit(receiver, job, ())
        for number in (1, 2):
            assert wait_for(lambda n=number: count_starts(workers, task) == n)
            (holder,) = [one for one in workers if one.running]
            holder.cut_off = True
            assert wait_for(lambda n=number: count_starts(workers, task) == n + 1)
            holder.cut_off = False
            assert wait_for(lambda: all_ready(placer))
        losses = placer.crash_policy.records.losses()
    assert [loss.state for loss in losses] == [LossState.CLEARED] * 2
    assert not receiver.outcomes


def test_task_lost_with_leaving_workers_is_started_again():
    workers = make_workers(3, down_s=9.0)
    with running_placer(*workers) as placer:
        assert wait_for(lambda: all_ready(placer))
        placer.submit(FakeReceiver(), make_submitted_job(CRASHING_JOB), ())
        assert wait_for(lambda: any(worker.down for worker in workers))
        for worker in placer.workers.values():
            worker.apply_entry(evolve(worker.entry, accepting=False))
        assert wait_for(lambda: not placer.active_runs)
        risk = placer.crash_policy.records.risk(CRASHING_TASK)
    assert risk is TaskRisk.NONE
