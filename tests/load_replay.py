"""Replays arrivals of jobs in virtual time against the placement decisions.

The pool is a model: runs take their true duration, orders take no time. Arrivals are
drawn with a seed from the kinds of jobs that the commissions desk sends.
"""

from collections import Counter
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from random import Random

from attrs import define, field, frozen

from rattanloom.placement.assignment import AssignmentPass
from rattanloom.placement.jobs import JobPolicy, Step, SubmittedJob
from rattanloom.placement.overload import ArrivingWork, hopeless_jobs
from rattanloom.placement.runs import (
    PlacedJob,
    PlacedTask,
    Run,
    RunPhase,
    TaskState,
    make_job,
)
from rattanloom.placement.start_limits import StartLimits
from rattanloom.placement.waiting import WaitingTasks
from rattanloom.placement.worker_events import WorkerState
from rattanloom.placement.worker_runs import WorkerRuns
from rattanloom.placement.workers import Resources, WorkerEntry
from tests.dispatcher_fakes import CLOCK, FakeReceiver

TICK_MS = 50
NEED = Resources(16_000, 64)
CLIENT_WAITS_MS = 1_550


@frozen
class Kind:
    """A kind of job: its tasks, their mean duration, and its rate at 100% load."""

    tasks: int
    duration_ms: float
    per_s: float
    worth: float


# The kinds of the commissions desk, per 1,000 cores of the pool.
KINDS = {
    "proof-crop": Kind(8, 60, 27.0, 3.23),
    "studio-preview": Kind(4, 900, 4.9, 17.8),
    "colour-swatch": Kind(2, 200, 78.7, 1.11),
}
# Work of these arrivals in cores, per 1,000 cores.
FULL_LOAD_CORES = sum(
    kind.tasks * kind.duration_ms * kind.per_s * 16 / 1_000 for kind in KINDS.values()
)


@define(eq=False)
class ModelWorker:
    """A worker as the placement decisions see it; it has no clock of its own."""

    entry: WorkerEntry
    runs: WorkerRuns
    state: WorkerState = WorkerState.READY
    paused_until_ms: float = 0
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
    worth_owed: float = 0
    worth: float = 0
    refused_held_ms: list[float] = field(factory=list)
    refused_with_capacity: int = 0
    wasted_core_s: float = 0

    @property
    def held_s(self) -> float:
        """Return the time for which refused callers waited, in sum."""
        return sum(self.refused_held_ms) / 1_000


@define(eq=False)
class LoadReplay:
    """One replay. ``load`` returns the load at a time, 1 for that of all workers."""

    load: Callable[[str, float], float]
    refuses_early: bool
    workers: int = 54
    length_ms: float = 12_000
    seed: int = 1
    results: Results = field(factory=Results)
    pool: list[ModelWorker] = field(factory=list)
    waiting: WaitingTasks = field(factory=WaitingTasks)
    arriving: ArrivingWork = field(factory=ArrivingWork)
    jobs: dict[str, PlacedJob] = field(factory=dict)
    _worth: dict[str, float] = field(factory=dict)
    _durations: dict[str, float] = field(factory=dict)
    _events: list = field(factory=list)
    _numbers: count = field(factory=count)
    _active: Counter = field(factory=Counter)
    now_ms: float = 0

    def run(self) -> Results:
        """Play all arrivals, and the time until the last job has ended."""
        random = Random(self.seed)
        for number in range(self.workers):
            capacity = Resources((32_000, 32_000, 48_000)[number % 3], 128_000)
            entry = WorkerEntry(
                f"w{number}", 1, "s", f"w{number}:1", "a", True, capacity
            )
            self.pool.append(ModelWorker(entry, WorkerRuns(capacity, self._active)))
        for name, kind in KINDS.items():
            self._plan_arrivals(name, kind, random)
        at_ms = 0
        while at_ms < self.length_ms + 2 * CLIENT_WAITS_MS:
            at_ms += TICK_MS
            self._plan(at_ms, self._tick)
        while self._events:
            self.now_ms, _, action, arguments = heappop(self._events)
            action(*arguments)
            self._start_tasks()
        return self.results

    def remove_workers(self, share: float) -> None:
        """Let a share of the workers accept no further tasks."""
        for worker in self.pool[: round(share * len(self.pool))]:
            worker.state = WorkerState.UNRESPONSIVE

    def at(self, at_ms: float, action: Callable, *arguments: object) -> None:
        """Plan a change during the replay."""
        self._plan(at_ms, action, *arguments)

    def _plan(self, at_ms: float, action: Callable, *arguments: object) -> None:
        heappush(self._events, (at_ms, next(self._numbers), action, arguments))

    def _plan_arrivals(self, name: str, kind: Kind, random: Random) -> None:
        cores = sum((32, 32, 48)[number % 3] for number in range(self.workers))
        full_per_s = kind.per_s * cores / FULL_LOAD_CORES
        at_ms = 0.0
        while at_ms < self.length_ms:
            per_s = full_per_s * self.load(name, at_ms)
            at_ms += random.expovariate(per_s) * 1_000
            true_ms = kind.duration_ms * random.lognormvariate(0, 0.4)
            # Estimates are rough.
            estimate_ms = true_ms * random.choice((0.7, 1.0, 1.0, 1.4))
            self._plan(at_ms, self._arrive, kind, true_ms, estimate_ms)

    def _arrive(self, kind: Kind, true_ms: float, estimate_ms: float) -> None:
        submitted = SubmittedJob(
            f"{next(self._numbers):016x}",
            "",
            (Step(kind.tasks, NEED, estimate_ms),),
            JobPolicy("s", 0, 2, 1.6, 62),
            CLIENT_WAITS_MS,
        )
        job = make_job(submitted, FakeReceiver(), (), self.now_ms)
        self.jobs[job.job_id] = job
        self.arriving.add(job, self.now_ms)
        self._worth[job.job_id] = kind.worth
        self._durations[job.job_id] = true_ms
        self.results.asked += 1
        self.results.worth_owed += kind.worth
        for task in job.tasks:
            self.waiting.add(task, self.now_ms)

    def _start_tasks(self) -> None:
        AssignmentPass(self.pool, lambda task: True, self._start, self.now_ms).run(
            self.waiting
        )

    def _start(self, task: PlacedTask, worker: ModelWorker) -> None:
        task.state = TaskState.PLACED
        task.job.effective_runs += 1
        task.attempt += 1
        run = Run(
            task.name, task.attempt, task, task.step, RunPhase.RUNNING, self.now_ms
        )
        worker.runs.add(run)
        duration_ms = self._durations[task.job.job_id]
        self._plan(self.now_ms + duration_ms, self._finish, worker, run)

    def _finish(self, worker: ModelWorker, run: Run) -> None:
        if not worker.runs.remove(run):
            return
        job = run.task.job
        run.task.state = TaskState.DONE
        job.tasks_left -= 1
        if job.tasks_left == 0:
            self._complete(job)

    def _complete(self, job: PlacedJob) -> None:
        job.ended = True
        del self.jobs[job.job_id]
        took_ms = self.now_ms - job.arrived_ms
        worth = self._worth[job.job_id]
        if took_ms <= job.submitted.objective_ms:
            self.results.on_time += 1
            self.results.worth += worth
        else:
            self.results.late += 1
            self.results.worth += worth / 5

    def _tick(self) -> None:
        for task in list(self.waiting):
            if self.now_ms > task.job.latest_useful_start_ms:
                self._give_up(task.job)
        for job in list(self.jobs.values()):
            if self.now_ms > job.deadline_ms:
                self._give_up(job)
        self._start_tasks()
        if self.refuses_early:
            late = self.waiting.late_jobs(self.now_ms)
            capacity = sum(
                worker.runs.capacity.cpu_millicores
                for worker in self.pool
                if worker.state is WorkerState.READY
            )
            arriving = self.arriving.millicores(self.now_ms)
            for job in hopeless_jobs(late, capacity, arriving, self.now_ms):
                self._give_up(job)

    def _give_up(self, job: PlacedJob) -> None:
        if job.ended:
            return
        job.ended = True
        del self.jobs[job.job_id]
        if not job.started:
            self.results.refused_held_ms.append(self.now_ms - job.arrived_ms)
            self.results.refused_with_capacity += any(
                worker.state is WorkerState.READY and worker.runs.free.fits(NEED)
                for worker in self.pool
            )
            return
        self.results.given_up += 1
        for worker in self.pool:
            for run in worker.runs.all():
                if run.task.job is job:
                    worker.runs.remove(run)
                    self.results.wasted_core_s += (
                        16 * (self.now_ms - run.ordered_ms) / 1_000
                    )
        done = sum(task.state is TaskState.DONE for task in job.tasks)
        self.results.wasted_core_s += 16 * done * self._durations[job.job_id] / 1_000
