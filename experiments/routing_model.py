"""Models entry hosts and workers in virtual time, to compare routing policies.

Each entry host chooses workers independently, from its own tasks, the slots that its
peers reported in their last heartbeats and the workers' replies. A worker without a
free slot holds an attempt for a limited time before it refuses it.
"""

from collections import defaultdict, deque
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from math import exp, log
from random import Random

from attrs import define, field, frozen

from rattanloom.platform.protocol import ListedTarget
from rattanloom.routing import TargetTiers, make_tiers, spread_owners
from rattanloom.targets.protocol import AttemptReply, AttemptState
from rattanloom.targets.state import TargetState

HOSTS_PER_ZONE = 3
WORKERS_PER_ZONE = 8
SLOTS_PER_WORKER = 8
ONE_WAY_MS = 0.25  # between hosts, and between a host and a worker of its zone
CROSS_ZONE_ONE_WAY_MS = 1.0  # between a host and a worker of another zone
SHORT_RUN_MS = (50.0, 1_000.0)  # lowest and highest
LONG_RUN_MS = (2_000.0, 5_000.0)  # lowest and highest
LONG_RUN_SHARE = 0.03  # of the tasks
JOB_TASK_COUNTS = (1, 1, 1, 2, 4, 8)  # equally likely
WARM_UP_MS = 5_000.0  # not measured
RETRY_BASE_MS = 10.0  # longest delay after a task's first refusal; doubles with each
RETRY_MAX_MS = 1_000.0


def mean_run_ms() -> float:
    """Return the expected value of ``draw_run_ms``."""
    low, high = SHORT_RUN_MS
    short_ms = (high - low) / log(high / low)
    return (1 - LONG_RUN_SHARE) * short_ms + LONG_RUN_SHARE * sum(LONG_RUN_MS) / 2


def draw_run_ms(random: Random) -> float:
    """Draw a run time: log-uniform, or uniform for the few long tasks."""
    if random.random() < LONG_RUN_SHARE:
        return random.uniform(*LONG_RUN_MS)
    low, high = (log(bound) for bound in SHORT_RUN_MS)
    return exp(random.uniform(low, high))


@define(eq=False)
class ModelJob:
    """A job of the model; it finishes with the last of ``remaining_tasks``.

    ``arrived_ms`` is an instant; ``ideal_ms`` is its shortest response time.
    """

    arrived_ms: float
    ideal_ms: float
    remaining_tasks: int


@define(eq=False)
class ModelTask:
    """A task of the model; ``is_held`` while a worker holds it for a free slot."""

    job: ModelJob
    run_ms: float
    refusals: int = 0
    is_held: bool = False


@define(eq=False)
class Host:
    """One entry host: the worker states that it tracks, and its unsent tasks."""

    name: str
    zone: str
    states: list[TargetState]
    tiers: TargetTiers = TargetTiers()
    waiting: deque[ModelTask] = field(factory=deque)


@define(eq=False)
class ModelResult:
    """What one run of the model measured after the warm-up.

    ``ratios`` are the finished jobs' response times over ideal, ``tasks`` the number
    of finished tasks, ``wasted`` the number of wasted messages.
    """

    ratios: list[float] = field(factory=list)
    tasks: int = 0
    wasted: int = 0


ChooseWorker = Callable[["Model", Host], TargetState | None]


@frozen
class Policy:
    """How hosts choose a worker.

    With ``reserve`` a host reserves a slot before it sends a task, which takes two
    more messages. A worker holds a task up to ``start_within_ms`` for a free slot.
    """

    choose: ChooseWorker
    reserve: bool = False
    start_within_ms: float = 0.0


@define(eq=False)
class Model:
    """Discrete-event simulation of ``zones`` zones for ``length_ms``.

    ``load`` is the offered work as a share of all slots. ``busy`` is the number of
    running tasks by worker, ``occupied_slots`` that of running and held tasks by host
    and worker. ``held_tasks`` are by worker, oldest first. ``owners`` has the zone
    and the owning host of each worker. ``_heap`` holds the scheduled calls: time,
    sequence number, function and arguments.
    """

    policy: Policy
    load: float
    length_ms: float
    random: Random
    zones: int
    heartbeat_ms: float
    now_ms: float = 0.0
    busy: dict[str, int] = field(factory=dict)
    occupied_slots: dict[tuple[str, str], int] = field(factory=lambda: defaultdict(int))
    held_tasks: dict[str, deque] = field(factory=lambda: defaultdict(deque))
    hosts: list[Host] = field(factory=list)
    owners: dict[str, tuple[str, str]] = field(factory=dict)
    result: ModelResult = field(factory=ModelResult)
    _heap: list = field(factory=list)
    _sequence: count = field(factory=count)

    def run(self) -> ModelResult:
        """Run the model for ``length_ms`` of virtual time."""
        self._build()
        self._on_job_arrival()
        for number, _ in enumerate(self.hosts):
            self._schedule(
                self.heartbeat_ms * number / len(self.hosts),
                self._send_heartbeat,
                number,
            )
        while self._heap and self._heap[0][0] < self.length_ms:
            self.now_ms, _, call, arguments = heappop(self._heap)
            call(*arguments)
        return self.result

    def _build(self) -> None:
        for number in range(self.zones):
            self._build_zone(f"zone-{number}")
        for host in self.hosts:
            host.states = [
                TargetState(
                    ListedTarget(name, zone, "", SLOTS_PER_WORKER, 64),
                    None,
                    owned=owner == host.name,
                )
                for name, (zone, owner) in self.owners.items()
            ]
            host.tiers = make_tiers(host.states, host.zone)

    def _build_zone(self, zone: str) -> None:
        names = [f"{zone}-worker-{n}" for n in range(WORKERS_PER_ZONE)]
        hosts = [f"{zone}-host-{n}" for n in range(HOSTS_PER_ZONE)]
        owners = spread_owners(dict.fromkeys(names, SLOTS_PER_WORKER), hosts)
        self.busy |= dict.fromkeys(names, 0)
        self.owners |= {name: (zone, owners[name]) for name in names}
        self.hosts += [Host(name, zone, []) for name in hosts]

    def _schedule(self, after_ms: float, call: Callable, *arguments: object) -> None:
        entry = (self.now_ms + after_ms, next(self._sequence), call, arguments)
        heappush(self._heap, entry)

    def _on_job_arrival(self) -> None:
        runs = [
            draw_run_ms(self.random) for _ in range(self.random.choice(JOB_TASK_COUNTS))
        ]
        job = ModelJob(self.now_ms, max(runs) + 2 * ONE_WAY_MS, len(runs))
        host = self.random.choice(self.hosts)
        host.waiting.extend(ModelTask(job, run_ms) for run_ms in runs)
        self._dispatch_waiting(host)
        mean_tasks = sum(JOB_TASK_COUNTS) / len(JOB_TASK_COUNTS)
        slots = WORKERS_PER_ZONE * SLOTS_PER_WORKER * self.zones
        mean_gap_ms = mean_run_ms() * mean_tasks / (slots * self.load)
        self._schedule(self.random.expovariate(1 / mean_gap_ms), self._on_job_arrival)

    def _send_heartbeat(self, number: int) -> None:
        """Send all other hosts the slots that a host occupies on each worker."""
        sender = self.hosts[number]
        sender_slots = [state.own_slots for state in sender.states]
        self._schedule(ONE_WAY_MS, self._on_heartbeat, sender.name, sender_slots)
        self._schedule(self.heartbeat_ms, self._send_heartbeat, number)

    def _on_heartbeat(self, sender: str, sender_slots: list[int]) -> None:
        others = [host for host in self.hosts if host.name != sender]
        for host in others:
            for state, slots in zip(host.states, sender_slots, strict=True):
                state.set_peer_slots(sender, slots)
            self._dispatch_waiting(host)

    def _dispatch_waiting(self, host: Host) -> None:
        while host.waiting:
            state = self.policy.choose(self, host)
            if state is None:
                return
            task = host.waiting.popleft()
            state.own_slots += 1
            one_way_trips = 3 if self.policy.reserve else 1
            self.result.wasted += 2 * self.policy.reserve * (self.now_ms > WARM_UP_MS)
            self._schedule(
                one_way_trips * _one_way_ms(host, state),
                self._on_attempt_received,
                host,
                state,
                task,
            )

    def _on_attempt_received(
        self, host: Host, state: TargetState, task: ModelTask
    ) -> None:
        """Start a task, or hold it up to ``start_within_ms`` for a free slot."""
        self.occupied_slots[host.name, state.name] += 1
        if self.busy[state.name] < SLOTS_PER_WORKER:
            self._start(host, state, task)
            return
        task.is_held = True
        self.held_tasks[state.name].append((host, state, task))
        self._schedule(
            self.policy.start_within_ms, self._on_hold_expired, host, state, task
        )

    def _on_hold_expired(self, host: Host, state: TargetState, task: ModelTask) -> None:
        if task.is_held:
            task.is_held = False
            self.held_tasks[state.name].remove((host, state, task))
            self.occupied_slots[host.name, state.name] -= 1
            reply = self._make_reply(host, state, AttemptState.BUSY)
            self._schedule(
                _one_way_ms(host, state), self._on_busy_reply, host, state, task, reply
            )

    def _start(self, host: Host, state: TargetState, task: ModelTask) -> None:
        task.is_held = False
        self.busy[state.name] += 1
        self._schedule(task.run_ms, self._on_run_finished, host, state, task)

    def _on_run_finished(self, host: Host, state: TargetState, task: ModelTask) -> None:
        self.busy[state.name] -= 1
        if self.held_tasks[state.name]:
            self._start(*self.held_tasks[state.name].popleft())
        self.occupied_slots[host.name, state.name] -= 1
        reply = self._make_reply(host, state, AttemptState.DONE)
        self._schedule(
            _one_way_ms(host, state), self._on_done_reply, host, state, task, reply
        )

    def _on_done_reply(
        self, host: Host, state: TargetState, task: ModelTask, reply
    ) -> None:
        state.own_slots -= 1
        state.record_reply(reply, self.now_ms)
        job = task.job
        job.remaining_tasks -= 1
        if job.arrived_ms > WARM_UP_MS:
            self.result.tasks += 1
            if not job.remaining_tasks:
                response_ms = self.now_ms - job.arrived_ms
                self.result.ratios.append(response_ms / job.ideal_ms)
        self._dispatch_waiting(host)

    def _on_busy_reply(
        self, host: Host, state: TargetState, task: ModelTask, reply
    ) -> None:
        state.own_slots -= 1
        state.record_reply(reply, self.now_ms)
        self.result.wasted += 2 * (self.now_ms > WARM_UP_MS)
        delay_ms = min(RETRY_BASE_MS * 2**task.refusals, RETRY_MAX_MS)
        task.refusals += 1
        self._schedule(self.random.uniform(0, delay_ms), self._retry, host, task)

    def _retry(self, host: Host, task: ModelTask) -> None:
        host.waiting.appendleft(task)
        self._dispatch_waiting(host)

    def _make_reply(
        self, host: Host, state: TargetState, attempt_state: AttemptState
    ) -> AttemptReply:
        return AttemptReply(
            host.name,
            attempt_state,
            slots=SLOTS_PER_WORKER,
            busy_slots=self.busy[state.name] + len(self.held_tasks[state.name]),
            sender_slots=self.occupied_slots[host.name, state.name],
        )


def _one_way_ms(host: Host, state: TargetState) -> float:
    return ONE_WAY_MS if host.zone == state.listed.zone else CROSS_ZONE_ONE_WAY_MS
