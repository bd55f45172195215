"""Runs a soak: traffic and a random series of faults, followed by the checks."""

import json
import shutil
import sys
from collections import Counter
from collections.abc import Iterable
from pathlib import Path
from random import Random

import gevent
from attrs import define, field, frozen

from rattanloom.clock import MS_PER_S, SystemClock
from soak.checks import ALL_CHECKS, Breach, Check, find_breaches
from soak.clients import Balancer, Client, Traffic
from soak.deployment import ZONES, Deployment, DeploymentSize, running_deployment
from soak.fault_table import FAULTS, inject
from soak.faults import FaultContext
from soak.history import History, read_runs, write_history
from soak.probes import QueueProber
from soak.regressions import REGRESSION_FAULTS, REGRESSIONS

CLIENTS_PER_ZONE = 3
# Traffic without faults before the first one and after the last one.
WARM_UP_S = 1.5
COOLDOWN_S = 8.0
# Longest wait for responses after the last job, and the time for runs to end after it.
LAST_RESPONSES_S = 10.0
SETTLE_S = 3.0
# Mean time between the starts of two faults.
FAULT_GAP_S = 1.2
KEPT_LOGS_FOLDER = "soak-failures"
DEFAULT_SIZE = DeploymentSize()


@frozen
class SoakResult:
    """The faults, jobs and violations of one soak.

    ``jobs`` and ``complete`` are numbers of jobs. ``statuses`` counts requests by HTTP
    status, which is 0 without a response.
    """

    seed: int
    faults: tuple[str, ...]
    jobs: int
    complete: int
    statuses: dict[int, int]
    breaches: tuple[Breach, ...]


@define(eq=False)
class Soak:
    """A soak on a running deployment, with faults injected for ``faults_s``."""

    deployment: Deployment
    random: Random
    faults_s: float
    fault_names: tuple[str, ...]
    cooldown_s: float = COOLDOWN_S
    history: History = field(factory=History)
    injected_faults: list[str] = field(factory=list)

    def run(self) -> None:
        """Run traffic and faults, then wait for open requests and runs to end."""
        clock = SystemClock()
        balancer = Balancer(self.deployment)
        clients = [
            Client(zone, self.deployment, balancer, self.history, self._new_random())
            for zone in ZONES
            for _ in range(CLIENTS_PER_ZONE)
        ]
        traffic = Traffic(clients, self._new_random())
        prober = QueueProber(self.deployment, self.history)
        background = [gevent.spawn(part.run) for part in (balancer, traffic, prober)]
        gevent.sleep(WARM_UP_S)
        self._inject_all(clock.now_ms() + self.faults_s * MS_PER_S, clock, traffic)
        gevent.sleep(self.cooldown_s)
        gevent.killall(background)
        gevent.joinall(traffic.jobs, timeout=LAST_RESPONSES_S)
        gevent.sleep(SETTLE_S)
        self.history.configurations = self.deployment.configurations

    def _inject_all(
        self, until_ms: float, clock: SystemClock, traffic: Traffic
    ) -> None:
        context = FaultContext(
            self.deployment, self.history, self._new_random(), traffic
        )
        running = []
        while clock.now_ms() < until_ms:
            name = self.random.choice(self.fault_names)
            kind = FAULTS[name]
            length_s = self.random.uniform(kind.shortest_s, kind.longest_s)
            self.injected_faults.append(name)
            running.append(gevent.spawn(inject, context, name, length_s))
            gevent.sleep(self.random.expovariate(1 / FAULT_GAP_S))
        for greenlet in running:
            greenlet.get()

    def _new_random(self) -> Random:
        return Random(self.random.getrandbits(64))


def play(
    seed: int,
    faults_s: float,
    fault_names: tuple[str, ...],
    kept_logs: Path | None = None,
    checks: tuple[Check, ...] = ALL_CHECKS,
    size: DeploymentSize = DEFAULT_SIZE,
    cooldown_s: float = COOLDOWN_S,
) -> SoakResult:
    """Run the soak of one seed, and copy its logs to ``kept_logs`` if a check fails."""
    random = Random(seed)
    with running_deployment(size, random) as deployment:
        soak = Soak(deployment, random, faults_s, fault_names, cooldown_s)
        soak.run()
        history = soak.history
        runs = read_runs(deployment.folder, ZONES, history.pool_kills)
        breaches = tuple(find_breaches(history, runs, checks))
        if breaches and kept_logs is not None:
            write_history(history, deployment.folder / "clients.json")
            shutil.copytree(
                deployment.folder, kept_logs / str(seed), dirs_exist_ok=True
            )
    jobs = history.jobs.values()
    statuses = Counter(send.status for job in jobs for send in job.sends)
    complete = sum(job.is_complete for job in jobs)
    return SoakResult(
        seed,
        tuple(soak.injected_faults),
        len(history.jobs),
        complete,
        dict(statuses),
        breaches,
    )


def play_seeds(
    first: int = 1,
    seeds: int = 1,
    faults_s: float = 12.0,
    only: str | tuple[str, ...] = (),
    daemons: int = DEFAULT_SIZE.daemons,
    workers: int = DEFAULT_SIZE.workers,
) -> None:
    """Run several seeds, one after the other; exit with 1 if a check fails.

    Args:
        first: the first seed.
        seeds: how many seeds.
        faults_s: for how many seconds faults are injected for each seed.
        only: names of faults, separated by commas; all if empty.
        daemons: the number of daemons in each zone.
        workers: the number of workers in each zone; each zone has its own placer if
            there are more than 64 in all.
    """
    # Fire passes several names as a tuple, and a single one as a string.
    fault_names = (only,) if isinstance(only, str) else tuple(only)
    size = DeploymentSize(daemons, workers)
    _play_all(range(first, first + seeds), faults_s, fault_names or tuple(FAULTS), size)


def play_regressions(faults_s: float = 12.0) -> None:
    """Run the seeds on which a check has failed; exit with 1 if one fails again.

    Args:
        faults_s: for how many seconds faults are injected for each seed.
    """
    _play_all(REGRESSIONS, faults_s, REGRESSION_FAULTS)


def _play_all(
    seeds: Iterable[int],
    faults_s: float,
    fault_names: tuple[str, ...],
    size: DeploymentSize = DEFAULT_SIZE,
) -> None:
    results = []
    for seed in seeds:
        result = play(seed, faults_s, fault_names, Path(KEPT_LOGS_FOLDER), size=size)
        results.append(result)
        print(f"seed {seed}: {result.complete} of {result.jobs} jobs complete,")
        print(f"  statuses {result.statuses}, faults {', '.join(result.faults)}")
        for breach in result.breaches:
            print(f"  FAILED {breach.rule}: {breach.detail}", flush=True)
    failed_seeds = [result.seed for result in results if result.breaches]
    jobs = sum(result.jobs for result in results)
    print(json.dumps({"seeds": len(results), "jobs": jobs, "broken": failed_seeds}))
    sys.exit(1 if failed_seeds else 0)
