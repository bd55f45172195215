"""Decides which workers may get tasks, by evacuated zones and cold workers."""

from collections.abc import Callable, Collection, Container
from typing import Protocol

from attrs import define, field

from rattanloom.clock import Clock
from rattanloom.decision_log import DecisionLog
from rattanloom.placement.cold_workers import ColdWorkers, StartedWorker
from rattanloom.placement.worker_runs import WorkerRuns
from rattanloom.placement.workers import Resources

log = DecisionLog("placement")

# Workers write their entries every 1.5 s, and an owner reads them every 400 ms. Before
# this time has passed, a worker that is cold may not have been seen as such.
COLD_SEEN_MS = 2_000
# Time without starts after a report that the worker drains: longer than the wait for
# the next report, and than the time until its entry is read.
DRAINING_PAUSE_MS = 2_000


class LimitedWorker(StartedWorker, Protocol):
    """A worker that the limits apply to; see ``PooledWorker`` for the attributes."""

    runs: WorkerRuns
    drains_until_ms: float


@define(eq=False, repr=False)
class StartLimits:
    """Limits on the starts of one placer, shared by its workers.

    ``evacuated_zones`` is changed by its owner. ``may_start_by_evacuations`` returns
    whether the knowledge of evacuated zones is recent enough for a start.
    ``has_cold`` is false while no worker is cold, as of the last tick; then the limits
    of cold workers cost no time. ``_open_since_ms`` has the zones that are not full
    since an evacuation ended.
    """

    clock: Clock
    cold_workers: ColdWorkers = field(init=False)
    evacuated_zones: Container[str] = frozenset()
    may_start_by_evacuations: Callable[[], bool] = lambda: True
    has_cold: bool = False
    _evacuated_before: set[str] = field(factory=set)
    _open_since_ms: dict[str, float] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.cold_workers = ColdWorkers(self.clock)

    def is_open(self, worker: LimitedWorker) -> bool:
        """Return whether the worker's zone is not evacuated."""
        return worker.entry.zone not in self.evacuated_zones

    def allows(self, worker: LimitedWorker) -> bool:
        """Return whether a worker may get a task."""
        return worker.entry.zone not in self.evacuated_zones and (
            not self.has_cold or self.cold_workers.may_start(worker)
        )

    def is_cold(self, worker: LimitedWorker) -> bool:
        """Return whether a worker is slow now."""
        return self.has_cold and self.cold_workers.is_cold(worker.worker_id)

    def may_send(self, worker: LimitedWorker) -> bool:
        """Return whether a start order may be sent now; called before each send."""
        return (
            self.is_open(worker)
            and self.may_start_by_evacuations()
            and worker.drains_until_ms <= self.clock.now_ms()
            and _has_room_for_orders(worker)
        )

    def update(self, workers: Collection[LimitedWorker]) -> None:
        """Count the usable workers if any is cold; log when a zone is full again."""
        cold_workers = self.cold_workers
        self.has_cold = any(
            cold_workers.is_cold(worker_id) for worker_id in cold_workers.cold_until_ms
        )
        cold_workers.update(filter(self.is_open, workers) if self.has_cold else ())
        if self.evacuated_zones or self._evacuated_before or self._open_since_ms:
            self._follow_zones(workers)

    def _follow_zones(self, workers: Collection[LimitedWorker]) -> None:
        """Log the zones without cold workers some time after their evacuation."""
        now_ms = self.clock.now_ms()
        for worker in workers:
            zone = worker.entry.zone
            if zone in self.evacuated_zones:
                self._evacuated_before.add(zone)
                self._open_since_ms.pop(zone, None)
            elif zone in self._evacuated_before:
                self._evacuated_before.discard(zone)
                self._open_since_ms[zone] = now_ms
        for zone, since_ms in list(self._open_since_ms.items()):
            if now_ms > since_ms + COLD_SEEN_MS and not self._has_cold(zone, workers):
                del self._open_since_ms[zone]
                log.info(
                    "zone_full_again", zone=zone, after_ms=round(now_ms - since_ms)
                )

    def _has_cold(self, zone: str, workers: Collection[LimitedWorker]) -> bool:
        return any(
            self.cold_workers.is_cold(worker.worker_id)
            for worker in workers
            if worker.entry.zone == zone
        )


def _has_room_for_orders(worker: LimitedWorker) -> bool:
    """Return whether the entry, which may be new, still allows orders not sent."""
    return worker.entry.accepting and worker.runs.free.fits(Resources())
