"""Racks: the label of the workers near a step's data, and the demand for them."""

from math import exp

from attrs import define, field

from rattanloom.kind_table import KindTable

# Demand for a rack decays with this time constant: longer than the gaps between the
# jobs that name a busy rack, shorter than a burst.
DEMAND_DECAY_MS = 1_000
# Demand is compared in steps of this share of the processor of the rack's workers.
DEMAND_STEP = 0.25
# Limit of the demand for one rack: that of 1,000 cores for 1,000 s. Estimates come from
# clients, and infinite demand can't be compared.
WORK_MAX_MILLICORE_MS = 1e12


@define(eq=False, repr=False)
class RackDemand:
    """The recent demand for each rack, in processor time (thousandths of a core, ms).

    ``_work`` has the decaying sum for each rack, and when it was updated. The labels
    come from clients, so the table is bounded.
    """

    _work: KindTable[tuple[float, float]] = field(factory=KindTable)

    def add(self, label: str, work_millicore_ms: float, now_ms: float) -> None:
        """Count work for the workers with a label."""
        work = self._decayed(label, now_ms) + work_millicore_ms
        # The order of the arguments gives the limit also for NaN.
        self._work.store(label, (min(WORK_MAX_MILLICORE_MS, work), now_ms))

    def __bool__(self) -> bool:
        """Return whether any job has named a rack."""
        return len(self._work) > 0

    def steps(self, label: str, rack_millicores: float, now_ms: float) -> int:
        """Return the demand for a rack of this size, in steps of ``DEMAND_STEP``."""
        work = self._decayed(label, now_ms)
        return int(work / (DEMAND_DECAY_MS * max(1, rack_millicores) * DEMAND_STEP))

    def _decayed(self, label: str, now_ms: float) -> float:
        work, updated_ms = self._work.get(label, (0.0, now_ms))
        return work * exp((updated_ms - now_ms) / DEMAND_DECAY_MS)
