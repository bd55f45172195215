"""Tasks that wait for room, in the order in which they should start."""

from collections.abc import Iterator
from heapq import heappop, heappush
from itertools import count

from attrs import define, field

from rattanloom.placement.runs import PlacedTask, TaskState

Entry = tuple[float, int, PlacedTask]


@define(eq=False, repr=False)
class WaitingTasks:
    """Two queues: tasks that can be on time, by their latest start, go first.

    Tasks that are late follow: in an overload they would otherwise make every
    other task late as well.
    """

    _on_time: list[Entry] = field(factory=list)
    _late: list[Entry] = field(factory=list)
    _numbers: Iterator[int] = field(factory=count)

    def add(self, task: PlacedTask, now_ms: float) -> None:
        """Let a task wait."""
        task.state = TaskState.WAITING
        task.queued_ms = now_ms
        self.put_back(task, now_ms)

    def put_back(self, task: PlacedTask, now_ms: float) -> None:
        """Return a task that was taken out and found no room."""
        number = next(self._numbers)
        if task.job.latest_start_ms >= now_ms:
            heappush(self._on_time, (task.job.latest_start_ms, number, task))
        else:
            heappush(self._late, (_late_rank(task), number, task))

    def take(self, now_ms: float) -> PlacedTask | None:
        """Return the first task that still waits, and take it out."""
        while self._on_time:
            task = heappop(self._on_time)[2]
            if not _waits(task):
                continue
            if task.job.latest_start_ms >= now_ms:
                return task
            self.put_back(task, now_ms)
        while self._late:
            task = heappop(self._late)[2]
            if _waits(task):
                return task
        return None

    def __iter__(self) -> Iterator[PlacedTask]:
        """Return the waiting tasks, in no order."""
        entries = (*self._on_time, *self._late)
        return (task for _, _, task in entries if _waits(task))

    def clear(self) -> None:
        """Forget all waiting tasks."""
        self._on_time.clear()
        self._late.clear()


def _waits(task: PlacedTask) -> bool:
    return task.state is TaskState.WAITING and not task.job.ended


def _late_rank(task: PlacedTask) -> float:
    """Return what orders late tasks: those of jobs under way first."""
    return task.job.last_start_ms if not task.job.started else 0.0
