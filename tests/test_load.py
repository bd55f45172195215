"""Tests of the load generator and of the figures that the bench derives."""

from random import Random

import pytest

from experiments.bench_rows import GOALS, missed_goals, wasted_messages
from experiments.load import Generator, LoadPlan, ideal_ms
from experiments.load_results import add_results, percentile
from experiments.mixes import MIXES, DrawnJob, DrawnTask


@pytest.mark.parametrize("name", sorted(MIXES))
def test_arrivals_offer_the_planned_work(name):
    mix = MIXES[name]
    arrivals = list(mix.arrivals(Random(1), 100, 600_000))
    times = [at_ms for at_ms, _ in arrivals]
    assert times == sorted(times)
    offered = sum(job.work_slot_ms for _, job in arrivals) / 600_000
    assert offered == pytest.approx(100, rel=0.1)


def test_the_same_seed_draws_the_same_jobs_and_times():
    mix = MIXES["coop"]
    draws = [list(mix.arrivals(Random(4), 50, 5_000)) for _ in range(2)]
    assert draws[0] == draws[1]


def test_ideal_is_the_longest_task_or_the_work_over_all_slots():
    mix = MIXES["studio"]
    path_ms = 2 * (1 + 1)  # 1 ms one way to the host, and 1 ms to the worker
    short = DrawnJob("desk", (DrawnTask("swatch", 50, 9),) * 3, 1000)
    large = DrawnJob("desk", (DrawnTask("swatch", 50, 9),) * 210, 1000)
    assert ideal_ms(short, mix, 100) == path_ms + 50
    assert ideal_ms(large, mix, 100) == path_ms + 105


def record_job(seed, ratio, outcome="complete"):
    """Return the result of a job that takes ``ratio`` times its ideal of 100 ms."""
    plan = LoadPlan("studio", seed, 1, 1, 0.0, 10_000, ("127.0.0.1:1",))
    generator = Generator(plan)
    job = DrawnJob("desk", (DrawnTask("swatch", 96, 9),), 1000)
    generator._record(1500, 1500 + 100 * ratio, job, outcome, 3.0)
    generator.result.ratios = generator._ratios.encode().decode()
    generator.result.refusals_us = generator._refusals.encode().decode()
    generator.result.lags_us = generator._lags.encode().decode()
    return generator.result


def test_results_of_several_generators_add_up():
    total = add_results(
        [
            record_job(1, 1.0),
            record_job(2, 2.0),
            record_job(3, 99.0, "refused:overloaded"),
        ]
    )
    assert total.jobs == 3
    assert total.outcomes == {"complete": 2, "refused:overloaded": 1}
    assert total.good_slot_ms == 2 * 96
    assert total.offered_slot_ms == 3 * 96
    assert percentile(total.ratios, 100) == pytest.approx(2000, rel=0.01)
    assert percentile(total.refusals_us, 50) == pytest.approx(3000, rel=0.01)


def test_a_response_after_the_deadline_does_not_count_as_goodput():
    result = record_job(1, 50.0)
    assert result.late == 1
    assert result.good_slot_ms == 0


def test_wasted_messages_are_those_beyond_one_start_and_its_reply():
    before = {("messages", "start"): 10, ("messages", "stop"): 2}
    after = {
        ("messages", "start"): 30,
        ("messages", "stop"): 6,
        ("wasted_messages", "refused"): 4,
        ("wasted_messages", "look_up"): 2,
        ("wasted_messages", "probe"): 8,
        ("jobs_forwarded", ""): 3,
    }
    assert wasted_messages(before, after) == 4 + 4 + 2 + 8 + 2 * 3


def test_missed_goals_are_named():
    met = {name: value for name, value in GOALS.items()}
    assert missed_goals(met) == []
    missed = {name: value * 1.1 for name, value in met.items()}
    missed["goodput_overload_over_peak"] = 0.5
    assert sorted(missed_goals(missed)) == sorted(GOALS)
