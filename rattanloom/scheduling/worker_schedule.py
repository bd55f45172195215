"""When busy workers are expected to have room for further tasks."""

from collections.abc import Callable, Iterable
from heapq import heapify, heapreplace, nsmallest

from attrs import define, field, frozen

from rattanloom.placement.runs import PlacedTask
from rattanloom.placement.workers import Resources

# The time at which a place becomes free, the factor by which a task takes longer there
# than normally, and whether it is in the rack that the task names.
Place = tuple[float, float, bool]

# Expected ends are computed again after this time, as that takes some 0.5 ms for the
# workers of a zone. They are rough by more.
SCHEDULE_AGE_MAX_MS = 20
# Bounds of the schedules and held tasks that are kept, and of the places in one.
SCHEDULES_MAX = 64
PLACES_MAX = 32
HELD_MAX = 256
# A task stops to wait this long after the first promised time, the age of a schedule.
PROMISE_GRACE_MS = 20


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
        free_ms, factor, is_in_rack = self._places[0]
        heapreplace(self._places, (free_ms + run_ms, factor, is_in_rack))


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
                (max(free_ms, now_ms), factor, is_in_rack)
                for free_ms, factor, is_in_rack in places
            ]
        )


@frozen
class Hold:
    """The decision that a task waits for a better worker.

    The decision holds until ``valid_until_ms``. ``factor_max`` is the highest factor by
    which the task takes longer than normally on the workers for which it waits,
    ``promised_ms`` when the first decision expected one of them to have room.
    """

    valid_until_ms: float
    factor_max: float
    promised_ms: float


@define(eq=False, repr=False)
class HeldTasks:
    """The tasks that wait for better workers; ``HELD_MAX`` bounds their number."""

    _held: dict[str, Hold] = field(factory=dict)

    def record(
        self,
        task: PlacedTask,
        factor_max: float,
        free_ms: float,
        valid_until_ms: float,
    ) -> bool:
        """Record that a task waits; return whether this is the first decision.

        A worker is expected to have room at ``free_ms``.
        """
        known = self._held.get(task.name)
        if known is None and len(self._held) >= HELD_MAX:
            del self._held[next(iter(self._held))]
        promised_ms = free_ms if known is None else known.promised_ms
        self._held[task.name] = Hold(valid_until_ms, factor_max, promised_ms)
        return known is None

    def may_wait(self, task: PlacedTask, now_ms: float) -> bool:
        """Return whether the time first promised to a task has not passed."""
        hold = self._held.get(task.name)
        return hold is None or now_ms <= hold.promised_ms + PROMISE_GRACE_MS

    def factor_awaited(self, task: PlacedTask, now_ms: float) -> float | None:
        """Return the factor of a task that waits; None if it has to be decided."""
        hold = self._held.get(task.name)
        if hold is None or now_ms >= hold.valid_until_ms:
            return None
        return hold.factor_max


def free_places_ms(
    need: Resources, free: Resources, ends: Iterable[tuple[float, Resources]]
) -> list[float]:
    """Return when each place for a task with ``need`` becomes free on one worker.

    ``free`` is free now; ``ends`` has the expected end and the need of each run. At
    most ``PLACES_MAX`` places are returned, as a need may be as small as 0.
    """
    places_ms = []
    for end_ms, released in sorted(ends, key=lambda end: end[0]):
        free = free.plus(released)
        while free.fits(need):
            if len(places_ms) == PLACES_MAX:
                return places_ms
            free = free.minus(need)
            places_ms.append(end_ms)
    return places_ms
