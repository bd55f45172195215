"""When busy workers are expected to have room for further tasks."""

from collections.abc import Callable, Iterable
from heapq import heapify, heapreplace, nsmallest

from attrs import define, field

from rattanloom.placement.runs import PlacedTask
from rattanloom.placement.workers import Resources

# The time at which a place becomes free, and the factor by which a task takes longer
# there than normally.
Place = tuple[float, float]

# Expected ends are computed again after this time, as that takes some 0.5 ms for the
# workers of a zone. They are rough by more.
SCHEDULE_AGE_MAX_MS = 20
# Bounds of the schedules and held tasks that are kept, and of the places in one.
SCHEDULES_MAX = 64
PLACES_MAX = 32
HELD_MAX = 256


@define(eq=False, repr=False)
class WorkerSchedule:
    """The expected places for equal tasks on some workers.

    ``_places`` is a heap.
    """

    _places: list[Place]

    def __attrs_post_init__(self) -> None:
        heapify(self._places)

    def next_place(self) -> Place | None:
        """Return when the next place is free, and its factor; None without workers."""
        return self._places[0] if self._places else None

    def reserve(self, run_ms: float) -> None:
        """Reserve the next place for a task that runs so long."""
        free_ms, factor = self._places[0]
        heapreplace(self._places, (free_ms + run_ms, factor))


@define(eq=False, repr=False)
class ScheduleCache:
    """Keeps the places found for one kind of task for ``SCHEDULE_AGE_MAX_MS``.

    ``_found`` has, for each kind, when they were found and the places.
    """

    _found: dict[tuple, tuple[float, list[Place]]] = field(factory=dict)

    def get(
        self, kind: tuple, find: Callable[[], list[Place]], now_ms: float
    ) -> WorkerSchedule:
        """Return a new schedule with the places for a kind, found again if too old."""
        found_ms, places = self._found.get(kind, (-SCHEDULE_AGE_MAX_MS, []))
        if now_ms - found_ms >= SCHEDULE_AGE_MAX_MS or kind not in self._found:
            if len(self._found) >= SCHEDULES_MAX:
                self._found.clear()
            places = nsmallest(PLACES_MAX, find())
            self._found[kind] = now_ms, places
        return WorkerSchedule(
            [
                (free_ms if free_ms > now_ms else now_ms, factor)
                for free_ms, factor in places
            ]
        )


@define(eq=False, repr=False)
class HeldTasks:
    """The tasks that wait for better workers, for up to ``SCHEDULE_AGE_MAX_MS``.

    ``_held`` has, by task, when that was decided and the highest factor by which the
    task takes longer than normally on the workers for which it waits.
    """

    _held: dict[str, tuple[float, float]] = field(factory=dict)

    def record(self, task: PlacedTask, factor_max: float, now_ms: float) -> bool:
        """Record that a task waits; return whether this is a new decision."""
        is_new = task.name not in self._held
        if is_new and len(self._held) >= HELD_MAX:
            self._held.clear()
        self._held[task.name] = now_ms, factor_max
        return is_new

    def factor_awaited(self, task: PlacedTask, now_ms: float) -> float | None:
        """Return the factor of a task that waits; None if it has to be decided."""
        decided_ms, factor_max = self._held.get(task.name, (-1_000.0, 0.0))
        return factor_max if now_ms - decided_ms < SCHEDULE_AGE_MAX_MS else None


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
