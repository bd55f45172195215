"""Records a failure history while callers and faults act on a running cluster."""

import json
import time

import gevent
from attrs import define, field
from urllib3 import PoolManager, Timeout
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ReadTimeoutError,
)

from experiments.cluster import Cluster, Process
from experiments.history import (
    Action,
    ConfigSeen,
    History,
    Invoked,
    ResponseMissing,
    ResponseReceived,
    TaskStarted,
)
from rattanloom.callers.submission import failure_from_json, result_from_json
from rattanloom.clock import MS_PER_S
from rattanloom.errors import Ran
from rattanloom.job import JobResult, ResultKind

CONNECT_TIMEOUT_MS = 500
STATUS_TIMEOUT_MS = 300
POLL_MS = 100
HEADERS = {"Content-Type": "application/json", "Connection": "close"}


def now_ms() -> float:
    """Return the wall clock time in ms, as in the workers' start logs."""
    return time.time() * MS_PER_S


@define(eq=False)
class Recorder:
    """Records one history and polls the hosts.

    ``name`` is the prefix of the history's submission ids. ``offered`` are the names of
    the healthy hosts, as a load balancer would offer them. ``calls`` is the number of
    the last request.
    """

    cluster: Cluster
    name: str
    history: History = field(factory=History)
    offered: list[str] = field(factory=list)
    calls: int = 0
    http: PoolManager = field(factory=lambda: PoolManager(retries=False, maxsize=64))
    saved_starts: list[dict] = field(factory=list)

    def call(
        self, invoked: Invoked, path: str, document: object, timeout_ms: float
    ) -> JobResult | None:
        """Send and record one request; return None if it got no response."""
        self.history.add(invoked)
        method = _METHODS[invoked.action]
        address = self.cluster.hosts[invoked.host].address
        try:
            body = self.request(method, address, path, document, timeout_ms)
            result = _to_result(invoked.job_id, body)
        except (ConnectTimeoutError, NewConnectionError, ReadTimeoutError) as error:
            self._record_missing(invoked, False, error)
            return None
        except (HTTPError, ValueError) as error:
            self._record_missing(invoked, True, error)
            return None
        self.history.add(_to_record(invoked, result))
        return result

    def request(
        self,
        method: str,
        address: str,
        path: str,
        document: object,
        timeout_ms: float,
    ) -> dict:
        """Send one request over a new connection; return the JSON of its response."""
        response = self.http.request(
            method,
            f"http://{address}{path}",
            body=None if document is None else json.dumps(document).encode(),
            headers=HEADERS,
            timeout=Timeout(
                connect=CONNECT_TIMEOUT_MS / MS_PER_S, read=timeout_ms / MS_PER_S
            ),
        )
        return json.loads(response.data)

    def next_call(self) -> int:
        """Return a new number for a request."""
        self.calls += 1
        return self.calls

    def poll_hosts(self) -> None:
        """Poll every host's health and configuration version until killed."""
        self.offered = list(self.cluster.hosts)
        gevent.joinall(
            [
                gevent.spawn(self._poll_host, host)
                for host in self.cluster.hosts.values()
            ]
        )

    def _poll_host(self, host: Process) -> None:
        while True:
            gevent.sleep(POLL_MS / MS_PER_S)
            requested_at_ms = now_ms()
            try:
                page = self.request(
                    "GET", host.address, "/v1/status", None, STATUS_TIMEOUT_MS
                )
            except (HTTPError, ValueError):
                page = {"health": "unreachable"}
            self._update_offered(host.name, page["health"] == "ok")
            if "config_version" in page:
                version = page["config_version"]
                self.history.add(ConfigSeen(requested_at_ms, host.name, version))

    def _update_offered(self, name: str, healthy: bool) -> None:
        if healthy and name not in self.offered:
            self.offered.append(name)
        if not healthy and name in self.offered:
            self.offered.remove(name)

    def save_starts(self, worker: Process) -> None:
        """Save a worker's start log, which is lost when the worker is killed."""
        lines = self.request("GET", worker.address, "/v1/starts", None, 5_000)
        self.saved_starts += [{**line, "worker": worker.name} for line in lines]

    def collect_starts(self) -> None:
        """Record the starts of this history from the start logs of all workers."""
        for worker in self.cluster.workers.values():
            self.save_starts(worker)
        for line in self.saved_starts:
            submission, _, task = line["tag"].rpartition("/")
            if submission.startswith(f"{self.name}-"):
                self.history.add(
                    TaskStarted(
                        line["wall_ms"],
                        line["worker"],
                        submission,
                        int(task),
                        line["attempt_id"],
                    )
                )

    def _record_missing(
        self, invoked: Invoked, cut_off: bool, error: Exception
    ) -> None:
        self.history.add(ResponseMissing(now_ms(), invoked.call, cut_off, repr(error)))


_METHODS = {Action.SUBMIT: "POST", Action.ASK: "GET", Action.CANCEL: "DELETE"}


def _to_result(job_id: str, body: dict) -> JobResult:
    if "outcome" in body:
        return result_from_json(body)
    failure = failure_from_json(body["failure"])
    refused = failure.effective_ran is Ran.NOT_RUN
    outcome = ResultKind.REFUSED if refused else ResultKind.UNKNOWN
    return JobResult(job_id, outcome, failure=failure)


def _to_record(invoked: Invoked, result: JobResult) -> ResponseReceived:
    failure = result.failure
    return ResponseReceived(
        now_ms(),
        invoked.call,
        result.job_id,
        result.outcome,
        result.outputs,
        "" if failure is None else failure.kind.value,
        None if failure is None else failure.effective_ran,
    )
