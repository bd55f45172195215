"""One pooled worker whose answers overtake each other or are lost."""

from collections import Counter

import gevent
from attrs import define, field
from gevent.event import AsyncResult

from rattanloom.errors import ErrorKind, Failure
from rattanloom.placement.pooled_worker import PooledWorker
from rattanloom.placement.runs import make_job
from rattanloom.placement.worker_events import WorkerState
from rattanloom.placement.worker_lease import WorkerLease
from rattanloom.placement.workers import (
    FinishedRun,
    Renewal,
    RunOutcome,
    RunStatus,
    Started,
    StartOrder,
    WorkerReport,
)
from tests.dispatcher_fakes import (
    CLOCK,
    FakeSession,
    FakeWorker,
    make_submitted_job,
    wait_for,
)

TOKEN = 1 << 40


@define(eq=False)
class ScriptedOrders:
    """Answers as told: each renewal waits until the test answers it."""

    start_reply: object = field(factory=AsyncResult)
    renewals: list[tuple[Renewal, AsyncResult]] = field(factory=list)

    def start(self, order: StartOrder) -> Started | Failure:
        """Wait for the test's answer."""
        return self.start_reply.get()

    def stop(self, task: str, attempt: int, fencing_token: int) -> bool:
        """Take the stop."""
        return True

    def renew(self, renewal: Renewal) -> WorkerReport | Failure:
        """Wait for the test's answer."""
        answer = AsyncResult()
        self.renewals.append((renewal, answer))
        return answer.get()

    def answer(self, number: int, report: WorkerReport) -> None:
        """Answer one renewal, and let the worker take it."""
        assert wait_for(lambda: len(self.renewals) > number)
        self.renewals[number][1].set(report)
        gevent.sleep(0.01)

    def close(self) -> None:
        """Nothing to close."""


class IgnoredEvents:
    """A placer that notes which runs ended and which were not started."""

    def __init__(self) -> None:
        """Start with no event."""
        self.seen = []

    def __getattr__(self, name: str):
        """Return a method that notes its call."""
        return lambda *arguments: self.seen.append(name)


def report(
    clock_ms: int, running: tuple[str, ...] = (), ended: tuple[FinishedRun, ...] = ()
) -> WorkerReport:
    rows = tuple(RunStatus(task, 1, "", 10) for task in running)
    return WorkerReport(clock_ms, 1, rows, ended)


def open_worker() -> tuple[PooledWorker, ScriptedOrders]:
    orders = ScriptedOrders()
    worker = PooledWorker(
        FakeWorker("w1").entry(),
        orders,
        IgnoredEvents(),
        CLOCK,
        WorkerLease(CLOCK, 900),
        TOKEN,
        Counter(),
    )
    worker.open()
    orders.answer(0, report(1_000))
    assert worker.state is WorkerState.READY
    return worker, orders


def start_task(worker: PooledWorker, orders: ScriptedOrders):
    job = make_job(make_submitted_job(), FakeSession(), (), CLOCK.now_ms())
    run = worker.start_run(job.tasks[0])
    orders.start_reply.set(Started(1_001))
    gevent.sleep(0.01)
    return run


def test_report_overtaken_by_the_end_of_a_run_does_not_bring_it_back():
    worker, orders = open_worker()
    run = start_task(worker, orders)
    worker.request_report()
    ended = FinishedRun(1, run.name, run.attempt, RunOutcome.DONE)
    orders.answer(1, report(1_100, ended=(ended,)))
    assert not worker.runs
    orders.answer(2, report(1_090, (run.name,)))
    assert not worker.runs
    assert worker.runs.free == worker.entry.capacity


def test_stopped_run_of_another_placer_is_dropped_once_it_is_not_listed():
    worker, orders = open_worker()
    orders.answer(1, report(1_010, ("foreign.0.0.0",)))
    (run,) = worker.runs.all()
    worker.stop(run)
    orders.answer(2, report(1_020))
    assert not worker.runs


def test_stopped_run_whose_start_was_lost_is_dropped_once_fenced_off():
    worker, orders = open_worker()
    job = make_job(make_submitted_job(), FakeSession(), (), CLOCK.now_ms())
    run = worker.start_run(job.tasks[0])
    worker.stop(run)
    orders.start_reply.set(Failure(ErrorKind.REPLY_LOST, "no reply"))
    assert wait_for(lambda: len(orders.renewals) == 3)
    orders.answer(2, report(1_020))
    assert orders.renewals[2][0].fencing_token > TOKEN
    assert not worker.runs


def test_run_started_in_a_new_life_is_kept_when_the_life_shows():
    worker, orders = open_worker()
    run = start_task(worker, orders)
    rows = (RunStatus(run.name, run.attempt, "", 0),)
    orders.answer(1, WorkerReport(20, 2, rows, ()))
    assert worker.runs.all() == [run]
    assert "run_vanished" not in worker.events.seen


def test_run_of_an_earlier_life_is_dropped_when_a_new_one_shows():
    worker, orders = open_worker()
    run = start_task(worker, orders)
    worker.request_report()
    assert wait_for(lambda: len(orders.renewals) == 3)
    orders.answer(2, WorkerReport(20, 2, (), ()))
    assert run.key not in worker.runs
    assert "run_vanished" in worker.events.seen


def test_worker_in_a_traceback_does_not_show_all_that_it_reaches():
    worker, _ = open_worker()
    assert len(repr(worker)) < 200
