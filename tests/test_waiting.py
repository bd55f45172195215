"""Tests of the order in which waiting tasks start."""

from hypothesis import given
from hypothesis import strategies as st

from rattanloom.placement.runs import make_job
from rattanloom.placement.waiting import WaitingTasks
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
