"""Queues of the tasks that wait for free capacity on a worker."""

from collections import Counter, defaultdict
from collections.abc import Iterator
from heapq import heappop, heappush
from itertools import count

from attrs import define, field

from rattanloom.placement.runs import PlacedJob, PlacedTask, TaskState
from rattanloom.scheduling.cost import DemandByLevel, JobCost, delay_cost, level_of
from rattanloom.scheduling.shares import GuaranteedShares

Entry = tuple[float, int, PlacedTask]
# Whether a level is owed its next job, and what a delay of that costs; the highest
# rank goes first.
Rank = tuple[bool, float]
# Number of a task, time and rank; no task has this number.
NO_RANK: tuple[int, float, Rank] = (-1, 0.0, (False, 0.0))
# The cost of a delay is computed again after this time, a tenth of the slack of the
# smallest jobs: a pass compares up to 24 tasks, several hundred times per second.
COST_MAX_AGE_MS = 10
# Jobs of a source over its share wait this much longer than their latest start says,
# which is more than the slack of any job.
OVER_SHARE_OFFSET_MS = 60_000
# A returned job goes before new ones whose latest start is earlier by up to a tick;
# these have equal cost as far as a decision sees it.
RETURNED_OFFSET_MS = -50
# The queues of a level, in the order in which they are served.
STARTED, ON_TIME, LATE = range(3)


@define(eq=False, repr=False)
class LevelQueues:
    """The queues of one priority level.

    An entry is a sort key, a number that keeps the order of insertion, and a task.
    Entries of tasks that no longer wait are skipped. ``ranks`` has, for each queue, the
    rank of its first task, with its number and the time for which it was computed.
    """

    queues: tuple[list[Entry], list[Entry], list[Entry]] = field(
        factory=lambda: ([], [], [])
    )
    ranks: list[tuple[int, float, Rank]] = field(factory=lambda: [NO_RANK] * 3)

    def __bool__(self) -> bool:
        """Return whether there are entries."""
        return any(self.queues)


@define(eq=False, repr=False)
class WaitingTasks:
    """Three queues of tasks for each priority level, ordered by latest start time.

    A job is late if it can no longer meet its objective. Tasks of started jobs go
    first if the job is not late or at least half of its tasks are done: giving up a
    half done job wastes capacity, and the job is submitted again. Tasks of other jobs
    that are not late follow. The remaining late tasks go last, started jobs first: in
    an overload, they would make every other task late.

    Among the first tasks of the levels, that of a level that is owed its guaranteed
    share goes first, then the one whose delay costs most per work that its job needs.
    ``_needs`` counts the entries by service and processor need (thousandths of a core).
    """

    demand: DemandByLevel = field(factory=DemandByLevel)
    shares: GuaranteedShares = field(init=False)
    _levels: dict[int, LevelQueues] = field(factory=dict)
    _numbers: Iterator[int] = field(factory=count)
    _needs: dict[str, Counter[int]] = field(factory=lambda: defaultdict(Counter))

    def __attrs_post_init__(self) -> None:
        self.shares = GuaranteedShares(self.demand)

    def add(self, task: PlacedTask, now_ms: float) -> None:
        """Add a task that is ready to start."""
        task.state = TaskState.WAITING
        task.queued_ms = now_ms
        self.put_back(task, now_ms)

    def put_back(self, task: PlacedTask, now_ms: float) -> None:
        """Add a waiting task to the queue to which it belongs now."""
        level = level_of(task.job.submitted.policy.priority)
        level_queues = self._levels.get(level)
        if level_queues is None:
            level_queues = self._levels[level] = LevelQueues()
        kind, rank = _place_of(task, now_ms)
        heappush(level_queues.queues[kind], (rank, next(self._numbers), task))
        need_millicores = task.step.need.cpu_millicores
        self._needs[task.job.submitted.policy.service][need_millicores] += 1

    def pop(self, now_ms: float) -> PlacedTask | None:
        """Remove and return the first task that is still waiting, or None.

        A task that became late since it was queued moves to the queue of late tasks.
        """
        for kind in (STARTED, ON_TIME, LATE):
            best, best_rank = None, None
            for level, level_queues in self._levels.items():
                queue = level_queues.queues[kind]
                if not queue:
                    continue
                rank = level_queues.ranks[kind]
                if rank[0] != queue[0][1] or rank[1] != now_ms:
                    if not self._settle_first(queue, kind, now_ms):
                        continue
                    rank = queue[0][1], now_ms, self._rank(level, queue, now_ms)
                    level_queues.ranks[kind] = rank
                if best is None or rank[2] > best_rank:
                    best, best_rank = queue, rank[2]
            if best is not None:
                return self._pop_first(best)
        return None

    def smallest_needs(self) -> Iterator[tuple[str, int]]:
        """Yield the services of the entries, and the smallest processor need of each.

        Their tasks may not wait any more.
        """
        for service, needs in self._needs.items():
            if needs:
                yield service, min(needs)

    def settle(self, now_ms: float) -> None:
        """Move the first tasks of the queues that belong elsewhere by now.

        These are above all the other tasks of jobs that a pass has started.
        """
        moved = []
        for level_queues in self._levels.values():
            for kind, queue in enumerate(level_queues.queues):
                while queue:
                    rank, _, task = queue[0]
                    if is_waiting(task):
                        if _place_of(task, now_ms) == (kind, rank):
                            break
                        moved.append(task)
                    self._pop_first(queue)
        for task in moved:
            self.put_back(task, now_ms)

    def _pop_first(self, queue: list[Entry]) -> PlacedTask:
        task = heappop(queue)[2]
        needs = self._needs[task.job.submitted.policy.service]
        need_millicores = task.step.need.cpu_millicores
        needs[need_millicores] -= 1
        if not needs[need_millicores]:
            del needs[need_millicores]
        return task

    def record_start(self, task: PlacedTask) -> None:
        """Count the start of a task, for the guaranteed shares of the levels."""
        waiting = [level for level, queues in self._levels.items() if queues]
        if len(waiting) > 1:
            level = level_of(task.job.submitted.policy.priority)
            self.shares.record_start(level, _work(task), waiting)
            for level_queues in self._levels.values():
                level_queues.ranks = [NO_RANK] * 3

    def _settle_first(self, queue: list[Entry], kind: int, now_ms: float) -> bool:
        """Move entries until the first one of a queue belongs there.

        Return whether there is one.
        """
        while queue:
            task = queue[0][2]
            if is_waiting(task):
                if _queue_of(task.job, now_ms) in (kind, STARTED):
                    return True
                self._pop_first(queue)
                self.put_back(task, now_ms)
            else:
                self._pop_first(queue)
        return False

    def _rank(self, level: int, queue: list[Entry], now_ms: float) -> Rank:
        """Return the rank of the first task of a queue; any if there is one level."""
        if len(self._levels) == 1:
            return False, 0.0
        job = queue[0][2].job
        is_due = self.shares.is_due(level, job.remaining_work_millicore_ms)
        return is_due, self.cost(job, now_ms)

    def cost(self, job: PlacedJob, now_ms: float) -> float:
        """Return what a delay of a job costs per work that it still needs."""
        if now_ms >= job.cost_until_ms:
            remaining_work = job.remaining_work_millicore_ms
            job.cost = delay_cost(cost_of(job), remaining_work, self.demand, now_ms)
            job.cost_until_ms = now_ms + COST_MAX_AGE_MS
        return job.cost

    def __bool__(self) -> bool:
        """Return whether there are entries; their tasks may not wait any more."""
        return any(self._levels.values())

    def __iter__(self) -> Iterator[PlacedTask]:
        """Iterate over the waiting tasks, in no particular order."""
        entries = [entry for kind in range(3) for entry in self._entries(kind)]
        return (task for _, _, task in entries if is_waiting(task))

    def _entries(self, kind: int) -> list[Entry]:
        levels = self._levels.values()
        return [entry for level in levels for entry in level.queues[kind]]

    def late_jobs(self, now_ms: float) -> list[PlacedJob]:
        """Return the late jobs with waiting tasks, in the order in which they start."""
        late = sorted(
            (_late_order(task), number, task.job)
            for _, number, task in (*self._entries(ON_TIME), *self._entries(LATE))
            if is_waiting(task) and task.job.latest_on_time_start_ms < now_ms
        )
        jobs = list(dict.fromkeys(job for _, _, job in late))
        if len({job.submitted.policy.priority for job in jobs}) > 1:
            jobs.sort(key=lambda job: (not job.started, -self.cost(job, now_ms)))
        return jobs

    def jobs_in_order(self, now_ms: float) -> list[PlacedJob]:
        """Return the jobs with waiting tasks, in the order in which they start.

        The guaranteed shares are left out, as they change with each start.
        """
        jobs = dict.fromkeys(task.job for task in self)
        return sorted(
            jobs,
            key=lambda job: (
                _queue_of(job, now_ms),
                -self.cost(job, now_ms),
                job.latest_on_time_start_ms,
            ),
        )

    def clear(self) -> None:
        """Remove all waiting tasks."""
        self._levels.clear()
        self._needs.clear()


def cost_of(job: PlacedJob) -> JobCost:
    """Return what the cost of a job's delay depends on."""
    submitted = job.submitted
    return JobCost(
        level_of(submitted.policy.priority),
        job.arrived_ms + submitted.objective_ms,
        submitted.critical_path_ms,
        submitted.work_millicore_ms,
    )


def _queue_of(job: PlacedJob, now_ms: float) -> int:
    is_late = job.latest_on_time_start_ms < now_ms
    if job.started and (not is_late or 2 * job.tasks_left <= len(job.tasks)):
        return STARTED
    return LATE if is_late else ON_TIME


def _place_of(task: PlacedTask, now_ms: float) -> tuple[int, float]:
    """Return the queue of a task, and its sort key there."""
    job = task.job
    kind = _queue_of(job, now_ms)
    if kind == LATE:
        return kind, _late_order(task)
    rank = job.latest_on_time_start_ms
    return kind, rank + job.rank_offset_ms if kind == ON_TIME else rank


def is_waiting(task: PlacedTask) -> bool:
    """Return whether a task waits for a worker; the tasks of an ended job don't."""
    return task.state is TaskState.WAITING and not task.job.ended


def _work(task: PlacedTask) -> float:
    return task.step.need.cpu_millicores * task.step.estimate_ms


def _late_order(task: PlacedTask) -> float:
    """Return the sort key of a late task; tasks of started jobs come first."""
    return task.job.latest_useful_start_ms if not task.job.started else 0.0
