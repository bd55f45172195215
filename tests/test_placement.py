"""Tests of placement by speed, rack and size, and of learned run times."""

from collections import Counter
from random import Random

import pytest
from attrs import evolve

from rattanloom.placement.jobs import Step
from rattanloom.placement.runs import Run, RunPhase, TaskState, make_job
from rattanloom.placement.worker_health import WorkerHealth
from rattanloom.placement.worker_runs import WorkerRuns
from rattanloom.placement.workers import Resources, WorkerEntry
from rattanloom.scheduling.assignment import AssignmentPass
from rattanloom.scheduling.placement_model import PlacementModel
from rattanloom.scheduling.racks import RackDemand
from rattanloom.scheduling.run_time_model import RunTimeModel
from rattanloom.scheduling.waiting import WaitingTasks
from rattanloom.scheduling.worker_schedule import PLACES_MAX, free_places_ms
from rattanloom.scheduling.worker_speed import WorkerSpeed
from tests.dispatcher_fakes import FakeReceiver, make_submitted_job
from tests.placement_replay import (
    KINDS,
    Kind,
    ModelWorker,
    PlacementReplay,
    make_index,
)

HOT_RACK = KINDS | {"urgent": evolve(KINDS["urgent"], rack_share=0.6)}
WITH_LARGE = KINDS | {"large": Kind(2, 200, 0.2, 24_000)}


@pytest.mark.parametrize(
    ("settings", "gain_min"),
    [
        ({"load": 0.6, "speeds": (0.55, 1.2)}, 0.01),
        ({"load": 0.75, "speeds": (0.55, 1.2)}, 0.015),
        ({"load": 0.75, "speeds": (0.8, 1.0, 1.25)}, -0.005),
        (
            {"load": 0.85, "speeds": (1.0,), "remote_factor": 3, "kinds": HOT_RACK},
            0.015,
        ),
        ({"load": 0.75, "speeds": (1.0,), "kinds": WITH_LARGE}, -0.002),
    ],
    ids=[
        "speeds-0.55-1.2",
        "speeds-0.55-1.2-75%",
        "speeds-0.8-1-1.25",
        "hot-rack",
        "large-tasks",
    ],
)
def test_callers_gain_over_the_former_choice(settings, gain_min):
    worth = Counter()
    for is_former in (True, False):
        for seed in (1, 2, 3):
            replay = PlacementReplay(
                is_former=is_former, seed=seed, length_ms=4_000, **settings
            )
            worth[is_former] += replay.run().mean_worth / 3
    assert worth[False] - worth[True] >= gain_min


def make_worker(name: str, rack: str, zone: str = "a") -> ModelWorker:
    capacity = Resources(14_000, 64)
    entry = WorkerEntry(name, 1, "service", "", zone, True, capacity, (rack,))
    return ModelWorker(entry, WorkerRuns(capacity, Counter()))


def make_task(
    rack: str = "", estimate_ms: float = 100, number: int = 1, per_worker_max: int = 0
):
    submitted = make_submitted_job(f"{number:016x}")
    need = Resources(14_000, 64)
    step = Step(1, need, estimate_ms, (), "", per_worker_max, rack)
    return make_job(evolve(submitted, steps=(step,)), FakeReceiver(), (), 0).tasks[0]


def occupy(worker: ModelWorker, estimate_ms: float) -> None:
    task = make_task(estimate_ms=estimate_ms, number=9)
    worker.runs.add(Run(task.name, 1, task, task.step, RunPhase.RUNNING, 0, 0))


def place(task, workers, model=None, now_ms: float = 0) -> str | None:
    """Return the worker on which one pass starts a task; None if it waits."""
    waiting, started = WaitingTasks(), []

    def start(task, worker):
        task.state = TaskState.PLACED
        started.append(worker.worker_id)

    waiting.add(task, now_ms)
    model = model or PlacementModel(3)
    index = make_index(workers, now_ms)
    AssignmentPass(index, lambda _: True, start, now_ms, model=model).run(waiting)
    assert bool(started) != bool(waiting)
    return started[0] if started else None


def test_task_starts_on_its_rack_while_it_has_capacity():
    workers = [make_worker("w1", "r1"), make_worker("w2", "r2")]
    workers[1].speed.duration_ratio = 1.3
    assert place(make_task("r2"), workers) == "w2"


@pytest.mark.parametrize(("busy_ms", "expected"), [(50, None), (1_000, "w1")])
def test_slower_run_elsewhere_is_weighed_against_the_wait_for_the_rack(
    busy_ms, expected
):
    workers = [make_worker("w1", "r1"), make_worker("w2", "r2")]
    occupy(workers[1], busy_ms)
    assert place(make_task("r2"), workers) == expected


def test_task_runs_elsewhere_at_once_if_no_worker_has_its_rack():
    assert place(make_task("r7"), [make_worker("w1", "r1")]) == "w1"
    workers = [make_worker("w1", "r1"), make_worker("w2", "r2")]
    occupy(workers[1], 50)
    assert place(make_task("r7"), workers) == "w1"


def test_task_does_not_wait_for_a_rack_whose_workers_accept_no_tasks():
    workers = [make_worker("w1", "r1"), make_worker("w2", "r2")]
    occupy(workers[1], 50)
    workers[1].paused_until_ms = 1_000
    assert place(make_task("r2"), workers) == "w1"


def test_task_does_not_wait_until_its_job_is_refused_beside_an_idle_worker():
    workers = [make_worker("w1", "r1"), make_worker("w2", "r2")]
    occupy(workers[1], 50)
    task, model = make_task("r2"), PlacementModel(3)
    started = []
    for now_ms in range(0, int(task.job.latest_on_time_start_ms), 10):
        waiting = WaitingTasks()
        waiting.add(task, now_ms)
        AssignmentPass(
            make_index(workers, now_ms),
            lambda _: True,
            lambda task, worker: started.append(worker.worker_id),
            now_ms,
            model=model,
        ).run(waiting)
        if started:
            break
    # The first pass after a quarter of the objective; passes are 10 ms apart.
    assert 50 < now_ms <= 0.25 * task.job.submitted.objective_ms + 10
    assert started == ["w1"]


@pytest.mark.parametrize(("rack", "reason"), [("r2", "rack"), ("", "speed")])
def test_wait_is_counted_as_one_for_the_rack_only_if_the_awaited_worker_is_in_it(
    rack, reason
):
    workers = [make_worker("w1", "r1"), make_worker("w2", "r2")]
    occupy(workers[1], 20)
    workers[0].speed.duration_ratio = 1.0 if rack else 5.0
    counted = []
    model = PlacementModel(3, count=lambda *labels: counted.append(labels))
    assert place(make_task(rack), workers, model=model) is None
    assert counted == [("tasks_held", reason)]


def test_late_job_keeps_the_work_time_that_its_latest_start_was_computed_with():
    job = make_task(estimate_ms=1_000).job
    job.effective_runs = 1
    job.expected_path_ms = 200.0
    left_ms = job.latest_useful_start_ms + job.shortest_path_ms
    assert left_ms == job.useful_until_ms


def test_task_of_a_started_job_does_not_wait_until_the_job_is_given_up():
    workers = [make_worker("w1", "r1"), make_worker("w2", "r2")]
    occupy(workers[1], 100)
    task = make_task("r2", estimate_ms=1_000)
    long_step = evolve(task.step, estimate_ms=4_000, affinity="")
    steps = (task.step, long_step)
    job = make_job(
        evolve(task.job.submitted, steps=steps, remaining_ms=4_140), None, (), 0
    )
    job.effective_runs = 1
    assert job.latest_useful_start_ms == 140
    assert place(job.tasks[0], workers) == "w1"


def test_task_waits_no_longer_than_first_promised_for_an_overdue_run():
    workers = [make_worker("w1", "r1"), make_worker("w2", "r2")]
    occupy(workers[1], 50)
    task, model = make_task("r2", estimate_ms=2_000), PlacementModel(3)
    assert place(task, workers, model=model) is None
    assert place(task, workers, model=model, now_ms=70) is None
    assert place(task, workers, model=model, now_ms=71) == "w1"


def test_overdue_run_is_expected_to_end_later_the_longer_it_is_late():
    worker = make_worker("w1", "r1")
    occupy(worker, 50)
    model = PlacementModel()
    ends = [model.expected_ends_ms(worker, now_ms)[0][0] for now_ms in (0, 100, 400)]
    assert ends == [50, 125, 500]


@pytest.mark.parametrize("change", ["avoided", "per_worker_max", "unreliable", "cold"])
def test_task_does_not_wait_for_a_place_that_it_might_not_get(change):
    workers = [make_worker("w1", "r1"), make_worker("w2", "r2")]
    occupy(workers[1], 50)
    task = make_task("r2")
    if change == "avoided":
        task.avoided_workers.add("w2")
    elif change == "per_worker_max":
        task = make_task("r2", per_worker_max=1)
    elif change == "unreliable":
        workers[1].failure_score = 1.5
    else:
        limits = workers[0].limits
        limits.has_cold = True
        limits.cold_workers.cold_until_ms = {"w2": float("inf")}
    assert place(task, workers) == "w1"


def test_slow_worker_of_the_rack_ranks_behind_a_fast_one_elsewhere():
    workers = [make_worker("w2", "r2"), make_worker("w1", "r1")]
    workers[0].speed.duration_ratio = 5.0
    assert place(make_task("r2"), workers) == "w1"


def test_no_task_starts_beside_an_isolated_run_that_the_same_pass_started():
    worker = make_worker("w1", "r1")
    worker.runs.set_capacity(Resources(28_000, 128))
    others = make_worker("w2", "r1")
    others.runs.set_capacity(Resources(20_000, 128))
    submitted = make_submitted_job(count=3)
    job = make_job(submitted, FakeReceiver(), (), 0)
    isolated = job.tasks[1]
    started = []

    def start(task, worker):
        task.state = TaskState.PLACED
        started.append((task, worker.worker_id))
        run = Run(task.name, 1, task, task.step, RunPhase.RUNNING, 0, 0)
        run.isolated = task is isolated
        worker.runs.add(run)

    waiting = WaitingTasks()
    for task in job.tasks:
        waiting.add(task, 0)
    AssignmentPass(
        make_index([others, worker]),
        lambda _: True,
        start,
        0,
        must_be_isolated=lambda task: task is isolated,
    ).run(waiting)
    assert started == [(job.tasks[0], "w2"), (isolated, "w1")]


def test_tasks_that_a_failed_pass_took_from_the_queue_wait_on():
    waiting = WaitingTasks()
    tasks = [make_task(number=number) for number in range(1, 4)]
    for task in tasks:
        waiting.add(task, 0)

    def fail(task, worker):
        raise ValueError("no start")

    with pytest.raises(ValueError, match="no start"):
        index = make_index([make_worker("w1", "r1")])
        AssignmentPass(index, lambda _: True, fail, 0).run(waiting)
    assert set(waiting) == set(tasks)


def test_places_for_a_tiny_need_are_bounded():
    for need in (Resources(1, 0), Resources(0, 0)):
        ends = [(50, Resources(14_000, 64))] * 3
        assert free_places_ms(need, Resources(0, 0), ends) == [50] * PLACES_MAX


@pytest.mark.parametrize("estimate_ms", [1e304, float("inf"), float("nan")])
def test_huge_estimate_of_an_older_peer_leaves_later_passes_working(estimate_ms):
    demand = RackDemand()
    demand.add("r1", 1_000_000 * estimate_ms, 0)
    assert demand.steps("r1", 14_000, 0) > 0
    workers = [make_worker("w1", "r1"), make_worker("w2", "r2")]
    model = PlacementModel(3)
    huge = make_task("r1", estimate_ms)
    model.record_arrival(huge.job, 0)
    place(huge, workers, model=model)
    assert place(make_task(number=2), workers, model=model) == "w2"


def test_task_without_a_rack_leaves_the_workers_of_a_busy_rack_free():
    workers = [make_worker("w1", "r1"), make_worker("w2", "r2")]
    model = PlacementModel(3)
    model.record_arrival(make_task("r1", estimate_ms=500).job, 0)
    started = []
    waiting = WaitingTasks()
    waiting.add(make_task(number=2), 0)
    AssignmentPass(
        make_index(workers),
        lambda _: True,
        lambda task, worker: started.append(worker.worker_id),
        0,
        model=model,
    ).run(waiting)
    assert started == ["w2"]


def test_bias_of_a_kind_does_not_count_as_slowness_of_its_workers():
    model, random = PlacementModel(), Random(1)
    slow, normal = make_worker("w1", "r1"), make_worker("w2", "r1")
    task = make_task()
    task.job.submitted = make_submitted_job(
        policy=evolve(task.job.submitted.policy, queue="crops")
    )
    others = [make_worker(f"o{number}", "r1") for number in range(6)]
    for _ in range(40):
        for worker in (slow, normal, *others):
            factor = 2 if worker is slow else 1
            run_ms = 250 * factor * random.lognormvariate(0, 0.3)
            model.learn(task, worker, run_ms, 0)
    assert 1.5 < slow.duration_ratio / normal.duration_ratio < 2.7
    assert 0.7 < normal.duration_ratio < 1.35


def test_speed_is_learned_within_some_runs_and_a_change_within_a_few():
    speed = WorkerSpeed()
    speed.learn(7.0, 0)
    assert speed.duration_ratio < 1.7
    for _ in range(30):
        speed.learn(0.8, 0)
    assert speed.duration_ratio < 0.9
    for _ in range(5):
        speed.learn(4.0, 0)
    assert speed.duration_ratio > 2


def test_slowness_fades_without_runs_so_that_a_recovered_worker_gets_tasks_again():
    speed = WorkerSpeed(duration_ratio=4.0)
    speed.learn(4.0, 1_000)
    speed.decay(4_900)
    assert speed.duration_ratio == pytest.approx(4)
    speed.decay(5_000)
    speed.decay(5_100)
    assert speed.duration_ratio == pytest.approx(2)
    speed.decay(9_000)
    assert speed.duration_ratio == pytest.approx(2**0.5)


def test_nothing_is_learned_from_a_run_whose_start_another_placer_ordered():
    health, worker, task = WorkerHealth(), make_worker("w1", "r1"), make_task()
    run = Run(task.name, 1, None, None, RunPhase.INHERITED, 0)
    worker.runs.add(run)
    worker.runs.adopt(run, task, 900)
    health.record_success(worker, run, 910)
    assert worker.duration_ratio == 1


def test_run_times_fall_back_to_the_estimate_and_are_learned_per_queue():
    model, random = RunTimeModel(), Random(1)
    assert model.expected_ms("crops", 100) == 100
    assert model.expected_ms("crops", 100, speed=0.5) == 200
    for _ in range(1_000):
        model.learn("crops", 100, 300 * random.lognormvariate(0, 0.4), 0.5)
    assert model.expected_ms("crops", 100) == pytest.approx(150, rel=0.1)
    assert model.expected_ms("previews", 100) == 100
    model.learn("", 100, 900, 1)
    assert model.expected_ms("", 100) == 100


def test_learned_run_time_lets_a_job_wait_longer_but_never_shorter():
    model = PlacementModel()
    jobs = [make_task(estimate_ms=1_000).job for _ in range(3)]
    for job, ratio in zip(jobs[1:], (0.5, 2.0), strict=True):
        queue = f"q{ratio}"
        policy = evolve(job.submitted.policy, queue=queue)
        job.submitted = evolve(job.submitted, policy=policy)
        job.effective_runs = 1
        for _ in range(400):
            model.run_times.learn(queue, 1_000, 1_000 * ratio, 1)
        model.record_arrival(job, 0)
    jobs[0].effective_runs = 1
    by_estimate_ms = jobs[0].latest_useful_start_ms
    assert jobs[1].latest_useful_start_ms == pytest.approx(by_estimate_ms + 500, abs=10)
    assert jobs[2].latest_useful_start_ms == by_estimate_ms
