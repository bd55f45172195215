"""When busy workers are expected to have room for further tasks."""

from collections.abc import Iterable
from heapq import heapify, heapreplace

from attrs import define

from rattanloom.placement.workers import Resources


@define(eq=False, repr=False)
class WorkerSchedule:
    """The expected places for equal tasks on some workers.

    ``_places`` is a heap with the time at which each becomes free and the factor by
    which the task takes longer there than normally.
    """

    _places: list[tuple[float, float]]

    def __attrs_post_init__(self) -> None:
        heapify(self._places)

    def next_place(self) -> tuple[float, float] | None:
        """Return when the next place is free, and its factor; None without workers."""
        return self._places[0] if self._places else None

    def reserve(self, run_ms: float) -> None:
        """Reserve the next place for a task that runs so long."""
        free_ms, factor = self._places[0]
        heapreplace(self._places, (free_ms + run_ms, factor))


def free_places_ms(
    need: Resources, free: Resources, ends: Iterable[tuple[float, Resources]]
) -> list[float]:
    """Return when each place for a task with ``need`` becomes free on one worker.

    ``free`` is free now; ``ends`` has the expected end and the need of each run.
    """
    places_ms = []
    for end_ms, released in sorted(ends, key=lambda end: end[0]):
        free = free.plus(released)
        while free.fits(need):
            free = free.minus(need)
            places_ms.append(end_ms)
            if not need.cpu_millicores:
                break
    return places_ms
