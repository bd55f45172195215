"""Replays jobs in virtual time on workers of uneven speed and size, in racks.

Placement is that of ``AssignmentPass``, or the former one, which chose a worker for
each task alone and knew no racks.
"""

from collections import Counter
from collections.abc import Iterable
from functools import partial
from heapq import heappop, heappush
from itertools import count
from random import Random

from attrs import define, field, frozen

from rattanloom.placement.jobs import JobPolicy, Step, SubmittedJob
from rattanloom.placement.runs import PlacedTask, Run, RunPhase, TaskState, make_job
from rattanloom.placement.start_limits import StartLimits
from rattanloom.placement.worker_events import WorkerState
from rattanloom.placement.worker_health import WorkerHealth
from rattanloom.placement.worker_runs import WorkerRuns
from rattanloom.placement.workers import Resources, WorkerEntry
from rattanloom.scheduling.assignment import AssignmentPass
from rattanloom.scheduling.speed_decay import SpeedDecay
from rattanloom.scheduling.step_placement import StepPlacement
from rattanloom.scheduling.waiting import WaitingTasks
from rattanloom.scheduling.worker_index import WorkerIndex
from rattanloom.scheduling.worker_speed import WorkerSpeed
from tests.dispatcher_fakes import CLOCK, FakeReceiver

CLIENT_WAITS_MS = 1_540
TICK_MS = 50


@frozen
class Kind:
    """A kind of job: ``share`` of the jobs, and of them the share that names a rack."""

    tasks: int
    duration_ms: float
    share: float
    millicores: int = 16_000
    rack_share: float = 0.0
    estimate_factor: float = 1.0


KINDS = {
    "urgent": Kind(8, 60, 0.24),
    "look-up": Kind(2, 200, 0.71),
    "wide": Kind(4, 900, 0.04),
}


class FormerPlacement(StepPlacement):
    """The former choice: fast workers in steps of a quarter, then the best fit."""

    def __attrs_post_init__(self):
        pass

    def choose(self, task):
        workers = self.index.fitting(task, self.now_ms)
        return min(workers, key=self._former_rank, default=None)

    def _former_rank(self, worker):
        leftover = worker.runs.free.cpu_millicores - self.task.step.need.cpu_millicores
        return int(worker.duration_ratio / 0.25), leftover

    def should_wait(self):
        return False


@define(eq=False)
class ModelWorker:
    """A worker as the placement decisions see it."""

    entry: WorkerEntry
    runs: WorkerRuns
    speed: WorkerSpeed = field(factory=WorkerSpeed)
    state: WorkerState = WorkerState.READY
    paused_until_ms: float = 0
    drains_until_ms: float = 0
    has_current_entry: bool = True
    failure_score: float = 0
    quarantine_count: int = 0
    limits: StartLimits = field(factory=lambda: StartLimits(CLOCK))

    @property
    def worker_id(self) -> str:
        return self.entry.worker_id

    @property
    def duration_ratio(self) -> float:
        return self.speed.duration_ratio


def make_index(workers: Iterable[ModelWorker], now_ms: float = 0) -> WorkerIndex:
    """Return an index that follows the workers' runs; they share the limits."""
    workers = list(workers)
    index = WorkerIndex.of(workers, workers[0].limits, now_ms)
    for worker in workers:
        worker.limits = index.limits
        worker.runs.on_change = worker.speed.on_change = partial(index.mark, worker)
    return index


@define(eq=False)
class PlacementReplay:
    """One replay; ``load`` is the share of the processor that the arrivals need."""

    load: float
    is_former: bool = False
    speeds: tuple[float, ...] = (0.8, 1.0, 1.25)
    rack_size: int = 12
    remote_factor: float = 1.0
    kinds: dict[str, Kind] = field(factory=KINDS.copy)
    workers: int = 58
    length_ms: float = 10_000
    seed: int = 1
    worth: Counter = field(factory=Counter)
    asked: Counter = field(factory=Counter)
    now_ms: float = 0
    pool: list[ModelWorker] = field(factory=list)
    index: WorkerIndex = field(init=False)
    speed_decay: SpeedDecay = field(factory=SpeedDecay)
    waiting: WaitingTasks = field(factory=WaitingTasks)
    health: WorkerHealth = field(factory=WorkerHealth)
    _true_speeds: dict[str, float] = field(factory=dict)
    _durations: dict[str, float] = field(factory=dict)
    _events: list = field(factory=list)
    _numbers: count = field(factory=count)

    def run(self) -> "PlacementReplay":
        """Play all arrivals until the last job has ended."""
        random = Random(self.seed)
        self.health.placement.remote_factor = self.remote_factor
        for number in range(self.workers):
            capacity = Resources((32_000, 32_000, 48_000)[number % 3], 64_000)
            rack = f"r{number // self.rack_size}"
            entry = WorkerEntry(f"w{number}", 1, "s", "", "a", True, capacity, (rack,))
            self.pool.append(ModelWorker(entry, WorkerRuns(capacity, Counter())))
            self._true_speeds[f"w{number}"] = random.choice(self.speeds)
            self.speed_decay.add(self.pool[-1].speed)
        self.index = make_index(self.pool)
        size = sum(
            worker.runs.capacity.cpu_millicores * self._true_speeds[worker.worker_id]
            for worker in self.pool
        )
        work = sum(
            k.tasks * k.duration_ms * k.millicores * k.share
            for k in self.kinds.values()
        )
        names = list(self.kinds)
        shares = [kind.share for kind in self.kinds.values()]
        at_ms = 0.0
        while at_ms < self.length_ms:
            at_ms += random.expovariate(self.load * size / work * sum(shares))
            name = random.choices(names, shares)[0]
            kind = self.kinds[name]
            true_ms = kind.duration_ms * random.lognormvariate(0, 0.4)
            estimate_ms = true_ms * random.uniform(0.6, 1.4) * kind.estimate_factor
            durations = [
                true_ms * random.lognormvariate(0, 0.2) for _ in range(kind.tasks)
            ]
            rack = "r1" if random.random() < kind.rack_share else ""
            self._plan(at_ms, self._arrive, name, durations, estimate_ms, rack)
        for tick_ms in range(0, int(self.length_ms) + 3_000, TICK_MS):
            self._plan(tick_ms, self._tick)
        while self._events:
            self.now_ms, _, action, arguments = heappop(self._events)
            action(*arguments)
            self._start_tasks()
        return self

    @property
    def mean_worth(self) -> float:
        """Return the mean worth of all jobs."""
        return self.worth.total() / self.asked.total()

    def _plan(self, at_ms, action, *arguments) -> None:
        heappush(self._events, (at_ms, next(self._numbers), action, arguments))

    def _arrive(self, name, durations, estimate_ms, rack) -> None:
        kind = self.kinds[name]
        need = Resources(kind.millicores, 64)
        submitted = SubmittedJob(
            f"{next(self._numbers):016x}",
            "",
            (Step(kind.tasks, need, estimate_ms, affinity=rack),),
            JobPolicy("s", 0, 2, 1.6, 61, name),
            CLIENT_WAITS_MS,
        )
        job = make_job(submitted, FakeReceiver(), (), self.now_ms)
        self.asked[name] += 1
        if not self.is_former:
            self.health.placement.record_arrival(job, self.now_ms)
        for task, duration_ms in zip(job.tasks, durations, strict=True):
            self._durations[task.name] = duration_ms
            self.waiting.add(task, self.now_ms)

    def _start_tasks(self) -> None:
        AssignmentPass(
            self.index,
            lambda task: True,
            self._start,
            self.now_ms,
            model=self.health.placement,
            placement_type=FormerPlacement if self.is_former else StepPlacement,
        ).run(self.waiting)

    def _start(self, task: PlacedTask, worker: ModelWorker) -> None:
        task.state = TaskState.PLACED
        task.job.effective_runs += 1
        run = Run(
            task.name, 1, task, task.step, RunPhase.RUNNING, self.now_ms, self.now_ms
        )
        worker.runs.add(run)
        duration_ms = self._durations[task.name] / self._true_speeds[worker.worker_id]
        if task.step.affinity and task.step.affinity not in worker.entry.labels:
            duration_ms *= self.remote_factor
        self._plan(self.now_ms + duration_ms, self._finish, worker, run)

    def _finish(self, worker: ModelWorker, run: Run) -> None:
        if not worker.runs.remove(run):
            return
        run_ms = self.now_ms - run.ordered_ms
        if self.is_former:
            ratio = min(max(run_ms / run.step.estimate_ms, 0.25), 10)
            worker.speed.duration_ratio += 0.15 * (ratio - worker.duration_ratio)
            self.index.mark(worker)
        else:
            self.health.placement.learn(run.task, worker, run_ms, self.now_ms)
        job = run.task.job
        run.task.state = TaskState.DONE
        job.tasks_left -= 1
        if not job.tasks_left and not job.ended:
            job.ended = True
            took_ms = self.now_ms - job.arrived_ms
            if took_ms <= job.submitted.objective_ms:
                self.worth[job.submitted.policy.queue] += 1
            elif took_ms <= min(job.submitted.late_limit_ms, CLIENT_WAITS_MS):
                self.worth[job.submitted.policy.queue] += 0.2

    def _tick(self) -> None:
        for task in list(self.waiting):
            if self.now_ms > task.job.latest_useful_start_ms:
                task.job.ended = True
        if not self.is_former:
            self.speed_decay.run(self.now_ms)
        for worker in self.pool:
            for run in worker.runs.all():
                if self.now_ms > run.task.job.deadline_ms or run.task.job.ended:
                    run.task.job.ended = True
                    worker.runs.remove(run)
