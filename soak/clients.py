"""Clients of a soak (open loop, kept-alive connections) and their load balancer."""

import json
from collections.abc import Iterator
from contextlib import contextmanager
from random import Random

import gevent
from attrs import define, field, frozen
from urllib3 import HTTPConnectionPool, Timeout
from urllib3.exceptions import HTTPError, NewConnectionError

from rattanloom.clock import MS_PER_S, Clock, SystemClock
from soak.deployment import (
    CLIENTS_PORT,
    PATH_PREFIX,
    ROUTE_HOST,
    Daemon,
    Deployment,
)
from soak.history import CLIENT_LEFT, NOT_CONNECTED, ClientJob, History, Send

DEADLINE_MS = 1_500.0
# Shares of the jobs whose clients wait for long, and of those whose clients disconnect
# before the response and post the job again.
PATIENT_SHARE = 0.04
PATIENT_DEADLINE_MS = (5_000.0, 9_000.0)
LEAVING_SHARE = 0.04
LEAVES_WITHIN_MS = (20.0, 1_000.0)
# Pause before a job is sent again; the platform's clients wait as long for a response.
RESEND_MS = 1_300.0
SENDS_MAX = 3
# Sends of a job with a task that crashes its workers. Each may crash several.
CRASHING_JOB_SENDS_MAX = 8
READY_INTERVAL_MS = 1_000.0
# A daemon gets no new clients after this many failed readiness checks in a row.
FAILED_CHECKS_MAX = 2
RESEND_STATUSES = (502, 504)
# Longest wait for a response after the deadline of the request.
RESPONSE_GRACE_MS = 8_000.0


@frozen
class JobKind:
    """A kind of job: its rate, and typical number, run time and CPU of its tasks."""

    name: str
    jobs_per_s: float
    tasks: int
    length_ms: float
    cpu_millicores: int = 14_000


KINDS = (
    JobKind("proof-crop", 4.0, 6, 60.0),
    JobKind("studio-preview", 0.8, 3, 900.0),
    JobKind("colour-swatch", 12.0, 2, 200.0),
)


@define(eq=False)
class Balancer:
    """Tracks the readiness of daemons and chooses one for a client.

    ``failed_checks`` counts each daemon's consecutive failed readiness checks.
    """

    deployment: Deployment
    failed_checks: dict[str, int] = field(factory=dict)

    def run(self) -> None:
        """Check the readiness of every daemon each second, forever."""
        while True:
            for daemon in self.deployment.daemons.values():
                gevent.spawn(self._check_ready, daemon)
            gevent.sleep(READY_INTERVAL_MS / MS_PER_S)

    def _check_ready(self, daemon: Daemon) -> None:
        ready = self.deployment.is_ready(daemon)
        self.failed_checks[daemon.name] = (
            0 if ready else self.failed_checks.get(daemon.name, 0) + 1
        )

    def choose(self, zone: str, random: Random) -> str:
        """Return a ready daemon's name, preferably of this zone, or any if none is."""
        daemons = self.deployment.daemons.values()
        available = [
            daemon
            for daemon in daemons
            if self.failed_checks.get(daemon.name, 0) < FAILED_CHECKS_MAX
        ]
        same_zone = [daemon for daemon in available if daemon.zone == zone]
        return random.choice(same_zone or available or list(daemons)).name


@define(eq=False)
class Client:
    """A client that sends to one daemon until a request to that daemon fails."""

    zone: str
    deployment: Deployment
    balancer: Balancer
    history: History
    random: Random
    clock: Clock = field(factory=SystemClock)
    _daemon: str | None = None
    _pools: dict[str, HTTPConnectionPool] = field(factory=dict)

    def run_job(self, job: ClientJob) -> None:
        """Send a job until it has a final response, at most some number of times."""
        self.history.jobs[job.job_id] = job
        sends_max = CRASHING_JOB_SENDS_MAX if job.crash_index is not None else SENDS_MAX
        for _ in range(sends_max):
            send = self._send(job)
            if send.status and send.status not in RESEND_STATUSES:
                return
            gevent.sleep(RESEND_MS / MS_PER_S)

    def _send(self, job: ClientJob) -> Send:
        """Send and record one request; a failed one makes the next choose a daemon."""
        if self._daemon is None:
            self._daemon = self.balancer.choose(self.zone, self.random)
        send = Send(self._daemon, self.clock.now_ms())
        leaves_after_ms = None if job.sends else job.leaves_after_ms
        job.sends.append(send)
        try:
            with _leaving_after(leaves_after_ms):
                self._request(job, send)
        except gevent.Timeout:
            send.reason = CLIENT_LEFT
            self._daemon = None
        except NewConnectionError:
            send.reason = NOT_CONNECTED
            self._daemon = None
        except (HTTPError, ValueError) as error:
            send.reason = f"{type(error).__name__}: {error}"
            self._daemon = None
        send.answered_ms = self.clock.now_ms()
        return send

    def _request(self, job: ClientJob, send: Send) -> None:
        """Send one request and record the response."""
        response = self._pool(send.daemon).urlopen(
            "POST",
            f"{job.prefix}{job.job_id}",
            body=_body(job),
            headers=_headers(job),
            timeout=Timeout(total=(job.deadline_ms + RESPONSE_GRACE_MS) / MS_PER_S),
        )
        send.status = response.status
        send.state = json.loads(response.data).get("state", "")
        send.reason = json.loads(response.data).get("error", "")

    def _pool(self, daemon: str) -> HTTPConnectionPool:
        if daemon not in self._pools:
            ip = self.deployment.daemons[daemon].settings["ip"]
            self._pools[daemon] = HTTPConnectionPool(
                ip, CLIENTS_PORT, maxsize=4, block=False, retries=False
            )
        return self._pools[daemon]


@contextmanager
def _leaving_after(leaves_after_ms: float | None) -> Iterator[None]:
    """Raise ``gevent.Timeout`` in the block after a time, never if it is None."""
    timeout_s = None if leaves_after_ms is None else leaves_after_ms / MS_PER_S
    with gevent.Timeout(timeout_s):
        yield


def _headers(job: ClientJob) -> dict[str, str]:
    return {
        "Host": ROUTE_HOST,
        "Content-Type": "application/json",
        "Deadline-Ms": str(int(job.deadline_ms)),
    }


def _body(job: ClientJob) -> bytes:
    spec = json.loads(job.spec)
    step = {
        "count": job.count,
        "cpu": spec["cpu"],
        "mem_mb": spec["mem_mb"],
        "est_ms": spec["est_ms"],
    }
    document = {"spec": job.spec, "steps": [step], "best_effort": True}
    return json.dumps(document).encode()


@define(eq=False)
class Traffic:
    """Sends jobs of each kind at the kind's rate, each by a random client.

    ``crashing_share`` of them have one task that crashes its workers.
    """

    clients: list[Client]
    random: Random
    crashing_share: float = 0.0
    jobs: list[gevent.Greenlet] = field(factory=list)

    def run(self) -> None:
        """Send jobs until killed."""
        arrivals = [gevent.spawn(self._send_jobs, kind) for kind in KINDS]
        try:
            gevent.joinall(arrivals)
        finally:
            gevent.killall(arrivals)

    def _send_jobs(self, kind: JobKind) -> None:
        while True:
            gevent.sleep(self.random.expovariate(kind.jobs_per_s))
            client = self.random.choice(self.clients)
            job = self._make_job(kind)
            self.jobs.append(gevent.spawn(client.run_job, job))

    def _make_job(self, kind: JobKind) -> ClientJob:
        random = self.random
        length_ms = kind.length_ms * random.lognormvariate(0, 0.3)
        spec = {
            "ms": round(length_ms, 1),
            "cpu": round(kind.cpu_millicores * random.uniform(0.8, 1.2)),
            "mem_mb": 64,
            "est_ms": max(1, round(length_ms * random.uniform(0.6, 1.4))),
        }
        count = max(1, round(kind.tasks * random.uniform(0.5, 1.5)))
        if self.crashing_share and random.random() < self.crashing_share:
            spec["crash_index"] = random.randrange(count)
        job_id = f"{random.getrandbits(64):016x}"
        job = ClientJob(
            job_id, kind.name, json.dumps(spec), count, DEADLINE_MS, PATH_PREFIX
        )
        if random.random() < PATIENT_SHARE:
            job.deadline_ms = random.uniform(*PATIENT_DEADLINE_MS)
        if random.random() < LEAVING_SHARE:
            job.leaves_after_ms = random.uniform(*LEAVES_WITHIN_MS)
        return job
