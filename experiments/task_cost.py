"""Measures the processor time of a task's whole way, by process and by part.

Clients send jobs to a daemon whose placer is another daemon; workers and the store are
stand-ins. Several checkouts run side by side and are loaded in turn.
``python -m experiments.task_cost --help``; the last line is one JSON object.
"""

from gevent import monkey

if __name__ == "__main__":
    monkey.patch_all()

import json
import os
import signal
import sys
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from random import Random
from statistics import median

import gevent
from attrs import define, field
from fire import Fire

from experiments.cluster import Process
from rattanloom.clock import MS_PER_S
from rattanloom.ownership.records import ZONE_PREFIX
from rattanloom.platform.store import StoreClient
from soak.clients import Client
from soak.deployment import (
    PATH_PREFIX,
    ZONES,
    Daemon,
    Deployment,
    DeploymentSize,
    running_deployment,
)
from soak.history import ClientJob, History

NS_PER_S = 1e9
NS_PER_MS = 1e6
CLIENTS = 4
TASKS_PER_JOB = 4
DEADLINE_MS = 3_000.0
SPEC = json.dumps({"ms": 60, "cpu": 14_000, "mem_mb": 64, "est_ms": 60})
WARM_UP_S = 2.0
FINISH_S = 0.5  # from the last job until the processes are at rest
SAMPLES_TIMEOUT_S = 2.0
SAMPLER = Path(__file__).with_name("stack_sampler.py")
ENTRY, PLACER, OTHERS = "entry", "placer", "other daemons"
# This process; its relays carry the links of all deployments.
CLIENT = "clients and relays"


@define(eq=False)
class Checkout:
    """A checkout under measurement: its deployment and the figures of each round.

    ``task_ms`` has the processor time per task and ``rest_cores`` that without jobs,
    both by role; ``samples`` and ``rest_samples`` count the stacks of all daemons by
    part. ``sampling_s`` is the processor time of the sampling, of ``sampled_s``.
    """

    deployment: Deployment
    roles: dict[str, str]
    clients: list[Client]
    random: Random
    task_ms: list[dict[str, float]] = field(factory=list)
    rest_cores: list[dict[str, float]] = field(factory=list)
    samples: Counter[str] = field(factory=Counter)
    rest_samples: Counter[str] = field(factory=Counter)
    tasks: int = 0
    not_complete: int = 0
    sampling_s: float = 0.0
    sampled_s: float = 0.0

    def measure_load(self, jobs_per_s: float, length_s: float) -> None:
        """Send jobs at random intervals and note the processor time per task."""
        before = self._cpu_ns()
        jobs = self.send_jobs(jobs_per_s, length_s)
        used_ns = self._used_ns(before)
        complete = sum(job.is_complete for job in jobs)
        tasks = complete * TASKS_PER_JOB
        self.tasks += tasks
        self.not_complete += len(jobs) - complete
        self.task_ms.append(
            {role: ns / NS_PER_MS / max(1, tasks) for role, ns in used_ns.items()}
        )
        self._collect_samples(self.samples, used_ns)

    def measure_rest(self, length_s: float) -> None:
        """Note the cores in use without jobs."""
        before, began_s = self._cpu_ns(), time.monotonic()
        gevent.sleep(length_s)
        used_ns, elapsed_s = self._used_ns(before), time.monotonic() - began_s
        self.rest_cores.append(
            {role: ns / NS_PER_S / elapsed_s for role, ns in used_ns.items()}
        )
        self._collect_samples(self.rest_samples, used_ns)

    def send_jobs(self, jobs_per_s: float, length_s: float) -> list[ClientJob]:
        """Send jobs at random intervals; return them when all have ended."""
        until_s, jobs, sends = time.monotonic() + length_s, [], []
        while time.monotonic() < until_s:
            gevent.sleep(self.random.expovariate(jobs_per_s))
            job_id = f"{self.random.getrandbits(64):016x}"
            job = ClientJob(
                job_id, "task-cost", SPEC, TASKS_PER_JOB, DEADLINE_MS, PATH_PREFIX
            )
            jobs.append(job)
            sends.append(gevent.spawn(self.random.choice(self.clients).run_job, job))
        gevent.joinall(sends)
        gevent.sleep(FINISH_S)
        return jobs

    def discard_samples(self) -> None:
        """Start a new period of sampling."""
        for daemon in self.deployment.daemons.values():
            _take_samples(daemon)

    def _collect_samples(self, samples: Counter[str], used_ns: dict) -> None:
        for daemon in self.deployment.daemons.values():
            document = _take_samples(daemon)
            samples.update(document["samples"])
            self.sampling_s += document["own_s"]
        roles = set(self.roles.values())
        self.sampled_s += sum(used_ns[role] for role in roles) / NS_PER_S

    def _cpu_ns(self) -> dict[str, int]:
        used_ns = {
            process.name: _process_cpu_ns(process)
            for process in self.deployment.processes()
        }
        return used_ns | {CLIENT: time.process_time_ns()}

    def _used_ns(self, before: dict[str, int]) -> dict[str, int]:
        """Return the processor time since ``before`` of each role."""
        used_ns: Counter[str] = Counter()
        for name, after_ns in self._cpu_ns().items():
            standin = name if name in (CLIENT, "store") else "workers"
            used_ns[self.roles.get(name, standin)] += after_ns - before[name]
        return used_ns

    def row(self) -> dict:
        """Return the figures of all rounds."""
        return {
            "tasks": self.tasks,
            "jobs_not_complete": self.not_complete,
            "task_ms": {role: _spread(self.task_ms, role) for role in self.task_ms[0]},
            "daemons_task_ms": _spread_of(self.daemons_task_ms()),
            "rest_cores": {
                role: _spread(self.rest_cores, role) for role in self.rest_cores[0]
            },
            "parts": _shares(self.samples),
            "rest_parts": _shares(self.rest_samples),
            "sampling_share": round(self.sampling_s / self.sampled_s, 4),
        }

    def daemons_task_ms(self) -> list[float]:
        """Return the processor time per task of all daemons, for each round."""
        roles = set(self.roles.values())
        return [sum(figures[role] for role in roles) for figures in self.task_ms]


def measure(
    *checkouts: str,
    dependencies: str = "target/deps",
    workers: int = 8,
    jobs_per_s: float = 20.0,
    length_s: float = 8.0,
    rounds: int = 5,
    plot: str = "",
) -> None:
    """Print the processor time of a task and of a deployment at rest.

    Args:
        checkouts: root folders of checkouts, the base first; by default the current
            folder. All deployments run at once, but only one of them has jobs.
        dependencies: folder of the installed packages, relative to each checkout.
        workers: number of workers in each zone.
        jobs_per_s: jobs of four tasks, all in one zone.
        length_s: length of the load, and half that of the rest, in each round.
        rounds: number of rounds.
        plot: path of a PNG file for a plot of the daemons' time by part.
    """
    with ExitStack() as stack:
        measured = {
            name: stack.enter_context(
                running_checkout(Path(name).resolve(), dependencies, workers)
            )
            for name in checkouts or (".",)
        }
        for checkout in measured.values():
            checkout.send_jobs(jobs_per_s, WARM_UP_S)
        for number in range(rounds):
            names = list(measured)[:: -1 if number % 2 else 1]
            for name in names:
                measured[name].discard_samples()
                measured[name].measure_load(jobs_per_s, length_s)
                measured[name].measure_rest(length_s / 2)
    rows = {name: checkout.row() for name, checkout in measured.items()}
    for name, row in rows.items():
        print(name, *(f"  {key}: {value}" for key, value in row.items()), sep="\n")
    if plot:
        plot_parts(rows, plot)
    print(json.dumps({"task_cost": rows, "ratios": _ratios(measured)}))


@contextmanager
def running_checkout(
    folder: Path, dependencies: str, workers: int
) -> Iterator[Checkout]:
    """Run the daemons of a checkout under the sampler, with the stand-ins of this."""

    def prepare(daemon: Daemon) -> None:
        samples = str(_samples_path(daemon))
        dispatcher = str(folder / "dispatcher.py")
        # Without ``site``, as the deploy file starts it.
        daemon.command = [sys.executable, "-S", str(SAMPLER), dispatcher, samples]
        path = os.pathsep.join([str(folder), str(folder / dependencies)])
        daemon.variables = {"PYTHONPATH": path}

    random, size = Random(1), DeploymentSize(daemons=2, workers=workers)
    with running_deployment(size, random, prepare) as deployment:
        roles = _find_roles(deployment)
        entry = next(name for name, role in roles.items() if role == ENTRY)
        clients = [
            Client(ZONES[0], deployment, FixedBalancer(entry), History(), random)
            for _ in range(CLIENTS)
        ]
        yield Checkout(deployment, roles, clients, random)


@define
class FixedBalancer:
    """A load balancer that has one daemon."""

    daemon: str

    def choose(self, zone: str, random: Random) -> str:
        """Return the daemon's name."""
        return self.daemon


def _find_roles(deployment: Deployment) -> dict[str, str]:
    """Return the role of each daemon.

    The entry owns no zone, so that its jobs go to another daemon.
    """
    store = StoreClient(deployment.store.address, lambda name, word: None)
    owners = {
        row.ref.key.removeprefix(ZONE_PREFIX): json.loads(row.value)["owner"]
        for row in store.read("rattanloom").rows
        if row.ref.key.startswith(ZONE_PREFIX) and row.value
    }
    roles = dict.fromkeys(deployment.daemons, OTHERS)
    roles[owners[ZONES[0]]] = PLACER
    free = [name for name in roles if name not in owners.values()]
    entry = min(free, key=lambda name: deployment.daemons[name].zone != ZONES[0])
    roles[entry] = ENTRY
    return roles


def _process_cpu_ns(process: Process) -> int:
    text = Path(f"/proc/{process.popen.pid}/schedstat").read_text()
    return int(text.split()[0])


def _samples_path(daemon: Daemon) -> Path:
    return daemon.log_path.with_suffix(".samples")


def _take_samples(daemon: Daemon) -> dict:
    """Return a daemon's samples since the last call."""
    path = _samples_path(daemon)
    path.unlink(missing_ok=True)
    daemon.signal(signal.SIGUSR1)
    with gevent.Timeout(SAMPLES_TIMEOUT_S):
        while not path.exists():
            gevent.sleep(20 / MS_PER_S)
    return json.loads(path.read_text())


def _spread(rounds: list[dict[str, float]], role: str) -> list[float]:
    return _spread_of([figures[role] for figures in rounds])


def _spread_of(figures: list[float]) -> list[float]:
    """Return the lowest figure, the median and the highest one."""
    return [round(each, 4) for each in (min(figures), median(figures), max(figures))]


def _shares(samples: Counter[str]) -> dict[str, float]:
    total = max(1, samples.total())
    return {part: round(count / total, 3) for part, count in samples.most_common()}


def _ratios(measured: dict[str, Checkout]) -> dict[str, list[float]]:
    """Return the daemons' time per task over the base's, paired by round."""
    base, *others = measured
    base_ms = measured[base].daemons_task_ms()
    return {
        name: _spread_of(
            [
                task_ms / base_task_ms
                for task_ms, base_task_ms in zip(
                    measured[name].daemons_task_ms(), base_ms, strict=True
                )
            ]
        )
        for name in others
    }


def plot_parts(rows: dict[str, dict], path: str) -> None:
    """Plot the daemons' processor time per task by part, one bar for each checkout."""
    # Imported here: it is slow to load and only needed for this.
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 2 + len(rows)), layout="constrained")
    left_ms = dict.fromkeys(rows, 0.0)
    for part in sorted({part for row in rows.values() for part in row["parts"]}):
        widths_ms = [
            row["parts"].get(part, 0) * row["daemons_task_ms"][1]
            for row in rows.values()
        ]
        axes.barh(list(rows), widths_ms, left=list(left_ms.values()), label=part)
        left_ms = {
            name: left_ms[name] + width_ms
            for name, width_ms in zip(rows, widths_ms, strict=True)
        }
    axes.set_xlabel("processor time of all daemons (ms per task)")
    figure.legend(loc="outside lower center", ncols=5)
    figure.savefig(path)


if __name__ == "__main__":
    Fire(measure)
