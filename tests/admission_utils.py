"""Runs a host's admission with a fake clock and simulated slots."""

from heapq import heappop, heappush
from itertools import count
from random import Random

from attrs import define, field

from rattanloom.admission import TICK_MS, Admission
from rattanloom.environment import Environment
from rattanloom.job import Job, Task
from rattanloom.metrics import Metrics
from rattanloom.queue import Capacity, QueuedTask
from rattanloom.quota import JOIN_MS
from rattanloom.rules import KindRule, Rules, TeamRule
from rattanloom.timeline import Timeline
from tests.utils import FakeClock


class FakePeers:
    """Peers whose members and loads are set by the test."""

    def __init__(self):
        self.known_members = ()
        self.reported_loads = {}

    def members(self):
        return self.known_members

    def loads(self):
        return dict(self.reported_loads)


def make_rules(**teams):
    return Rules(
        kinds={"crop": KindRule(), "long": KindRule(), "shut": KindRule(refuse="no")},
        teams=teams or {"desk": TeamRule(quota_slots=1000)},
    )


@define(eq=False)
class Bench:
    """The admission of one host with ``slots`` simulated slots.

    ``done_ms`` holds the completion times of jobs and ``refusals`` the failures of
    refused jobs, by job identifier; ``started`` and ``dropped`` hold tasks.
    """

    slots: int = 8
    rules: Rules | None = field(factory=make_rules)
    clock: FakeClock = field(factory=FakeClock)
    peers: FakePeers = field(factory=FakePeers)
    host: str = "a"
    admission: Admission = field(init=False)
    done_ms: dict = field(factory=dict)
    refusals: dict = field(factory=dict)
    dropped: list = field(factory=list)
    started: list = field(factory=list)
    _remaining: dict = field(factory=dict)
    _events: list = field(factory=list)
    _number: count = field(factory=count)

    def __attrs_post_init__(self):
        self.clock.ms = -JOIN_MS
        environment = Environment(clock=self.clock, random=Random(7))
        self.admission = Admission(
            environment,
            Timeline(self.host, self.clock),
            lambda: self.rules,
            lambda: Capacity(self.slots, self.slots, self.free_slots(), 8),
            Metrics(),
        )
        self.admission._peers = self.peers
        self.admission.on_overdue(self._drop)
        self.clock.ms = 0
        self.admission.tick()

    def free_slots(self):
        return self.slots - self.admission.load().running_slots

    def submit(self, job_id, team="desk", tasks=1, kind="crop", **options):
        """Admit a job and queue its tasks; return the refusal, if any."""
        deadline_ms = options.pop("deadline_ms", 10_000)
        task = Task(kind, **options)
        job = Job(job_id, team, (task,) * tasks, deadline_ms)
        now_ms = self.clock.now_ms()
        failure = self.admission.admit(job, now_ms + deadline_ms)
        if failure is None:
            self._remaining[job_id] = tasks
            self.admission.put(
                QueuedTask(job, index, now_ms + deadline_ms, now_ms)
                for index in range(tasks)
            )
        else:
            self.refusals[job_id] = failure
        return failure

    def take(self):
        return self.admission.take(
            lambda queued: queued.task.size_slots <= self.free_slots()
        )

    def schedule(self, at_ms, action):
        heappush(self._events, (at_ms, next(self._number), action))

    def run(self, until_ms, true_ms=lambda task: task.run_ms):
        """Run submitted jobs and scheduled actions until the clock is at ``until_ms``.

        ``true_ms(task)`` is the actual run time of a task.
        """
        tick_ms = self.clock.ms + TICK_MS
        while True:
            self._start_tasks(true_ms)
            next_ms = min(self._events[0][0] if self._events else until_ms, tick_ms)
            if next_ms >= until_ms:
                self.clock.ms = until_ms
                return
            self.clock.ms = next_ms
            if next_ms == tick_ms:
                self.admission.tick()
                tick_ms += TICK_MS
            while self._events and self._events[0][0] <= next_ms:
                heappop(self._events)[2]()

    def _start_tasks(self, true_ms):
        while (queued := self.take()) is not None:
            self.started.append(queued)
            run_ms = true_ms(queued.task)
            self.schedule(
                self.clock.ms + run_ms,
                lambda queued=queued, run_ms=run_ms: self._end(queued, run_ms),
            )

    def _end(self, queued, run_ms):
        self.admission.finished(queued, run_ms)
        job_id = queued.job.job_id
        if job_id not in self._remaining:
            return
        self._remaining[job_id] -= 1
        if not self._remaining[job_id]:
            self.done_ms[job_id] = self.clock.ms

    def _drop(self, queued):
        self.dropped.append(queued)
        self._remaining.pop(queued.job.job_id, None)
        self.admission.withdraw(queued.job.job_id)
