"""Replays arrivals of jobs in virtual time against the placement decisions.

The pool is a model: runs take their true duration, orders take no time. Arrivals are
drawn with a seed from the given kinds of jobs.
"""

from collections import Counter
from collections.abc import Callable, Iterator
from functools import partial
from heapq import heappop, heappush
from itertools import count
from random import Random

from attrs import define, field, frozen

from rattanloom.placement.jobs import JobPolicy, Step, SubmittedJob
from rattanloom.placement.pooled_worker import BUSY_WAIT_MS
from rattanloom.placement.runs import (
    PlacedJob,
    PlacedTask,
    Run,
    RunPhase,
    TaskState,
    make_job,
)
from rattanloom.placement.start_limits import StartLimits
from rattanloom.placement.worker_events import WorkerState
from rattanloom.placement.worker_runs import WorkerRuns
from rattanloom.placement.workers import Resources, WorkerEntry
from rattanloom.scheduling.assignment import AssignmentPass
from rattanloom.scheduling.overload import (
    ArrivingWork,
    PoolCapacity,
    Shortage,
    refusals,
    useless_jobs,
)
from rattanloom.scheduling.progress import RunProgress
from rattanloom.scheduling.waiting import WaitingTasks
from rattanloom.scheduling.worker_index import WorkerIndex
from tests.dispatcher_fakes import CLOCK, FakeReceiver

TICK_MS = 50
NEED = Resources(16_000, 64)
CLIENT_WAITS_MS = 1_550


# A stopped run occupies its worker for up to this time.
STOP_MS_MAX = 50


@frozen
class Kind:
    """A kind of job: its tasks, their mean duration, and its rate at 100% load."""

    tasks: int
    duration_ms: float
    per_s: float
    worth: float
    priority: int = 0


# The kinds of the commissions desk, per 1,000 cores of the pool.
KINDS = {
    "proof-crop": Kind(8, 60, 27.0, 3.23),
    "studio-preview": Kind(4, 900, 4.9, 17.8),
    "colour-swatch": Kind(2, 200, 78.7, 1.11),
}
# The kinds of docs/HARD_LOAD.md: 24%, 71% and 4% of 111 jobs/s, which need 960 cores.
HARD_KINDS = {
    "small-urgent": Kind(8, 60, 26.6, 4.85, 0),
    "look-up": Kind(2, 200, 78.8, 1.67, 1),
    "wide-long": Kind(4, 900, 4.4, 26.7, 2),
}
HARD_CORES = (8, 12, 16, 20, 24)


@define(eq=False)
class ModelWorker:
    """A worker as the placement decisions see it; it has no clock of its own."""

    entry: WorkerEntry
    runs: WorkerRuns
    state: WorkerState = WorkerState.READY
    paused_until_ms: float = 0
    drains_until_ms: float = 0
    has_current_entry: bool = True
    failure_score: float = 0
    duration_ratio: float = 1.0
    limits: StartLimits = field(factory=lambda: StartLimits(CLOCK))

    @property
    def worker_id(self) -> str:
        return self.entry.worker_id


@define
class Results:
    """What the callers got; ``refused_held_ms`` has the wait of each refusal."""

    asked: int = 0
    on_time: int = 0
    late: int = 0
    given_up: int = 0
    held_too_long: int = 0
    preempted: int = 0
    owed_by_kind: Counter[str] = field(factory=Counter)
    worth_by_kind: Counter[str] = field(factory=Counter)
    refused_held_ms: list[float] = field(factory=list)
    refused_with_capacity: int = 0
    wasted_core_s: float = 0

    @property
    def shares(self) -> dict[str, float]:
        """Return the share of its worth that the callers of each kind got."""
        owed = self.owed_by_kind
        return {kind: self.worth_by_kind[kind] / owed[kind] for kind in sorted(owed)}

    @property
    def held_s(self) -> float:
        """Return the time for which refused callers waited, in sum."""
        return sum(self.refused_held_ms) / 1_000


@frozen
class Played:
    """What a replay knows of a job: its worth to the caller and its duration."""

    kind: str
    worth: float
    duration_ms: float


@define(eq=False)
class LoadReplay:
    """One replay. ``load`` returns the load at a time, 1 for that of all workers.

    In a varied replay, the jobs differ in their number of tasks and processor need, the
    workers in speed, estimates are off by 0.4, and stops take up to ``STOP_MS_MAX``.
    Without ``uses_priority``, all jobs
    have the same priority.
    """

    load: Callable[[str, float], float]
    refuses_early: bool
    workers: int = 54
    length_ms: float = 12_000
    seed: int = 1
    kinds: dict[str, Kind] = field(factory=lambda: KINDS)
    is_varied: bool = False
    uses_priority: bool = True
    gives_up_useless: bool = False
    results: Results = field(factory=Results)
    pool: list[ModelWorker] = field(factory=list)
    index: WorkerIndex = field(factory=lambda: WorkerIndex(StartLimits(CLOCK)))
    waiting: WaitingTasks = field(factory=WaitingTasks)
    arriving: ArrivingWork = field(factory=ArrivingWork)
    shortage: Shortage = field(factory=Shortage)
    jobs: dict[str, PlacedJob] = field(factory=dict)
    _played: dict[str, Played] = field(factory=dict)
    _events: list = field(factory=list)
    _numbers: count = field(factory=count)
    _active: Counter = field(factory=Counter)
    _random: Random = field(init=False)
    now_ms: float = 0

    def run(self) -> Results:
        """Play all arrivals, and the time until the last job has ended."""
        self._random = Random(self.seed)
        for number in range(self.workers):
            capacity = Resources((32_000, 32_000, 48_000)[number % 3], 128_000)
            entry = WorkerEntry(
                f"w{number}", 1, "s", f"w{number}:1", "a", True, capacity
            )
            worker = ModelWorker(entry, WorkerRuns(capacity, self._active))
            if self.is_varied:
                worker.duration_ratio = 1 / (0.8, 1.0, 1.25, 1.0)[number % 4]
            self.pool.append(worker)
            self.follow(worker)
        for name, kind in self.kinds.items():
            self._plan_arrivals(name, kind, self._random)
        at_ms = 0
        while at_ms < self.length_ms + 2 * CLIENT_WAITS_MS:
            at_ms += TICK_MS
            self._plan(at_ms, self._tick)
        while self._events:
            self.now_ms, _, action, arguments = heappop(self._events)
            action(*arguments)
            self._start_tasks()
        return self.results

    def follow(self, worker: ModelWorker) -> None:
        """Add a worker to the index."""
        worker.runs.on_change = partial(self.index.mark, worker)
        self.index.add(worker)

    def remove_workers(self, share: float) -> None:
        """Let a share of the workers accept no further tasks."""
        for worker in self.pool[: round(share * len(self.pool))]:
            worker.state = WorkerState.UNRESPONSIVE
            self.index.mark(worker)

    def at(self, at_ms: float, action: Callable, *arguments: object) -> None:
        """Plan a change during the replay."""
        self._plan(at_ms, action, *arguments)

    def _plan(self, at_ms: float, action: Callable, *arguments: object) -> None:
        heappush(self._events, (at_ms, next(self._numbers), action, arguments))

    def _plan_arrivals(self, name: str, kind: Kind, random: Random) -> None:
        cores = sum((32, 32, 48)[number % 3] for number in range(self.workers))
        full_cores = sum(
            other.tasks * other.duration_ms * other.per_s * 16 / 1_000
            for other in self.kinds.values()
        )
        full_per_s = kind.per_s * cores / full_cores
        at_ms = 0.0
        while at_ms < self.length_ms:
            per_s = full_per_s * self.load(name, at_ms)
            at_ms += random.expovariate(per_s) * 1_000
            true_ms = kind.duration_ms * random.lognormvariate(0, 0.4)
            # Estimates are rough.
            estimate_ms = true_ms * random.choice((0.7, 1.0, 1.0, 1.4))
            tasks, need = kind.tasks, NEED
            if self.is_varied:
                # The mean of these factors is 1.
                true_ms = kind.duration_ms * random.lognormvariate(-0.08, 0.4)
                estimate_ms = true_ms * random.lognormvariate(-0.08, 0.4)
                tasks = round(kind.tasks * random.lognormvariate(-0.08, 0.4))
                tasks = min(max(tasks, 1), 4 * kind.tasks)
                need = Resources(1_000 * random.choice(HARD_CORES), 64)
            step = Step(tasks, need, estimate_ms)
            self._plan(at_ms, self._arrive, name, step, true_ms)

    def _arrive(self, name: str, step: Step, true_ms: float) -> None:
        kind = self.kinds[name]
        submitted = SubmittedJob(
            f"{next(self._numbers):016x}",
            "",
            (step,),
            JobPolicy("s", kind.priority if self.uses_priority else 0, 2, 1.6, 62),
            CLIENT_WAITS_MS,
        )
        job = make_job(submitted, FakeReceiver(), (), self.now_ms)
        self.jobs[job.job_id] = job
        self.arriving.add(job, self.now_ms)
        self.waiting.demand.add(
            submitted.policy.priority, submitted.work_millicore_ms, self.now_ms
        )
        mean_work = kind.tasks * NEED.cpu_millicores * kind.duration_ms
        worth = kind.worth * (0.3 + 0.7 * submitted.work_millicore_ms / mean_work)
        self._played[job.job_id] = Played(name, worth, true_ms)
        self.results.asked += 1
        self.results.owed_by_kind[name] += worth
        for task in job.tasks:
            self.waiting.add(task, self.now_ms)

    def _start_tasks(self) -> None:
        AssignmentPass(self.index, lambda task: True, self._start, self.now_ms).run(
            self.waiting
        )

    def _start(self, task: PlacedTask, worker: ModelWorker) -> None:
        self.waiting.record_start(task)
        task.state = TaskState.PLACED
        task.job.effective_runs += 1
        task.attempt += 1
        run = Run(
            task.name, task.attempt, task, task.step, RunPhase.RUNNING, self.now_ms
        )
        worker.runs.add(run)
        duration_ms = self._played[task.job.job_id].duration_ms * worker.duration_ratio
        self._plan(self.now_ms + duration_ms, self._finish, worker, run)

    def _finish(self, worker: ModelWorker, run: Run) -> None:
        if run.phase is RunPhase.STOPPING or not worker.runs.remove(run):
            return
        job = run.task.job
        for other in worker.runs.all():
            self._list(worker, other)
        run.task.state = TaskState.DONE
        job.tasks_left -= 1
        if job.tasks_left == 0:
            self._complete(job)

    def _list(self, worker: ModelWorker, run: Run) -> None:
        """Update the progress of a run as a report does."""
        duration_ms = self._played[run.task.job.job_id].duration_ms
        elapsed_ms = self.now_ms - run.ordered_ms
        run.last_listed_ms = self.now_ms
        run.percent = int(100 * elapsed_ms / (duration_ms * worker.duration_ratio))

    def _complete(self, job: PlacedJob) -> None:
        job.ended = True
        del self.jobs[job.job_id]
        took_ms = self.now_ms - job.arrived_ms
        played = self._played[job.job_id]
        if took_ms <= job.submitted.objective_ms:
            self.results.on_time += 1
            self.results.worth_by_kind[played.kind] += played.worth
        elif took_ms <= job.submitted.late_limit_ms:
            self.results.late += 1
            self.results.worth_by_kind[played.kind] += played.worth / 5

    def _tick(self) -> None:
        self.waiting.demand.update(self.now_ms)
        self._list_overdue()
        for task in list(self.waiting):
            if self.now_ms > task.job.latest_useful_start_ms:
                self._give_up(task.job)
        for job in list(self.jobs.values()):
            if self.now_ms > job.deadline_ms:
                self._give_up(job)
        self._start_tasks()
        if not self.refuses_early:
            return
        accepting = [w for w in self.pool if w.state is WorkerState.READY]
        capacity = PoolCapacity(
            sum(worker.runs.capacity.cpu_millicores for worker in accepting),
            max(worker.runs.free.cpu_millicores for worker in accepting),
        )
        arriving = self.arriving.by_level(self.now_ms)
        is_short = self.shortage.update(self.waiting, capacity)
        decisions = refusals(self.waiting, capacity, arriving, self.now_ms, is_short)
        if self.gives_up_useless and is_short:
            decisions += useless_jobs(self._running())
        for decision in decisions:
            self._give_up(decision.job)

    def _list_overdue(self) -> None:
        for worker in self.pool:
            for run in worker.runs.all():
                listed_ms = max(run.last_listed_ms, run.ordered_ms)
                if self.now_ms >= listed_ms + BUSY_WAIT_MS:
                    self._list(worker, run)

    def _running(self) -> Iterator[tuple[PlacedJob, RunProgress]]:
        for worker in self.pool:
            for run in worker.runs.all():
                if run.phase is RunPhase.RUNNING:
                    yield (
                        run.task.job,
                        RunProgress(run.ordered_ms, run.last_listed_ms, run.percent),
                    )

    def _give_up(self, job: PlacedJob) -> None:
        if job.ended:
            return
        job.ended = True
        del self.jobs[job.job_id]
        if not job.started:
            held_ms = self.now_ms - job.arrived_ms
            self.results.refused_held_ms.append(held_ms)
            self.results.held_too_long += held_ms > job.submitted.objective_ms / 4
            self.results.refused_with_capacity += any(
                worker.state is WorkerState.READY
                and worker.runs.free.fits(job.submitted.steps[0].need)
                for worker in self.pool
            )
            return
        self.results.given_up += 1
        for worker in self.pool:
            for run in worker.runs.all():
                if run.task.job is job:
                    self._stop(worker, run)
        done = sum(task.state is TaskState.DONE for task in job.tasks)
        self.results.wasted_core_s += (
            job.submitted.steps[0].need.cpu_millicores
            * done
            * self._played[job.job_id].duration_ms
            / 1_000_000
        )

    def _stop(self, worker: ModelWorker, run: Run) -> None:
        if run.phase is RunPhase.STOPPING:
            return
        run.phase = RunPhase.STOPPING
        self.results.wasted_core_s += (
            run.step.need.cpu_millicores * (self.now_ms - run.ordered_ms) / 1_000_000
        )
        if self.is_varied:
            stop_ms = self._random.uniform(0, STOP_MS_MAX)
            self._plan(self.now_ms + stop_ms, worker.runs.remove, run)
        else:
            worker.runs.remove(run)
