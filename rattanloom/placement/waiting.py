"""Tasks that wait for room, in the order in which they should start."""

from collections.abc import Iterator
from heapq import heappop, heappush
from itertools import count

from attrs import define, field

from rattanloom.placement.runs import PlacedTask, TaskState


@define(eq=False)
class WaitingTasks:
    """A queue ordered by the latest start that meets a job's objective."""

    _heap: list[tuple[float, int, PlacedTask]] = field(factory=list)
    _numbers: Iterator[int] = field(factory=count)

    def add(self, task: PlacedTask, now_ms: float) -> None:
        """Let a task wait."""
        task.state = TaskState.WAITING
        task.queued_ms = now_ms
        self.put_back(task)

    def put_back(self, task: PlacedTask) -> None:
        """Return a task that was taken out and found no room."""
        heappush(self._heap, (task.job.latest_start_ms, next(self._numbers), task))

    def take(self) -> PlacedTask | None:
        """Return the first task that still waits, and take it out."""
        while self._heap:
            task = heappop(self._heap)[2]
            if task.state is TaskState.WAITING and not task.job.ended:
                return task
        return None

    def __iter__(self) -> Iterator[PlacedTask]:
        """Return the waiting tasks, in no order."""
        return (
            task
            for _, _, task in self._heap
            if task.state is TaskState.WAITING and not task.job.ended
        )

    def clear(self) -> None:
        """Forget all waiting tasks."""
        self._heap.clear()
