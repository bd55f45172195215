"""Replays of load above the capacity, with and without the early refusals."""

import pytest

from rattanloom.placement.jobs import RETRY_AFTER_MS
from rattanloom.placement.runs import make_job
from rattanloom.scheduling.overload import (
    WINDOW_MS,
    ArrivingWork,
    hopeless_jobs,
)
from rattanloom.scheduling.returns import RETRY_AFTER_MAX_MS, retry_after_ms
from tests.dispatcher_fakes import FakeReceiver, make_submitted_job
from tests.load_replay import LoadReplay

# Early refusals have to halve the time for which refused callers wait, and may cost
# one in a hundred callers an answer.
HELD_SHARE_MAX = 0.5
ANSWERS_LOST_SHARE_MAX = 0.01


def burst(load: float, kind: str | None = None):
    """Return 4 s of a higher load, of one kind or of all, within 70%."""

    def load_at(name: str, at_ms: float) -> float:
        is_burst = 2_000 <= at_ms < 6_000 and kind in (None, name)
        return load if is_burst else 0.7

    return load_at


def replay(refuses_early: bool, load, lost_share: float = 0.0):
    played = LoadReplay(load, refuses_early, workers=36, length_ms=8_000)
    if lost_share:
        played.at(3_000, played.remove_workers, lost_share)
    return played.run()


@pytest.mark.parametrize(
    ("load", "lost_share"),
    [
        (burst(1.3), 0),
        (burst(1.8), 0),
        (burst(2.4, "proof-crop"), 0),
        (lambda name, at_ms: 1.0, 1 / 7),
    ],
    ids=["all-1.3", "all-1.8", "proof-crop-2.4", "seventh-of-workers-gone"],
)
def test_refused_callers_are_told_early_and_served_ones_stay(load, lost_share):
    before = replay(False, load, lost_share)
    after = replay(True, load, lost_share)
    assert before.refused_held_ms
    assert after.held_s <= HELD_SHARE_MAX * before.held_s
    assert after.on_time >= before.on_time
    answers = after.on_time + after.late
    lost = before.on_time + before.late - answers
    assert lost <= ANSWERS_LOST_SHARE_MAX * before.asked
    assert after.refused_with_capacity <= before.refused_with_capacity


def test_nobody_is_refused_on_a_calm_day():
    results = replay(True, lambda name, at_ms: 0.6)
    assert results.refused_held_ms == []


def make_late_job(number: int, started: bool = False):
    job = make_job(make_submitted_job(f"{number:016x}"), FakeReceiver(), (), -700)
    job.effective_runs = int(started)
    return job


def test_late_job_is_hopeless_only_if_arriving_work_leaves_too_little():
    job = make_late_job(1)
    assert hopeless_jobs([job], 100_000, 100_000, 0) == [job]
    assert hopeless_jobs([job], 100_000, 50_000, 0) == []


def test_started_job_is_never_hopeless_and_goes_first():
    started, other = make_late_job(1, started=True), make_late_job(2)
    need = started.remaining_work_millicore_ms
    left_ms = other.latest_useful_start_ms + other.submitted.critical_path_ms
    capacity = 1.5 * need / left_ms
    assert hopeless_jobs([other], capacity, 0, 0) == []
    assert hopeless_jobs([started, other], capacity, 0, 0) == [other]


def test_job_of_a_former_placer_is_never_hopeless():
    job = make_late_job(1)
    job.former_placers = ("p1",)
    assert hopeless_jobs([job], 0, 100_000, 0) == []


def test_arriving_work_forgets_jobs_after_the_window():
    arriving = ArrivingWork()
    job = make_late_job(1)
    arriving.add(job, 0)
    expected = job.submitted.work_millicore_ms / WINDOW_MS
    assert arriving.millicores(WINDOW_MS - 1) == expected
    assert arriving.millicores(WINDOW_MS) == 0


def test_clients_of_refused_jobs_return_spread_over_time_once_the_work_is_done():
    work, capacity = 2_000 * 100_000, 100_000
    returns = [retry_after_ms(f"{n:016x}", work, capacity) for n in range(200)]
    assert min(returns) >= 2_000
    assert max(returns) <= 4_000
    assert len({at_ms // 100 for at_ms in returns}) == 20
    assert retry_after_ms("0" * 16, 0, 0) >= RETRY_AFTER_MS
    assert retry_after_ms("0" * 16, 1e12, 1) == RETRY_AFTER_MAX_MS
