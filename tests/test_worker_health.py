"""Tests of the detection of unhealthy workers and stalled runs."""

from collections import Counter

from rattanloom.placement.pooled_worker import PooledWorker
from rattanloom.placement.runs import Run, RunPhase, make_job
from rattanloom.placement.worker_health import STALLED_MS, WorkerHealth
from rattanloom.placement.worker_lease import WorkerLease
from tests.dispatcher_fakes import CLOCK, FakeReceiver, FakeWorker, make_submitted_job


def make_workers(number: int) -> list[PooledWorker]:
    return [
        PooledWorker(
            FakeWorker(f"w{index}").entry(),
            FakeWorker(f"w{index}"),
            None,
            CLOCK,
            WorkerLease(CLOCK, 900),
            1,
            Counter(),
        )
        for index in range(number)
    ]


def make_run(last_listed_ms: float, last_progress_ms: float) -> Run:
    task = make_job(make_submitted_job(), FakeReceiver(), (), 0).tasks[0]
    run = Run(task.name, 1, task, task.step, RunPhase.RUNNING, 0, 0)
    run.last_listed_ms, run.last_progress_ms = last_listed_ms, last_progress_ms
    return run


def test_stalled_run_is_stuck():
    assert WorkerHealth().is_stalled(make_run(STALLED_MS + 10, 10))


def test_long_run_with_progress_is_not_stuck():
    assert not WorkerHealth().is_stalled(make_run(60_000, 59_800))


def test_worker_is_paused_after_two_failures_in_a_row():
    workers = make_workers(8)
    worker_health = WorkerHealth()
    worker_health.record_failure(workers[0], workers, 1_000)
    assert workers[0].paused_until_ms == 0
    worker_health.record_failure(workers[0], workers, 1_000)
    assert workers[0].paused_until_ms > 1_000


def test_worker_with_successes_between_failures_is_not_paused():
    workers = make_workers(8)
    worker_health = WorkerHealth()
    for _ in range(5):
        worker_health.record_failure(workers[0], workers, 1_000)
        worker_health.record_success(workers[0], make_run(0, 0), 1_000)
        worker_health.record_success(workers[0], make_run(0, 0), 1_000)
    assert workers[0].paused_until_ms == 0


def test_few_workers_are_paused_when_all_of_them_fail():
    workers = make_workers(8)
    worker_health = WorkerHealth()
    for worker in workers:
        worker_health.record_failure(worker, workers, 1_000)
        worker_health.record_failure(worker, workers, 1_000)
    assert sum(worker.paused_until_ms > 0 for worker in workers) <= 2
