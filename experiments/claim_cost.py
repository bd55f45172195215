"""Measures latency and table writes of jobs submitted by ticket and by key.

Submits jobs to entry hosts of the stand-alone version: with a ticket, to its issuer
("home" in the output) or to another host, which forwards them, and with a key, for the
first time or again.
"""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import shutil  # noqa: E402
import time  # noqa: E402
from collections.abc import Callable  # noqa: E402
from pathlib import Path  # noqa: E402

from fire import Fire  # noqa: E402
from hdrh.histogram import HdrHistogram  # noqa: E402

from experiments.cluster import Cluster, ClusterLayout, running_cluster  # noqa: E402
from rattanloom.callers.client import Dispatcher  # noqa: E402
from rattanloom.job import Job, JobResult, ResultKind, Task  # noqa: E402

RULES = Path(__file__).parent.parent / "examples" / "rules"
LATENCY_US_MAX = 60_000_000
SIGNIFICANT_DIGITS = 3
DEADLINE_MS = 5_000
PAUSE_S = 0.03  # before each job
TEAM = "commissions"
TASK = Task("proof_crop", '{"ms": 1, "answer": "a"}', run_ms=1)


def measure(
    cluster: Cluster, name: str, count: int, submit: Callable[[int], JobResult]
) -> None:
    """Submit jobs one after another; print their latency and table writes.

    The platform stand-in counts the writes to its table.
    """
    latencies = HdrHistogram(1, LATENCY_US_MAX, SIGNIFICANT_DIGITS)
    before = cluster.get_json(cluster.platform.address, "/counts")
    incomplete = 0
    for number in range(count):
        time.sleep(PAUSE_S)
        started_s = time.perf_counter()
        result = submit(number)
        latencies.record_value(int((time.perf_counter() - started_s) * 1e6))
        incomplete += result.outcome is not ResultKind.COMPLETE
    after = cluster.get_json(cluster.platform.address, "/counts")
    print(
        json.dumps(
            {
                "what": name,
                "jobs": count,
                "incomplete": incomplete,
                "median_ms": latencies.get_value_at_percentile(50) / 1000,
                "p99_ms": latencies.get_value_at_percentile(99) / 1000,
                "table_writes_per_job": (after["writes"] - before["writes"]) / count,
            }
        ),
        flush=True,
    )


def main(count: int = 300) -> None:
    """Print one JSON line for each way of submitting.

    Args:
        count: jobs of one 1 ms task for each way, one after another, 30 ms apart.
    """
    with running_cluster(ClusterLayout(hosts=1, workers=1)) as cluster:
        rules = cluster.folder / "rules"
        shutil.copytree(RULES, rules)
        cluster.publish(rules)
        cluster.await_ready()
        issuer, other = list(cluster.hosts.values())[:2]
        issuer_client = Dispatcher((issuer.address,), TEAM)
        other_client = Dispatcher((other.address,), TEAM)

        def by_ticket(_: int) -> JobResult:
            return issuer_client.submit(issuer_client.new_job((TASK,), DEADLINE_MS))

        def by_forwarded_ticket(_: int) -> JobResult:
            return other_client.submit(issuer_client.new_job((TASK,), DEADLINE_MS))

        def by_key(number: int) -> JobResult:
            return issuer_client.submit(make_keyed_job(number))

        def make_keyed_job(number: int) -> Job:
            return issuer_client.new_job((TASK,), DEADLINE_MS, key=f"key {number}")

        def by_key_again(number: int) -> JobResult:
            return other_client.submit(make_keyed_job(number))

        by_ticket(0)
        by_forwarded_ticket(0)
        measure(cluster, "ticket at its home", count, by_ticket)
        measure(cluster, "ticket at another host", count, by_forwarded_ticket)
        measure(cluster, "key, first time", count, by_key)
        measure(cluster, "key, again at another host", count, by_key_again)


if __name__ == "__main__":
    Fire(main)
