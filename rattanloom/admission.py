"""Admission control: which jobs are accepted, and in which order their tasks run.

A job is admitted with all its tasks, or refused before any of them starts.
Refusals for lack of capacity carry a retry hint, the time after which to retry.
``fair_queue`` defines the terms.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable

from attrs import define, field

from rattanloom.environment import Environment
from rattanloom.errors import ErrorKind, Failure
from rattanloom.fair_queue import FairQueue, QueueEntry
from rattanloom.job import Job
from rattanloom.metrics import Metrics
from rattanloom.peers.protocol import HostLoad, Peers, TeamLoad
from rattanloom.queue import Capacity, QueuedTask
from rattanloom.queue_order import STRETCH, make_entries, make_entry
from rattanloom.quota import PeerView, QuotaShares, make_peer_view
from rattanloom.refusals import check_rules, check_task_sizes
from rattanloom.rules import Rules, TeamRule
from rattanloom.run_times import RunTimePredictor
from rattanloom.shedding import RetryHints, ServiceRate
from rattanloom.timeline import Timeline
from rattanloom.timer import TimerService

TICK_MS = 20.0
QUOTA_REFRESH_MS = 100.0
# Refresh interval of the quota shares while no task waits or runs.
QUOTA_IDLE_REFRESH_MS = 500.0
CAPACITY_CACHE_MS = 100.0
# Limit of the waiting tasks of all teams on this host.
QUEUE_TASKS_MAX = 20_000
# Safety factors on the predicted wait of a job, and on the time for its own work.
WAIT_MARGIN = 2.0
WORK_MARGIN = 1.25


@define(eq=False)
class RunningTask:
    """A taken task: its queue entry, and when it was taken from the queue."""

    entry: QueueEntry
    taken_at_ms: float


@define(eq=False)
class Admission:
    """Admits jobs, queues their tasks and returns them in fair order.

    ``rules()`` is called at every decision, ``capacity()`` at most once in
    ``CAPACITY_CACHE_MS``, as it iterates over every worker. For each taken task,
    exactly one of ``finished`` and ``requeue`` must be called. ``_running`` holds the
    taken tasks by the ``id`` of their ``QueuedTask``.
    """

    environment: Environment
    timeline: Timeline
    rules: Callable[[], Rules | None]
    capacity: Callable[[], Capacity]
    metrics: Metrics
    run_times: RunTimePredictor = field(factory=RunTimePredictor)
    _peers: Peers | None = None
    _queue: FairQueue = field(init=False)
    _quotas: QuotaShares = field(init=False)
    _retry_hints: RetryHints = field(init=False)
    _service_rate: ServiceRate = field(factory=ServiceRate)
    _cached_capacity: Capacity | None = None
    _capacity_cached_ms: float = float("-inf")
    _running: dict[int, RunningTask] = field(factory=dict)
    _running_slots: dict[str, int] = field(factory=lambda: defaultdict(int))
    _running_total_slots: int = 0
    _quota_refreshed_ms: float = float("-inf")
    _ready_callbacks: list[Callable[[], None]] = field(factory=list)
    _overdue_callbacks: list[Callable[[QueuedTask], None]] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        self._queue = FairQueue(self._weight)
        self._quotas = QuotaShares(
            self.timeline.process, self.environment.clock.now_ms()
        )
        self._retry_hints = RetryHints(self.environment.random)

    def start(self, peers: Peers, timers: TimerService) -> None:
        """Start the periodic ``tick``; quota shares follow the peers' loads."""
        self._peers = peers
        timers.subscribe("admission", TICK_MS, self.tick)

    def on_ready(self, callback: Callable[[], None]) -> None:
        """Call ``callback()`` whenever ``take`` may return another task.

        This is after tasks are queued, slots are released or the quota shares
        are refreshed. The callback must not block.
        """
        self._ready_callbacks.append(callback)

    def on_overdue(self, callback: Callable[[QueuedTask], None]) -> None:
        """Call ``callback(task)`` for a task that can no longer meet its deadline.

        The task is out of the queue and its current attempt was not started;
        the callback should end its job immediately. It must not block.
        """
        self._overdue_callbacks.append(callback)

    def admit(self, job: Job, deadline_at_ms: float) -> Failure | None:
        """Return None if the job is admitted, or why it is refused.

        Queues nothing: the caller passes an admitted job's tasks to ``put``.
        """
        started_ms = self.environment.clock.now_ms()
        failure = self._check(job, deadline_at_ms)
        if failure is None:
            self.metrics.count("jobs_admitted")
        else:
            self.metrics.count("jobs_refused", failure.kind.value)
        self.metrics.observe("admit", self.environment.clock.now_ms() - started_ms)
        return failure

    def put(self, tasks: Iterable[QueuedTask]) -> None:
        """Queue the tasks of one admitted job."""
        for entry in make_entries(list(tasks), self.run_times, self._service_slots()):
            self._queue.put(entry)
        self._notify_ready()

    def requeue(self, queued: QueuedTask) -> None:
        """Requeue a taken task that did not start, at the front of its team's queue."""
        running = self._release(queued)
        if running is None:
            return
        run_ms = running.entry.work_slot_ms / queued.task.size_slots
        self._queue.requeue(make_entry(queued, run_ms, 0.0))
        self._notify_ready()

    def take(self, can_place: Callable[[QueuedTask], bool]) -> QueuedTask | None:
        """Return the next task in fair order that can be placed, or None.

        Its slots count as occupied until ``finished`` or ``requeue``.
        ``can_place`` must not block.
        """
        entry = self._queue.take(self._within_quota, can_place)
        if entry is None:
            return None
        now_ms = self.environment.clock.now_ms()
        self._running[id(entry.queued_task)] = RunningTask(entry, now_ms)
        self._running_slots[entry.team] += entry.size_slots
        self._running_total_slots += entry.size_slots
        self.metrics.observe("queue_wait", now_ms - entry.queued_task.queued_at_ms)
        return entry.queued_task

    def finished(self, queued: QueuedTask, run_ms: float | None) -> None:
        """Release a taken task's slots and charge its team for the time it held them.

        ``run_ms`` is its measured run time; 0 or None if it did not run to its
        end, in which case the service rate and the run times leave it out.
        """
        running = self._release(queued)
        if running is None:
            return
        occupied_ms = self.environment.clock.now_ms() - running.taken_at_ms
        used_slot_ms = occupied_ms * queued.task.size_slots
        self._queue.adjust_charge(running.entry, used_slot_ms)
        if run_ms:
            self._service_rate.record_work(run_ms * queued.task.size_slots)
            self.run_times.learn(queued.task, run_ms)
        self._notify_ready()

    def withdraw(self, job_id: str) -> list[QueuedTask]:
        """Remove a job's waiting tasks from the queue and return them."""
        return self._queue.withdraw(job_id)

    def load(self) -> HostLoad:
        """Return this host's load by team; the field ``targets`` is left empty."""
        waiting = self._queue.waiting_teams()
        names = sorted({*waiting, *self._running_slots})
        return HostLoad(
            queued_slots=self._queue.slots,
            running_slots=self._running_total_slots,
            teams=tuple(
                TeamLoad(
                    name, self._running_slots.get(name, 0), self._queued_slots(name)
                )
                for name in names
            ),
        )

    def tick(self) -> None:
        """Sample the service rate, drop overdue tasks and refresh the quota shares."""
        now_ms = self.environment.clock.now_ms()
        self._service_rate.sample(now_ms, self._queue.tasks > 0)
        for entry in self._queue.pop_overdue(now_ms):
            self.metrics.count("tasks_overdue")
            for callback in self._overdue_callbacks:
                callback(entry.queued_task)
        active = self._queue.tasks or self._running or not self._quotas.is_joined
        refresh_ms = QUOTA_REFRESH_MS if active else QUOTA_IDLE_REFRESH_MS
        if now_ms - self._quota_refreshed_ms >= refresh_ms:
            self._quota_refreshed_ms = now_ms
            self._refresh_quotas(now_ms)

    def _check(self, job: Job, deadline_at_ms: float) -> Failure | None:
        rules = self.rules()
        if rules is None:
            return Failure(
                ErrorKind.NO_CONFIGURATION,
                "this entry host has no configuration yet; retry later",
            )
        return (
            check_rules(job, rules)
            or check_task_sizes(job, self._capacity())
            or self._check_queue_length(job, rules.teams[job.team])
            or self._check_deadline(job, rules.teams[job.team], deadline_at_ms)
        )

    def _check_queue_length(self, job: Job, rule: TeamRule) -> Failure | None:
        queue = self._queue.team_queue(job.team)
        if queue.tasks and queue.tasks + len(job.tasks) > rule.queue_max:
            return self._refusal_with_hint(
                job,
                ErrorKind.QUOTA_EXCEEDED,
                f"team {job.team} already has {queue.tasks} tasks waiting on this host",
            )
        if self._queue.tasks + len(job.tasks) > QUEUE_TASKS_MAX:
            return self._refusal_with_hint(
                job,
                ErrorKind.OVERLOADED,
                f"{self._queue.tasks} tasks are waiting on this host",
            )
        return None

    def _check_deadline(
        self, job: Job, rule: TeamRule, deadline_at_ms: float
    ) -> Failure | None:
        """Refuse the job if it is predicted to finish after its deadline.

        The predicted time is the wait plus the job's own work, or the time that the
        team's quota imposes, if longer. The wait is the shorter of the time in which
        all slots do all queued and running work, and that in which the team's share
        of the slots does the team's work due before this job. The failure is
        QUOTA_EXCEEDED if the deadline leaves time for the wait, but not for the quota.
        """
        remaining_ms = deadline_at_ms - self.environment.clock.now_ms()
        longest_run_ms, work_slot_ms = self.run_times.estimate_work(job.tasks)
        slots = self._service_slots()
        team_slots = self._team_slots(job.team, rule, slots)
        ahead_slot_ms = self._queue.work_slot_ms + self._running_remaining_slot_ms()
        ideal_ms = max(longest_run_ms, work_slot_ms / slots)
        due_ms = min(deadline_at_ms - remaining_ms + STRETCH * ideal_ms, deadline_at_ms)
        team_ahead_slot_ms = self._queue.team_queue(job.team).work_due_slot_ms(due_ms)
        wait_ms = min(
            WAIT_MARGIN * ahead_slot_ms / slots,
            WAIT_MARGIN * team_ahead_slot_ms / team_slots,
        )
        quota_time_ms = self._quota_time_ms(job.team, rule, work_slot_ms)
        own_ms = max(longest_run_ms, WORK_MARGIN * work_slot_ms / slots)
        need_ms = max(wait_ms + own_ms, quota_time_ms)
        if need_ms <= remaining_ms:
            return None
        kind = ErrorKind.DEADLINE_UNREACHABLE
        if quota_time_ms > remaining_ms >= wait_ms:
            kind = ErrorKind.QUOTA_EXCEEDED
        return self._refusal_with_hint(
            job,
            kind,
            f"the job needs about {need_ms:.0f} ms, but its deadline is in "
            f"{remaining_ms:.0f} ms",
        )

    def _running_remaining_slot_ms(self) -> float:
        """Estimate the work left in the running tasks from the mean queued task."""
        if not self._queue.tasks:
            return 0.0
        mean_slot_ms = self._queue.work_slot_ms / self._queue.tasks
        # On average, half of a running task's work is left.
        return len(self._running) * mean_slot_ms / 2

    def _team_slots(self, name: str, rule: TeamRule, slots: float) -> float:
        """Return the team's share of ``slots`` by weight, among the waiting teams."""
        weights = sum(
            queue.weight
            for other, queue in self._queue.waiting_teams().items()
            if other != name
        )
        return slots * rule.weight / (weights + rule.weight)

    def _quota_time_ms(self, name: str, rule: TeamRule, work_slot_ms: float) -> float:
        """Return the time to do the team's queued work and the job within the quota.

        It is 0 if the team has no waiting task and its quota share is not used up.
        """
        running_slots = self._running_slots.get(name, 0)
        share = self._quotas.share(name, rule.quota_slots)
        slots = max(1, share.allowed_slots)
        ahead_slot_ms = self._team_work_slot_ms(name)
        if not ahead_slot_ms and running_slots < slots:
            return 0.0
        return WORK_MARGIN * (ahead_slot_ms + work_slot_ms) / slots

    def _team_work_slot_ms(self, name: str) -> float:
        return self._queue.team_queue(name).work_slot_ms

    def _refusal_with_hint(self, job: Job, kind: ErrorKind, reason: str) -> Failure:
        _, work_slot_ms = self.run_times.estimate_work(job.tasks)
        slots = self._service_slots()
        hint_ms = self._retry_hints.hint_ms(
            work_slot_ms,
            self._queue.work_slot_ms / slots,
            slots,
            self.environment.clock.now_ms(),
        )
        return Failure(kind, f"{reason}; retry after {hint_ms} ms", hint_ms)

    def _service_slots(self) -> float:
        """Return how many slots are assumed to serve this host's queue."""
        now_ms = self.environment.clock.now_ms()
        return self._service_rate.slots(self._capacity().share_slots, now_ms)

    def _capacity(self) -> Capacity:
        """Return the capacity, cached for ``CAPACITY_CACHE_MS``."""
        now_ms = self.environment.clock.now_ms()
        if now_ms - self._capacity_cached_ms >= CAPACITY_CACHE_MS:
            self._cached_capacity = self.capacity()
            self._capacity_cached_ms = now_ms
        return self._cached_capacity

    def _weight(self, team: str) -> float:
        rule = self._team_rule(team)
        return float(rule.weight) if rule else 1.0

    def _team_rule(self, team: str) -> TeamRule | None:
        rules = self.rules()
        return rules.teams.get(team) if rules else None

    def _within_quota(self, team: str, size_slots: int) -> bool:
        """Return whether the team may start a task of this size; True if no rule."""
        rule = self._team_rule(team)
        if rule is None:
            return True
        share = self._quotas.share(team, rule.quota_slots)
        return share.permits(self._running_slots.get(team, 0), size_slots)

    def _release(self, queued: QueuedTask) -> RunningTask | None:
        running = self._running.pop(id(queued), None)
        if running is None:
            return None
        entry = running.entry
        self._running_total_slots -= entry.size_slots
        self._running_slots[entry.team] -= entry.size_slots
        if not self._running_slots[entry.team]:
            del self._running_slots[entry.team]
        return running

    def _queued_slots(self, team: str) -> int:
        return self._queue.team_queue(team).slots

    def _refresh_quotas(self, now_ms: float) -> None:
        if self._peers is None:
            view = PeerView()
        else:
            view = make_peer_view(self._peers.members(), self._peers.loads())
        demands = {}
        for name in {*self._queue.waiting_teams(), *self._running_slots}:
            rule = self._team_rule(name)
            if rule is not None:
                wanted_slots = self._running_slots.get(name, 0) + self._queued_slots(
                    name
                )
                demands[name] = (rule.quota_slots, wanted_slots)
        self._quotas.refresh(view, demands, now_ms)
        self._notify_ready()

    def _notify_ready(self) -> None:
        if self._queue.tasks:
            for callback in self._ready_callbacks:
                callback()
