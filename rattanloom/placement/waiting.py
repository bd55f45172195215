"""Tasks that wait for room, in the order in which they should start."""

from collections.abc import Iterator
from heapq import heappop, heappush
from itertools import count

from attrs import define, field

from rattanloom.placement.runs import PlacedTask, TaskState

Entry = tuple[float, int, PlacedTask]


@define(eq=False, repr=False)
class WaitingTasks:
    """Three queues, each by the latest start.

    Tasks that finish a job under way go first: a job that is given up half done
    has cost room for nothing, and comes again. Tasks that can be on time follow.
    Late tasks go last: in an overload they would make every other task late.
    """

    _begun: list[Entry] = field(factory=list)
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
        queue = self._queue(task, now_ms)
        rank = task.job.objective_start_ms
        if queue is self._late:
            rank = _late_rank(task)
        heappush(queue, (rank, next(self._numbers), task))

    def pop(self, now_ms: float) -> PlacedTask | None:
        """Return the first task that still waits, and take it out."""
        for queue in (self._begun, self._on_time, self._late):
            while queue:
                task = heappop(queue)[2]
                if not _waits(task):
                    continue
                present = self._queue(task, now_ms)
                if present is queue or present is self._begun:
                    return task
                self.put_back(task, now_ms)
        return None

    def _queue(self, task: PlacedTask, now_ms: float) -> list[Entry]:
        job = task.job
        is_late = job.objective_start_ms < now_ms
        if job.started and (not is_late or 2 * job.tasks_left <= len(job.tasks)):
            return self._begun
        return self._late if is_late else self._on_time

    def __iter__(self) -> Iterator[PlacedTask]:
        """Return the waiting tasks, in no order."""
        entries = (*self._begun, *self._on_time, *self._late)
        return (task for _, _, task in entries if _waits(task))

    def clear(self) -> None:
        """Forget all waiting tasks."""
        self._begun.clear()
        self._on_time.clear()
        self._late.clear()


def _waits(task: PlacedTask) -> bool:
    return task.state is TaskState.WAITING and not task.job.ended


def _late_rank(task: PlacedTask) -> float:
    """Return what orders late tasks: those of jobs under way first."""
    return task.job.last_useful_start_ms if not task.job.started else 0.0
