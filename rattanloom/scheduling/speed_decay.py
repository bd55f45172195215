"""When the learned speeds of workers decay."""

from collections.abc import Iterator
from heapq import heapify, heappop, heappush
from itertools import count

from attrs import define, field

from rattanloom.scheduling.worker_speed import WorkerSpeed


@define(eq=False, repr=False)
class SpeedDecay:
    """Lets the speeds of workers without finished runs decay when they are due.

    ``_due`` is a heap of times, numbers that make the entries differ, and speeds. A
    speed is due at its time or, after finished runs, later.
    """

    _due: list[tuple[float, int, WorkerSpeed]] = field(factory=list)
    _numbers: Iterator[int] = field(factory=count)

    def add(self, speed: WorkerSpeed) -> None:
        """Add the speed of a new worker."""
        heappush(self._due, (speed.decays_at_ms, next(self._numbers), speed))

    def remove(self, speed: WorkerSpeed) -> None:
        """Remove the speed of a worker that left the pool."""
        self._due = [entry for entry in self._due if entry[2] is not speed]
        heapify(self._due)

    def run(self, now_ms: float) -> None:
        """Let the speeds decay that are due."""
        due = []
        while self._due and self._due[0][0] <= now_ms:
            due.append(heappop(self._due)[2])
        for speed in due:
            speed.decay(now_ms)
            self.add(speed)
