"""The load of a zone as its placer announces it, and the expected wait that follows.

Work is processor (thousandths of a core) times milliseconds.
"""

from collections import Counter, deque
from collections.abc import Container, Iterable
from math import inf, isfinite

from attrs import define, field, frozen

# Arrivals are averaged over this time, as in the refusal of late jobs: longer than the
# gaps between large jobs, shorter than a burst.
DEMAND_WINDOW_MS = 500


@frozen
class PriorityLoad:
    """The load of one priority; ``arriving_millicores`` is from all zones' clients."""

    priority: int
    waiting_millicore_ms: float = 0
    arriving_millicores: float = 0


@frozen
class ZoneLoad:
    """What a placer announces.

    ``free_millicores`` is the free processor less the need of waiting tasks; it may be
    below 0. ``capacity_millicores`` is that of the workers that accept tasks or soon
    will; None if the placer's build does not announce it. ``own_arriving_millicores``
    is the processor that the jobs from clients of the placer's own zones need on
    average.
    """

    free_millicores: int
    capacity_millicores: int | None = None
    own_arriving_millicores: float = 0
    priorities: tuple[PriorityLoad, ...] = ()

    @property
    def wait_ms(self) -> float:
        """Return the expected wait of a new job: the waiting work over the capacity.

        It is infinite without capacity, and 0 if the capacity is not announced.
        Work of all priorities counts. Leaving lower ones out moved too few jobs in the
        replay, and they do go first once they are close to their objective.
        """
        if self.capacity_millicores is None:
            return 0.0
        if not self.capacity_millicores:
            return inf
        work = sum(load.waiting_millicore_ms for load in self.priorities)
        return work / self.capacity_millicores

    @property
    def is_finite(self) -> bool:
        """Return whether all amounts are finite numbers."""
        amounts = [load.waiting_millicore_ms for load in self.priorities]
        amounts += [load.arriving_millicores for load in self.priorities]
        return all(map(isfinite, (*amounts, self.own_arriving_millicores)))


@define(eq=False, repr=False)
class DemandMeter:
    """Measures the work that arrived within ``DEMAND_WINDOW_MS``.

    ``_arrivals`` has the time, source, priority and work of each job; a source is the
    daemon that accepted the job.
    """

    _arrivals: deque[tuple[float, str, int, float]] = field(factory=deque)

    def add(self, source: str, priority: int, work: float, now_ms: float) -> None:
        """Count a job that arrived at ``now_ms``."""
        self._arrivals.append((now_ms, source, priority, work))
        self._remove_old(now_ms)

    def by_priority(self, now_ms: float) -> Counter[int]:
        """Return the processor that the arriving work needs, by priority."""
        self._remove_old(now_ms)
        millicores = Counter()
        for _, _, priority, work in self._arrivals:
            millicores[priority] += work / DEMAND_WINDOW_MS
        return millicores

    def from_sources(self, sources: Container[str], now_ms: float) -> float:
        """Return the processor that the arriving work of some sources needs."""
        self._remove_old(now_ms)
        works = (work for _, source, _, work in self._arrivals if source in sources)
        return sum(works) / DEMAND_WINDOW_MS

    def _remove_old(self, now_ms: float) -> None:
        while self._arrivals and self._arrivals[0][0] <= now_ms - DEMAND_WINDOW_MS:
            self._arrivals.popleft()


def merge_loads(
    waiting: Iterable[tuple[int, float]], arriving: Counter[int]
) -> tuple[PriorityLoad, ...]:
    """Return the loads of all priorities, from waiting work and arriving processor.

    ``waiting`` has the priority and the work of each waiting task.
    """
    waiting_by_priority = Counter()
    for priority, work in waiting:
        waiting_by_priority[priority] += work
    return tuple(
        PriorityLoad(priority, waiting_by_priority[priority], arriving[priority])
        for priority in sorted(waiting_by_priority.keys() | arriving.keys())
    )
