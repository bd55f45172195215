"""Expected run times of tasks on workers, for decisions about placement."""

from collections import Counter
from collections.abc import Callable, Iterable
from typing import Protocol

from attrs import define, field

from rattanloom.placement.runs import PlacedJob, PlacedTask
from rattanloom.scheduling.racks import RackDemand
from rattanloom.scheduling.run_time_model import RunTimeModel
from rattanloom.scheduling.worker_schedule import HeldTasks, ScheduleCache
from rattanloom.scheduling.worker_speed import WorkerSpeed
from rattanloom.scheduling.worker_view import WorkerView

# A run that is past its expected end is expected to take this share of its age more:
# the longer it is late, the less its end is expected soon.
OVERDUE_SHARE = 0.25
# Limit of an expected run time, which keeps it finite for any estimate.
RUN_MS_MAX = 3_600_000
# The demand for racks is computed again after this time; it decays over 1 s.
DEMAND_AGE_MAX_MS = 20


class LearningWorker(WorkerView, Protocol):
    """A worker whose speed is learned; ``duration_ratio`` is that of ``speed``."""

    speed: WorkerSpeed


@define(eq=False, repr=False)
class PlacementModel:
    """What a placer knows beyond its workers and tasks.

    A task takes ``remote_factor`` times as long outside the rack that its step names.
    ``count`` increments a metric. ``_demand`` is the demand for the rack of each worker
    at ``_demand_ms``.
    """

    remote_factor: float = 1.0
    run_times: RunTimeModel = field(factory=RunTimeModel)
    rack_demand: RackDemand = field(factory=RackDemand)
    schedules: ScheduleCache = field(factory=ScheduleCache)
    held: HeldTasks = field(factory=HeldTasks)
    count: Callable[[str, str], None] = lambda name, label: None
    _demand: dict[str, int] = field(factory=dict)
    _demand_ms: float = -DEMAND_AGE_MAX_MS

    def normal_run_ms(self, task: PlacedTask) -> float:
        """Return the expected run time of a task on a normal worker of its rack."""
        queue = task.job.submitted.policy.queue
        expected_ms = self.run_times.expected_ms(queue, task.step.estimate_ms)
        return min(expected_ms, RUN_MS_MAX)

    def run_ms(self, task: PlacedTask, worker: WorkerView) -> float:
        """Return the expected run time of a task on a worker."""
        return self.normal_run_ms(task) * self.factor(task, worker)

    def factor(self, task: PlacedTask, worker: WorkerView) -> float:
        """Return how long a task takes on a worker compared to a normal one."""
        remote_factor = self.remote_factor if self.is_remote(task, worker) else 1.0
        return worker.duration_ratio * remote_factor

    def learn(
        self, task: PlacedTask, worker: LearningWorker, run_ms: float, now_ms: float
    ) -> None:
        """Learn the worker's speed and the run times of its kind from a run.

        The worker is compared with others that run the same kind of task.
        """
        estimate_ms = task.step.estimate_ms
        if not estimate_ms:
            return
        factor = self.factor(task, worker)
        expected_ms = self.normal_run_ms(task) * factor
        queue = task.job.submitted.policy.queue
        self.run_times.learn(queue, estimate_ms, run_ms, 1 / factor)
        worker.speed.learn(worker.duration_ratio * run_ms / expected_ms, now_ms)

    def is_remote(self, task: PlacedTask, worker: WorkerView) -> bool:
        """Return whether the worker is outside the rack that the task's step names."""
        affinity = task.step.affinity
        return (
            bool(affinity)
            and self.remote_factor > 1
            and affinity not in worker.entry.labels
        )

    def is_far(self, task: PlacedTask, worker: WorkerView) -> bool:
        """Return whether a worker is no better than one outside the task's rack.

        Applies to workers outside the rack, and to those in it that are slower than a
        normal one outside.
        """
        return self.is_remote(task, worker) or (
            bool(task.step.affinity)
            and self.remote_factor > 1
            and worker.duration_ratio > self.remote_factor
        )

    def record_arrival(self, job: PlacedJob, now_ms: float) -> None:
        """Predict the duration of a new job; count its work for the racks it names."""
        submitted = job.submitted
        job.expected_path_ms = self.run_times.expected_ms(
            submitted.policy.queue, submitted.critical_path_ms
        )
        if self.remote_factor > 1:
            for step in submitted.steps:
                if step.affinity:
                    work = step.count * step.need.cpu_millicores * step.estimate_ms
                    self.rack_demand.add(step.affinity, work, now_ms)

    def expected_ends_ms(self, worker: WorkerView, now_ms: float) -> list[tuple]:
        """Return the expected end and the need of each known run on a worker."""
        ends = []
        for run in worker.runs.all():
            if run.task is None:
                continue
            run_ms = self.run_ms(run.task, worker)
            age_ms = now_ms - run.ordered_ms
            left_ms = max(run_ms - age_ms, OVERDUE_SHARE * max(run_ms, age_ms))
            end_ms = now_ms + left_ms
            ends.append((end_ms, run.step.need))
        return ends

    def demand_of_racks(
        self, find_workers: Callable[[float], Iterable[WorkerView]], now_ms: float
    ) -> dict[str, int]:
        """Return the demand for the racks of each worker, in steps, by worker id.

        It is up to ``DEMAND_AGE_MAX_MS`` old; workers that were not there are missing.
        Empty while no rack is in demand.
        """
        if now_ms - self._demand_ms < DEMAND_AGE_MAX_MS:
            return self._demand
        workers = list(find_workers(now_ms))
        millicores: Counter[str] = Counter()
        for worker in workers:
            for label in worker.entry.labels:
                millicores[label] += worker.runs.capacity.cpu_millicores
        steps = {
            label: self.rack_demand.steps(label, size, now_ms)
            for label, size in millicores.items()
        }
        self._demand_ms = now_ms
        self._demand = {}
        if any(steps.values()):
            self._demand = {
                worker.worker_id: max(map(steps.get, worker.entry.labels), default=0)
                for worker in workers
            }
        return self._demand


def latest_on_time_end_ms(job: PlacedJob, step_number: int) -> float:
    """Return the latest end of a step's tasks with which the job is still on time."""
    submitted = job.submitted
    after_ms = submitted.path_after_ms[step_number]
    return job.arrived_ms + submitted.objective_ms - after_ms


def latest_late_end_ms(job: PlacedJob, step_number: int) -> float:
    """Return the latest end of a step's tasks with which the outcome still counts."""
    submitted = job.submitted
    late_limit_ms = min(job.deadline_ms, job.arrived_ms + submitted.late_limit_ms)
    return late_limit_ms - submitted.path_after_ms[step_number]
