"""Queues of the tasks that wait for free capacity on a worker."""

from collections.abc import Iterator
from heapq import heappop, heappush
from itertools import count

from attrs import define, field

from rattanloom.placement.runs import PlacedJob, PlacedTask, TaskState

Entry = tuple[float, int, PlacedTask]


@define(eq=False, repr=False)
class WaitingTasks:
    """Three queues of tasks, each ordered by the latest start time of the jobs.

    A job is late if it can no longer meet its objective. Tasks of started jobs go
    first if the job is not late or at least half of its tasks are done: giving up a
    half done job wastes capacity, and the job is submitted again. Tasks of other jobs
    that are not late follow. The remaining late tasks go last, started jobs first: in
    an overload, they would make every other task late.

    An entry is a sort key, a number that keeps the order of insertion, and a task.
    Entries of tasks that no longer wait are skipped.
    """

    _started: list[Entry] = field(factory=list)
    _on_time: list[Entry] = field(factory=list)
    _late: list[Entry] = field(factory=list)
    _numbers: Iterator[int] = field(factory=count)

    def add(self, task: PlacedTask, now_ms: float) -> None:
        """Add a task that is ready to start."""
        task.state = TaskState.WAITING
        task.queued_ms = now_ms
        self.put_back(task, now_ms)

    def put_back(self, task: PlacedTask, now_ms: float) -> None:
        """Add a waiting task to the queue to which it belongs now."""
        queue = self._queue(task, now_ms)
        rank = task.job.latest_on_time_start_ms
        if queue is self._late:
            rank = _late_order(task)
        heappush(queue, (rank, next(self._numbers), task))

    def pop(self, now_ms: float) -> PlacedTask | None:
        """Remove and return the first task that is still waiting, or None.

        A task that became late since it was queued moves to the queue of late tasks.
        """
        for queue in (self._started, self._on_time, self._late):
            while queue:
                task = heappop(queue)[2]
                if not is_waiting(task):
                    continue
                current_queue = self._queue(task, now_ms)
                if current_queue is queue or current_queue is self._started:
                    return task
                self.put_back(task, now_ms)
        return None

    def _queue(self, task: PlacedTask, now_ms: float) -> list[Entry]:
        job = task.job
        is_late = job.latest_on_time_start_ms < now_ms
        if job.started and (not is_late or 2 * job.tasks_left <= len(job.tasks)):
            return self._started
        return self._late if is_late else self._on_time

    def __bool__(self) -> bool:
        """Return whether there are entries; their tasks may not wait any more."""
        return bool(self._started or self._on_time or self._late)

    def __iter__(self) -> Iterator[PlacedTask]:
        """Iterate over the waiting tasks, in no particular order."""
        entries = (*self._started, *self._on_time, *self._late)
        return (task for _, _, task in entries if is_waiting(task))

    def late_jobs(self, now_ms: float) -> list[PlacedJob]:
        """Return the late jobs with waiting tasks, in the order in which they start."""
        entries = sorted(
            (_late_order(task), number, task.job)
            for _, number, task in (*self._on_time, *self._late)
            if is_waiting(task) and task.job.latest_on_time_start_ms < now_ms
        )
        return list(dict.fromkeys(job for _, _, job in entries))

    def clear(self) -> None:
        """Remove all waiting tasks."""
        self._started.clear()
        self._on_time.clear()
        self._late.clear()


def is_waiting(task: PlacedTask) -> bool:
    """Return whether a task waits for a worker; the tasks of an ended job don't."""
    return task.state is TaskState.WAITING and not task.job.ended


def _late_order(task: PlacedTask) -> float:
    """Return the sort key of a late task; tasks of started jobs come first."""
    return task.job.latest_useful_start_ms if not task.job.started else 0.0
