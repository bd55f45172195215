"""Workers that leave, shrink or arrive: what starts, stops and is refused."""

import json

import gevent
import pytest
from attrs import evolve

from rattanloom.metrics import Metrics
from rattanloom.placement.jobs import OutcomeKind
from rattanloom.placement.leaving_workers import stop_leaving_runs
from rattanloom.placement.load_report import measure_load
from rattanloom.placement.runs import make_job
from rattanloom.placement.worker_events import WorkerState
from rattanloom.placement.workers import RefusalReason, Refused, Resources, WorkerReport
from rattanloom.platform.json_format import parse
from rattanloom.platform.rows import Row, RowRef
from rattanloom.platform.workers import ReportBody, _parse_report
from rattanloom.registry import Registry
from rattanloom.scheduling.leaving import NOTICE_MIN_MS, LeavingRun, should_stop
from tests.dispatcher_fakes import (
    CLOCK,
    FakeReceiver,
    FakeWorker,
    make_submitted_job,
    wait_for,
)
from tests.test_placer import all_ready, running_placer
from tests.test_platform_adapter import ENTRY
from tests.test_pooled_worker import open_worker


class PatchedWorker(FakeWorker):
    """A worker of which a test replaces methods."""


LONG_RUN = LeavingRun(1_000, 6_000, 0, 2_000, 20_000, 0)


@pytest.mark.parametrize(
    ("changes", "is_stopped"),
    [
        ({}, True),
        ({"estimate_ms": 4_300}, False),  # 1,980 ms left if the estimate is too high
        ({"percent": 40}, False),  # progress counts more than the estimate
        ({"estimate_ms": 1_500, "percent": 10}, True),
        ({"useful_for_ms": 6_000}, False),  # another run would end too late
        ({"wait_ms": 14_000}, False),
        ({"leaves_in_ms": -1}, False),  # stays longer than announced
    ],
)
def test_run_is_stopped_only_if_its_job_ends_sooner(changes, is_stopped):
    assert should_stop(evolve(LONG_RUN, **changes)) is is_stopped


def test_remaining_time_of_a_draining_worker_causes_no_changes():
    changes = []
    registry = Registry(CLOCK, lambda: changes.append(1))

    def read(**fields):
        value = json.dumps(ENTRY | fields).encode()
        registry.apply_rows([Row(RowRef("servers", "", "w1"), 3, value)])
        return registry.entries["w1"]

    read(seq=1)
    left_ms = [
        read(state="draining", remaining_ms=remaining_ms, seq=seq).leaves_at_ms
        for seq, remaining_ms in enumerate((2_000, 1_700, 1_600))
    ]
    assert len(changes) == 2
    assert left_ms[0] == left_ms[2] == pytest.approx(CLOCK.now_ms() + 2_000, abs=200)
    assert read(state="draining", remaining_ms=100).leaves_at_ms < left_ms[0] - 1_000
    assert len(changes) == 3
    assert read(state="draining", remaining_ms="soon").leaves_at_ms
    # Large integers raised an error that ended the reading of all rows.
    for number, invalid in enumerate((10**400, True, -1, 3_600_001, None)):
        entry = read(state="draining", remaining_ms=invalid, labels=[str(number)])
        expected_ms = CLOCK.now_ms() + NOTICE_MIN_MS
        assert entry.leaves_at_ms == pytest.approx(expected_ms, abs=200)
    read(state="ready", cold_left_ms=10**400)
    assert not registry.cold_until_ms
    assert read(seq=2).leaves_at_ms is None


def test_run_that_will_not_end_moves_once_it_has_ended_and_nothing_new_starts():
    workers, receiver = (PatchedWorker("w1"), PatchedWorker("w2")), FakeReceiver()
    with running_placer(*workers) as placer:
        assert wait_for(lambda: all_ready(placer))
        job = make_submitted_job(estimate_ms=6_000, remaining_ms=60_000)
        placer.submit(receiver, job, ())
        assert wait_for(lambda: any(worker.running for worker in workers))
        leaving, other = sorted(workers, key=lambda worker: not worker.running)
        pooled = placer.workers[leaving.worker_id]
        assert wait_for(lambda: pooled.runs.all()[0].confirmed_ms)
        # Until the worker confirms the stop, no second run starts.
        end, leaving.end = leaving.end, lambda *_: None
        leaves_at_ms = CLOCK.now_ms() + 2_000
        pooled.apply_entry(
            evolve(pooled.entry, accepting=False, leaves_at_ms=leaves_at_ms)
        )
        gevent.sleep(0.2)
        assert leaving.running
        assert not other.starts
        leaving.end = end
        assert wait_for(lambda: other.running)
        assert not leaving.running
        other.end("00000000000000aa.0.0.0")
        assert wait_for(lambda: receiver.outcomes)
    assert receiver.outcomes[0].kind is OutcomeKind.COMPLETE
    assert [len(leaving.starts), len(other.starts)] == [1, 1]


def test_run_goes_on_if_no_other_worker_accepts_tasks():
    worker = FakeWorker("w1")
    with running_placer(worker) as placer:
        job = make_submitted_job(estimate_ms=6_000, remaining_ms=60_000)
        placer.submit(FakeReceiver(), job, ())
        assert wait_for(lambda: worker.running)
        pooled = placer.workers["w1"]
        assert wait_for(lambda: pooled.runs.all()[0].confirmed_ms)
        now_ms = CLOCK.now_ms()
        pooled.entry = evolve(
            pooled.entry, accepting=False, leaves_at_ms=now_ms + 2_000
        )
        index = placer.index
        assert stop_leaving_runs(index, placer.waiting, Metrics(), now_ms) == 0


def test_work_of_stopped_runs_counts_for_the_next_ones_of_the_same_tick():
    # All runs were stopped for the capacity that only the first ones could get.
    workers = [PatchedWorker(f"w{number}") for number in range(4)]
    with running_placer(*workers) as placer:
        assert wait_for(lambda: all_ready(placer))
        job = make_submitted_job(estimate_ms=6_000, remaining_ms=60_000, count=6)
        placer.submit(FakeReceiver(), job, ())
        assert wait_for(lambda: sum(len(w.running) for w in workers) == 6)
        pool = list(placer.workers.values())
        runs = [run for worker in pool for run in worker.runs.all()]
        assert wait_for(lambda: all(run.confirmed_ms for run in runs))
        now_ms = CLOCK.now_ms()
        leaving = sorted(pool, key=lambda worker: -len(worker.runs))[:3]
        for worker in leaving:
            worker.entry = evolve(
                worker.entry, accepting=False, leaves_at_ms=now_ms + 2_000
            )
        # One worker of 32 cores is left: each stopped task of 14 cores adds 2.6 s. The
        # job is of use for 12 s, and another run takes 6 s.
        for placed in placer.jobs.values():
            placed.deadline_ms = now_ms + 12_000
        stopped = stop_leaving_runs(placer.index, placer.waiting, Metrics(), now_ms)
    assert stopped == 3


@pytest.mark.parametrize("is_draining", [False, True])
def test_start_is_not_sent_again_after_a_report_of_a_drain(is_draining):
    worker, orders = open_worker()
    job = make_job(make_submitted_job(), FakeReceiver(), (), CLOCK.now_ms())
    worker.start_run(job.tasks[0])
    gevent.sleep(0.01)
    worker.drains_until_ms = CLOCK.now_ms() + 2_000 * is_draining
    orders.start_reply.set(Refused(RefusalReason.ATTEMPT_TOO_OLD))
    gevent.sleep(0.05)
    # Each order that is sent again has a newer attempt.
    assert (job.tasks[0].attempt == 2) is is_draining


@pytest.mark.parametrize(
    "changes", [{"accepting": False}, {"capacity": Resources(8_000, 64_000)}]
)
def test_start_is_not_sent_again_after_the_worker_shrank_or_began_to_leave(changes):
    worker, orders = open_worker()
    job = make_job(make_submitted_job(), FakeReceiver(), (), CLOCK.now_ms())
    worker.start_run(job.tasks[0])
    gevent.sleep(0.01)
    worker.apply_entry(evolve(worker.entry, **changes))
    orders.start_reply.set(Refused(RefusalReason.ATTEMPT_TOO_OLD))
    assert wait_for(lambda: not worker.runs)
    assert "on_run_not_started" in worker.events.seen
    assert job.tasks[0].attempt == 2, "the start was sent again"


@pytest.mark.parametrize(
    ("value", "expected"), [(0, 0), (1.5, 1.5), (True, None), ("soon", None)]
)
def test_drain_is_read_from_a_report_also_if_no_time_remains(value, expected):
    # A report of 0 ms counted as one without a drain.
    row = {"clock_ms": 1, "running": [], "finished": [], "remaining_ms": value}
    assert (
        _parse_report(parse(json.dumps(row).encode(), ReportBody)).remaining_ms
        == expected
    )
    del row["remaining_ms"]
    assert (
        _parse_report(parse(json.dumps(row).encode(), ReportBody)).remaining_ms is None
    )


@pytest.mark.parametrize("remaining_ms", [2_000, 0])
def test_report_of_a_draining_worker_ends_starts_before_its_entry_is_read(remaining_ms):
    worker, receiver = PatchedWorker("w1"), FakeReceiver()
    renew = worker.renew

    def renew_draining(renewal):
        report = renew(renewal)
        is_report = isinstance(report, WorkerReport)
        changed = {"remaining_ms": remaining_ms}
        return evolve(report, **changed) if is_report else report

    worker.renew = renew_draining
    with running_placer(worker) as placer:
        assert wait_for(lambda: all_ready(placer))
        # A refusal sets the pause anew; the drain must not end with it.
        placer.workers["w1"].paused_until_ms = 0
        placer.submit(receiver, make_submitted_job(), ())
        gevent.sleep(0.1)
        assert placer.index.usable_millicores(CLOCK.now_ms()) == 0
        assert measure_load(placer, (), CLOCK.now_ms()).capacity_millicores == 0
        assert not placer.metrics.counters["tasks_not_started", "no_answer"]
    assert not worker.starts


def test_workers_that_have_not_reported_yet_count_as_capacity():
    with running_placer(FakeWorker("w1", cut_off=True), FakeWorker("w2")) as placer:
        assert wait_for(lambda: placer.workers["w2"].state is WorkerState.READY)
        assert placer.workers["w1"].state is WorkerState.SYNCING
        assert placer.index.usable_millicores(CLOCK.now_ms()) == 64_000
