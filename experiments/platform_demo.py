"""Demonstrates the daemon on stand-ins of the platform's store and workers.

Exits 0 if all checks passed.
"""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import sys  # noqa: E402
from random import Random  # noqa: E402

import gevent  # noqa: E402
from attrs import define, field  # noqa: E402

from experiments.findings import Findings  # noqa: E402
from rattanloom.operators.trace import (  # noqa: E402
    TraceError,
    read_lines,
    trace_lines,
)
from rattanloom.platform.rows import RowRef  # noqa: E402
from rattanloom.platform.store import StoreClient  # noqa: E402
from soak.clients import Balancer, Client  # noqa: E402
from soak.deployment import (  # noqa: E402
    PATH_PREFIX,
    ZONES,
    Daemon,
    Deployment,
    DeploymentSize,
    running_deployment,
)
from soak.history import ClientJob, History  # noqa: E402
from soak.relay import pairs_between  # noqa: E402

DEADLINE_MS = 1_500.0
SERVED_WITHIN_S = 4.0
STOP_WITHIN_S = 8.0
SPEC = {"ms": 80, "cpu": 14_000, "mem_mb": 64, "est_ms": 80}


@define(eq=False)
class Demo(Findings):
    """The running deployment, the history of its jobs and the check results."""

    deployment: Deployment
    random: Random
    history: History = field(factory=History)

    def run_job(self, zone: str = ZONES[0]) -> ClientJob:
        """Send one job of four tasks as a client of a zone; return its record."""
        balancer = Balancer(self.deployment)
        client = Client(zone, self.deployment, balancer, self.history, self.random)
        job_id = f"{self.random.getrandbits(64):016x}"
        job = ClientJob(
            job_id, "proof-crop", json.dumps(SPEC), 4, DEADLINE_MS, PATH_PREFIX
        )
        client.run_job(job)
        return job

    def is_served_soon(self, zone: str = ZONES[0]) -> bool:
        """Send jobs until one is complete; return False after SERVED_WITHIN_S."""
        with gevent.Timeout(SERVED_WITHIN_S, False):
            while not self.run_job(zone).is_complete:
                gevent.sleep(0.1)
            return True
        return False

    def await_other_owner(self, former: Daemon) -> bool:
        """Return whether another daemon owns the first zone soon."""
        with gevent.Timeout(SERVED_WITHIN_S, False):
            while self.owner() is former:
                gevent.sleep(0.1)
            return True
        return False

    def trace(self, job: ClientJob) -> list[str]:
        """Return the trace of a job, merged from the logs of all daemons.

        It is empty while no log mentions the job.
        """
        paths = [str(daemon.log_path) for daemon in self.deployment.daemons.values()]
        try:
            return list(trace_lines(read_lines(paths), job.job_id))
        except TraceError:
            return []

    def await_trace_end(self, job: ClientJob) -> bool:
        """Return whether the logs have the response to a job's client soon."""
        with gevent.Timeout(SERVED_WITHIN_S, False):
            while not any("job_answered" in line for line in self.trace(job)):
                gevent.sleep(0.1)
            return True
        return False

    def owner(self) -> Daemon:
        """Return the owner of the first zone, whose placer assigns tasks to workers."""
        store = StoreClient(self.deployment.store.address, lambda name, word: None)
        wanted = RowRef("rattanloom", "", f"zone/{ZONES[0]}")
        values = [
            row.value for row in store.read("rattanloom").rows if row.ref == wanted
        ]
        return self.deployment.daemons[json.loads(values[0])["owner"]]


def serve_jobs(demo: Demo) -> ClientJob:
    """Send a job from a client of each zone."""
    print("1. Clients of every zone send a job of four tasks.")
    jobs = [demo.run_job(zone) for zone in ZONES]
    demo.expect("all are complete", all(job.is_complete for job in jobs))
    # Daemons write their logs every 100 ms; the next step kills one of them.
    demo.expect("the last one is logged", demo.await_trace_end(jobs[-1]))
    return jobs[-1]


def kill_owner(demo: Demo) -> None:
    """Kill the owner of the first zone."""
    victim = demo.owner()
    print(f"2. {victim.name}, which assigns tasks to workers, is killed.")
    victim.kill()
    demo.expect("jobs are complete again", demo.is_served_soon())
    # Another owner may serve the jobs before the killed one is replaced.
    demo.expect(
        "another daemon assigns tasks to workers", demo.await_other_owner(victim)
    )
    victim.start()
    demo.deployment.await_ready()


def stop_store(demo: Demo) -> None:
    """Take the platform's store down and send a job."""
    print("3. The platform's store is down.")
    demo.deployment.switch_store(down=True)
    demo.expect("jobs are complete", demo.run_job().is_complete)
    demo.deployment.switch_store(down=False)


def isolate_zone(demo: Demo) -> None:
    """Cut the second zone off and send jobs in all zones, then reconnect it."""
    zone = ZONES[1]
    print(f"4. {zone} is cut off from the other zones and from the store.")
    demo.deployment.conditions.blocked_pairs = pairs_between(
        *demo.deployment.split_by_zone(zone)
    )
    for each in ZONES:
        demo.expect(f"clients of {each} are served", demo.is_served_soon(each))
    demo.deployment.conditions.blocked_pairs = set()


def stop_daemon(demo: Demo) -> None:
    """Stop the owner of the first zone with SIGTERM."""
    leaving = demo.owner()
    print(f"5. {leaving.name} is stopped gracefully.")
    leaving.terminate()
    demo.expect("jobs are complete", demo.run_job(ZONES[2]).is_complete)
    demo.expect("it exits with 0", leaving.wait(STOP_WITHIN_S) == 0)


def print_trace(demo: Demo, job: ClientJob) -> None:
    """Print the trace of one job, merged from the logs of all daemons."""
    print("6. The trace of one job, from the logs of all daemons.")
    lines = demo.trace(job)
    for line in lines:
        print(f"      {line}")
    ends_with_result = bool(lines) and "job_answered" in lines[-1]
    demo.expect("it ends with the job's result", ends_with_result)


def main() -> int:
    """Run the demonstration and return its exit status."""
    random = Random(1)
    with running_deployment(DeploymentSize(daemons=2, workers=2), random) as deployment:
        demo = Demo(deployment, random)
        job = serve_jobs(demo)
        kill_owner(demo)
        stop_store(demo)
        isolate_zone(demo)
        stop_daemon(demo)
        print_trace(demo, job)
    return demo.exit_status()


if __name__ == "__main__":
    sys.exit(main())
