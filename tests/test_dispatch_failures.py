"""Worker and connection failures never start a task twice or lose a job.

Covers closed and stalled connections, restarted, refusing, leaving and failing
workers, and outages of the host list.
"""

from collections import Counter

import gevent
import pytest
from attrs import evolve

from rattanloom.errors import ErrorKind, Failure, Ran
from rattanloom.job import ResultKind, Task
from rattanloom.rules import DeploymentRule, KindRule, Rules, TargetRule
from tests.dispatch_utils import job, task, until, worker_bench

LATENCY_FIRST = DeploymentRule(response_weight=1, message_weight=0)


def starts_by_task(bench):
    return Counter((start.job_id, start.task) for start in bench.starts())


def assert_each_started_once(bench, tasks):
    assert sorted(starts_by_task(bench).values()) == [1] * tasks


@pytest.mark.parametrize("switch", ["close_before", "close_after"])
def test_connection_closed_during_a_request_is_resolved_by_look_up(switch):
    with worker_bench(workers=1) as bench:
        bench.run(job(task()))
        bench.workers["w0"].set_switches({switch: True})
        waiting = bench.run_later(job(task(answer="late"), job_id="j2"))
        until(lambda: bench.metrics.counters["messages", "look_up"])
        bench.workers["w0"].set_switches({switch: False})
        result = waiting.get()
        assert result.outputs == ("late",)
        assert_each_started_once(bench, 2)


@pytest.mark.parametrize("silent_while_running", [True, False])
def test_unresponsive_connection_is_detected_and_the_job_completes(
    silent_while_running,
):
    with worker_bench(workers=1) as bench:
        bench.rules = Rules(deployment=LATENCY_FIRST)
        bench.run(job(task()))
        worker = bench.workers["w0"]
        if not silent_while_running:
            worker.set_switches({"silent": True})
        waiting = bench.run_later(job(task(20, answer="late"), job_id="j2"))
        if silent_while_running:
            until(lambda: len(bench.starts()) == 2)
            worker.set_switches({"silent": True})
        assert waiting.get().outputs == ("late",)
        assert_each_started_once(bench, 2)
        assert bench.run(job(task(), job_id="j3")).outcome is ResultKind.COMPLETE


def test_worker_killed_during_a_task_gives_an_unknown_outcome_soon():
    with worker_bench(workers=1) as bench:
        waiting = bench.run_later(job(task(60_000)), 60_000)
        until(bench.starts)
        bench.kill("w0")
        result = waiting.get(timeout=5)
        assert result.outcome is ResultKind.UNKNOWN
        assert result.failure.effective_ran is Ran.MAY_HAVE_RUN
        assert_each_started_once(bench, 1)


def test_never_started_from_a_restarted_worker_is_not_trusted():
    with worker_bench(workers=1) as bench:
        waiting = bench.run_later(job(task(60_000)), 60_000)
        until(bench.starts)
        bench.restart("w0")
        result = waiting.get(timeout=5)
        assert result.outcome is ResultKind.UNKNOWN
        assert not bench.starts()


def test_dead_worker_receives_no_task_until_a_probe_succeeds():
    with worker_bench(workers=2) as bench:
        bench.kill("w0")
        for number in range(4):
            result = bench.run(job(task(), task(), job_id=f"j{number}"))
            assert result.outcome is ResultKind.COMPLETE
        assert bench.state("w0").health.unreachable
        bench.restart("w0")
        until(lambda: (bench.directory.refresh(), bench.usable("w0"))[1])


def test_busy_worker_refuses_and_the_task_runs_elsewhere():
    with worker_bench(workers=2, slots=1) as bench:
        bench.rules = Rules(deployment=LATENCY_FIRST)
        bench.workers["w0"].set_switches({"refuse": True})
        results = [bench.run(job(task(), job_id=f"j{n}")) for n in range(3)]
        assert all(result.outcome is ResultKind.COMPLETE for result in results)
        assert not bench.workers["w0"].attempts.starts


def test_task_refused_by_all_workers_is_not_run_after_its_retries():
    with worker_bench(workers=1) as bench:
        rule = KindRule(retries_max=2, retry_base_ms=1)
        bench.rules = Rules(kinds={"proof": rule}, deployment=LATENCY_FIRST)
        bench.workers["w0"].set_switches({"refuse": True})
        result = bench.run(job(task()))
        assert result.outcome is ResultKind.REFUSED
        assert result.failure.kind is ErrorKind.NO_TARGETS
        assert result.failure.effective_ran is Ran.NOT_RUN
        assert bench.metrics.counters["messages", "start"] == 6


@pytest.mark.parametrize("reported_by", ["reply", "list", "rule"])
def test_leaving_worker_receives_no_new_task(reported_by):
    with worker_bench(workers=2) as bench:
        if reported_by == "reply":
            bench.workers["w0"].set_switches({"leaving": True})
            bench.run(job(*(task() for _ in range(4))))
        elif reported_by == "list":
            bench.listed[0] = evolve(bench.listed[0], leaving=True)
            bench.directory.refresh_list()
        else:
            bench.rules = Rules(targets={"w0": TargetRule(drain=True)})
        sent = bench.metrics.counters["messages", "start"]
        result = bench.run(job(*(task() for _ in range(6)), job_id="j2"))
        assert result.outcome is ResultKind.COMPLETE
        assert not bench.workers["w0"].attempts.starts
        assert bench.metrics.counters["messages", "start"] == sent + 12


def test_task_in_flight_on_a_leaving_worker_is_not_cut_off():
    with worker_bench(workers=1) as bench:
        waiting = bench.run_later(job(task(100, answer="whole")))
        until(bench.starts)
        bench.workers["w0"].set_switches({"leaving": True})
        bench.listed[0] = evolve(bench.listed[0], leaving=True)
        bench.directory.refresh_list()
        assert waiting.get().outputs == ("whole",)


def test_worker_that_fails_all_tasks_is_avoided_and_recovers():
    with worker_bench(workers=2, slots=1) as bench:
        bench.run(job(task(), task()))
        bench.workers["w0"].set_switches({"fail_all": True})
        outcomes = [
            bench.run(job(task(), job_id=f"f{number}")).outcome for number in range(40)
        ]
        assert outcomes.count(ResultKind.FAILED) <= 4
        assert bench.state("w0").health.on_trial
        bench.workers["w0"].set_switches({"fail_all": False})
        bench.state("w0").health.quarantined_until_ms = 0
        until(lambda: bench.run(job(task(), task())) and bench.is_healthy("w0"))


def test_kind_that_fails_on_all_workers_leaves_them_healthy():
    with worker_bench(workers=2) as bench:
        bad = Task("broken", '{"ms": 1, "fail": "always"}', run_ms=1)
        for number in range(20):
            bench.run(job(bad, job_id=f"b{number}"))
        assert bench.is_healthy("w0")
        assert bench.is_healthy("w1")


def test_task_that_fits_no_worker_is_refused_at_once():
    with worker_bench(workers=1, slots=4) as bench:
        for impossible in (task(size_slots=5), task(accelerator=True)):
            result = bench.run(job(impossible), 60_000)
            assert result.failure.kind is ErrorKind.NEVER_RUNNABLE
            assert result.outcome is ResultKind.REFUSED


def test_deadline_ends_the_job_at_once_and_stops_running_tasks():
    with worker_bench(workers=1, slots=1) as bench:
        running = bench.run_later(job(task(60_000)), 60)
        until(bench.starts)
        queued = bench.run(job(task(), job_id="j2"), 20)
        assert queued.failure.kind is ErrorKind.DEADLINE_UNREACHABLE
        assert queued.failure.effective_ran is Ran.NOT_RUN
        result = running.get(timeout=5)
        assert result.failure.kind is ErrorKind.DEADLINE_PASSED
        assert result.failure.effective_ran is Ran.MAY_HAVE_RUN
        until(lambda: not bench.workers["w0"].attempts.probe().busy_slots)


def test_slots_of_a_stalled_worker_are_released_and_nothing_starts_late():
    with worker_bench(workers=1, slots=2) as bench:
        bench.rules = Rules(deployment=LATENCY_FIRST)
        bench.workers["w0"].set_switches({"stall": True})
        result = bench.run(job(task()), 300)
        assert result.failure.effective_ran is Ran.MAY_HAVE_RUN
        gevent.sleep(0.1)
        bench.workers["w0"].set_switches({"stall": False})
        until(lambda: not bench.queue.taken, 20)
        assert not bench.state("w0").own_slots
        assert not bench.starts()


def test_kind_runs_only_on_the_workers_that_its_rule_allows():
    with worker_bench(workers=3) as bench:
        bench.rules = Rules(kinds={"proof": KindRule(targets=("w1", "x*"))})
        result = bench.run(job(*(task() for _ in range(8))))
        assert result.outcome is ResultKind.COMPLETE
        assert len(bench.workers["w1"].attempts.starts) == 8
        bench.rules = Rules(kinds={"proof": KindRule(targets=("x*",))})
        result = bench.run(job(task(), job_id="j2"))
        assert result.failure.kind is ErrorKind.NEVER_RUNNABLE


def test_outage_of_the_host_list_keeps_the_last_known_workers():
    with worker_bench(workers=1) as bench:
        outage = Failure(ErrorKind.PLATFORM_UNREACHABLE, "down")
        bench.listed_targets = lambda: outage
        bench.directory.refresh_list()
        assert bench.run(job(task())).outcome is ResultKind.COMPLETE
