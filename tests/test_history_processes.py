"""Tests combined failures of real processes of the stand-alone version.

They guard against jobs that run twice or are wrongly reported as not run.
"""

import shutil
import signal
from pathlib import Path

import gevent
import pytest
from attrs import evolve

from experiments.cluster import ClusterLayout, running_cluster, with_host_settings
from rattanloom.callers.client import Dispatcher
from rattanloom.errors import ErrorKind, Ran
from rattanloom.job import ResultKind, Task

RULES = Path(__file__).parent.parent / "examples" / "rules"
DEADLINE_MS = 8_000
SHORT = Task("proof_crop", '{"ms": 5, "answer": "short"}', run_ms=5)
LONG = Task("proof_crop", '{"ms": 1500, "answer": "long"}', run_ms=1500)


@pytest.fixture
def cluster():
    layout = ClusterLayout(zones=("Adum", "Bantama"), hosts=1, workers=1)
    with running_cluster(with_host_settings(layout, log_level="WARNING")) as cluster:
        rules = cluster.folder / "rules"
        shutil.copytree(RULES, rules)
        cluster.publish(rules)
        cluster.await_ready()
        yield cluster


def caller_at(cluster, number):
    address = list(cluster.hosts.values())[number].address
    return Dispatcher((address,), "commissions")


def starts(cluster):
    pages = [
        cluster.get_json(worker.address, "/v1/starts")
        for worker in cluster.workers.values()
    ]
    return [start["job_id"] for page in pages for start in page]


def await_start(cluster, job_id):
    with gevent.Timeout(DEADLINE_MS / 1000):
        while job_id not in starts(cluster):
            gevent.sleep(0.02)


def test_isolated_zone_serves_and_a_job_of_its_killed_host_starts_once(
    cluster,
):
    near, far = caller_at(cluster, 0), caller_at(cluster, 1)
    cluster.switch_platform(down=True)
    cluster.isolate_zone("Adum", platform_too=True)
    jobs = [near.new_job((SHORT, SHORT), DEADLINE_MS) for _ in range(10)]
    results = [near.submit(job) for job in jobs]
    assert {result.outputs for result in results} == {("short", "short")}
    forwarded = far.submit(evolve(jobs[0], deadline_ms=500))
    assert forwarded.outcome is ResultKind.UNKNOWN
    assert forwarded.failure.effective_ran is Ran.MAY_HAVE_RUN
    cluster.reconnect_zones()

    host = next(iter(cluster.hosts.values()))
    running = near.new_job((LONG,), DEADLINE_MS)
    gevent.spawn(near.submit, running)
    await_start(cluster, running.job_id)
    host.kill()
    host.start()
    cluster.await_ready()
    for caller in (far, caller_at(cluster, 0)):
        result = caller.submit(running)
        assert result.failure.kind in (
            ErrorKind.HOME_GONE,
            ErrorKind.HOME_UNREACHABLE,
        )
        assert result.failure.effective_ran is Ran.MAY_HAVE_RUN
    assert starts(cluster).count(running.job_id) == 1


def test_resumed_issuer_starts_a_resubmitted_job_once(cluster):
    near, far = caller_at(cluster, 0), caller_at(cluster, 1)
    issuer = next(iter(cluster.hosts.values()))
    job = near.new_job((SHORT,), DEADLINE_MS)
    issuer.signal(signal.SIGSTOP)
    waiting = gevent.spawn(near.submit, job)
    gevent.sleep(0)
    forwarded = far.submit(evolve(job, deadline_ms=1_000))
    assert forwarded.failure.effective_ran is Ran.MAY_HAVE_RUN
    assert starts(cluster) == []
    issuer.signal(signal.SIGCONT)
    assert waiting.get().outcome is ResultKind.COMPLETE
    with gevent.Timeout(DEADLINE_MS / 1000):
        while far.submit(job).outcome is not ResultKind.COMPLETE:
            gevent.sleep(0.1)
    assert starts(cluster) == [job.job_id]
