"""Guarantees each priority level a minimum share of the work that is started."""

from collections.abc import Collection

from attrs import define, field

from rattanloom.scheduling.cost import GUARANTEED_SHARE, DemandByLevel

# A level is owed at most this many jobs of its mean work, so that tasks that fit no
# worker for a while don't let its later jobs go before all others.
OWED_JOBS_MAX = 16


@define(eq=False, repr=False)
class GuaranteedShares:
    """Counts, for each level with waiting jobs, the work that it is owed.

    Each start of a task adds its work times the level's guaranteed share to the levels
    that wait, and subtracts the work from its own level. A level is due once it is owed
    its next job: with ``C`` the capacity of the workers, a job with the work ``W`` that
    is the first of its level waits at most ``W / (share * C)``.
    """

    demand: DemandByLevel
    _owed: dict[int, float] = field(factory=dict)

    def record_start(self, level: int, work: float, waiting: Collection[int]) -> None:
        """Count the start of a task of ``level`` while the levels ``waiting`` wait."""
        for other in list(self._owed):
            if other not in waiting:
                del self._owed[other]
        for other in waiting:
            share = GUARANTEED_SHARE * self.demand.shares.get(other, 0.0)
            owed = self._owed.get(other, 0.0) + share * work
            self._owed[other] = min(owed, self._owed_max(other))
        if level in self._owed:
            self._owed[level] = max(0.0, self._owed[level] - work)

    def is_due(self, level: int, work: float) -> bool:
        """Return whether a level is owed its next job, which still needs ``work``."""
        owed = self._owed.get(level, 0.0)
        return owed > 0 and owed >= min(work, self._owed_max(level))

    def _owed_max(self, level: int) -> float:
        return OWED_JOBS_MAX * self.demand.mean_work(level)
