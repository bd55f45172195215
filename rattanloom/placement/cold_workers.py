"""Limits the starts on workers that are slow for a time after an evacuation."""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Protocol

from attrs import define, field

from rattanloom.clock import Clock
from rattanloom.placement.worker_events import WorkerState
from rattanloom.placement.workers import WorkerEntry


class StartedWorker(Protocol):
    """A worker whose starts are counted; see ``PooledWorker`` for the attributes."""

    entry: WorkerEntry
    state: WorkerState

    @property
    def worker_id(self) -> str:
        """Return the id under which the worker registered."""


@define(eq=False, repr=False)
class ColdStarts:
    """Starts on one cold worker, and on its service when the worker became cold."""

    service_starts_before: int
    starts: int = 0


@define(eq=False, repr=False)
class ColdWorkers:
    """Counts starts while workers are cold.

    ``cold_until_ms`` has the time until which a worker is slow, by worker id. A cold
    worker gets at most ``overshoot`` times its even share of the starts since it became
    cold, plus ``slack``. The even share is that among the workers of its service that
    can get tasks; ``_usable`` counts them by service, ``_starts`` the starts.
    """

    clock: Clock
    cold_until_ms: Mapping[str, float] = field(factory=dict)
    overshoot: float = 1.5
    slack: float = 5
    _usable: Counter[str] = field(factory=Counter)
    _starts: Counter[str] = field(factory=Counter)
    _cold: dict[str, ColdStarts] = field(factory=dict)

    def is_cold(self, worker_id: str) -> bool:
        """Return whether a worker is slow now."""
        until_ms = self.cold_until_ms.get(worker_id)
        return until_ms is not None and self.clock.now_ms() < until_ms

    def may_start(self, worker: StartedWorker) -> bool:
        """Return whether a worker is warm or below its limit of starts."""
        if not self.is_cold(worker.worker_id):
            return True
        counted = self._counted(worker)
        service = worker.entry.service
        since = self._starts[service] - counted.service_starts_before
        even_share = since / max(1, self._usable[service])
        return counted.starts < self.overshoot * even_share + self.slack

    def record_start(self, worker: StartedWorker) -> None:
        """Count a start."""
        if self.is_cold(worker.worker_id):
            self._counted(worker).starts += 1
        self._starts[worker.entry.service] += 1

    def update(self, usable: Iterable[StartedWorker]) -> None:
        """Count the workers that can get tasks; forget those that are warm again."""
        self._usable = Counter(
            worker.entry.service
            for worker in usable
            if worker.state is WorkerState.READY and worker.entry.accepting
        )
        for worker_id in [name for name in self._cold if not self.is_cold(name)]:
            del self._cold[worker_id]

    def _counted(self, worker: StartedWorker) -> ColdStarts:
        counted = self._cold.get(worker.worker_id)
        if counted is None:
            counted = ColdStarts(self._starts[worker.entry.service])
            self._cold[worker.worker_id] = counted
        return counted
