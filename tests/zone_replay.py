"""Replays the demand of three zones in virtual time against the choice of zones.

Each zone starts tasks in the order of their latest start on time, late ones last, as a
placer does. Reports are sent every 100 ms.
"""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from math import pi, sin
from random import Random

from attrs import define, field

from rattanloom.placement.jobs import JobPolicy, Step, SubmittedJob
from rattanloom.placement.workers import Resources
from rattanloom.scheduling.zone_choice import PlacerChoice
from rattanloom.scheduling.zone_load import DemandMeter, ZoneLoad, merge_loads

NEED = Resources(16_000, 64)
SLOTS, DAEMONS, LINK_MS, DETOUR_MS = 140, 11, 0.5, 1.5
CLIENT_WAITS_MS = 1_540
# Tasks, run time, priority and share of jobs of each kind.
KINDS = ((8, 60, 0, 0.24), (2, 200, 1, 0.72), (4, 900, 2, 0.04))
SLOT_MS_PER_JOB = sum(tasks * run_ms * share for tasks, run_ms, _, share in KINDS)


@define(eq=False)
class Job:
    """A job; ``home`` is the zone of its client, ``left`` the number of open tasks."""

    submitted: SubmittedJob
    arrived_ms: float
    true_ms: float
    home: int
    left: int
    started: bool = False

    def start_limit_ms(self, is_late: bool) -> float:
        job = self.submitted
        limit_ms = job.late_limit_ms if is_late else job.objective_ms
        return self.arrived_ms + limit_ms - job.critical_path_ms


@define(eq=False)
class Zone:
    """One placer's queue and slots; ``moved_in`` counts jobs of other zones."""

    free: int
    queue: list = field(factory=list)
    late: list = field(factory=list)
    meter: DemandMeter = field(factory=DemandMeter)
    moved_in: int = 0

    def pop(self, now_ms: float) -> Job | None:
        while self.queue:
            _, number, job = heappop(self.queue)
            if job.started or now_ms <= job.start_limit_ms(False):
                return job
            heappush(self.late, (job.start_limit_ms(True), number, job))
        while self.late:
            job = heappop(self.late)[2]
            if now_ms <= job.start_limit_ms(True):
                return job
        return None

    def load(self, own_sources: set[str], now_ms: float) -> ZoneLoad:
        waiting = [job.submitted for _, _, job in (*self.queue, *self.late)]
        need = NEED.cpu_millicores
        tasks = ((job.policy.priority, need * job.critical_path_ms) for job in waiting)
        return ZoneLoad(
            (self.free - len(waiting)) * need,
            SLOTS * need,
            self.meter.from_sources(own_sources, now_ms),
            merge_loads(tasks, self.meter.by_priority(now_ms)),
        )


@define(eq=False)
class Replay:
    """Plays arrivals; ``worth`` and ``asked`` have the sums by the job's home zone."""

    phases: tuple[float, ...]
    mean_load: float
    announces_load: bool
    length_ms: float = 15_000
    seed: int = 1
    now: float = 0
    zones: list[Zone] = field(factory=list)
    choices: dict[str, PlacerChoice] = field(factory=dict)
    worth: list[float] = field(factory=list)
    asked: list[int] = field(factory=list)
    _events: list = field(factory=list)
    _numbers: count = field(factory=count)

    def now_ms(self) -> float:
        return self.now

    def run(self) -> float:
        """Return the mean worth of a job."""
        random = Random(self.seed)
        names = [f"z{number}" for number in range(len(self.phases))]
        self.zones = [Zone(SLOTS) for _ in names]
        self.worth, self.asked = [0.0] * len(names), [0] * len(names)
        for number, name in enumerate(names):
            order = [name, *(other for other in names if other != name)]
            owners = {zone: zone for zone in order}
            for index in range(DAEMONS):
                self.choices[f"{number}.{index}"] = PlacerChoice(
                    self,
                    lambda owners=owners: owners,
                    owners.get,
                    daemons_in=lambda zone: DAEMONS,
                )
            self._plan_arrivals(number, random)
        for step in range(int(self.length_ms / 100)):
            for number in range(len(names)):
                self._plan(step * 100 + 30 * number, self._report, number)
        while self._events:
            self.now, _, action, arguments = heappop(self._events)
            action(*arguments)
        return sum(self.worth) / sum(self.asked)

    def _plan(self, at_ms: float, action: Callable, *arguments: object) -> None:
        heappush(self._events, (at_ms, next(self._numbers), action, arguments))

    def _plan_arrivals(self, zone: int, random: Random) -> None:
        at_ms = 0.0
        weights = [kind[3] for kind in KINDS]
        while at_ms < self.length_ms:
            swing = 1 + 0.55 * sin(2 * pi * (at_ms / 15_000 + self.phases[zone]))
            per_ms = SLOTS * self.mean_load * swing / SLOT_MS_PER_JOB
            at_ms += random.expovariate(per_ms)
            tasks, run_ms, priority, _ = random.choices(KINDS, weights)[0]
            true_ms = run_ms * random.lognormvariate(0, 0.4)
            submitted = SubmittedJob(
                f"{next(self._numbers):016x}",
                "",
                (Step(tasks, NEED, true_ms * random.choice((0.6, 1.0, 1.4))),),
                JobPolicy("s", priority, 2, 1.6, 61),
                CLIENT_WAITS_MS,
            )
            job = Job(submitted, at_ms, true_ms, zone, tasks)
            source = f"{zone}.{random.randrange(DAEMONS)}"
            self._plan(at_ms, self._arrive, source, job)

    def _arrive(self, source: str, job: Job) -> None:
        self.asked[job.home] += 1
        chosen = self.choices[source].choose(job.submitted)
        number = int(chosen.zone[1:])
        moved = number != job.home
        self.zones[number].moved_in += moved
        delay_ms = LINK_MS + DETOUR_MS * moved
        self._plan(self.now + delay_ms, self._submit, source, number, job)

    def _submit(self, source: str, number: int, job: Job) -> None:
        zone, submitted = self.zones[number], job.submitted
        work = submitted.work_millicore_ms
        zone.meter.add(source, submitted.policy.priority, work, self.now)
        for _ in range(job.left):
            entry = (job.start_limit_ms(False), next(self._numbers), job)
            heappush(zone.queue, entry)
        self._start(number)

    def _start(self, number: int) -> None:
        zone = self.zones[number]
        while zone.free:
            job = zone.pop(self.now)
            if job is None:
                return
            zone.free -= 1
            job.started = True
            self._plan(self.now + job.true_ms, self._finish, number, job)

    def _finish(self, number: int, job: Job) -> None:
        self.zones[number].free += 1
        job.left -= 1
        if not job.left:
            moved = number != job.home
            took_ms = self.now + LINK_MS + DETOUR_MS * moved - job.arrived_ms
            objective_ms = 1.6 * job.true_ms + 61
            late_ms = min(3 * objective_ms, CLIENT_WAITS_MS)
            self.worth[job.home] += (
                1.0 if took_ms <= objective_ms else 0.2 if took_ms <= late_ms else 0.0
            )
        self._start(number)

    def _report(self, number: int) -> None:
        own_sources = {f"{number}.{index}" for index in range(DAEMONS)}
        load = self.zones[number].load(own_sources, self.now)
        for choice in self.choices.values():
            if self.announces_load:
                choice.record_load(f"z{number}", load)
            else:
                choice.record_free_capacity(f"z{number}", load.free_millicores)
