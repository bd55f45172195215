"""Admission decisions: refusals, fair order, overload and mass cancellation."""

from random import Random

import pytest

from rattanloom.errors import ErrorKind, Ran
from rattanloom.rules import TeamRule
from tests.admission_utils import Bench, make_rules


@pytest.mark.parametrize(
    ("options", "kind"),
    [
        ({"team": "nobody"}, ErrorKind.UNKNOWN_TEAM),
        ({"kind": "nothing"}, ErrorKind.UNKNOWN_KIND),
        ({"kind": "shut"}, ErrorKind.FORBIDDEN_BY_RULE),
        ({"deadline_ms": 60_001}, ErrorKind.FORBIDDEN_BY_RULE),
        ({"tasks": 211}, ErrorKind.TOO_LARGE),
        ({"size_slots": 9}, ErrorKind.NEVER_RUNNABLE),
        ({"accelerator": True}, ErrorKind.NEVER_RUNNABLE),
        ({"team": "tiny", "size_slots": 3}, ErrorKind.FORBIDDEN_BY_RULE),
        ({"run_ms": 500, "deadline_ms": 400}, ErrorKind.DEADLINE_UNREACHABLE),
    ],
)
def test_refuses_before_any_task_runs(options, kind):
    bench = Bench(rules=make_rules(desk=TeamRule(), tiny=TeamRule(quota_slots=2)))
    failure = bench.submit("j", **options)
    assert failure.kind is kind
    assert failure.effective_ran is Ran.NOT_RUN
    assert bench.admission.load().queued_slots == 0


def test_refuses_without_configuration_and_without_workers():
    assert Bench(rules=None).submit("j").kind is ErrorKind.NO_CONFIGURATION
    assert Bench(slots=0).submit("j").kind is ErrorKind.NO_TARGETS


def test_team_queue_limit_refuses_all_tasks_of_the_newest_job():
    bench = Bench(slots=1, rules=make_rules(desk=TeamRule(queue_max=10)))
    assert bench.submit("old", tasks=8) is None
    assert bench.submit("new", tasks=3).kind is ErrorKind.QUOTA_EXCEEDED
    assert bench.submit("small", tasks=2) is None
    assert bench.admission.load().queued_slots == 10


def test_weights_divide_the_slots_whatever_the_task_lengths_and_sizes():
    bench = Bench(
        slots=12,
        rules=make_rules(
            light=TeamRule(weight=1, quota_slots=1000),
            heavy=TeamRule(weight=3, quota_slots=1000),
        ),
    )
    for number in range(40):
        bench.submit(f"l{number}", "light", 20, run_ms=1000, deadline_ms=60_000)
        bench.submit(f"h{number}", "heavy", 40, size_slots=2, deadline_ms=60_000)
    bench.run(10_000)
    used = {"light": 0, "heavy": 0}
    for queued in bench.started:
        used[queued.job.team] += queued.task.run_ms * queued.task.size_slots
    assert used["heavy"] / used["light"] == pytest.approx(3, rel=0.15)


def test_a_team_whose_tasks_run_longer_than_estimated_gets_no_larger_share():
    teams = {name: TeamRule(quota_slots=1000) for name in ("honest", "longer")}
    bench = Bench(slots=12, rules=make_rules(**teams))
    for number in range(40):
        for team, payload in (("honest", "100"), ("longer", "400")):
            bench.submit(
                f"{team}{number}", team, 20, payload=payload, deadline_ms=60_000
            )
    bench.run(6_000, true_ms=lambda task: int(task.payload))
    used = {"honest": 0, "longer": 0}
    for queued in bench.started:
        used[queued.job.team] += int(queued.task.payload)
    assert used["longer"] / used["honest"] == pytest.approx(1, rel=0.2)


def test_a_large_job_does_not_delay_short_ones_and_still_completes():
    bench = Bench(slots=8)
    bench.submit("large", tasks=210, run_ms=200, deadline_ms=30_000)
    for number in range(100):
        bench.schedule(
            500 + 80 * number,
            lambda number=number: bench.submit(f"s{number}", run_ms=50),
        )
    bench.run(30_000)
    waits = [bench.done_ms[f"s{number}"] - 500 - 80 * number for number in range(100)]
    assert max(waits) <= 50 + 200
    ideal_ms = 210 * 200 / 8
    assert bench.done_ms["large"] <= 1.3 * ideal_ms


def test_a_steady_stream_of_short_jobs_does_not_starve_a_large_one():
    bench = Bench(slots=8)
    bench.submit("large", tasks=210, run_ms=200, deadline_ms=60_000)
    for number in range(4_000):
        bench.schedule(
            7 * number, lambda number=number: bench.submit(f"s{number}", run_ms=56)
        )
    bench.run(40_000)
    assert bench.done_ms["large"] <= 5 * 210 * 200 / 8


def offer(bench, load, seconds, seed):
    """Schedule jobs at ``load`` times the capacity, with wrong declared run times.

    A job has 3 tasks on average, a task really takes 125 ms on average.
    """
    random = Random(seed)
    at_ms, number, job_slot_ms = 0.0, 0, 125 * 3
    while at_ms < seconds * 1000:
        at_ms += random.expovariate(load * bench.slots / job_slot_ms)
        options = {
            "tasks": random.randint(1, 5),
            "run_ms": random.choice((10, 100, 1000)),
            "deadline_ms": random.choice((1000, 2000)),
        }
        bench.schedule(
            at_ms,
            lambda number=number, options=options: bench.submit(
                f"j{number}", **options
            ),
        )
        number += 1
    return number


@pytest.mark.parametrize("load", [3, 10])
def test_overload_keeps_the_goodput_near_the_peak(load):
    bench = Bench(slots=16)
    random = Random(5)
    seconds = 20
    offer(bench, load, seconds, seed=3)
    bench.run(seconds * 1000, true_ms=lambda task: random.uniform(50, 200))
    done_tasks = sum(
        len(queued.job.tasks)
        for queued in bench.started
        if queued.index == 0 and queued.job.job_id in bench.done_ms
    )
    peak_tasks = bench.slots * seconds * 1000 / 125
    assert done_tasks >= 0.9 * peak_tasks
    admitted = len(bench.done_ms) + len({task.job.job_id for task in bench.dropped})
    assert len(bench.done_ms) >= 0.98 * admitted


def test_retry_hints_of_refused_jobs_are_spread_by_the_capacity():
    bench = Bench(slots=16)
    offer(bench, 10, 5, seed=4)
    bench.run(5_000, true_ms=lambda task: 125)
    hints = sorted(
        failure.effective_retry_after_ms
        for failure in bench.refusals.values()
        if failure.kind is ErrorKind.DEADLINE_UNREACHABLE
    )
    assert len(hints) > 100
    assert hints[0] >= 100
    assert hints[len(hints) * 9 // 10] - hints[len(hints) // 10] > 2_000


def test_an_overdue_task_is_removed_from_the_queue():
    bench = Bench(slots=1)
    bench.submit("blocker", kind="long", run_ms=100, deadline_ms=9_000)
    bench.run(10, true_ms=lambda task: 4_000)
    bench.submit("late", run_ms=100, deadline_ms=500)
    bench.run(5_000, true_ms=lambda task: 4_000)
    assert [task.job.job_id for task in bench.dropped] == ["late"]
    assert bench.admission.load().queued_slots == 0


def test_mass_cancellation_frees_the_queue_and_other_jobs_continue():
    bench = Bench(slots=4, rules=make_rules(desk=TeamRule(queue_max=100_000)))
    for number in range(90):
        bench.submit(f"j{number}", tasks=200, run_ms=1, deadline_ms=60_000)
    assert bench.admission.load().queued_slots == 18_000
    for number in range(1, 90):
        assert len(bench.admission.withdraw(f"j{number}")) == 200
        assert bench.admission.withdraw(f"j{number}") == []
    assert bench.admission.load().queued_slots == 200
    bench.run(1_000)
    assert list(bench.done_ms) == ["j0"]


def test_learned_run_times_replace_wrong_declared_ones():
    bench = Bench(slots=4)
    for number in range(60):
        bench.schedule(
            100 * number, lambda number=number: bench.submit(f"j{number}", run_ms=9)
        )
    bench.run(7_000, true_ms=lambda task: 300)
    assert bench.submit("hasty", run_ms=9, deadline_ms=200) is not None
    assert bench.submit("patient", run_ms=9, deadline_ms=400) is None
