"""Measures processor time and latency of forwarding a job to its ticket's issuer.

For the stand-alone version: two entry hosts run only their peer services, in two
processes. Number 0 forwards jobs of several sizes to number 1, the issuer.
``python -m experiments.forward_cost run``; the last line is JSON.
"""

from gevent import monkey

if __name__ == "__main__":
    monkey.patch_all()

import json
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from subprocess import PIPE, Popen
from time import monotonic, process_time

import fire
import gevent
from gevent.pool import Pool

from rattanloom.environment import Environment
from rattanloom.job import Job, JobResult, ResultKind, Task
from rattanloom.metrics import Metrics
from rattanloom.peers.protocol import HostLoad
from rattanloom.peers.service import PeerService
from rattanloom.settings import EntrySettings, Seed
from rattanloom.timeline import Timeline
from rattanloom.timer import running_timers

ADDRESSES = ("127.0.0.1:21910", "127.0.0.1:21911")
PAYLOAD = "x" * 200
TASK_COUNTS = (1, 10, 50, 210)  # per job
FORWARDS = 1_000  # concurrent ones; a tenth as many are forwarded one by one
CONCURRENCY = 20
MS_PER_S = 1_000


class EchoJobRequests:
    """Completes each job immediately, with its tasks' payloads as outputs."""

    def submit_here(self, job: Job) -> JobResult:
        """Return a complete result."""
        outputs = tuple(task.payload for task in job.tasks)
        return JobResult(job.job_id, ResultKind.COMPLETE, outputs)


@contextmanager
def _running_host(number: int) -> Iterator[PeerService]:
    settings = EntrySettings(
        host=f"entry-{number}",
        zone="Adum",
        http_address="127.0.0.1:1",
        peer_address=ADDRESSES[number],
        platform_address="127.0.0.1:1",
        ticket_key="0123456789abcdef",
        seeds=(Seed(f"entry-{1 - number}", "Adum", ADDRESSES[1 - number]),),
    )
    environment = Environment()
    with running_timers() as timers:
        service = PeerService(
            settings,
            environment,
            timers,
            Timeline(settings.host, environment.clock),
            f"incarnation-{number}",
            HostLoad,
            lambda: 0,
            lambda version: "",
            Metrics(),
        )
        with service.serve(EchoJobRequests()):
            yield service


def serve() -> None:
    """Run the issuer until standard input closes."""
    with _running_host(1):
        gevent.get_hub().threadpool.apply(sys.stdin.read)


def run() -> None:
    """Measure jobs of each size; print a line for each, then all as a JSON list."""
    rows = []
    command = [sys.executable, "-m", "experiments.forward_cost", "serve"]
    with Popen(command, stdin=PIPE) as issuer, _running_host(0) as service:
        while not service.members():
            gevent.sleep(0.1)
        for tasks in TASK_COUNTS:
            rows.append(_measure(service, tasks))
            print(rows[-1])
        issuer.stdin.close()
    print(json.dumps(rows))


def _measure(service: PeerService, tasks: int) -> dict[str, float]:
    """Return the forwarding host's processor time per job, and the median latency.

    The latency is that of jobs forwarded one by one.
    """
    job = Job("job", "desk", (Task("crop", PAYLOAD),) * tasks, 10_000)
    latencies_ms = []

    def forward(_: int) -> None:
        started_s = monotonic()
        result = service.submit("entry-1", "incarnation-1", job)
        if len(result.outputs) != tasks:
            raise RuntimeError(f"incomplete result: {result}")
        latencies_ms.append((monotonic() - started_s) * MS_PER_S)

    forward(0)
    latencies_ms.clear()
    for number in range(FORWARDS // 10):
        forward(number)
    sequential_ms = sorted(latencies_ms)
    started_s = process_time()
    for _ in Pool(CONCURRENCY).imap_unordered(forward, range(FORWARDS)):
        pass
    core_ms = (process_time() - started_s) * MS_PER_S / FORWARDS
    return {
        "tasks": tasks,
        "asker_core_ms": round(core_ms, 3),
        "alone_p50_ms": round(sequential_ms[FORWARDS // 20], 3),
    }


if __name__ == "__main__":
    fire.Fire({"run": run, "serve": serve})
