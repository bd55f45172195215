"""Job mixes of the two deployments of the bench, drawn with a seeded generator."""

import json
from collections.abc import Callable, Iterator
from random import Random

from attrs import field, frozen

from rattanloom.clock import MS_PER_S

DECLARED_FACTORS = (0.3, 1.0, 1.0, 3.0)  # declared run time over the true one
LARGE_JOB_SHARE = 0.01  # of the jobs of the coop; such jobs occur on weekends
LARGE_JOB_TASKS = (60, 210)  # lowest and highest number of tasks
BURST_ARRIVAL_SHARE = 0.05  # of the arrivals of the coop
BURST_JOBS = 5
DRAWS_FOR_MEAN = 20_000


@frozen
class DrawnTask:
    """One task; its declared run time often differs from the true one."""

    kind: str
    true_ms: int
    declared_ms: int


@frozen
class DrawnJob:
    """One job of a mix.

    With ``resubmits_early`` the client resubmits the job through the next host in
    turn when it gets no response within ``experiments.load.RESUBMIT_AFTER_MS``.
    """

    team: str
    tasks: tuple[DrawnTask, ...]
    deadline_ms: int
    idempotent: bool = True
    resubmits_early: bool = False

    @property
    def work_slot_ms(self) -> int:
        """Return the true work of all tasks in slot-milliseconds."""
        return sum(task.true_ms for task in self.tasks)

    @property
    def longest_ms(self) -> int:
        """Return the true run time of the longest task."""
        return max(task.true_ms for task in self.tasks)

    def body(self, job_id: str) -> bytes:
        """Return the JSON body that submits the job; ``job_id`` is its ticket."""
        tasks = [
            {
                "kind": task.kind,
                "payload": json.dumps({"ms": task.true_ms}),
                "run_ms": task.declared_ms,
            }
            for task in self.tasks
        ]
        document = {
            "job_id": job_id,
            "team": self.team,
            "tasks": tasks,
            "deadline_ms": self.deadline_ms,
            "idempotent": self.idempotent,
        }
        return json.dumps(document).encode()


@frozen
class Mix:
    """A deployment's jobs, one-way latencies, teams and kinds of tasks.

    ``client_one_way_ms`` is between clients and entry hosts, ``worker_one_way_ms``
    between any worker and its caller, also within a zone. ``response_weight`` is that
    of the rules, and 1 minus it their ``message_weight``. ``burst_share`` of the
    arrivals are bursts of ``BURST_JOBS`` jobs.
    ``_mean_slot_ms`` caches the mean work of a job; it is empty or holds one value.
    """

    name: str
    draw: Callable[[Random], DrawnJob]
    client_one_way_ms: float
    worker_one_way_ms: float
    zones: tuple[str, ...]
    teams: tuple[str, ...]
    kinds: tuple[str, ...]
    response_weight: float
    burst_share: float = 0.0
    _mean_slot_ms: list[float] = field(factory=list)

    def mean_work_slot_ms(self) -> float:
        """Return a job's mean true work, estimated from ``DRAWS_FOR_MEAN`` draws."""
        if not self._mean_slot_ms:
            random = Random(0)
            total = sum(self.draw(random).work_slot_ms for _ in range(DRAWS_FOR_MEAN))
            self._mean_slot_ms.append(total / DRAWS_FOR_MEAN)
        return self._mean_slot_ms[0]

    def arrivals(
        self, random: Random, work_slots: float, duration_ms: float
    ) -> Iterator[tuple[float, DrawnJob]]:
        """Yield arrival times and jobs that keep ``work_slots`` slots busy on average.

        Arrivals are a Poisson process; the jobs of a burst arrive at once.
        """
        mean_jobs_per_arrival = 1 + self.burst_share * (BURST_JOBS - 1)
        mean_gap_ms = self.mean_work_slot_ms() * mean_jobs_per_arrival / work_slots
        at_ms = random.expovariate(1 / mean_gap_ms)
        while at_ms < duration_ms:
            is_burst = random.random() < self.burst_share
            for _ in range(BURST_JOBS if is_burst else 1):
                yield at_ms, self.draw(random)
            at_ms += random.expovariate(1 / mean_gap_ms)

    def rules(self) -> dict:
        """Return a rules document for the deployment."""
        team = {"quota_slots": 100_000, "queue_max": 10_000}
        return {
            "kinds": {kind: {} for kind in self.kinds},
            "teams": dict.fromkeys(self.teams, team),
            "deployment": {
                "response_weight": self.response_weight,
                "message_weight": 1 - self.response_weight,
            },
        }


def _task(random: Random, kind: str, low_ms: int, high_ms: int) -> DrawnTask:
    true_ms = random.randint(low_ms, high_ms)
    declared_ms = max(1, int(true_ms * random.choice(DECLARED_FACTORS)))
    return DrawnTask(kind, true_ms, declared_ms)


def draw_studio_job(random: Random) -> DrawnJob:
    """Draw a job of the studio: proof crops, previews or swatches."""
    team = random.choice(STUDIO_TEAMS)
    choice = random.random()
    if choice < 0.6:
        tasks = [_task(random, "proof_crop", 50, 200)] * random.randint(1, 4)
        return DrawnJob(team, tuple(tasks), 2 * MS_PER_S)
    if choice < 0.8:
        count = random.randint(1, 2)
        tasks = [_task(random, "preview", 200, 1000) for _ in range(count)]
        return DrawnJob(team, tuple(tasks), 4 * MS_PER_S)
    tasks = [_task(random, "swatch", 50, 50) for _ in range(random.randint(1, 12))]
    return DrawnJob(team, tuple(tasks), 2 * MS_PER_S)


def draw_coop_job(random: Random) -> DrawnJob:
    """Draw a job of the coop's booking service: large, or of up to three tasks.

    A tenth of the small jobs are resubmitted early, as phone clients do.
    """
    team = random.choice(COOP_TEAMS)
    if random.random() < LARGE_JOB_SHARE:
        count = random.randint(*LARGE_JOB_TASKS)
        tasks = [_task(random, "hold", 50, 300) for _ in range(count)]
        return DrawnJob(team, tuple(tasks), 20 * MS_PER_S, idempotent=False)
    kind = random.choice(("hold", "check", "confirm"))
    tasks = [_task(random, kind, 50, 300) for _ in range(random.choice((1, 1, 1, 3)))]
    return DrawnJob(
        team,
        tuple(tasks),
        4 * MS_PER_S,
        idempotent=kind == "check",
        resubmits_early=random.random() < 0.1,
    )


STUDIO_TEAMS = ("desk", "kennels", "families")
COOP_TEAMS = ("members", "organisers", "wardens")

STUDIO = Mix(
    "studio",
    draw_studio_job,
    client_one_way_ms=1.0,
    worker_one_way_ms=1.0,
    zones=("Adum", "Bantama", "Asokwa"),
    teams=STUDIO_TEAMS,
    kinds=("proof_crop", "preview", "swatch"),
    response_weight=0.8,
)
COOP = Mix(
    "coop",
    draw_coop_job,
    client_one_way_ms=3.0,
    worker_one_way_ms=1.5,
    zones=("HuronShore", "SuperiorNorth", "MichiganWest"),
    teams=COOP_TEAMS,
    kinds=("hold", "check", "confirm"),
    response_weight=0.2,
    burst_share=BURST_ARRIVAL_SHARE,
)
MIXES = {mix.name: mix for mix in (STUDIO, COOP)}
