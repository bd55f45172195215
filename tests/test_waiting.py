"""Tests of the order in which waiting tasks start."""

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from rattanloom.placement.runs import TaskState, make_job
from rattanloom.scheduling.cost import GUARANTEED_SHARE
from rattanloom.scheduling.waiting import WaitingTasks
from tests.dispatcher_fakes import CLOCK, FakeReceiver, make_submitted_job


def make_task(number: int, arrived_ms: float, started: bool = False, count: int = 1):
    work = make_submitted_job(f"{number:016x}", count)
    job = make_job(work, FakeReceiver(), (), arrived_ms)
    job.effective_runs = int(started)
    return job.tasks[0]


@given(st.lists(st.integers(-2_000, 2_000), max_size=30))
def test_tasks_that_can_be_on_time_come_first_by_latest_start_time(offsets):
    now_ms = CLOCK.now_ms()
    waiting = WaitingTasks()
    for number, offset_ms in enumerate(offsets):
        waiting.add(make_task(number, now_ms + offset_ms), now_ms)
    taken = []
    while (task := waiting.pop(now_ms)) is not None:
        taken.append(task.job.latest_on_time_start_ms)
    on_time = [at_ms for at_ms in taken if at_ms >= now_ms]
    assert taken[: len(on_time)] == sorted(on_time)
    assert len(taken) == len(offsets)


def test_tasks_of_started_jobs_come_before_all_others():
    now_ms = CLOCK.now_ms()
    waiting = WaitingTasks()
    waiting.add(make_task(1, now_ms), now_ms)
    waiting.add(make_task(2, now_ms + 100, started=True), now_ms)
    assert waiting.pop(now_ms).job.started


def test_task_whose_job_starts_while_it_waits_is_returned():
    now_ms = CLOCK.now_ms()
    waiting = WaitingTasks()
    task = make_task(1, now_ms)
    waiting.add(task, now_ms)
    task.job.effective_runs = 1
    assert waiting.pop(now_ms) is task


def test_late_job_goes_first_only_once_half_of_it_is_done():
    now_ms = CLOCK.now_ms()
    waiting = WaitingTasks()
    late = make_task(1, now_ms - 900, started=True, count=4)
    waiting.add(late, now_ms)
    waiting.add(make_task(2, now_ms), now_ms)
    assert waiting.pop(now_ms) is not late
    late.job.tasks_left = 2
    waiting.add(make_task(3, now_ms), now_ms)
    waiting.put_back(late, now_ms)
    assert waiting.pop(now_ms) is late


def test_late_tasks_of_started_jobs_come_before_other_late_ones():
    now_ms = CLOCK.now_ms()
    waiting = WaitingTasks()
    waiting.add(make_task(1, now_ms - 900), now_ms)
    waiting.add(make_task(2, now_ms - 800, started=True, count=4), now_ms)
    assert waiting.pop(now_ms).job.started


def test_tasks_of_ended_jobs_are_skipped():
    now_ms = CLOCK.now_ms()
    waiting = WaitingTasks()
    task = make_task(1, now_ms)
    waiting.add(task, now_ms)
    task.job.ended = True
    assert waiting.pop(now_ms) is None


def make_level_task(number: int, priority: int, count: int, estimate_ms: float):
    work = make_submitted_job(f"{number:016x}", count, estimate_ms=estimate_ms)
    work = evolve(work, policy=evolve(work.policy, priority=priority))
    return make_job(work, FakeReceiver(), (), 0).tasks[0]


def test_level_that_demands_less_goes_first_among_jobs_of_equal_chance():
    """A level that sends much must not take the capacity of the others."""
    waiting = WaitingTasks()
    for number in range(9):
        task = make_level_task(number, 0, 1, 100)
        waiting.demand.add(0, task.job.submitted.work_millicore_ms, 0)
        waiting.add(task, 0)
    rare = make_level_task(99, 1, 1, 100)
    waiting.demand.add(1, rare.job.submitted.work_millicore_ms, 0)
    waiting.add(rare, 0)
    waiting.demand.update(0)
    assert waiting.pop(0) is rare


@given(st.lists(st.integers(0, 2), min_size=20, max_size=60), st.randoms())
def test_every_waiting_level_gets_its_guaranteed_share_of_the_starts(levels, random):
    """No level may starve behind jobs that cost more, whatever their number."""
    waiting = WaitingTasks()
    tasks = [
        make_level_task(number, level, 1, random.choice((60, 200, 900)))
        for number, level in enumerate([*levels, *([0] * 200)])
    ]
    for task in tasks:
        level = task.job.submitted.policy.priority
        waiting.demand.add(level, task.job.submitted.work_millicore_ms, 0)
        waiting.add(task, 0)
    waiting.demand.update(0)
    started, since = 0.0, {level: 0.0 for level in set(levels)}
    largest = max(task.job.submitted.work_millicore_ms for task in tasks)
    while (task := waiting.pop(0)) is not None:
        work = task.job.submitted.work_millicore_ms
        waiting.record_start(task)
        task.state = TaskState.PLACED
        level = task.job.submitted.policy.priority
        started += work
        left = {other.job.submitted.policy.priority for other in waiting}
        for other in since:
            if other == level or other not in left:
                since[other] = started
                continue
            share = GUARANTEED_SHARE * waiting.demand.shares[other]
            # The job itself, and one of each other level that may be due first.
            bound = (largest / share) + 3 * largest
            assert started - since[other] <= bound
