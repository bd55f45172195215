"""Compares processor time per task start with that of a bare urllib3 request.

A task start goes through admission and dispatch of the stand-alone version. Both run
under gevent in this process; the worker stand-in runs in another.
Run it with ``python -m experiments.start_cost --help``.
"""

if __name__ == "__main__":
    from gevent import monkey

    monkey.patch_all()

import json
import socket
import subprocess
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from cProfile import Profile
from pstats import Stats
from time import process_time

import gevent
from attrs import asdict, define
from fire import Fire
from gevent.event import Event
from gevent.pool import Pool
from urllib3 import HTTPConnectionPool

from rattanloom.admission import Admission
from rattanloom.clock import MS_PER_S
from rattanloom.dispatch import Dispatcher
from rattanloom.environment import Environment
from rattanloom.job import Job, ResultKind, Task
from rattanloom.metrics import Metrics
from rattanloom.platform.protocol import ListedTarget
from rattanloom.rules import KindRule, Rules, TeamRule
from rattanloom.settings import EntrySettings
from rattanloom.targets.directory import TargetDirectory
from rattanloom.targets.protocol import Attempt
from rattanloom.timeline import Timeline
from rattanloom.timer import running_timers

HOST = "127.0.0.1"
SLOTS = 64
CONNECTIONS_OPTION = "--connections=256"
CONCURRENCY = SLOTS  # of the bare requests
JOB_TASKS = 8
WARM_UP_TASKS = 200  # also bare requests
RUN_MS = 5
PAYLOAD = json.dumps({"ms": RUN_MS, "answer": "proof crop"})
DEADLINE_MS = 60_000
RULES = Rules(
    kinds={"proof": KindRule()},
    teams={"desk": TeamRule(quota_slots=1_000, queue_max=10_000)},
)


@define
class Cost:
    """Processor time of the sending process per bare request and per task start."""

    bare_ms: float
    start_ms: float

    @property
    def ratio(self) -> float:
        """Return the cost of a task start over that of a bare request."""
        return self.start_ms / self.bare_ms


class SingleTargetList:
    """The platform's list of workers, with one worker."""

    def __init__(self, address: str) -> None:
        """List the worker at ``address``."""
        self.listed = (ListedTarget("w", "zone", address, SLOTS, SLOTS),)

    def listed_targets(self) -> tuple[ListedTarget, ...]:
        """Return the listed worker."""
        return self.listed


class EmptyMembership:
    """The membership of an entry host without peers."""

    def members(self) -> tuple:
        """Return an empty tuple."""
        return ()

    def loads(self) -> dict:
        """Return an empty mapping."""
        return {}


@contextmanager
def worker_process() -> Iterator[str]:
    """Run one worker stand-in and yield its address."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        address = f"{HOST}:{probe.getsockname()[1]}"
    command = [sys.executable, "-m", "standins.worker", "--name=w", "--zone=zone"]
    command += [f"--address={address}", f"--slots={SLOTS}", CONNECTIONS_OPTION]
    process = subprocess.Popen(command, stderr=subprocess.DEVNULL)
    try:
        _await_port(address)
        yield address
    finally:
        process.terminate()
        process.wait()


def _await_port(address: str) -> None:
    host, _, port = address.rpartition(":")
    with gevent.Timeout(10):
        while True:
            try:
                socket.create_connection((host, int(port))).close()
                return
            except OSError:
                gevent.sleep(0.05)


def bare_requests(address: str) -> Callable[[str, int], None]:
    """Return a function that starts attempts on the worker by plain POST requests.

    Its arguments are a prefix of the attempt ids, and the number of requests.
    """
    host, _, port = address.rpartition(":")
    pool = HTTPConnectionPool(host, int(port), maxsize=CONCURRENCY)

    def send(prefix: str, number: int) -> None:
        attempt_id = f"{prefix}.{number}"
        # Attempt 1 of task 0: one slot, for which it waits up to 275 ms.
        attempt = Attempt(
            attempt_id, prefix, 0, 1, "proof", PAYLOAD, 1, RUN_MS, 275, DEADLINE_MS
        )
        path = f"/v1/attempts/{attempt_id}"
        body = json.dumps(asdict(attempt))
        response = pool.urlopen("POST", path, body=body, headers=HEADERS, retries=False)
        json.loads(response.data)

    def run(prefix: str, requests: int) -> None:
        greenlets = Pool(CONCURRENCY)
        for number in range(requests):
            greenlets.spawn(send, prefix, number)
        greenlets.join()

    return run


HEADERS = {"Content-Type": "application/json"}


@contextmanager
def dispatched_tasks(address: str) -> Iterator[Callable[[str, int], None]]:
    """Yield a function that runs tasks through admission and the dispatcher.

    Its arguments are a prefix of the job ids, and the number of tasks.
    """
    settings = EntrySettings(
        host="host",
        zone="zone",
        http_address=address,
        peer_address=address,
        platform_address=address,
        ticket_key="0123456789abcdef",
    )
    environment, metrics = Environment(), Metrics()
    timeline = Timeline("host", environment.clock)
    with running_timers() as timers:
        directory = TargetDirectory(
            settings,
            environment,
            timers,
            timeline,
            SingleTargetList(address),
            lambda: RULES,
            metrics,
        )
        admission = Admission(
            environment, timeline, lambda: RULES, directory.capacity, metrics
        )
        dispatcher = Dispatcher(
            environment, timeline, admission, directory, lambda: RULES, metrics
        )
        directory.start(EmptyMembership())
        admission.start(EmptyMembership(), timers)

        def run(prefix: str, tasks: int) -> None:
            jobs = [
                gevent.spawn(_run_job, dispatcher, admission, f"{prefix}~{number}")
                for number in range(tasks // JOB_TASKS)
            ]
            gevent.joinall(jobs, raise_error=True)

        yield run


def _run_job(dispatcher: Dispatcher, admission: Admission, job_id: str) -> None:
    task = Task("proof", PAYLOAD, run_ms=RUN_MS)
    job = Job(job_id, "desk", (task,) * JOB_TASKS, DEADLINE_MS)
    deadline_at_ms = dispatcher.environment.clock.now_ms() + DEADLINE_MS
    failure = admission.admit(job, deadline_at_ms)
    if failure is not None:
        raise RuntimeError(f"admission refused the job: {failure.reason}")
    result = dispatcher.run(job, deadline_at_ms, Event())
    if result.outcome is not ResultKind.COMPLETE:
        raise RuntimeError(f"job did not complete: {result}")


def cpu_ms_per_task(run: Callable[[str, int], None], prefix: str, tasks: int) -> float:
    """Return the processor time per task or request, after a warm-up."""
    run(f"{prefix}-warm", WARM_UP_TASKS)
    started_s = process_time()
    run(prefix, tasks)
    return (process_time() - started_s) * MS_PER_S / tasks


def measure(tasks: int = 2_000, rounds: int = 3, profile: bool = False) -> None:
    """Print the cost of a task start and that of a bare request.

    Args:
        tasks: number of tasks, and of bare requests, in each round.
        rounds: number of rounds; the lowest cost of all rounds counts.
        profile: print a profile of a further run of tasks.
    """
    with worker_process() as address, dispatched_tasks(address) as dispatch:
        bare = bare_requests(address)
        cost = Cost(float("inf"), float("inf"))
        for number in range(rounds):
            bare_ms = cpu_ms_per_task(bare, f"bare{number}", tasks)
            start_ms = cpu_ms_per_task(dispatch, f"start{number}", tasks)
            cost = Cost(min(cost.bare_ms, bare_ms), min(cost.start_ms, start_ms))
        if profile:
            with Profile() as profiler:
                dispatch("profiled", tasks)
            Stats(profiler).sort_stats("tottime").print_stats(45)
    figures = {
        "bare_ms": round(cost.bare_ms, 4),
        "start_ms": round(cost.start_ms, 4),
        "ratio": round(cost.ratio, 3),
    }
    print(json.dumps(figures))


if __name__ == "__main__":
    Fire(measure)
