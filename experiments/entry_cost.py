"""Measures what jobs cost one entry host: ``python -m experiments.entry_cost``.

Runs one host of the stand-alone version and two worker stand-ins. Processor time per
job and per task start is fitted by least squares to jobs with different numbers of
short tasks, submitted at a steady rate. Memory per job is fitted to growing numbers of
running jobs, then of waiting jobs. The last line is one JSON object.
"""

if __name__ == "__main__":
    from gevent import monkey

    monkey.patch_all()

import json
from pathlib import Path
from time import monotonic, sleep

import gevent
from attrs import define
from fire import Fire
from urllib3 import HTTPConnectionPool

from experiments.bench import process_cpu_ms
from experiments.cluster import Cluster, ClusterLayout, Process, running_cluster

TEAM = "desk"
ONE_SLOT_TEAM = "waiting"  # runs one task at a time, so that its other jobs wait
KIND = "swatch"
LONG_KIND = "preview"
UNLEARNED_KIND = "unlearned"  # no task of it finishes before all are submitted
JOB_SIZES = (1, 2, 4, 8, 16)  # tasks per job
RATE_TASKS_PER_S = 200
TASK_MS = 5
LONG_MS = 8_000
LONG_DEADLINE_MS = 10_000
MEMORY_STEPS = (0, 200, 400, 800)  # submitted jobs
SLOTS = 1_000  # of each worker
KB_PER_MB = 1024
RULES = {
    "kinds": {KIND: {}, LONG_KIND: {}, UNLEARNED_KIND: {}},
    "teams": {
        TEAM: {"quota_slots": 1_000_000, "queue_max": 100_000},
        ONE_SLOT_TEAM: {"quota_slots": 1, "queue_max": 100_000},
    },
}


@define
class JobClient:
    """Submits jobs to one host with tickets fetched in advance."""

    pool: HTTPConnectionPool
    tickets: list[str]

    def fetch_tickets(self, count: int) -> None:
        """Fetch ``count`` tickets, rounded up to batches of 1000."""
        for _ in range(0, count, 1000):
            self.tickets += self._send("/v1/tickets", {"count": 1000})["tickets"]

    def submit(
        self,
        tasks: int,
        true_ms: int,
        deadline_ms: int = 5_000,
        kind: str = KIND,
        team: str = TEAM,
    ) -> dict:
        """Submit one job and return the response.

        Its tasks run for ``true_ms``, but are declared to run for ``TASK_MS``.
        """
        payload = json.dumps({"ms": true_ms})
        task = {"kind": kind, "payload": payload, "run_ms": TASK_MS}
        document = {
            "job_id": self.tickets.pop(),
            "team": team,
            "tasks": [task] * tasks,
            "deadline_ms": deadline_ms,
        }
        return self._send("/v1/jobs", document)

    def _send(self, path: str, document: dict) -> dict:
        response = self.pool.urlopen(
            "POST",
            path,
            body=json.dumps(document).encode(),
            headers={"Content-Type": "application/json"},
            retries=False,
        )
        return json.loads(response.data)


def cpu_ms_per_job(
    host: Process, client: JobClient, tasks: int, seconds: float
) -> float:
    """Return the host's processor time per job of ``tasks`` tasks.

    The idle host's processor time, measured for 1 s beforehand, is subtracted.
    """
    idle_before_ms = process_cpu_ms(host)
    gevent.sleep(1.0)
    idle_ms_per_s = process_cpu_ms(host) - idle_before_ms
    count = int(seconds * RATE_TASKS_PER_S / tasks)
    before_ms, started_s = process_cpu_ms(host), monotonic()
    jobs = []
    for number in range(count):
        gevent.sleep(
            max(0.0, started_s + number * tasks / RATE_TASKS_PER_S - monotonic())
        )
        jobs.append(gevent.spawn(client.submit, tasks, TASK_MS))
    gevent.joinall(jobs)
    elapsed_s = monotonic() - started_s
    if any(job.value["outcome"] != "complete" for job in jobs):
        raise RuntimeError("a job did not complete, so the measurement is invalid")
    used_ms = process_cpu_ms(host) - before_ms - idle_ms_per_s * elapsed_s
    return used_ms / count


def fit_line(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Return intercept and slope of a least-squares fit."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return mean_y - slope * mean_x, slope


def memory_kb(process: Process) -> int:
    """Return the resident memory of a process in KB."""
    status = Path(f"/proc/{process.popen.pid}/status").read_text()
    return int(status.split("VmRSS:")[1].split()[0])


def memory_slope(
    host: Process, client: JobClient, kind: str, team: str
) -> tuple[float, list[tuple[float, float]]]:
    """Return the memory in KB per job in progress, and the measured points.

    The jobs outlast the measurement: a running one takes ``LONG_MS``, a waiting one
    stays until its deadline.
    """
    points = [(0.0, float(memory_kb(host)))]
    jobs = []
    for step in MEMORY_STEPS[1:]:
        while len(jobs) < step:
            jobs.append(
                gevent.spawn(client.submit, 1, LONG_MS, LONG_DEADLINE_MS, kind, team)
            )
            gevent.sleep(0.002)
        gevent.sleep(0.5)
        in_progress = sum(not job.ready() for job in jobs)
        points.append((float(in_progress), float(memory_kb(host))))
    gevent.joinall(jobs)
    return fit_line(points)[1], points


def prepare_host(cluster: Cluster) -> Process:
    """Publish the rules and return the only host once it is ready."""
    rules = cluster.folder / "rules"
    rules.mkdir()
    (rules / "10-cost.json").write_text(json.dumps(RULES))
    cluster.publish(rules)
    cluster.await_ready()
    sleep(1.0)
    return next(iter(cluster.hosts.values()))


def make_client(host: Process) -> JobClient:
    """Return a client of one host, with enough tickets for all measurements."""
    address, _, port = host.address.rpartition(":")
    client = JobClient(HTTPConnectionPool(address, int(port), maxsize=1_000), [])
    client.fetch_tickets(6_000)
    return client


def main(seconds: float = 3.0) -> None:
    """Measure processor time and memory, and print them.

    Args:
        seconds: length of each run that measures processor time.
    """
    settings = {"log_level": "ERROR"}
    layout = ClusterLayout(
        zones=("Adum",), hosts=1, workers=2, slots=SLOTS, connections=2 * SLOTS
    )
    layout.host_settings.update(settings)
    with running_cluster(layout) as cluster:
        host = prepare_host(cluster)
        client = make_client(host)
        cpu_ms_per_job(host, client, 1, 1.0)
        points = [
            (float(size), cpu_ms_per_job(host, client, size, seconds))
            for size in JOB_SIZES
        ]
        job_ms, start_ms = fit_line(points)
        running_kb, running_points = memory_slope(host, client, LONG_KIND, TEAM)
        waiting_kb, waiting_points = memory_slope(
            host, client, UNLEARNED_KIND, ONE_SLOT_TEAM
        )
    for size, used_ms in points:
        print(f"jobs of {size:2.0f} tasks: {used_ms:6.2f} ms of processor each")
    print(f"fitted: {job_ms:.2f} ms a job and {start_ms:.2f} ms a task start")
    for jobs, kb in running_points:
        print(f"{jobs:5.0f} running jobs of one task: {kb / KB_PER_MB:6.1f} MB")
    for jobs, kb in waiting_points:
        print(f"{jobs:5.0f} waiting jobs of one task: {kb / KB_PER_MB:6.1f} MB")
    document = {
        "job_ms": round(job_ms, 3),
        "start_ms": round(start_ms, 3),
        "running_job_kb": round(running_kb, 1),
        "waiting_job_kb": round(waiting_kb, 1),
    }
    print(json.dumps(document))


if __name__ == "__main__":
    Fire(main)
