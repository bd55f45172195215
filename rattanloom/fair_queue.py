"""Weighted fair queue: between teams by virtual time, within one by stretch.

A team is charged the slot time of each task that it starts, divided by its
weight, and the waiting team charged least goes next. The charge uses the
estimate and is corrected once the task has ended.

Within a team a task's *tag* is the time by which it would be served if every
job were slowed down by the same factor against its ideal: a short job overtakes
the later tasks of a long one, and a long one is overtaken only for a while.
"""

from collections.abc import Callable, Iterator
from heapq import heapify, heappop, heappush
from itertools import count

from attrs import define, field, frozen

from rattanloom.queue import QueuedTask

COMPACT_MIN_ENTRIES = 64
DUE_BUCKET_MS = 250.0
DUE_MIN_MS = -1e12
WORK_MIN_SLOT_MS = 0.001


@frozen
class PlacementKey:
    """What decides where a task can be placed; equal ones fit equally."""

    kind: str
    size_slots: int
    accelerator: bool
    number: int


@define(eq=False)
class QueueEntry:
    """One queued task: its tag in ms and its expected cost in slot-ms.

    Past ``latest_start_ms`` it is given up. An entry is queued only once; a
    task that is put back gets a new entry.
    """

    queued: QueuedTask
    due_ms: float
    cost_slot_ms: float
    latest_start_ms: float
    sequence: int = 0
    waiting: bool = True

    def __lt__(self, other: "Entry") -> bool:
        return (self.due_ms, self.sequence) < (other.due_ms, other.sequence)

    @property
    def team(self) -> str:
        """Return the name of the task's team."""
        return self.queued.job.team

    @property
    def size_slots(self) -> int:
        """Return the slots that the task occupies."""
        return self.queued.task.size_slots

    @property
    def due_bucket(self) -> int:
        """Return the tag rounded down, in steps of ``DUE_BUCKET_MS``."""
        return due_bucket(self.due_ms)

    @property
    def placement_key(self) -> PlacementKey:
        """Return what decides where the task can be placed."""
        task = self.queued.task
        return PlacementKey(
            task.kind, task.size_slots, task.accelerator, self.queued.number
        )


def due_bucket(due_ms: float) -> int:
    """Return a tag rounded down, in steps of ``DUE_BUCKET_MS``."""
    return int(max(due_ms, DUE_MIN_MS) // DUE_BUCKET_MS)


@define(eq=False)
class TeamQueue:
    """The waiting tasks of one team, one heap for each signature."""

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
        self._add(entry, 1)

    def remove(self, entry: QueueEntry) -> None:
        """Take an entry out; its place in the heap is reclaimed later."""
        entry.waiting = False
        self._add(entry, -1)
        self.removed += 1
        if self.removed > self.tasks + COMPACT_MIN_ENTRIES:
            self._compact()

    def work_due_slot_ms(self, due_ms: float) -> float:
        """Return the work that is served before or with a tag, in steps."""
        last_step = due_bucket(due_ms)
        return sum(
            work_slot_ms
            for step, work_slot_ms in self.work_by_due_bucket.items()
            if step <= last_step
        )

    def heads(self) -> list[QueueEntry]:
        """Return the first waiting entry of each signature, in order."""
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

    def _add(self, entry: QueueEntry, sign: int) -> None:
        self.tasks += sign
        self.slots += sign * entry.size_slots
        self.work_slot_ms += sign * entry.cost_slot_ms
        self._add_due_work(entry, sign)
        if not self.tasks:
            self.work_slot_ms = 0.0
            self.work_by_due_bucket.clear()

    def _add_due_work(self, entry: QueueEntry, sign: int) -> None:
        step = entry.due_bucket
        left_slot_ms = (
            self.work_by_due_bucket.get(step, 0.0) + sign * entry.cost_slot_ms
        )
        if left_slot_ms < WORK_MIN_SLOT_MS:
            self.work_by_due_bucket.pop(step, None)
        else:
            self.work_by_due_bucket[step] = left_slot_ms

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

    ``weight(team)`` gives a team's weight; it is asked again whenever the
    team starts waiting.
    """

    weight: Callable[[str], float]
    tasks: int = 0
    slots: int = 0
    work_slot_ms: float = 0.0
    _virtual_ms: float = 0.0
    _teams: dict[str, TeamQueue] = field(factory=dict)
    _jobs: dict[str, dict[QueueEntry, None]] = field(factory=dict)
    _deadlines: list[tuple[float, int, QueueEntry]] = field(factory=list)
    _sequence: Iterator[int] = field(factory=count)

    def put(self, entry: QueueEntry) -> None:
        """Add a task behind those of its team with smaller tags."""
        entry.sequence = next(self._sequence)
        team = self._teams.get(entry.team)
        if team is None:
            team = self._teams[entry.team] = TeamQueue()
        if not team.tasks:
            team.weight = self.weight(entry.team)
            team.virtual_ms = max(team.virtual_ms, self._virtual_ms)
        team.push(entry)
        self._count(entry, 1)
        self._jobs.setdefault(entry.queued.job.job_id, {})[entry] = None
        self._push_deadline(entry)

    def requeue(self, entry: QueueEntry) -> None:
        """Add a taken task in front of its team and return its charge."""
        entry.due_ms = float("-inf")
        self.put(entry)
        team = self._teams[entry.team]
        team.virtual_ms -= entry.cost_slot_ms / team.weight

    def take(
        self,
        allowed: Callable[[str, int], bool],
        can_place: Callable[[QueuedTask], bool],
    ) -> QueueEntry | None:
        """Remove and return the next entry that may run and has a place.

        ``allowed(team, size_slots)`` applies quotas. ``can_place`` is asked
        once for each signature.
        """
        unplaceable: set[PlacementKey] = set()
        for team in self._waiting_teams():
            for entry in team.heads():
                placement_key = entry.placement_key
                if placement_key in unplaceable or not allowed(
                    entry.team, entry.size_slots
                ):
                    continue
                if can_place(entry.queued):
                    self._charge(team, entry)
                    self.remove(entry)
                    return entry
                unplaceable.add(placement_key)
        return None

    def adjust_charge(self, entry: QueueEntry, actual_slot_ms: float) -> None:
        """Replace a taken entry's charge by what it really used."""
        team = self._teams.get(entry.team)
        if team is not None:
            team.virtual_ms += (actual_slot_ms - entry.cost_slot_ms) / team.weight

    def remove(self, entry: QueueEntry) -> None:
        """Take a waiting entry out."""
        self._teams[entry.team].remove(entry)
        self._count(entry, -1)
        entries = self._jobs[entry.queued.job.job_id]
        del entries[entry]
        if not entries:
            del self._jobs[entry.queued.job.job_id]

    def withdraw(self, job_id: str) -> list[QueuedTask]:
        """Take all waiting tasks of a job out and return them."""
        entries = self._jobs.pop(job_id, {})
        for entry in entries:
            self._teams[entry.team].remove(entry)
            self._count(entry, -1)
        return [entry.queued for entry in entries]

    def pop_overdue(self, now_ms: float) -> list[QueueEntry]:
        """Remove and return the entries whose latest start has passed."""
        overdue = []
        while self._deadlines:
            latest_ms, _, entry = self._deadlines[0]
            if entry.waiting and latest_ms > now_ms:
                break
            heappop(self._deadlines)
            if entry.waiting:
                self.remove(entry)
                overdue.append(entry)
        return overdue

    def team(self, name: str) -> TeamQueue:
        """Return a team's queue; an empty one where it has none."""
        return self._teams.get(name) or TeamQueue(weight=self.weight(name))

    def waiting_teams(self) -> dict[str, TeamQueue]:
        """Return the queues of the teams that have waiting tasks."""
        return {name: team for name, team in self._teams.items() if team.tasks}

    def _waiting_teams(self) -> list[TeamQueue]:
        waiting = [team for team in self._teams.values() if team.tasks]
        waiting.sort(key=lambda team: team.virtual_ms)
        return waiting

    def _push_deadline(self, entry: QueueEntry) -> None:
        heappush(self._deadlines, (entry.latest_start_ms, entry.sequence, entry))
        if len(self._deadlines) > 2 * self.tasks + COMPACT_MIN_ENTRIES:
            self._deadlines = [item for item in self._deadlines if item[2].waiting]
            heapify(self._deadlines)

    def _charge(self, team: TeamQueue, entry: QueueEntry) -> None:
        self._virtual_ms = max(self._virtual_ms, team.virtual_ms)
        team.virtual_ms += entry.cost_slot_ms / team.weight

    def _count(self, entry: QueueEntry, sign: int) -> None:
        self.tasks += sign
        self.slots += sign * entry.size_slots
        self.work_slot_ms += sign * entry.cost_slot_ms
        if not self.tasks:
            self.work_slot_ms = 0.0
