"""Tests of the runs of a job on the workers of a pool."""

import gevent
import pytest

from rattanloom.placement.job_runs import runs_in_pool
from rattanloom.placement.pooled_worker import PooledWorker
from rattanloom.placement.runs import PlacedJob, Run, RunPhase, make_job
from rattanloom.placement.stalled_runs import stop_stalled_runs
from rattanloom.placement.worker_health import STALLED_MS
from tests.dispatcher_fakes import FakeReceiver, FakeWorker, make_submitted_job
from tests.test_cold_workers import make_placer
from tests.test_placer import TOKEN


def add_runs(job: PlacedJob, workers: list[PooledWorker]) -> list[Run]:
    """Add a run of a task of a job to each worker."""
    runs = []
    for task, worker in zip(job.tasks, workers, strict=True):
        worker.client = FakeWorker(worker.worker_id)
        run = Run(task.name, 1, task, task.step, RunPhase.RUNNING, 0, 0)
        worker.runs.add(run)
        runs.append(run)
    return runs


@pytest.fixture
def placer():
    """Yield a placer with two workers, each with a run of its only job."""
    placer = make_placer({}, 2)
    job = make_job(make_submitted_job(count=2), FakeReceiver(), (), 0)
    placer.jobs[job.job_id] = job
    add_runs(job, list(placer.workers.values()))
    yield placer
    placer.clock.at_ms = 10_000
    gevent.sleep(0.02)


def test_job_that_ends_stops_no_run_of_a_worker_that_left_the_pool(placer):
    (job,) = placer.jobs.values()
    first, second = job.runs
    placer.remove_worker("w0", "it left")
    assert [run for _, run in runs_in_pool(job, placer.workers)] == [second]
    placer.add_worker(FakeWorker("w0").entry(), TOKEN)
    placer.workers["w0"].closed = True
    placer.endings.end(job, None)
    assert first.phase is RunPhase.RUNNING
    assert second.phase is RunPhase.STOPPING


def test_run_that_ended_is_no_longer_one_of_its_job(placer):
    (job,) = placer.jobs.values()
    for worker, run in runs_in_pool(job, placer.workers):
        assert worker.runs.remove(run)
    assert not job.runs


def test_only_stalled_runs_are_stopped_and_their_workers_avoided(placer):
    (job,) = placer.jobs.values()
    stalled, other = job.runs
    stalled.last_listed_ms = STALLED_MS
    stop_stalled_runs(placer.jobs, placer.workers, placer.worker_health, 1_000)
    assert stalled.phase is RunPhase.STOPPING
    assert other.phase is RunPhase.RUNNING
    assert [task.avoided_workers for task in job.tasks] == [{"w0"}, set()]
    assert placer.workers["w0"].failure_score == 1


def test_return_of_a_refused_job_is_computed_once_not_for_each_of_its_tasks(placer):
    job = make_job(make_submitted_job("b" * 16, count=8), FakeReceiver(), (), 0)
    placer.jobs[job.job_id] = job
    for task in job.tasks:
        placer.waiting.add(task, 0)
    now_ms = placer.clock.at_ms = job.latest_useful_start_ms + 1
    placer.endings.end_overdue(now_ms)
    assert job.ended
    assert len(placer.endings.returns._refused) == 1
