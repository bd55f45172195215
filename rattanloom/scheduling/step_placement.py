"""Chooses the workers for the waiting tasks of one step in one decision.

A job ends with its slowest task. Each task gets the worker with the best chance to end
in time, or waits for one that is better even after the wait, unless another task of the
job has a low chance anyway.
"""

from collections.abc import Callable
from math import exp, log
from operator import attrgetter

from attrs import define, field

from rattanloom.placement.runs import PlacedTask
from rattanloom.scheduling.overload import HELD_SHARE, TICK_MS
from rattanloom.scheduling.placement_model import (
    PlacementModel,
    latest_late_end_ms,
    latest_on_time_end_ms,
)
from rattanloom.scheduling.worker_choice import matches
from rattanloom.scheduling.worker_index import (
    FACTOR_STEP,
    UNRELIABLE_SCORE,
    WorkerIndex,
)
from rattanloom.scheduling.worker_schedule import (
    Place,
    WorkerSchedule,
)
from rattanloom.scheduling.worker_view import WorkerView

# Standard deviation of the logarithm of a run time around the expected one. Estimates
# are off by up to 0.4, and the tasks of one job differ.
RUN_TIME_SPREAD = 0.35
# Chances to end in time are compared in steps of this size.
CHANCE_STEP = 0.1
# A job that has less than this chance to be on time is placed so that it ends while
# its outcome still counts.
ON_TIME_CHANCE_MIN = 0.05
# A task waits for a faster worker if that raises its chance by this much, as the
# expected ends of other runs are rough. It waits for its rack if it loses no more than
# the second number: a run elsewhere takes processor time from others.
WAIT_GAIN_MIN = 0.1
RACK_LOSS_MAX = 0.02
# A task whose rack gives it less than this chance does not wait for it, unless it ends
# sooner there.
RACK_CHANCE_MIN = 0.1
# Only workers on which the task takes at most this share of the time are waited for:
# those of its rack, and others. At speeds of 0.8, 1.0 and 1.25, other waits cost more
# than they brought.
RACK_FACTOR_MAX = 0.8
FASTER_FACTOR_MAX = 0.55


_RANK = attrgetter("rank")


def no_schedule(task: PlacedTask, factor_max: float) -> WorkerSchedule:
    """Return a schedule without places, for tasks that must not wait."""
    return WorkerSchedule([])


@define(eq=False, repr=False)
class Candidate:
    """A worker that can run a task now; of two, the one with the lower rank is better.

    ``factor`` is how much longer the task takes there than normally, ``chance`` is the
    chance that it ends in time.
    """

    worker: WorkerView
    factor: float
    chance: float
    rank: tuple


@define(eq=False, repr=False)
class StepPlacement:
    """The decision for the waiting tasks of the step of ``task``.

    ``rack_demand`` has the demand for the rack of each worker, if there is any.
    ``schedule_of`` returns when workers on which a task takes at most a given factor
    of its normal time have room. ``_left_ms`` is the time in which the tasks should
    end. ``_candidates`` has the workers that can run a task now, the best first; None
    if their order is that of ``WorkerIndex.fitting``.
    No task waits longer than ``wait_max_ms``: its job would be late, and might be
    refused as such although other workers are idle, or would not be started within
    ``HELD_SHARE`` of its objective. ``factor_awaited`` is the highest factor of the
    workers for which a task waits, ``awaited`` the place that it got. ``_has_rack`` is
    false if no worker that accepts tasks is in the rack that the step names, which is
    ignored then. ``_best`` is the worker that was chosen last, ``_worst_chance`` the
    smallest chance of the tasks that do not wait.
    """

    task: PlacedTask
    index: WorkerIndex
    model: PlacementModel
    now_ms: float
    rack_demand: dict[str, int] = field(factory=dict)
    schedule_of: Callable[[PlacedTask, float], WorkerSchedule] = no_schedule
    wait_max_ms: float = field(init=False)
    _candidates: list[Candidate] | None = None
    _normal_ms: float = field(init=False)
    _left_ms: float = field(init=False)
    _has_rack: bool = False
    factor_awaited: float = 0.0
    awaited: Place | None = None
    _worst_chance: float = 1.0
    _best: Candidate | None = None

    def __attrs_post_init__(self) -> None:
        task = self.task
        self._normal_ms = max(1.0, self.model.normal_run_ms(task))
        self._left_ms = latest_on_time_end_ms(task.job, task.step_number) - self.now_ms
        factors = None
        if self._must_rank():
            factors = [
                (self.model.factor(task, worker), worker)
                for worker in self.index.fitting(task, self.now_ms)
            ]
            self._has_rack = self._find_rack()
        estimate_ms = max(self._normal_ms, task.step.estimate_ms)
        # The placer gives a job up if a task waits at a tick after its latest useful
        # start, whether or not workers have room.
        useful_ms = task.job.latest_useful_start_ms - TICK_MS - self.now_ms
        self.wait_max_ms = min(self._left_ms - estimate_ms, useful_ms)
        if not task.job.started:
            held_max_ms = HELD_SHARE * task.job.submitted.objective_ms
            held_ms = self.now_ms - task.job.arrived_ms
            self.wait_max_ms = min(self.wait_max_ms, held_max_ms - held_ms)
        if not self._can_be_on_time(factors):
            latest_ms = latest_late_end_ms(task.job, task.step_number)
            self._left_ms = latest_ms - self.now_ms
        if factors is not None:
            self._candidates = self._make_candidates(factors)

    def _must_rank(self) -> bool:
        """Return whether the best worker depends on more than the index sorts by."""
        is_near_better = self.task.step.affinity and self.model.remote_factor > 1
        has_cold = self.index.limits.has_cold
        return bool(is_near_better or self.rack_demand or has_cold)

    def _find_rack(self) -> bool:
        """Return whether a worker that accepts tasks is in the rack that is named."""
        task = self.task
        kind = task.job.submitted.policy.service, task.step.affinity
        return bool(task.step.affinity) and any(
            matches(task, worker) for worker in self.index.accepting(self.now_ms, kind)
        )

    def _can_be_on_time(self, factors: list[tuple[float, WorkerView]] | None) -> bool:
        """Return whether the fastest of the workers with room may be fast enough."""
        if factors is None:
            fitting = self.index.fitting(self.task, self.now_ms)
            best = next(fitting, None)
            if best and self._chance(best.duration_ratio) >= ON_TIME_CHANCE_MIN:
                return True
            factors = [(worker.duration_ratio, worker) for worker in fitting]
            factors += [(best.duration_ratio, best)] if best else []
        fastest = min((factor for factor, _ in factors), default=1.0)
        return self._chance(fastest) >= ON_TIME_CHANCE_MIN

    def choose(self, task: PlacedTask) -> WorkerView | None:
        """Return the best worker for one of the tasks; None if none has capacity.

        Of equal ones, this is the worker that the task leaves with the least processor.
        """
        best = self._first(task) if self._candidates is None else self._ranked(task)
        self._best = best
        return None if best is None else best.worker

    def _first(self, task: PlacedTask) -> Candidate | None:
        """Return the first worker of the index, if possible not an avoided one."""
        chosen = None
        for worker in self.index.fitting(task, self.now_ms):
            is_avoided = worker.worker_id in task.avoided_workers
            if chosen is None or not is_avoided:
                chosen = worker
            if not is_avoided:
                break
        if chosen is None:
            return None
        step = int(chosen.duration_ratio / FACTOR_STEP)
        chance = self._chance((step + 0.5) * FACTOR_STEP)
        return Candidate(chosen, chosen.duration_ratio, chance, ())

    def _ranked(self, task: PlacedTask) -> Candidate | None:
        """Return the best of the candidates."""
        need = self.task.step.need
        best, best_key = None, None
        for candidate in self._candidates:
            is_avoided = candidate.worker.worker_id in task.avoided_workers
            if best is not None and candidate.rank != best.rank:
                if not task.avoided_workers:
                    break
                if is_avoided:
                    continue
            free, limits = candidate.worker.runs.free, candidate.worker.limits
            if not free.fits(need):
                continue
            if limits.has_cold and not limits.cold_workers.may_start(candidate.worker):
                continue
            key = (is_avoided, candidate.rank, free.cpu_millicores)
            if best_key is None or key < best_key:
                best, best_key = candidate, key
        return best

    def should_wait(self) -> bool:
        """Return whether the task should wait instead of using the chosen worker.

        Reserves the place for which it waits.
        """
        best = self._best
        is_far = self._is_far(best.worker)
        chance = min(best.chance, self._worst_chance)
        if is_far or chance < 1 - WAIT_GAIN_MIN:
            share = RACK_FACTOR_MAX if is_far else FASTER_FACTOR_MAX
            self.factor_awaited = best.factor * share
            schedule = self.schedule_of(self.task, self.factor_awaited)
            place = schedule.next_place()
            if place is not None and self._is_better(place, is_far):
                schedule.reserve(place[1] * self._normal_ms)
                self.awaited = place
                return True
        self._worst_chance = chance
        return False

    def _is_better(self, place: Place, is_far: bool) -> bool:
        """Return whether a place that becomes free is better than the best worker."""
        chance = min(self._best.chance, self._worst_chance)
        free_ms, place_factor, _ = place
        wait_ms = free_ms - self.now_ms
        if wait_ms > self.wait_max_ms:
            return False
        place_chance = self._chance(place_factor, wait_ms)
        gain = min(place_chance, self._worst_chance) - chance
        if not is_far:
            return gain >= WAIT_GAIN_MIN
        ends_sooner = wait_ms < (self._best.factor - place_factor) * self._normal_ms
        if place_chance < RACK_CHANCE_MIN and not ends_sooner:
            return gain >= WAIT_GAIN_MIN
        return gain >= -RACK_LOSS_MAX

    def _is_far(self, worker: WorkerView) -> bool:
        return self._has_rack and self.model.is_far(self.task, worker)

    def _chance(self, factor: float, wait_ms: float = 0) -> float:
        """Return the chance that a run ends in time, after a wait.

        ``factor`` is how long it takes compared to the normal run time.
        """
        left_ms = self._left_ms - wait_ms
        if not left_ms > 0:  # also for NaN, from an estimate of an older peer
            return 0.0
        deviations = log(left_ms / (factor * self._normal_ms)) / RUN_TIME_SPREAD
        # The logistic function with this factor is close to the normal distribution.
        return 1 / (1 + exp(-1.7 * max(deviations, -20)))

    def _make_candidates(
        self, factors: list[tuple[float, WorkerView]]
    ) -> list[Candidate]:
        """Return the candidates, the best first; chances are those of the steps."""
        chances: dict[int, tuple[float, int]] = {}
        candidates = []
        for factor, worker in factors:
            step = int(factor / FACTOR_STEP)
            if step not in chances:
                chance = self._chance((step + 0.5) * FACTOR_STEP)
                chances[step] = chance, int((1 - chance) / CHANCE_STEP)
            chance, missing = chances[step]
            rank = (
                worker.failure_score >= UNRELIABLE_SCORE,
                worker.limits.is_cold(worker),
                self._is_far(worker),
                missing,
                self.rack_demand.get(worker.worker_id, 0) if self.rack_demand else 0,
                step,
            )
            candidates.append(Candidate(worker, factor, chance, rank))
        candidates.sort(key=_RANK)
        return candidates
