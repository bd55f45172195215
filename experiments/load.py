"""Open-loop load generator for the client HTTP interface of entry hosts.

``python -m experiments.load PLAN`` runs one generator process from a JSON plan
(see ``LoadPlan``) and prints its ``LoadResult`` as JSON. ``run_load`` runs several.
Jobs are sent at their planned arrival times, regardless of earlier responses, and
response times count from there. The one-way latency between clients and hosts is added
to requests and responses.
"""

if __name__ == "__main__":
    from gevent import monkey

    monkey.patch_all()

import json
import subprocess
import sys
from collections import deque
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from time import monotonic

import gevent
from attrs import asdict, define, evolve, field, frozen
from cattrs import structure
from hdrh.histogram import HdrHistogram
from urllib3 import HTTPConnectionPool, Timeout
from urllib3.exceptions import HTTPError

from experiments.baselines import RandomRouting
from experiments.load_results import (
    LATENCY_US_MAX,
    RATIO_MAX,
    RATIO_SCALE,
    SIGNIFICANT_DIGITS,
    US_PER_MS,
    LoadResult,
    add_results,
)
from experiments.mixes import MIXES, DrawnJob, Mix
from rattanloom.clock import MS_PER_S

TICKET_BATCH = 200
POOL_CONNECTIONS = 256  # kept open to each host
REQUEST_SLACK_S = 5.0  # timeout, in addition to the job's deadline if one is submitted
RESUBMIT_AFTER_MS = 500
AVOID_FAILED_HOST_MS = 1_000.0
WARM_UP_MS = 1_000.0  # excluded from ratios, offered work and goodput only
REFUSED = "refused"
COMPLETE = "complete"


@frozen
class LoadPlan:
    """The load that one generator process produces.

    ``work_slots`` is the offered work as a mean number of busy slots, out of
    ``slots``. ``start_at_s`` is on the monotonic clock; ``duration_ms`` includes the
    warm-up. If ``targets`` are set, the generator sends tasks to these workers itself
    (the baseline). Unless ``cancel_at_ms`` is 0, it cancels ``cancel_share`` of the
    jobs in progress ``cancel_at_ms`` after the start.
    """

    mix: str
    seed: int
    work_slots: float
    slots: int
    start_at_s: float
    duration_ms: float
    hosts: tuple[str, ...]
    targets: tuple[str, ...] = ()
    cancel_at_ms: float = 0.0
    cancel_share: float = 0.0


def ideal_ms(job: DrawnJob, mix: Mix, slots: int) -> float:
    """Return the shortest possible response time of a job; see docs/MEASURES.md."""
    path_ms = 2 * (mix.client_one_way_ms + mix.worker_one_way_ms)
    return path_ms + max(job.longest_ms, job.work_slot_ms / slots)


@define(eq=False)
class Host:
    """Connections to one entry host, with unused tickets that it issued."""

    address: str
    pool: HTTPConnectionPool
    tickets: deque[str] = field(factory=deque)
    avoid_until_s: float = 0.0

    def send(self, method: str, path: str, body: bytes, timeout_s: float) -> dict:
        """Send one request and return the JSON response."""
        response = self.pool.urlopen(
            method,
            path,
            body=body,
            headers={"Content-Type": "application/json"},
            retries=False,
            timeout=Timeout(timeout_s),
        )
        return json.loads(response.data)

    def next_ticket(self) -> str:
        """Return an unused ticket that this host issued."""
        if not self.tickets:
            body = json.dumps({"count": TICKET_BATCH}).encode()
            response = self.send("POST", "/v1/tickets", body, REQUEST_SLACK_S)
            self.tickets.extend(response.get("tickets", ()))
        return self.tickets.popleft()


def _pool(address: str) -> HTTPConnectionPool:
    host, _, port = address.rpartition(":")
    return HTTPConnectionPool(host, int(port), maxsize=POOL_CONNECTIONS)


@define(eq=False)
class Generator:
    """Sends the jobs of one plan and records their outcomes and latencies.

    ``baseline`` is None unless the plan has targets. ``hosts_by_ticket`` has the jobs
    in progress, with the host to which each was first submitted.
    """

    plan: LoadPlan
    mix: Mix = field(init=False)
    random: Random = field(init=False)
    hosts: list[Host] = field(init=False)
    baseline: RandomRouting | None = None
    result: LoadResult = field(factory=LoadResult)
    hosts_by_ticket: dict[str, Host] = field(factory=dict)
    _ratios: HdrHistogram = field(
        factory=lambda: HdrHistogram(1, RATIO_MAX, SIGNIFICANT_DIGITS)
    )
    _refusals: HdrHistogram = field(
        factory=lambda: HdrHistogram(1, LATENCY_US_MAX, SIGNIFICANT_DIGITS)
    )
    _lags: HdrHistogram = field(
        factory=lambda: HdrHistogram(1, LATENCY_US_MAX, SIGNIFICANT_DIGITS)
    )
    _next_host: int = 0

    def __attrs_post_init__(self) -> None:
        plan = self.plan
        self.mix = MIXES[plan.mix]
        self.random = Random(plan.seed)
        self.hosts = [Host(address, _pool(address)) for address in plan.hosts]
        self.random.shuffle(self.hosts)
        if plan.targets:
            self.baseline = RandomRouting(plan.targets, Random(plan.seed + 1))

    def run(self) -> LoadResult:
        """Send each job at its planned time and wait for all responses."""
        plan = self.plan
        arrivals = self.mix.arrivals(self.random, plan.work_slots, plan.duration_ms)
        if plan.cancel_at_ms:
            gevent.spawn_later(
                self._seconds_until(plan.cancel_at_ms), self._cancel_wave
            )
        greenlets = []
        for at_ms, job in arrivals:
            gevent.sleep(max(0.0, self._seconds_until(at_ms)))
            greenlets.append(gevent.spawn(self._run_job, at_ms, job))
        gevent.joinall(greenlets)
        self.result.ratios = self._ratios.encode().decode()
        self.result.refusals_us = self._refusals.encode().decode()
        self.result.lags_us = self._lags.encode().decode()
        self.result.window_ms = plan.duration_ms - WARM_UP_MS
        if self.baseline is not None:
            self.result.messages = self.baseline.messages
            self.result.wasted_messages = self.baseline.wasted_messages
        return self.result

    def _seconds_until(self, at_ms: float) -> float:
        return self.plan.start_at_s + at_ms / MS_PER_S - monotonic()

    def _run_job(self, at_ms: float, job: DrawnJob) -> None:
        lag_us = -self._seconds_until(at_ms) * MS_PER_S * US_PER_MS
        self._lags.record_value(max(1, int(lag_us)))
        client_s = self.mix.client_one_way_ms / MS_PER_S
        gevent.sleep(client_s)
        sent_s = monotonic()
        outcome = self._submit(job)
        responded_s = monotonic()
        gevent.sleep(client_s)
        finished_ms = -self._seconds_until(0.0) * MS_PER_S
        self._record(
            at_ms, finished_ms, job, outcome, (responded_s - sent_s) * MS_PER_S
        )

    def _record(
        self,
        at_ms: float,
        finished_ms: float,
        job: DrawnJob,
        outcome: str,
        request_ms: float,
    ) -> None:
        result = self.result
        response_ms = finished_ms - at_ms
        result.jobs += 1
        result.outcomes[outcome] += 1
        if at_ms >= WARM_UP_MS:
            result.offered_slot_ms += job.work_slot_ms
        if outcome.startswith(REFUSED):
            self._refusals.record_value(max(1, int(request_ms * US_PER_MS)))
        if outcome != COMPLETE:
            return
        result.tasks += len(job.tasks)
        ratio = response_ms / ideal_ms(job, self.mix, self.plan.slots)
        if at_ms >= WARM_UP_MS:
            self._ratios.record_value(max(1, int(ratio * RATIO_SCALE)))
        if response_ms > job.deadline_ms:
            result.late += 1
        elif WARM_UP_MS <= finished_ms < self.plan.duration_ms:
            result.good_slot_ms += job.work_slot_ms

    def _submit(self, job: DrawnJob) -> str:
        """Submit one job through the next host; return its outcome as a label."""
        if self.baseline is not None:
            return self.baseline.run(job)
        host = self._pick_host()
        try:
            ticket = host.next_ticket()
        except (HTTPError, IndexError, ValueError):
            host.avoid_until_s = monotonic() + AVOID_FAILED_HOST_MS / MS_PER_S
            return self._submit_elsewhere(job, host)
        return self._submit_to(host, ticket, job)

    def _submit_elsewhere(self, job: DrawnJob, host: Host) -> str:
        if all(other.avoid_until_s > monotonic() for other in self.hosts):
            return "no_host"
        return self._submit(job)

    def _submit_to(self, host: Host, ticket: str, job: DrawnJob) -> str:
        body = job.body(ticket)
        timeout_s = job.deadline_ms / MS_PER_S + REQUEST_SLACK_S
        if job.resubmits_early:
            gevent.spawn_later(
                RESUBMIT_AFTER_MS / MS_PER_S, self._resubmit, host, ticket, body
            )
        self.hosts_by_ticket[ticket] = host
        try:
            return _outcome_label(host.send("POST", "/v1/jobs", body, timeout_s))
        except (HTTPError, ValueError) as error:
            host.avoid_until_s = monotonic() + AVOID_FAILED_HOST_MS / MS_PER_S
            return f"lost:{type(error).__name__}"
        finally:
            del self.hosts_by_ticket[ticket]

    def _resubmit(self, host: Host, ticket: str, body: bytes) -> None:
        """Resubmit a job that is still in progress, through the next host."""
        if ticket not in self.hosts_by_ticket:
            return
        other = self._pick_host()
        self.result.outcomes["resubmitted"] += 1
        try:
            other.send("POST", "/v1/jobs", body, REQUEST_SLACK_S)
        except (HTTPError, ValueError):
            self.result.outcomes["resubmission_lost"] += 1

    def _cancel_wave(self) -> None:
        tickets = list(self.hosts_by_ticket.items())
        count = int(len(tickets) * self.plan.cancel_share)
        for ticket, host in self.random.sample(tickets, count):
            gevent.spawn(self._cancel, host, ticket)

    def _cancel(self, host: Host, ticket: str) -> None:
        try:
            host.send("DELETE", f"/v1/jobs/{ticket}", b"", REQUEST_SLACK_S)
        except (HTTPError, ValueError):
            self.result.outcomes["cancel_lost"] += 1

    def _pick_host(self) -> Host:
        """Return the next host, round robin, that has not failed recently.

        If all have, return the last one examined.
        """
        for _ in self.hosts:
            host = self.hosts[self._next_host % len(self.hosts)]
            self._next_host += 1
            if host.avoid_until_s <= monotonic():
                break
        return host


def _outcome_label(response: dict) -> str:
    outcome = response.get("outcome", REFUSED)
    failure = response.get("failure") or response.get("error") or {}
    kind = failure.get("kind", "")
    return f"{outcome}:{kind}" if kind else outcome


def run_load(
    plan: LoadPlan, processes: int = 3, start_delay_s: float = 1.5
) -> LoadResult:
    """Split a plan over generator processes and return the sum of their results.

    Each process starts its load ``start_delay_s`` after it was created.
    """
    results = []
    with TemporaryDirectory(prefix="rattanloom-load-") as folder:
        children = []
        for number in range(processes):
            process_plan = evolve(
                plan,
                seed=plan.seed * 1000 + number,
                work_slots=plan.work_slots / processes,
                start_at_s=monotonic() + start_delay_s,
            )
            path = Path(folder) / f"{number}.json"
            path.write_text(json.dumps(asdict(process_plan)))
            command = [sys.executable, "-m", "experiments.load", str(path)]
            children.append(subprocess.Popen(command, stdout=subprocess.PIPE))
        for child in children:
            output, _ = child.communicate()
            results.append(structure(json.loads(output), LoadResult))
    return add_results(results)


def main(plan_path: str) -> None:
    """Run one generator from a plan file and print its result as JSON."""
    plan = structure(json.loads(Path(plan_path).read_text()), LoadPlan)
    print(json.dumps(asdict(Generator(plan).run())))


if __name__ == "__main__":
    main(sys.argv[1])
