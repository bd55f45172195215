"""The cost to callers of delaying a job, per unit of the work that it still needs.

Work is processor (thousandths of a core) times milliseconds. A level is a priority
level; 0 is the highest.
"""

from math import erf, exp, log, sqrt

from attrs import define, field, frozen

# Priorities below the last level share it, which bounds the memory and the cost of a
# decision.
LEVELS_MAX = 8
# A level counts this many times as much as the next lower one. The factor is small
# because each level already counts as much as any other: with twice as much, wide
# long jobs of the lowest level would get only what the others leave.
LEVEL_FACTOR = 1.25
# Share of an on-time outcome's worth that an outcome after the objective has for its
# caller, as the users state it for all kinds of job.
LATE_SHARE = 0.2
# Share of a caller's worth that doesn't depend on the work of its job. The rest grows
# with it: by the number of callers alone, the largest jobs of a kind would be served
# last, and they must be served about as often as the others.
CALLER_SHARE = 0.3
# Standard deviation of the logarithm of actual over estimated run time, as stated for
# the platform's estimates.
ESTIMATE_ERROR = 0.4
# Demand is averaged over this time: several times a burst, so that a burst of one
# level hardly lowers its weight.
DEMAND_MEMORY_MS = 30_000
# A level has at least this share of the demand when weights are computed, so that
# few or no jobs don't give it an unbounded weight.
DEMAND_SHARE_MIN = 0.05
# Share of its demand that each level with waiting jobs gets under any overload.
GUARANTEED_SHARE = 0.5


@frozen
class JobCost:
    """What the cost of a job's delay depends on; times are in the placer's clock.

    ``objective_at_ms`` is when its objective ends. ``work`` is that of all its tasks.
    """

    level: int
    objective_at_ms: float
    critical_path_ms: float
    work: float


@define
class LevelDemand:
    """The decayed work and number of jobs of one level, as of ``updated_ms``."""

    work: float = 0
    jobs: float = 0
    updated_ms: float = 0

    def decay(self, now_ms: float) -> None:
        """Bring the sums to ``now_ms``."""
        factor = exp((self.updated_ms - now_ms) / DEMAND_MEMORY_MS)
        self.work *= factor
        self.jobs *= factor
        self.updated_ms = now_ms


@define(eq=False, repr=False)
class DemandByLevel:
    """Learns the demand of each level and derives the weight of its work.

    The callers of all levels count equally as a whole, so a unit of work counts for
    less in a level that demands much. ``weights`` and ``shares`` are as of the last
    ``update``; levels without demand are missing.
    """

    weights: dict[int, float] = field(factory=dict)
    shares: dict[int, float] = field(factory=dict)
    _demand: dict[int, LevelDemand] = field(factory=dict)

    def add(self, level: int, work: float, now_ms: float) -> None:
        """Count a job that arrived at ``now_ms``."""
        demand = self._demand.get(level)
        if demand is None:
            demand = self._demand[level] = LevelDemand(updated_ms=now_ms)
        demand.decay(now_ms)
        demand.work += work
        demand.jobs += 1
        if level not in self.weights:
            self.update(now_ms)

    def update(self, now_ms: float) -> None:
        """Compute the weights and shares; call it once per tick."""
        for demand in self._demand.values():
            demand.decay(now_ms)
        total = sum(demand.work for demand in self._demand.values())
        if total <= 0:
            return
        for level, demand in self._demand.items():
            share = demand.work / total
            self.shares[level] = share
            self.weights[level] = LEVEL_FACTOR**-level / max(share, DEMAND_SHARE_MIN)

    def mean_work(self, level: int) -> float:
        """Return the mean work of the level's jobs, 0 if there were none."""
        demand = self._demand.get(level)
        return demand.work / demand.jobs if demand and demand.jobs else 0.0


def level_of(priority: int) -> int:
    """Return the level of a priority."""
    return min(priority, LEVELS_MAX - 1)


def on_time_chance(left_ms: float, run_time_ms: float) -> float:
    """Return the chance that a run that starts now ends within ``left_ms``."""
    if left_ms <= 0:
        return 0.0
    if run_time_ms <= 0:
        return 1.0
    deviations = log(left_ms / run_time_ms) / ESTIMATE_ERROR
    return (1 + erf(deviations / sqrt(2))) / 2


def delay_cost(
    job: JobCost, remaining_work: float, demand: DemandByLevel, now_ms: float
) -> float:
    """Return the worth that a unit of work done for the job now brings its caller.

    The work that was already done counts: the whole worth is divided by the remaining
    work. A job that can hardly be on time any more is worth ``LATE_SHARE``.
    """
    chance = on_time_chance(job.objective_at_ms - now_ms, job.critical_path_ms)
    worth = LATE_SHARE + (1 - LATE_SHARE) * chance
    mean_work = demand.mean_work(job.level)
    caller_work = CALLER_SHARE * mean_work + (1 - CALLER_SHARE) * job.work
    weight = demand.weights.get(job.level, 1.0)
    return weight * worth * caller_work / max(remaining_work, 1.0)
