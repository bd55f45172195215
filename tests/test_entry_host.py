"""Tests entry hosts as separate processes, on stand-ins.

They guard against jobs that run twice or lose their results when a job is
resubmitted to, forwarded by or left by a host that stops or is replaced.
"""

import json
import shutil
from pathlib import Path
from random import Random

import gevent
import pytest
from attrs import evolve

from experiments.cluster import ClusterLayout, running_cluster, with_host_settings
from rattanloom.callers.client import Dispatcher
from rattanloom.errors import ErrorKind, Ran
from rattanloom.job import ResultKind, Task
from tests.utils import send_random_requests

RULES = Path(__file__).parent.parent / "examples" / "rules"
STOP_WITHIN_S = 15
RANDOM_REQUESTS = 10_000
MEMORY_GROWTH_MAX_BYTES = 16_000_000
SHAPE = with_host_settings(
    ClusterLayout(zones=("Adum", "Bantama"), hosts=1, workers=1), leave_grace_ms=0
)


@pytest.fixture(scope="module")
def cluster():
    with running_cluster(SHAPE) as running:
        rules = running.folder / "rules"
        shutil.copytree(RULES, rules, ignore=shutil.ignore_patterns(".*"))
        running.publish(rules)
        running.await_ready()
        yield running


def caller(cluster, name):
    return Dispatcher((cluster.hosts[name].address,), "commissions")


def proof_task(run_ms, answer="done"):
    script = json.dumps({"ms": run_ms, "answer": answer})
    return Task("proof_crop", script, run_ms=run_ms)


def starts(cluster, job_id):
    return [
        start
        for worker in cluster.workers.values()
        for start in cluster.get_json(worker.address, "/v1/starts")
        if start["job_id"] == job_id
    ]


def wait_until(condition, within_s=10):
    with gevent.Timeout(within_s):
        while not condition():
            gevent.sleep(0.02)


def test_resubmission_through_another_host_joins_the_running_job(cluster):
    issuer, other = caller(cluster, "adum-entry-1"), caller(cluster, "bantama-entry-1")
    job = issuer.new_job((proof_task(600), proof_task(600)), 5_000)
    first = gevent.spawn(issuer.submit, job)
    wait_until(lambda: len(starts(cluster, job.job_id)) == 2)
    second = other.submit(job)
    assert second.outcome is ResultKind.COMPLETE
    assert second == first.get()
    assert len(starts(cluster, job.job_id)) == 2


def test_bad_requests_get_specific_errors_and_the_host_keeps_serving(cluster):
    issuer = caller(cluster, "adum-entry-1")
    address = cluster.hosts["adum-entry-1"].address
    good = issuer.new_job((proof_task(20),), 5_000)
    forged = evolve(good, job_id=good.job_id.replace("adum-entry-1", "adum-entry-2"))
    truncated = evolve(good, job_id=good.job_id[:-1])
    unknown = issuer.new_job((Task("no_such_kind"),), 5_000)
    kinds = [issuer.submit(job).failure.kind for job in (forged, truncated, unknown)]
    assert kinds == [
        ErrorKind.BAD_TICKET,
        ErrorKind.BAD_TICKET,
        ErrorKind.UNKNOWN_KIND,
    ]
    before_bytes = memory_bytes(cluster, address)
    host, port = address.split(":")
    send_random_requests((host, int(port)), Random(11), RANDOM_REQUESTS)
    assert issuer.submit(good).outcome is ResultKind.COMPLETE
    assert memory_bytes(cluster, address) - before_bytes < MEMORY_GROWTH_MAX_BYTES


def memory_bytes(cluster, address):
    return cluster.get_json(address, "/v1/status")["usage"]["memory_bytes"]


def test_stopping_host_responds_to_requests_that_it_forwarded(cluster):
    issuer, leaving = (
        caller(cluster, "adum-entry-1"),
        caller(cluster, "bantama-entry-1"),
    )
    job = issuer.new_job((proof_task(1_500),), 5_000)
    forwarded = gevent.spawn(leaving.submit, job)
    wait_until(lambda: starts(cluster, job.job_id))
    process = cluster.hosts["bantama-entry-1"]
    process.terminate()
    assert forwarded.get().outcome is ResultKind.COMPLETE
    assert process.wait(STOP_WITHIN_S) == 0


def test_others_return_results_and_refuse_unused_tickets_of_a_stopped_host(cluster):
    process = cluster.hosts["bantama-entry-1"]
    process.start()
    cluster.await_ready()
    stopped, other = caller(cluster, process.name), caller(cluster, "adum-entry-1")
    done = stopped.new_job((proof_task(20, "crop"),), 5_000)
    unused = stopped.new_job((proof_task(20),), 5_000)
    first = stopped.submit(done)
    process.terminate()
    assert process.wait(STOP_WITHIN_S) == 0
    assert other.submit(done) == first
    refusal = other.submit(unused)
    assert refusal.outcome is ResultKind.REFUSED
    assert refusal.failure.effective_ran is Ran.NOT_RUN
    assert len(starts(cluster, done.job_id)) == 1
    assert not starts(cluster, unused.job_id)


def test_host_replaced_while_platform_is_down_serves_with_data_of_peers(cluster):
    process = cluster.hosts["bantama-entry-1"]
    if not process.is_running:
        process.start()
        cluster.await_ready()
    cluster.switch_platform(down=True)
    process.kill()
    process.start()
    cluster.await_ready()
    replaced = caller(cluster, process.name)
    wait_until(lambda: cluster.get_json(process.address, "/v1/status")["targets"])
    result = replaced.submit(replaced.new_job((proof_task(20, "crop"),), 5_000))
    cluster.switch_platform(down=False)
    assert result.outputs == ("crop",)
