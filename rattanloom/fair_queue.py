"""Weighted fair queue: teams ordered by virtual time, a team's tasks by due time.

A task's *work* is its run time times its slots, in slot-ms. A team's *virtual time*
grows by the work of each task that it starts, divided by its weight; the waiting
team with the smallest virtual time goes next. This growth is the *charge* for the
task: first for its expected work, then, once it has finished, for the time that it
occupied its slots.

A task's *due time* is when it would be served if all jobs had the same stretch
(time in the system as a multiple of the ideal run time). So a short job overtakes
the later tasks of a long one, and a long one can be overtaken only for a while.
``queue_order`` computes it.
"""

from collections.abc import Callable, Iterator
from heapq import heapify, heappop, heappush
from itertools import count

from attrs import define, field, frozen

from rattanloom.queue import QueuedTask

# Heaps are compacted once removed entries outnumber waiting ones by more than this.
COMPACT_MIN_ENTRIES = 64
DUE_BUCKET_MS = 250.0
# Stands for the due time of a requeued task, minus infinity, which has no bucket.
DUE_MIN_MS = -1e12
# A due bucket with less work is empty, apart from rounding errors.
WORK_MIN_SLOT_MS = 0.001


@frozen
class PlacementKey:
    """What decides where a task can be placed; tasks with equal keys fit equally.

    ``attempt_number`` is the number of the task's next attempt, from 1.
    """

    kind: str
    size_slots: int
    accelerator: bool
    attempt_number: int


@define(eq=False)
class QueueEntry:
    """One queued task, with its due time and its expected work.

    ``due_ms`` and ``latest_start_ms`` are clock times; a task that still waits at the
    latter is dropped. ``sequence`` is the order of arrival; ``waiting`` is False once
    the entry is removed. A requeued task gets a new entry.
    """

    queued_task: QueuedTask
    due_ms: float
    work_slot_ms: float
    latest_start_ms: float
    sequence: int = 0
    waiting: bool = True

    def __lt__(self, other: "QueueEntry") -> bool:
        return (self.due_ms, self.sequence) < (other.due_ms, other.sequence)

    @property
    def team(self) -> str:
        """Return the name of the task's team."""
        return self.queued_task.job.team

    @property
    def size_slots(self) -> int:
        """Return the slots that the task occupies."""
        return self.queued_task.task.size_slots

    @property
    def due_bucket(self) -> int:
        """Return the number of the ``DUE_BUCKET_MS`` bucket of the due time."""
        return due_bucket(self.due_ms)

    @property
    def placement_key(self) -> PlacementKey:
        """Return what decides where the task can be placed."""
        task = self.queued_task.task
        return PlacementKey(
            task.kind, task.size_slots, task.accelerator, self.queued_task.number
        )


def due_bucket(due_ms: float) -> int:
    """Return the number of the ``DUE_BUCKET_MS`` bucket of a due time."""
    return int(max(due_ms, DUE_MIN_MS) // DUE_BUCKET_MS)


@define(eq=False)
class TeamQueue:
    """The waiting tasks of one team, in one heap for each placement key.

    ``virtual_ms`` is the team's virtual time. ``work_by_due_bucket`` divides
    ``work_slot_ms`` by due time. ``removed`` counts the entries that are no longer
    waiting but still in a heap.
    """

    weight: float = 1.0
    virtual_ms: float = 0.0
    tasks: int = 0
    slots: int = 0
    work_slot_ms: float = 0.0
    work_by_due_bucket: dict[int, float] = field(factory=dict)
    heaps: dict[PlacementKey, list[QueueEntry]] = field(factory=dict)
    removed: int = 0

    def push(self, entry: QueueEntry) -> None:
        """Add an entry."""
        heappush(self.heaps.setdefault(entry.placement_key, []), entry)
        self._update_totals(entry, 1)

    def remove(self, entry: QueueEntry) -> None:
        """Remove an entry; it stays in its heap until popped or compacted away."""
        entry.waiting = False
        self._update_totals(entry, -1)
        self.removed += 1
        if self.removed > self.tasks + COMPACT_MIN_ENTRIES:
            self._compact()

    def work_due_slot_ms(self, due_ms: float) -> float:
        """Return the work due by the end of the bucket of ``due_ms``."""
        last_bucket = due_bucket(due_ms)
        return sum(
            work_slot_ms
            for bucket, work_slot_ms in self.work_by_due_bucket.items()
            if bucket <= last_bucket
        )

    def heads(self) -> list[QueueEntry]:
        """Return the first waiting entry of each placement key, by due time."""
        heads = []
        for placement_key, heap in list(self.heaps.items()):
            while heap and not heap[0].waiting:
                heappop(heap)
                self.removed -= 1
            if heap:
                heads.append(heap[0])
            else:
                del self.heaps[placement_key]
        heads.sort()
        return heads

    def _update_totals(self, entry: QueueEntry, sign: int) -> None:
        """Add an entry to the totals (``sign`` 1) or subtract it (-1)."""
        self.tasks += sign
        self.slots += sign * entry.size_slots
        self.work_slot_ms += sign * entry.work_slot_ms
        self._update_due_work(entry, sign)
        if not self.tasks:
            self.work_slot_ms = 0.0
            self.work_by_due_bucket.clear()

    def _update_due_work(self, entry: QueueEntry, sign: int) -> None:
        bucket = entry.due_bucket
        work_slot_ms = (
            self.work_by_due_bucket.get(bucket, 0.0) + sign * entry.work_slot_ms
        )
        if work_slot_ms < WORK_MIN_SLOT_MS:
            self.work_by_due_bucket.pop(bucket, None)
        else:
            self.work_by_due_bucket[bucket] = work_slot_ms

    def _compact(self) -> None:
        for placement_key, heap in list(self.heaps.items()):
            kept = [entry for entry in heap if entry.waiting]
            heapify(kept)
            self.heaps[placement_key] = kept
            if not kept:
                del self.heaps[placement_key]
        self.removed = 0


@define(eq=False)
class FairQueue:
    """The waiting tasks of one entry host.

    ``team_weight(team)`` returns a team's weight; it is called again whenever a team
    without waiting tasks gets one. ``_virtual_ms`` is the largest virtual time at
    which a team was served. A team that had no waiting tasks resumes at least there,
    so that it gains nothing from its idle time. ``_entries_by_job`` holds each job's
    waiting entries in order of arrival, ``_latest_starts`` is a heap by latest start.
    """

    team_weight: Callable[[str], float]
    tasks: int = 0
    slots: int = 0
    work_slot_ms: float = 0.0
    _virtual_ms: float = 0.0
    _teams: dict[str, TeamQueue] = field(factory=dict)
    _entries_by_job: dict[str, dict[QueueEntry, None]] = field(factory=dict)
    _latest_starts: list[tuple[float, int, QueueEntry]] = field(factory=list)
    _sequence: Iterator[int] = field(factory=count)

    def put(self, entry: QueueEntry) -> None:
        """Add a task, after those of its team that are due no later."""
        entry.sequence = next(self._sequence)
        queue = self._teams.get(entry.team)
        if queue is None:
            queue = self._teams[entry.team] = TeamQueue()
        if not queue.tasks:
            queue.weight = self.team_weight(entry.team)
            queue.virtual_ms = max(queue.virtual_ms, self._virtual_ms)
        queue.push(entry)
        self._update_totals(entry, 1)
        self._entries_by_job.setdefault(entry.queued_task.job.job_id, {})[entry] = None
        self._push_latest_start(entry)

    def requeue(self, entry: QueueEntry) -> None:
        """Requeue a taken task at the front of its team's queue and undo its charge."""
        entry.due_ms = float("-inf")
        self.put(entry)
        queue = self._teams[entry.team]
        queue.virtual_ms -= entry.work_slot_ms / queue.weight

    def take(
        self,
        allowed: Callable[[str, int], bool],
        can_place: Callable[[QueuedTask], bool],
    ) -> QueueEntry | None:
        """Remove and return the next entry that may run and can be placed.

        ``allowed(team, size_slots)`` applies the quotas. Once ``can_place`` returns
        False, it is not called again for the same placement key. The entry's team is
        charged the expected work.
        """
        unplaceable: set[PlacementKey] = set()
        for queue in self._teams_by_virtual_time():
            for entry in queue.heads():
                placement_key = entry.placement_key
                if placement_key in unplaceable or not allowed(
                    entry.team, entry.size_slots
                ):
                    continue
                if can_place(entry.queued_task):
                    self._charge(queue, entry)
                    self.remove(entry)
                    return entry
                unplaceable.add(placement_key)
        return None

    def adjust_charge(self, entry: QueueEntry, actual_slot_ms: float) -> None:
        """Replace the charge for expected work by that for ``actual_slot_ms``."""
        queue = self._teams.get(entry.team)
        if queue is not None:
            queue.virtual_ms += (actual_slot_ms - entry.work_slot_ms) / queue.weight

    def remove(self, entry: QueueEntry) -> None:
        """Remove a waiting entry."""
        self._teams[entry.team].remove(entry)
        self._update_totals(entry, -1)
        entries = self._entries_by_job[entry.queued_task.job.job_id]
        del entries[entry]
        if not entries:
            del self._entries_by_job[entry.queued_task.job.job_id]

    def withdraw(self, job_id: str) -> list[QueuedTask]:
        """Remove and return all waiting tasks of a job."""
        entries = self._entries_by_job.pop(job_id, {})
        for entry in entries:
            self._teams[entry.team].remove(entry)
            self._update_totals(entry, -1)
        return [entry.queued_task for entry in entries]

    def pop_overdue(self, now_ms: float) -> list[QueueEntry]:
        """Remove and return the waiting entries whose latest start time is reached."""
        overdue = []
        while self._latest_starts:
            latest_ms, _, entry = self._latest_starts[0]
            if entry.waiting and latest_ms > now_ms:
                break
            heappop(self._latest_starts)
            if entry.waiting:
                self.remove(entry)
                overdue.append(entry)
        return overdue

    def team_queue(self, name: str) -> TeamQueue:
        """Return a team's queue, or an empty one if it has none."""
        return self._teams.get(name) or TeamQueue(weight=self.team_weight(name))

    def waiting_teams(self) -> dict[str, TeamQueue]:
        """Return the queues of the teams that have waiting tasks."""
        return {name: queue for name, queue in self._teams.items() if queue.tasks}

    def _teams_by_virtual_time(self) -> list[TeamQueue]:
        waiting = [queue for queue in self._teams.values() if queue.tasks]
        waiting.sort(key=lambda queue: queue.virtual_ms)
        return waiting

    def _push_latest_start(self, entry: QueueEntry) -> None:
        heappush(self._latest_starts, (entry.latest_start_ms, entry.sequence, entry))
        if len(self._latest_starts) > 2 * self.tasks + COMPACT_MIN_ENTRIES:
            self._latest_starts = [
                item for item in self._latest_starts if item[2].waiting
            ]
            heapify(self._latest_starts)

    def _charge(self, queue: TeamQueue, entry: QueueEntry) -> None:
        self._virtual_ms = max(self._virtual_ms, queue.virtual_ms)
        queue.virtual_ms += entry.work_slot_ms / queue.weight

    def _update_totals(self, entry: QueueEntry, sign: int) -> None:
        self.tasks += sign
        self.slots += sign * entry.size_slots
        self.work_slot_ms += sign * entry.work_slot_ms
        if not self.tasks:
            self.work_slot_ms = 0.0
