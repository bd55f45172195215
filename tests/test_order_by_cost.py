"""Replays bursts of wide long jobs beside urgent ones, by cost and by deadline alone.

The replay without priorities is the former decision: one queue for all kinds.
"""

from attrs import evolve

from rattanloom.placement.jobs import RETRY_AFTER_MS
from rattanloom.scheduling.fairness import MEMORY_MS, SOURCES_MAX, SourceShares
from rattanloom.scheduling.overload import (
    HELD_SHARE,
    TICK_MS,
    PoolCapacity,
    Shortage,
    jobs_behind,
    useless_jobs,
)
from rattanloom.scheduling.progress import (
    PERCENT_MIN,
    SPEEDUP_MAX,
    RunProgress,
    earliest_end_ms,
)
from rattanloom.scheduling.returns import (
    REMEMBERED_MAX,
    RETRY_AFTER_MAX_MS,
    RETURN_GRACE_MS,
    ReturnTimes,
)
from rattanloom.scheduling.waiting import (
    OVER_SHARE_OFFSET_MS,
    RETURNED_OFFSET_MS,
    WaitingTasks,
)
from tests.load_replay import HARD_KINDS, LoadReplay
from tests.test_overload import make_late_job

SEEDS = range(2)


def hard_burst(name: str, at_ms: float) -> float:
    """Return 5 s of the bursts of docs/HARD_LOAD.md within 68%."""
    factors = {"small-urgent": 1.9, "wide-long": 2.4}
    return 0.68 * (factors.get(name, 1) if 2_000 <= at_ms < 7_000 else 1)


def replays(load, uses_priority: bool = True):
    return [
        LoadReplay(
            load,
            True,
            workers=58,
            length_ms=8_000,
            seed=seed,
            kinds=HARD_KINDS,
            is_varied=True,
            uses_priority=uses_priority,
            gives_up_useless=uses_priority,
        ).run()
        for seed in SEEDS
    ]


def means(results) -> dict[str, float]:
    return {
        kind: sum(result.shares[kind] for result in results) / len(results)
        for kind in HARD_KINDS
    }


def test_callers_and_the_worst_kind_gain_in_a_burst():
    before, after = (
        means(replays(hard_burst, uses_priority)) for uses_priority in (False, True)
    )
    assert sum(after.values()) > sum(before.values())
    assert min(after.values()) > min(before.values())


def test_results_are_the_same_as_before_without_a_shortage():
    calm = [replays(lambda name, at_ms: 0.3, use)[0] for use in (False, True)]
    assert calm[0].shares == calm[1].shares
    assert not calm[1].refused_held_ms


def test_giving_up_useless_runs_helps_also_without_priorities():
    """Runs that can't be useful must not hold the capacity of those that can."""
    worth = {False: 0.0, True: 0.0}
    for gives_up in worth:
        for seed in range(4):
            played = LoadReplay(
                lambda name, at_ms: 1.0,
                True,
                workers=36,
                length_ms=8_000,
                seed=seed,
                gives_up_useless=gives_up,
            )
            played.at(3_000, played.remove_workers, 1 / 7)
            worth[gives_up] += sum(played.run().worth_by_kind.values())
    assert worth[True] > worth[False]


def test_useless_run_is_predicted_from_its_progress_only():
    assert earliest_end_ms(RunProgress(0, 500, PERCENT_MIN - 1)) == 500
    assert earliest_end_ms(RunProgress(0, 500, 49)) == 500 + 500 / SPEEDUP_MAX
    job = make_late_job(1)
    limit_ms = job.useful_until_ms
    late = RunProgress(limit_ms - 1_000, limit_ms - 500, 20)
    assert [made.job for made in useless_jobs([(job, late), (job, late)])] == [job]
    assert not useless_jobs([(job, RunProgress(limit_ms - 1_000, limit_ms - 500, 80))])


def test_shortage_has_hysteresis():
    """A single task that waits for a tick, or a short pause, changes nothing."""
    shortage, none, all_used = Shortage(), [], PoolCapacity(100_000)
    waiting = make_late_job(1).tasks
    assert [shortage.update(waiting, all_used) for _ in range(2)] == [False, True]
    assert all(shortage.update(none, all_used) for _ in range(9))
    assert shortage.update(waiting, all_used)
    assert all(shortage.update(none, all_used) for _ in range(9))
    assert not shortage.update(none, all_used)
    assert not shortage.update(waiting, PoolCapacity(100_000, 32_000))


def test_job_behind_others_is_refused_once_and_early():
    first, last = make_late_job(1), make_late_job(2)
    for job in (first, last):
        job.arrived_ms = job.received_ms = 0
    limit_ms = HELD_SHARE * last.submitted.objective_ms
    work = first.remaining_work_millicore_ms
    scarce = PoolCapacity(work / last.latest_on_time_start_ms / 2)
    behind = {
        at_ms: jobs_behind([first, last], scarce, {}, at_ms)
        for at_ms in range(0, 400, TICK_MS)
    }
    decided = [at_ms for at_ms, jobs in behind.items() if jobs]
    assert [behind[at_ms] for at_ms in decided] == [[last]]
    assert limit_ms - TICK_MS < decided[0] <= limit_ms
    may_fit = evolve(scarce, largest_free_millicores=32_000)
    assert not jobs_behind([first, last], may_fit, {}, decided[0])
    last.former_placers = ("p1",)
    assert not jobs_behind([first, last], scarce, {}, decided[0])


def test_source_over_its_share_comes_behind_and_regains_its_share():
    """A daemon that sends too much must not take the capacity of the others."""
    sources = SourceShares()
    for number in range(40):
        assert not sources.add(0, f"d{number % 4}", 100, number)
    while not sources.add(0, "d0", 100, 50):
        assert number < 200
        number += 1
    assert not sources.add(0, "d1", 100, 50)
    assert not sources.add(1, "d0", 100, 50)
    later_ms = 50 + 4 * MEMORY_MS
    assert not any(sources.add(0, f"d{n}", 100, later_ms) for n in (1, 2, 3, 0))
    for number in range(2 * SOURCES_MAX):
        sources.add(2, f"d{number}", 100, later_ms)
    assert len(sources._levels[2]) == SOURCES_MAX


def test_later_refusals_return_later_and_returned_jobs_are_known():
    returns = ReturnTimes()
    work, spare = 1_000 * 100_000, 100_000
    times = [returns.add(f"{n:016x}", work, 0, spare, 0) for n in range(4)]
    assert min(times) >= RETRY_AFTER_MS
    assert times[3] >= 3 * RETRY_AFTER_MS
    assert returns.take(f"{0:016x}")
    assert not returns.take(f"{0:016x}")
    assert returns._promised_work == 3 * work
    returns.remove_expired(RETRY_AFTER_MAX_MS + RETURN_GRACE_MS + 1)
    assert not returns.take(f"{1:016x}")
    for number in range(2 * REMEMBERED_MAX):
        returns.add(f"{number:016x}", work, 0, spare, 0)
    assert len(returns._returns) <= REMEMBERED_MAX


def test_order_within_a_level_by_source_and_return():
    waiting = WaitingTasks()
    offsets = OVER_SHARE_OFFSET_MS, 0, RETURNED_OFFSET_MS
    jobs = [make_late_job(number) for number in range(3)]
    for job, offset_ms in zip(jobs, offsets, strict=True):
        job.arrived_ms, job.rank_offset_ms = 0, offset_ms
        waiting.add(job.tasks[0], 0)
    assert [waiting.pop(0).job for _ in jobs] == jobs[::-1]
