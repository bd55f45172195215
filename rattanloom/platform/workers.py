"""The placer's client of one worker: starts and stops runs, renews the lease.

A worker ends all its runs when its lease expires.
"""

from http import HTTPStatus
from typing import Any

from attrs import define, field
from msgspec import Struct

from rattanloom.errors import ErrorKind, Failure
from rattanloom.placement.workers import (
    FinishedRun,
    RefusalReason,
    Refused,
    Renewal,
    RunOutcome,
    RunStatus,
    Started,
    StartOrder,
    WorkerReport,
)
from rattanloom.platform.http import HEADERS, HttpClient, Response
from rattanloom.platform.json_format import FormatError, encode, is_number, parse

# One connection waits for reports of finished runs; the others carry orders.
CONNECTIONS_MAX = 5
CONNECT_TIMEOUT_MS = 250
# A worker responds to a start or a stop within a few milliseconds.
ORDER_TIMEOUT_MS = 300
# Time for the response to a renewal, on top of the requested wait.
RENEWAL_SLACK_MS = 300
# A report lists at most this many finished runs, the oldest first.
FINISHED_RUNS_MAX = 500

# By the ``reason`` in the body of a response with status 409.
REFUSALS_BY_REASON = {
    "fence": RefusalReason.FENCED,
    "old": RefusalReason.ATTEMPT_TOO_OLD,
    "late": RefusalReason.LEASE_EXPIRED,
    "room": RefusalReason.NO_ROOM,
    "ticket": RefusalReason.BAD_TICKET,
}
# Status 421 means that ``Expect-Instance`` named another worker than the one at this
# address. After UNHEALTHY, the placer pauses a worker longer than otherwise.
REFUSALS_BY_STATUS = {
    HTTPStatus.MISDIRECTED_REQUEST: RefusalReason.OTHER_WORKER,
    HTTPStatus.TOO_MANY_REQUESTS: RefusalReason.UNHEALTHY,
    HTTPStatus.SERVICE_UNAVAILABLE: RefusalReason.UNHEALTHY,
    HTTPStatus.BAD_REQUEST: RefusalReason.INVALID,
}
OUTCOMES_BY_NAME = {outcome.value: outcome for outcome in RunOutcome}


class OrderBody(Struct, frozen=True, rename={"incarnation_ms": "born"}):
    """The body of a response to a start, or of any refusal with status 409.

    ``clock_ms`` is the worker's clock, ``reason`` a key of ``REFUSALS_BY_REASON``.
    """

    clock_ms: int = 0
    reason: str = ""
    incarnation_ms: int = 0


class ReportBody(
    Struct,
    frozen=True,
    rename={"incarnation_ms": "born", "finished_runs": "finished"},
):
    """The body of a response to a renewal.

    Each run is a JSON array of the fields of ``RunStatus`` or ``FinishedRun``, in their
    order. ``incarnation_ms`` is the wall time of the worker's start. Draining workers
    send ``remaining_ms``; any other value than a number counts as absent.
    """

    clock_ms: int
    running: list[list]
    finished_runs: list[list]
    incarnation_ms: int = 0
    remaining_ms: Any = None


@define(eq=False, repr=False)
class WorkerClient:
    """Sends requests to the worker ``worker_id``, across its incarnations.

    Connections are bound to ``source_ip`` if given. After a REPLY_LOST failure, also
    returned for an invalid response, the worker may have carried out the request.
    """

    worker_id: str
    address: str
    source_ip: str = ""
    _http: HttpClient = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._http = HttpClient(
            self.address,
            CONNECTIONS_MAX,
            CONNECT_TIMEOUT_MS,
            self.source_ip,
            HEADERS | {"Expect-Instance": self.worker_id},
        )

    def start(self, order: StartOrder) -> Started | Refused | Failure:
        """Start a run of a task; the order also extends the worker's lease."""
        document = {
            "task": order.task,
            "attempt": order.attempt,
            "spec": order.spec,
            "until_ms": order.lease_until_ms,
            "fencing_token": order.fencing_token,
        }
        if order.checkpoint:
            document["checkpoint"] = order.checkpoint
        response = self._post("/run-start", document, ORDER_TIMEOUT_MS)
        if isinstance(response, Failure):
            return response
        if response.status != HTTPStatus.OK:
            return _parse_refusal(response)
        body = _parse(response, OrderBody)
        return body if isinstance(body, Failure) else Started(body.clock_ms)

    def stop(self, task: str, attempt: int, fencing_token: int) -> bool | Failure:
        """Stop a run; return False if the status is not 200, as for an old token."""
        document = {"task": task, "attempt": attempt, "fencing_token": fencing_token}
        response = self._post("/run-stop", document, ORDER_TIMEOUT_MS)
        if isinstance(response, Failure):
            return response
        return response.status == HTTPStatus.OK

    def renew(self, renewal: Renewal) -> WorkerReport | Refused | Failure:
        """Return the worker's running and finished runs.

        Waits up to the renewal's ``wait_ms`` for a run to finish, and extends the
        lease if the renewal has ``lease_until_ms``.
        """
        document = {
            "fencing_token": renewal.fencing_token,
            "last_seen": renewal.last_finished_number,
        }
        if renewal.lease_until_ms is not None:
            document["until_ms"] = renewal.lease_until_ms
        if renewal.wait_ms:
            document["wait_ms"] = renewal.wait_ms
        response = self._post("/hold", document, renewal.wait_ms + RENEWAL_SLACK_MS)
        if isinstance(response, Failure):
            return response
        if response.status != HTTPStatus.OK:
            return _parse_refusal(response)
        body = _parse(response, ReportBody)
        return body if isinstance(body, Failure) else _parse_report(body)

    def close(self) -> None:
        """Close the idle connections."""
        self._http.close()

    def _post(
        self, path: str, document: dict[str, object], timeout_ms: float
    ) -> Response | Failure:
        return self._http.call("POST", path, encode(document), timeout_ms)


def _parse_refusal(response: Response) -> Refused | Failure:
    if response.status == HTTPStatus.CONFLICT:
        body = _parse(response, OrderBody)
        if isinstance(body, Failure):
            return body
        if body.reason in REFUSALS_BY_REASON:
            return Refused(REFUSALS_BY_REASON[body.reason], body.clock_ms)
    if response.status in REFUSALS_BY_STATUS:
        return Refused(REFUSALS_BY_STATUS[response.status])
    return Failure(
        ErrorKind.REPLY_LOST, f"the worker returned unexpected status {response.status}"
    )


def _parse(response: Response, model: type) -> object:
    try:
        return parse(response.body, model)
    except FormatError as error:
        return Failure(
            ErrorKind.REPLY_LOST, f"invalid response from the worker: {error}"
        )


def _parse_report(body: ReportBody) -> WorkerReport | Failure:
    try:
        return WorkerReport(
            body.clock_ms,
            body.incarnation_ms,
            tuple(_parse_run_status(row) for row in body.running),
            tuple(_parse_finished_run(row) for row in body.finished_runs),
            body.remaining_ms if is_number(body.remaining_ms) else None,
            len(body.finished_runs) < FINISHED_RUNS_MAX,
        )
    except (KeyError, IndexError, TypeError, ValueError) as error:
        return Failure(ErrorKind.REPLY_LOST, f"invalid report from the worker: {error}")


def _parse_run_status(row: list) -> RunStatus:
    cpu_millicores = int(row[4]) if len(row) > 4 else 0
    return RunStatus(row[0], int(row[1]), row[2], int(row[3]), cpu_millicores)


def _parse_finished_run(row: list) -> FinishedRun:
    return FinishedRun(
        int(row[0]), row[1], int(row[2]), OUTCOMES_BY_NAME[row[3]], row[4]
    )
