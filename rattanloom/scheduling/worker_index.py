"""Index of a pool's workers by free processor, kept up to date by events.

All of it is derived from the workers. A change of a worker is only noted; the next
query records it, so that several changes cost one update. Workers without room for a
task cost a query nothing.
"""

from bisect import bisect_left, insort
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from math import inf

from attrs import define, field

from rattanloom.placement.runs import PlacedTask
from rattanloom.placement.start_limits import StartLimits
from rattanloom.placement.worker_events import WorkerState
from rattanloom.placement.workers import Resources, WorkerEntry
from rattanloom.scheduling.worker_choice import is_available, matches
from rattanloom.scheduling.worker_view import WorkerView

# A worker with this failure score or more ranks behind all others except those that
# the task avoids.
UNRELIABLE_SCORE = 1.5
# Workers are compared by the factor by which a task takes longer, in these steps.
FACTOR_STEP = 0.1

# A service and a label of a worker; the empty label stands for all of the service.
Kind = tuple[str, str]
# Whether workers are unreliable, and the step of their ``duration_ratio``.
Group = tuple[bool, int]
# The free processor (thousandths of a core) of a worker, and its number.
Room = tuple[int, int]


@define
class Membership:
    """What a worker counts for, whatever room it has; see ``WorkerIndex``."""

    zone: str
    capacity: Resources
    is_usable: bool
    is_leaving: bool


@define(eq=False, repr=False)
class IndexedWorker:
    """A worker, and what the index has recorded of it.

    ``kinds`` are those of ``entry``. ``group`` is None unless the worker is available,
    see ``is_available``.
    """

    worker: WorkerView
    entry: WorkerEntry
    kinds: tuple[Kind, ...]
    membership: Membership
    group: Group | None
    room: Room


@define(eq=False, repr=False)
class WorkerIndex:
    """The workers of a pool, which share ``limits``.

    ``mark`` must be called after each change of a worker. Times that are passed to
    queries must not decrease. ``_groups`` has the available workers, by kind and group
    and sorted by room. ``_usable`` are the workers that accept tasks or soon may again,
    except for evacuations. ``_limited`` has the end of the pause of those that pause or
    drain. ``_sizes`` counts the capacities of all workers of a kind.
    """

    limits: StartLimits
    _numbers: dict[WorkerView, int] = field(factory=dict)
    _indexed: dict[int, IndexedWorker] = field(factory=dict)
    _changed: dict[WorkerView, None] = field(factory=dict)
    _groups: dict[Kind, dict[Group, list[Room]]] = field(
        factory=lambda: defaultdict(dict)
    )
    _sizes: dict[Kind, Counter[Resources]] = field(factory=lambda: defaultdict(Counter))
    _usable: dict[int, WorkerView] = field(factory=dict)
    _usable_millicores: Counter[str] = field(factory=Counter)
    _leaving: dict[int, WorkerView] = field(factory=dict)
    _limited: dict[int, float] = field(factory=dict)
    _next_number: int = 0

    @classmethod
    def of(
        cls, workers: Iterable[WorkerView], limits: StartLimits, now_ms: float
    ) -> "WorkerIndex":
        """Return an index that is built anew."""
        index = cls(limits)
        for worker in workers:
            index.add(worker)
        index.refresh(now_ms)
        return index

    # Changes

    def add(self, worker: WorkerView) -> None:
        """Add a worker, after all others."""
        self._numbers[worker] = self._next_number
        self._next_number += 1
        self.mark(worker)

    def remove(self, worker: WorkerView) -> None:
        """Remove a worker."""
        number = self._numbers.pop(worker)
        self._changed.pop(worker, None)
        indexed = self._indexed.pop(number, None)
        if indexed is not None:
            self._withdraw_membership(number, indexed)
            self._withdraw_room(indexed)
            self._limited.pop(number, None)

    def mark(self, worker: WorkerView) -> None:
        """Note that a worker has changed."""
        self._changed[worker] = None

    def refresh(self, now_ms: float) -> None:
        """Record all changes, and the pauses that have ended."""
        if self._limited:
            for number, until_ms in self._limited.items():
                if until_ms <= now_ms:
                    self.mark(self._indexed[number].worker)
        while self._changed:
            worker, _ = self._changed.popitem()
            number = self._numbers.get(worker)
            if number is not None:
                self._update(number, worker, now_ms)

    def _update(self, number: int, worker: WorkerView, now_ms: float) -> None:
        indexed = self._indexed.get(number)
        if indexed is None or indexed.entry is not worker.entry:
            if indexed is not None:
                self._withdraw_membership(number, indexed)
                self._withdraw_room(indexed)
            indexed = self._make(number, worker, now_ms)
            self._enter_membership(number, indexed)
            self._enter_room(indexed)
        else:
            membership = _membership_of(worker, now_ms)
            if membership != indexed.membership:
                self._withdraw_membership(number, indexed)
                indexed.membership = membership
                self._enter_membership(number, indexed)
            group = _group_of(worker, now_ms)
            free_millicores = worker.runs.free.cpu_millicores
            if group != indexed.group or free_millicores != indexed.room[0]:
                self._withdraw_room(indexed)
                indexed.group, indexed.room = group, (free_millicores, number)
                self._enter_room(indexed)
        self._limited.pop(number, None)
        ends_ms = (worker.paused_until_ms, worker.drains_until_ms)
        if max(ends_ms) > now_ms:
            self._limited[number] = min(end for end in ends_ms if end > now_ms)

    def _make(self, number: int, worker: WorkerView, now_ms: float) -> IndexedWorker:
        entry = worker.entry
        kinds = dict.fromkeys((entry.service, label) for label in ("", *entry.labels))
        indexed = self._indexed[number] = IndexedWorker(
            worker,
            entry,
            tuple(kinds),
            _membership_of(worker, now_ms),
            _group_of(worker, now_ms),
            (worker.runs.free.cpu_millicores, number),
        )
        return indexed

    def _enter_membership(self, number: int, indexed: IndexedWorker) -> None:
        worker, membership = indexed.worker, indexed.membership
        for kind in indexed.kinds:
            self._sizes[kind][membership.capacity] += 1
        if membership.is_usable:
            self._usable[number] = worker
            millicores = membership.capacity.cpu_millicores
            self._usable_millicores[membership.zone] += millicores
        if membership.is_leaving:
            self._leaving[number] = worker

    def _withdraw_membership(self, number: int, indexed: IndexedWorker) -> None:
        membership = indexed.membership
        for kind in indexed.kinds:
            sizes = self._sizes[kind]
            sizes[membership.capacity] -= 1
            if not sizes[membership.capacity]:
                del sizes[membership.capacity]
        if membership.is_usable:
            millicores = membership.capacity.cpu_millicores
            self._usable_millicores[membership.zone] -= millicores
        for workers in (self._usable, self._leaving):
            workers.pop(number, None)

    def _enter_room(self, indexed: IndexedWorker) -> None:
        if indexed.group is not None:
            for kind in indexed.kinds:
                rooms = self._groups[kind].setdefault(indexed.group, [])
                insort(rooms, indexed.room)

    def _withdraw_room(self, indexed: IndexedWorker) -> None:
        if indexed.group is not None:
            for kind in indexed.kinds:
                groups = self._groups[kind]
                rooms = groups[indexed.group]
                del rooms[bisect_left(rooms, indexed.room)]
                if not rooms:
                    del groups[indexed.group]

    # Queries

    def fitting(self, task: PlacedTask, now_ms: float) -> Iterator[WorkerView]:
        """Yield the workers that accept a task and have room for it, the best first.

        The order is: reliable, fast in steps of ``FACTOR_STEP``, the least processor
        free, added first. No worker may change before the last one is taken.
        """
        self.refresh(now_ms)
        step = task.step
        groups = self._groups.get(kind_of(task), {})
        smallest = step.need.cpu_millicores, -1
        for group in sorted(groups):
            rooms = groups[group]
            for position in range(bisect_left(rooms, smallest), len(rooms)):
                worker = self._indexed[rooms[position][1]].worker
                if (
                    worker.runs.free.fits(step.need)
                    and self.limits.allows(worker)
                    and matches(task, worker)
                ):
                    yield worker

    def accepting(
        self, now_ms: float, kind: Kind | None = None, ratio_max: float = inf
    ) -> Iterator[WorkerView]:
        """Yield the workers that accept tasks, with room or not, in no order.

        Only those of a kind if one is given. Some of those whose ``duration_ratio`` is
        above ``ratio_max`` are left out.
        """
        self.refresh(now_ms)
        kinds = [kind] if kind else [name for name in self._groups if not name[1]]
        for name in kinds:
            for (_, step), rooms in self._groups.get(name, {}).items():
                if (step - 1) * FACTOR_STEP <= ratio_max:
                    for _, number in rooms:
                        worker = self._indexed[number].worker
                        if self.limits.allows(worker):
                            yield worker

    def has_room_for_any(self, needs: Iterable[tuple[str, int]], now_ms: float) -> bool:
        """Return whether a worker may have room for one of some tasks.

        ``needs`` has services and processor needs. True may be wrong, False is not.
        """
        self.refresh(now_ms)
        return any(
            rooms[-1][0] >= need_millicores
            for service, need_millicores in needs
            for rooms in self._groups.get((service, ""), {}).values()
        )

    def has_free_capacity(self, now_ms: float) -> bool:
        """Return whether any worker accepts a task now."""
        self.refresh(now_ms)
        return any(
            self.limits.allows(self._indexed[number].worker)
            for (_, label), groups in self._groups.items()
            if not label
            for rooms in groups.values()
            for _, number in rooms[bisect_left(rooms, (1, -1)) :]
        )

    def leaving(self, now_ms: float) -> Iterable[WorkerView]:
        """Return the workers that leave at a known time."""
        self.refresh(now_ms)
        return self._leaving.values()

    def tasks_without_worker(
        self, tasks: Iterable[PlacedTask], now_ms: float
    ) -> list[PlacedTask]:
        """Return the tasks that are too large for all workers of their kind.

        A task is not returned if there are no such workers.
        """
        self.refresh(now_ms)
        found = []
        for task in tasks:
            sizes = self._sizes.get(kind_of(task))
            if sizes and not any(size.fits(task.step.need) for size in sizes):
                found.append(task)
        return found

    def is_any_large_enough(self, task: PlacedTask, now_ms: float) -> bool:
        """Return whether a ready, accepting worker is large enough for a task."""
        self.refresh(now_ms)
        return any(
            worker.entry.accepting
            and worker.state is WorkerState.READY
            and worker.runs.capacity.fits(task.step.need)
            and matches(task, worker)
            for worker in self._numbers
        )

    def usable_millicores(self, now_ms: float) -> int:
        """Return the capacity of the workers that accept tasks or soon may again."""
        self.refresh(now_ms)
        return sum(
            millicores
            for zone, millicores in self._usable_millicores.items()
            if zone not in self.limits.evacuated_zones
        )

    def largest_free_millicores(self, now_ms: float) -> int:
        """Return the most that is free on a worker that accepts tasks or soon may."""
        self.refresh(now_ms)
        return max(
            (
                worker.runs.free.cpu_millicores
                for worker in self._usable.values()
                if self.limits.is_open(worker)
            ),
            default=0,
        )


def kind_of(task: PlacedTask) -> Kind:
    """Return the kind of the workers that a task requires."""
    return task.job.submitted.policy.service, task.step.required_label


def _membership_of(worker: WorkerView, now_ms: float) -> Membership:
    entry, state = worker.entry, worker.state
    return Membership(
        entry.zone,
        worker.runs.capacity,
        entry.accepting
        and worker.drains_until_ms <= now_ms
        and state in (WorkerState.SYNCING, WorkerState.READY),
        entry.leaves_at_ms is not None and not entry.accepting,
    )


def _group_of(worker: WorkerView, now_ms: float) -> Group | None:
    if not is_available(worker, now_ms):
        return None
    is_unreliable = worker.failure_score >= UNRELIABLE_SCORE
    return is_unreliable, int(worker.duration_ratio / FACTOR_STEP)
