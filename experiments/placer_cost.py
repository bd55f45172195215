"""Measures a placer's processor time per task, with worker stand-ins over HTTP.

The placer, a part of the daemon on the platform, runs in this process without clients
or links. ``python -m experiments.placer_cost``; the last line is one JSON object.
"""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import time  # noqa: E402
from collections.abc import Iterator  # noqa: E402
from contextlib import contextmanager  # noqa: E402
from math import inf  # noqa: E402
from pathlib import Path  # noqa: E402
from random import Random  # noqa: E402
from tempfile import TemporaryDirectory  # noqa: E402

import gevent  # noqa: E402
from attrs import asdict, define, field  # noqa: E402
from fire import Fire  # noqa: E402

from experiments.cluster import (  # noqa: E402
    Process,
    free_addresses,
    python_command,  # noqa: E402
    stop_processes,
)
from rattanloom.clock import MS_PER_S, SystemClock  # noqa: E402
from rattanloom.metrics import Metrics  # noqa: E402
from rattanloom.placement.jobs import (  # noqa: E402
    JobOutcome,
    JobPolicy,
    OutcomeKind,
    Step,
    SubmittedJob,
)
from rattanloom.placement.placer import Placer  # noqa: E402
from rattanloom.placement.workers import Resources, WorkerEntry  # noqa: E402
from rattanloom.platform.workers import WorkerClient  # noqa: E402
from standins.pool import PoolSettings  # noqa: E402
from standins.run_table import WorkerSettings  # noqa: E402

SERVICE = "commissions-desk"
TASK_MS = 60
TASKS_PER_JOB = 4
TASK_RESOURCES = Resources(14_000, 64)
TICK_MS = 50
SYNC_TIMEOUT_S = 20  # until all workers are ready


@define(eq=False)
class OutcomeCounter:
    """``OutcomeReceiver`` that counts the outcomes of jobs."""

    node: str = "entry-1"
    complete: int = 0
    others: int = 0

    def renewed_ms(self, job_id: str) -> float:
        """Return that the lease of every job is renewed all the time."""
        return inf

    def deliver(self, outcome: JobOutcome) -> None:
        """Count the outcome of a job."""
        if outcome.kind is OutcomeKind.COMPLETE:
            self.complete += 1
        else:
            self.others += 1


@define(eq=False)
class LoadGenerator:
    """Submits jobs of one step to a placer at random intervals."""

    placer: Placer
    random: Random
    outcomes: OutcomeCounter = field(factory=OutcomeCounter)

    def run(self, jobs_per_s: float, length_s: float) -> None:
        """Submit jobs for ``length_s`` at exponentially distributed intervals."""
        until_s = time.monotonic() + length_s
        while time.monotonic() < until_s:
            gevent.sleep(self.random.expovariate(jobs_per_s))
            self.placer.submit(self.outcomes, self._make_job(), ())

    def _make_job(self) -> SubmittedJob:
        spec = {
            "ms": TASK_MS,
            "cpu": TASK_RESOURCES.cpu_millicores,
            "mem_mb": TASK_RESOURCES.memory_mb,
        }
        return SubmittedJob(
            f"{self.random.getrandbits(64):016x}",
            json.dumps(spec),
            (Step(TASKS_PER_JOB, TASK_RESOURCES, TASK_MS),),
            # Priority 0, 2 attempts, slack factor 1.6, latency target 60 ms.
            JobPolicy(SERVICE, 0, 2, 1.6, 60),
            1_500,
        )


@contextmanager
def running_workers(count: int) -> Iterator[list[WorkerSettings]]:
    """Run ``count`` worker stand-ins in one process and yield their settings."""
    with TemporaryDirectory(prefix="placer-cost-") as name:
        folder = Path(name)
        control, store, *addresses = free_addresses(count + 2)
        workers = [
            WorkerSettings(f"w{number}", "a", address, address)
            for number, address in enumerate(addresses)
        ]
        settings = PoolSettings(
            control, store, SERVICE, str(folder / "history"), tuple(workers)
        )
        path = folder / "pool.json"
        path.write_text(json.dumps(asdict(settings)))
        command = python_command("standins.pool", str(path))
        process = Process("workers", "a", command, control, folder / "workers.log")
        process.start()
        try:
            yield workers
        finally:
            stop_processes([process])


def measure(workers: int, jobs_per_s: float, length_s: float) -> dict:
    """Return the placer's cost at one load as a row.

    ``cores`` and ``cpu_us_per_task`` include the generation of the load.
    """
    clock = SystemClock()
    with running_workers(workers) as worker_settings:
        placer = Placer(
            "placer-1",
            clock,
            Metrics(),
            1_000,
            lambda entry: WorkerClient(entry.worker_id, entry.address),
            lambda worker: None,
            lambda: None,
        )
        for settings in worker_settings:
            capacity = Resources(settings.cpu_millicores, settings.memory_mb)
            # 0 stands for the incarnation that responds: the stand-in's is not known.
            entry = WorkerEntry(
                settings.worker_id, 0, SERVICE, settings.listen, "a", True, capacity
            )
            placer.add_worker(entry, 1 << 40)  # any fencing token
        gevent.spawn(_tick_placer, placer)
        _await_synced(placer)
        load = LoadGenerator(placer, Random(1))
        started_s = time.process_time()
        load.run(jobs_per_s, length_s)
        cpu_s = time.process_time() - started_s
        tasks = load.outcomes.complete * TASKS_PER_JOB
        return {
            "workers": workers,
            "tasks_per_s": round(tasks / length_s),
            "not_complete": load.outcomes.others,
            "cores": round(cpu_s / length_s, 3),
            "cpu_us_per_task": round(1e6 * cpu_s / max(1, tasks)),
        }


def _tick_placer(placer: Placer) -> None:
    while True:
        gevent.sleep(TICK_MS / MS_PER_S)
        placer.tick()


def _await_synced(placer: Placer) -> None:
    with gevent.Timeout(SYNC_TIMEOUT_S):
        while any(
            worker.missed_replies or worker.state.value != "ready"
            for worker in placer.workers.values()
        ):
            gevent.sleep(TICK_MS / MS_PER_S)


def main(length_s: float = 5.0, largest_pool: int = 0) -> None:
    """Measure a small and a large pool, each nearly idle and under load.

    Also a pool of ``largest_pool`` workers, if it is given.
    """
    # The arguments are workers, jobs per second and length.
    rows = [
        measure(24, 1, length_s),
        measure(24, 37, length_s),
        measure(60, 1, length_s),
        measure(60, 70, length_s),
    ]
    if largest_pool:
        rows += [measure(largest_pool, rate, length_s) for rate in (1, 70)]
    for row in rows:
        print(row)
    print(json.dumps({"placer_cost": rows}))


if __name__ == "__main__":
    Fire(main)
