"""Decides which jobs to end while more work arrives than workers can do.

Load pattern: jobs of all kinds arrive faster than the workers finish them for some
seconds, or workers are taken away. Tasks that can be on time start first, so late jobs
get only the capacity that these leave; a job that will get none is refused at once. If
priorities differ, a job that will be late behind others is refused while its client has
waited a short time only. A running job that can't be useful any more is given up.
"""

from collections import Counter, deque
from collections.abc import Iterable
from enum import Enum
from math import inf

from attrs import define, field, frozen

from rattanloom.placement.runs import PlacedJob, PlacedTask
from rattanloom.scheduling.cost import level_of
from rattanloom.scheduling.progress import RunProgress, is_useless
from rattanloom.scheduling.waiting import WaitingTasks

# Arrivals are averaged over this time: longer than the gaps between large jobs, shorter
# than a burst.
WINDOW_MS = 500
# A client that is refused learns it within this share of its objective, so that it can
# still get its answer elsewhere or return in time.
HELD_SHARE = 0.25
# Time between two decisions.
TICK_MS = 50
# Share of the capacity that can be used in a shortage; free parts of workers that are
# too small for the waiting tasks make up the rest.
USABLE_SHARE = 0.9
# A shortage begins once tasks found no worker at this many ticks in a row, and ends
# after the second number of ticks at which all found one. Single large tasks wait for
# a tick at normal load, and bursts pause for less than half a second.
SHORTAGE_BEGIN_TICKS = 2
SHORTAGE_END_TICKS = 10


class Reason(Enum):
    """Why a job is ended in a shortage; the text goes to the client and the log."""

    LATE = "work that can be on time needs all workers"
    BEHIND = "jobs that cost their callers more need all workers"
    USELESS = "its running tasks can't end in time"


@frozen
class Decision:
    """A job to end, and why."""

    job: PlacedJob
    reason: Reason


@frozen
class PoolCapacity:
    """Capacity of the workers that accept tasks or soon may again.

    ``largest_free_millicores`` is the most that is free on one of them. Workers that
    are paused or were just taken over count, as a job may soon start there.
    """

    millicores: float
    largest_free_millicores: float = 0


@define(eq=False)
class Shortage:
    """Whether capacity is short, with hysteresis; updated once per tick."""

    is_on: bool = False
    _ticks: int = 0

    def update(self, waiting: Iterable[PlacedTask], capacity: PoolCapacity) -> bool:
        """Return whether capacity is short; ``waiting`` were not started just now."""
        free = capacity.largest_free_millicores
        is_short = any(task.step.need.cpu_millicores > free for task in waiting)
        self._ticks = self._ticks + 1 if is_short != self.is_on else 0
        if self._ticks >= (SHORTAGE_END_TICKS if self.is_on else SHORTAGE_BEGIN_TICKS):
            self.is_on, self._ticks = not self.is_on, 0
        return self.is_on


@define(eq=False, repr=False)
class ArrivingWork:
    """Measures the processor that the jobs of the last ``WINDOW_MS`` need.

    Work is processor (thousandths of a core) times milliseconds. ``_arrivals`` has the
    time, level and work of each job, ``_sums`` the sum of the work by level.
    """

    _arrivals: deque[tuple[float, int, float]] = field(factory=deque)
    _sums: Counter[int] = field(factory=Counter)

    def add(self, job: PlacedJob, now_ms: float) -> None:
        """Count a job that arrived at ``now_ms``."""
        work = job.submitted.work_millicore_ms
        level = level_of(job.submitted.policy.priority)
        self._arrivals.append((now_ms, level, work))
        self._sums[level] += work

    def millicores(self, now_ms: float) -> float:
        """Return the processor that the arriving work needs on average."""
        return sum(self.by_level(now_ms).values())

    def by_level(self, now_ms: float) -> dict[int, float]:
        """Return the processor that the arriving work of each level needs."""
        while self._arrivals and self._arrivals[0][0] <= now_ms - WINDOW_MS:
            _, level, work = self._arrivals.popleft()
            self._sums[level] -= work
        return {level: work / WINDOW_MS for level, work in self._sums.items()}


def refusals(
    waiting: WaitingTasks,
    capacity: PoolCapacity,
    arriving: dict[int, float],
    now_ms: float,
    is_short: bool = True,
) -> list[Decision]:
    """Return the waiting jobs to refuse now.

    ``arriving`` is the processor that the arriving work of each level needs. Only late
    jobs are refused unless capacity ``is_short``.
    """
    late = hopeless_jobs(
        waiting.late_jobs(now_ms), capacity.millicores, sum(arriving.values()), now_ms
    )
    decisions = [Decision(job, Reason.LATE) for job in late]
    weights = waiting.demand.weights
    if is_short and len(weights) > 1:
        preferred = {
            level: sum(arriving[other] for other in arriving if weight < weights[other])
            for level, weight in weights.items()
        }
        behind = jobs_behind(waiting.jobs_in_order(now_ms), capacity, preferred, now_ms)
        decisions += [Decision(job, Reason.BEHIND) for job in behind]
    return decisions


def hopeless_jobs(
    late_jobs: Iterable[PlacedJob],
    capacity_millicores: float,
    arriving_millicores: float,
    now_ms: float,
) -> list[PlacedJob]:
    """Return the late jobs that will not be started in time.

    ``late_jobs`` wait, in the order in which they start, and none fits now.
    ``capacity_millicores`` is that of all workers that accept tasks or soon may again.
    Jobs that may have active runs are never returned, but their work goes before that
    of later jobs: their runs may still be found, or end.
    """
    spare_millicores = max(0.0, capacity_millicores - arriving_millicores)
    hopeless = []
    ahead = 0.0
    for job in late_jobs:
        work = job.remaining_work_millicore_ms
        left_ms = job.latest_useful_start_ms - now_ms + job.shortest_path_ms
        if not job.may_have_active_runs and ahead + work > spare_millicores * left_ms:
            hopeless.append(job)
        else:
            ahead += work
    return hopeless


def jobs_behind(
    jobs: Iterable[PlacedJob],
    capacity: PoolCapacity,
    preferred: dict[int, float],
    now_ms: float,
) -> list[PlacedJob]:
    """Return the jobs to refuse since those before them leave too little capacity.

    ``jobs`` wait, in the order in which they start. ``preferred`` has, for each level,
    the processor needed by arriving work that goes before its jobs. A job is decided
    once, at the last tick before it was held for ``HELD_SHARE`` of its objective, and
    is refused if it would start too late to be on time. Jobs that may have active
    runs, or of which a task may fit now, are never returned.
    """
    jobs = list(jobs)
    late_needs = _late_needs(jobs, now_ms)
    behind = []
    ahead = 0.0
    for job in jobs:
        if _may_refuse(job, capacity) and _is_decided_now(job, now_ms):
            level = level_of(job.submitted.policy.priority)
            spare = USABLE_SHARE * capacity.millicores - preferred.get(level, 0.0)
            left_ms = job.latest_on_time_start_ms - now_ms
            is_behind = ahead > max(0.0, spare) * max(0.0, left_ms)
            if is_behind or _smallest_need(job) >= late_needs.get(level, inf):
                behind.append(job)
                continue
        ahead += job.remaining_work_millicore_ms
    return behind


def useless_jobs(runs: Iterable[tuple[PlacedJob, RunProgress]]) -> list[Decision]:
    """Return the jobs with a run that can't end before their outcomes stop to count."""
    useless = dict.fromkeys(
        job for job, progress in runs if is_useless(progress, job.useful_until_ms)
    )
    return [Decision(job, Reason.USELESS) for job in useless]


def _smallest_need(job: PlacedJob) -> int:
    return min(step.need.cpu_millicores for step in job.submitted.steps)


def _late_needs(jobs: Iterable[PlacedJob], now_ms: float) -> dict[int, int]:
    """Return, by level, the smallest need of the late jobs that were not started.

    Free parts of workers may be too small for large tasks, whatever their sum is.
    """
    needs: dict[int, int] = {}
    for job in jobs:
        if not job.may_have_active_runs and job.latest_on_time_start_ms < now_ms:
            level = level_of(job.submitted.policy.priority)
            needs[level] = min(needs.get(level, inf), _smallest_need(job))
    return needs


def _may_refuse(job: PlacedJob, capacity: PoolCapacity) -> bool:
    return (
        not job.may_have_active_runs
        and _smallest_need(job) > capacity.largest_free_millicores
    )


def _is_decided_now(job: PlacedJob, now_ms: float) -> bool:
    held_ms = now_ms - job.arrived_ms
    limit_ms = HELD_SHARE * job.submitted.objective_ms
    is_first_tick = now_ms - job.received_ms < TICK_MS
    return limit_ms < held_ms + TICK_MS and (held_ms <= limit_ms or is_first_tick)
