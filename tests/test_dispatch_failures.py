"""Lost replies, silent connections and lying workers never start a task twice."""

from collections import Counter

import gevent
import pytest
from attrs import evolve

from rattanloom.errors import ErrorKind, Failure, Ran
from rattanloom.job import JobOutcome, Task
from rattanloom.rules import DeploymentRule, KindRule, Rules, TargetRule
from tests.dispatch_utils import job, task, until, worker_bench

HURRY = DeploymentRule(response_weight=1, message_weight=0)


def starts_by_task(bench):
    return Counter((start.job_id, start.task) for start in bench.starts())


def assert_each_started_once(bench, tasks):
    assert sorted(starts_by_task(bench).values()) == [1] * tasks


@pytest.mark.parametrize("switch", ["close_before", "close_after"])
def test_connection_closing_under_a_request_is_resolved_not_guessed(switch):
    with worker_bench(workers=1) as bench:
        bench.run(job(task()))
        bench.workers["w0"].set_switches({switch: True})
        waiting = bench.run_later(job(task(answer="late"), job_id="j2"))
        until(lambda: bench.metrics.counters["messages", "look_up"])
        bench.workers["w0"].set_switches({switch: False})
        answer = waiting.get()
        assert answer.outputs == ("late",)
        assert_each_started_once(bench, 2)


@pytest.mark.parametrize("silent_while_running", [True, False])
def test_silent_connection_is_found_and_the_task_answered(silent_while_running):
    with worker_bench(workers=1) as bench:
        bench.rules = Rules(deployment=HURRY)
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
        assert bench.run(job(task(), job_id="j3")).outcome is JobOutcome.COMPLETE


def test_worker_that_dies_mid_run_leaves_an_unknown_outcome_soon():
    with worker_bench(workers=1) as bench:
        waiting = bench.run_later(job(task(60_000)), 60_000)
        until(bench.starts)
        bench.kill("w0")
        answer = waiting.get(timeout=5)
        assert answer.outcome is JobOutcome.UNKNOWN
        assert answer.failure.ran_word is Ran.MAY_HAVE_RUN
        assert_each_started_once(bench, 1)


def test_restarted_worker_is_not_believed_that_it_never_started_a_task():
    with worker_bench(workers=1) as bench:
        waiting = bench.run_later(job(task(60_000)), 60_000)
        until(bench.starts)
        bench.restart("w0")
        answer = waiting.get(timeout=5)
        assert answer.outcome is JobOutcome.UNKNOWN
        assert not bench.starts()


def test_dead_worker_gets_no_task_until_a_probe_is_answered():
    with worker_bench(workers=2) as bench:
        bench.kill("w0")
        for number in range(4):
            answer = bench.run(job(task(), task(), job_id=f"j{number}"))
            assert answer.outcome is JobOutcome.COMPLETE
        assert bench.state("w0").health.unreachable
        bench.restart("w0")
        until(lambda: (bench.directory.refresh(), bench.usable("w0"))[1])


def test_busy_worker_refuses_and_the_task_runs_elsewhere():
    with worker_bench(workers=2, slots=1) as bench:
        bench.rules = Rules(deployment=HURRY)
        bench.workers["w0"].set_switches({"refuse": True})
        answers = [bench.run(job(task(), job_id=f"j{n}")) for n in range(3)]
        assert all(answer.outcome is JobOutcome.COMPLETE for answer in answers)
        assert not bench.workers["w0"].attempts.starts


def test_task_refused_everywhere_is_answered_not_run_after_its_retries():
    with worker_bench(workers=1) as bench:
        rule = KindRule(retries_max=2, retry_base_ms=1)
        bench.rules = Rules(kinds={"proof": rule}, deployment=HURRY)
        bench.workers["w0"].set_switches({"refuse": True})
        answer = bench.run(job(task()))
        assert answer.outcome is JobOutcome.REFUSED
        assert answer.failure.kind is ErrorKind.NO_TARGETS
        assert answer.failure.ran_word is Ran.NOT_RUN
        assert bench.metrics.counters["messages", "start"] == 6


@pytest.mark.parametrize("told_by", ["reply", "list", "rule"])
def test_leaving_worker_gets_nothing_new(told_by):
    with worker_bench(workers=2) as bench:
        if told_by == "reply":
            bench.workers["w0"].set_switches({"leaving": True})
            bench.run(job(*(task() for _ in range(4))))
        elif told_by == "list":
            bench.listed[0] = evolve(bench.listed[0], leaving=True)
            bench.directory.refresh_list()
        else:
            bench.rules = Rules(targets={"w0": TargetRule(drain=True)})
        sent = bench.metrics.counters["messages", "start"]
        answer = bench.run(job(*(task() for _ in range(6)), job_id="j2"))
        assert answer.outcome is JobOutcome.COMPLETE
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


def test_worker_that_fails_everything_draws_no_more_work_and_comes_back():
    with worker_bench(workers=2, slots=1) as bench:
        bench.run(job(task(), task()))
        bench.workers["w0"].set_switches({"fail_all": True})
        outcomes = [
            bench.run(job(task(), job_id=f"f{number}")).outcome for number in range(40)
        ]
        assert outcomes.count(JobOutcome.FAILED) <= 4
        assert bench.state("w0").health.on_trial
        bench.workers["w0"].set_switches({"fail_all": False})
        bench.state("w0").health.blocked_until_ms = 0
        until(lambda: bench.run(job(task(), task())) and bench.sound("w0"))


def test_kind_that_fails_everywhere_is_not_the_workers_fault():
    with worker_bench(workers=2) as bench:
        bad = Task("broken", '{"ms": 1, "fail": "always"}', run_ms=1)
        for number in range(20):
            bench.run(job(bad, job_id=f"b{number}"))
        assert bench.sound("w0")
        assert bench.sound("w1")


def test_task_that_no_worker_could_ever_run_is_refused_at_once():
    with worker_bench(workers=1, slots=4) as bench:
        for impossible in (task(size_slots=5), task(accelerator=True)):
            answer = bench.run(job(impossible), 60_000)
            assert answer.failure.kind is ErrorKind.NEVER_RUNNABLE
            assert answer.outcome is JobOutcome.REFUSED


def test_deadline_answers_at_once_and_stops_what_runs():
    with worker_bench(workers=1, slots=1) as bench:
        running = bench.run_later(job(task(60_000)), 60)
        until(bench.starts)
        queued = bench.run(job(task(), job_id="j2"), 20)
        assert queued.failure.kind is ErrorKind.DEADLINE_UNREACHABLE
        assert queued.failure.ran_word is Ran.NOT_RUN
        answer = running.get(timeout=5)
        assert answer.failure.kind is ErrorKind.DEADLINE_PASSED
        assert answer.failure.ran_word is Ran.MAY_HAVE_RUN
        until(lambda: not bench.workers["w0"].attempts.probe().busy_slots)


def test_stalled_worker_loses_no_slot_for_ever_and_starts_nothing_late():
    with worker_bench(workers=1, slots=2) as bench:
        bench.rules = Rules(deployment=HURRY)
        bench.workers["w0"].set_switches({"stall": True})
        answer = bench.run(job(task()), 300)
        assert answer.failure.ran_word is Ran.MAY_HAVE_RUN
        gevent.sleep(0.1)
        bench.workers["w0"].set_switches({"stall": False})
        until(lambda: not bench.queue.taken, 20)
        assert not bench.state("w0").own_slots
        assert not bench.starts()


def test_kind_runs_only_on_the_workers_that_its_rule_allows():
    with worker_bench(workers=3) as bench:
        bench.rules = Rules(kinds={"proof": KindRule(targets=("w1", "x*"))})
        answer = bench.run(job(*(task() for _ in range(8))))
        assert answer.outcome is JobOutcome.COMPLETE
        assert len(bench.workers["w1"].attempts.starts) == 8
        bench.rules = Rules(kinds={"proof": KindRule(targets=("x*",))})
        answer = bench.run(job(task(), job_id="j2"))
        assert answer.failure.kind is ErrorKind.NEVER_RUNNABLE


def test_outage_of_the_host_list_keeps_the_last_known_workers():
    with worker_bench(workers=1) as bench:
        outage = Failure(ErrorKind.PLATFORM_UNREACHABLE, "down")
        bench.listed_targets = lambda: outage
        bench.directory.refresh_list()
        assert bench.run(job(task())).outcome is JobOutcome.COMPLETE
