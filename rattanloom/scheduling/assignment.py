"""Assignment of waiting tasks to workers with free capacity."""

from collections.abc import Callable

from attrs import define, field

from rattanloom.placement.runs import PlacedTask
from rattanloom.scheduling.placement_model import PlacementModel
from rattanloom.scheduling.step_placement import StepPlacement
from rattanloom.scheduling.waiting import WaitingTasks
from rattanloom.scheduling.worker_choice import matches
from rattanloom.scheduling.worker_index import UNRELIABLE_SCORE, WorkerIndex
from rattanloom.scheduling.worker_schedule import (
    SCHEDULE_AGE_MAX_MS,
    Place,
    WorkerSchedule,
    free_places_ms,
)
from rattanloom.scheduling.worker_view import WorkerView

# A pass ends after this many tasks without a suitable worker. They are skipped so
# that smaller ones behind them can use the remaining capacity.
SKIPPED_TASKS_MAX = 24
# At most this many tasks wait for better workers, in their racks or faster, in a pass
# while other workers have free capacity; the limit bounds the cost of a pass.
HELD_TASKS_MAX = 32


@define(eq=False, repr=False)
class AssignmentPass:
    """One pass over the waiting tasks.

    ``may_start`` returns whether a task may have a new run now, on any worker;
    ``start_run`` starts it. A task for which ``must_be_isolated`` returns true starts
    on a worker without other runs. ``index`` has the workers.
    ``_unplaceable_millicores`` has, by service, label, memory and accelerators, the
    smallest processor need for which no worker was found.
    ``_held`` counts the tasks that wait for better workers. ``_placements`` has the
    decisions by job and step, ``_schedules`` and ``_best_factors`` what was found for
    tasks of one kind.
    ``_rack_demand`` has the demand for the rack of each worker, if there is any.
    """

    index: WorkerIndex
    may_start: Callable[[PlacedTask], bool]
    start_run: Callable[[PlacedTask, WorkerView], None]
    now_ms: float
    must_be_isolated: Callable[[PlacedTask], bool] = lambda task: False
    model: PlacementModel = field(factory=PlacementModel)
    placement_type: type[StepPlacement] = StepPlacement
    _unplaceable_millicores: dict[tuple[str, str, int, int], int] = field(factory=dict)
    _held: int = 0
    _placements: dict[tuple[str, int], StepPlacement] = field(factory=dict)
    _schedules: dict[tuple, WorkerSchedule] = field(factory=dict)
    _best_factors: dict[tuple, float] = field(factory=dict)
    _rack_demand: dict[str, int] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        if self.model.rack_demand:
            accepting = self.index.accepting
            self._rack_demand = self.model.demand_of_racks(accepting, self.now_ms)

    def run(self, waiting: WaitingTasks) -> None:
        """Start the tasks for which a worker is found; put the others back."""
        skipped: list[PlacedTask] = []
        try:
            while len(skipped) - self._held < SKIPPED_TASKS_MAX:
                needs = waiting.smallest_needs()
                if not self.index.has_room_for_any(needs, self.now_ms):
                    break
                task = waiting.pop(self.now_ms)
                if task is None:
                    break
                skipped.append(task)
                if self._start(task):
                    skipped.pop()
        finally:
            # Without this, an error would lose the tasks that are not in the queues.
            for task in skipped:
                waiting.put_back(task, self.now_ms)
        waiting.settle(self.now_ms)

    def _start(self, task: PlacedTask) -> bool:
        if self.must_be_isolated(task):
            return self._start_isolated(task)
        need = task.step.need
        service, label = task.job.submitted.policy.service, task.step.required_label
        kind = (service, label, need.memory_mb, need.gpus)
        need_millicores = need.cpu_millicores
        if need_millicores >= self._unplaceable_millicores.get(
            kind, need_millicores + 1
        ):
            return False
        if not self.may_start(task):
            return False
        may_wait = self._may_wait(task)
        if may_wait and self._still_waits(task):
            self._held += 1
            return False
        placement = self._placement(task)
        worker = placement.choose(task)
        if worker is None:
            # A step with a limit per worker may be rejected where other tasks of
            # the same size fit.
            if not task.step.per_worker_max:
                self._unplaceable_millicores[kind] = need_millicores
            return False
        if may_wait and placement.should_wait():
            self._held += 1
            free_ms, _, is_in_rack = placement.awaited
            valid_ms = min(SCHEDULE_AGE_MAX_MS, placement.wait_max_ms)
            if self.model.held.record(
                task, placement.factor_awaited, free_ms, self.now_ms + valid_ms
            ):
                self.model.count("tasks_held", "rack" if is_in_rack else "speed")
            return False
        self._start_on(task, worker)
        return True

    def _may_wait(self, task: PlacedTask) -> bool:
        """Return whether a task may wait for a better worker than one with room.

        The places that are waited for are those of any task of its kind, without the
        workers that it avoids or its limit per worker.
        """
        return (
            self._held < HELD_TASKS_MAX
            and not task.avoided_workers
            and not task.step.per_worker_max
            and self.model.held.may_wait(task, self.now_ms)
        )

    def _still_waits(self, task: PlacedTask) -> bool:
        """Return whether a task that waited a moment ago needs no new decision.

        Applies if no worker of those for which it waits has room now. Reserves the
        place for which it waits.
        """
        factor_max = self.model.held.factor_awaited(task, self.now_ms)
        if factor_max is None:
            return False
        if self._best_factor(task) <= factor_max:
            return False
        schedule = self._schedule(task, factor_max)
        place = schedule.next_place()
        if place is None:
            return False
        schedule.reserve(place[1] * self.model.normal_run_ms(task))
        return True

    def _best_factor(self, task: PlacedTask) -> float:
        """Return the factor of the fastest worker that had room early in the pass."""
        step = task.step
        service = task.job.submitted.policy.service
        key = (service, step.affinity, step.required_label, step.need)
        if key not in self._best_factors:
            self._best_factors[key] = min(
                (
                    self.model.factor(task, worker)
                    for worker in self.index.fitting(task, self.now_ms)
                ),
                default=0.0,
            )
        return self._best_factors[key]

    def _placement(self, task: PlacedTask) -> StepPlacement:
        """Return the decision for the waiting tasks of a task's step.

        It is made anew for each task of a step with a limit per worker.
        """
        key = (task.job.job_id, task.step_number)
        placement = self._placements.get(key)
        if placement is None or task.step.per_worker_max:
            placement = self._make_placement(task, self.index)
            self._placements[key] = placement
        return placement

    def _start_isolated(self, task: PlacedTask) -> bool:
        if not self.may_start(task):
            return False
        accepting = self.index.accepting(self.now_ms)
        idle = [worker for worker in accepting if not worker.runs]
        index = WorkerIndex.of(idle, self.index.limits, self.now_ms)
        worker = self._make_placement(task, index).choose(task)
        if worker is None:
            return False
        # The placements made so far have the worker among their candidates.
        self._placements.clear()
        self._start_on(task, worker)
        return True

    def _start_on(self, task: PlacedTask, worker: WorkerView) -> None:
        if task.step.affinity:
            is_remote = self.model.is_remote(task, worker)
            self.model.count("tasks_with_rack", "elsewhere" if is_remote else "rack")
        self.start_run(task, worker)

    def _make_placement(self, task: PlacedTask, index: WorkerIndex) -> StepPlacement:
        return self.placement_type(
            task,
            index,
            self.model,
            self.now_ms,
            self._rack_demand,
            self._schedule,
        )

    def _schedule(self, task: PlacedTask, factor_max: float) -> WorkerSchedule:
        """Return when workers with up to this factor for a task have room for it."""
        step = task.step
        service = task.job.submitted.policy.service
        level = int(10 * factor_max)
        key = (service, step.affinity, step.required_label, step.need, level)
        if key not in self._schedules:
            self._schedules[key] = self.model.schedules.get(
                key,
                lambda: self._free_places(task, factor_max),
                self.now_ms,
            )
        return self._schedules[key]

    def _free_places(self, task: PlacedTask, factor_max: float) -> list[Place]:
        step = task.step
        places = []
        for worker in self._workers_up_to(task, factor_max):
            if worker.failure_score >= UNRELIABLE_SCORE or worker.limits.is_cold(
                worker
            ):
                continue
            factor = self.model.factor(task, worker)
            if factor <= factor_max and matches(task, worker):
                is_in_rack = bool(step.affinity) and not self.model.is_remote(
                    task, worker
                )
                ends = self.model.expected_ends_ms(worker, self.now_ms)
                free = worker.runs.free
                places += [
                    (free_ms, factor, is_in_rack)
                    for free_ms in free_places_ms(step.need, free, ends)
                ]
        return places

    def _workers_up_to(self, task: PlacedTask, factor_max: float) -> list[WorkerView]:
        """Return the workers, with room or not, that may be fast enough for a task."""
        step, model = task.step, self.model
        service = task.job.submitted.policy.service
        kind, accepting = (service, step.required_label), self.index.accepting
        if not step.affinity or model.remote_factor <= 1:
            return list(accepting(self.now_ms, kind, factor_max))
        rack = accepting(self.now_ms, (service, step.affinity), factor_max)
        others = accepting(self.now_ms, kind, factor_max / model.remote_factor)
        return list(dict.fromkeys((*rack, *others)))
