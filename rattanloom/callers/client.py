"""Python client for callers: submits, queries and cancels jobs."""

import json
from collections import deque

from attrs import define, evolve, field, frozen
from urllib3 import HTTPConnectionPool, Timeout
from urllib3.exceptions import HTTPError, MaxRetryError, NewConnectionError

from rattanloom.callers.submission import (
    failure_from_json,
    job_to_json,
    result_from_json,
)
from rattanloom.clock import MS_PER_S
from rattanloom.errors import ErrorKind, Failure, Ran
from rattanloom.job import Job, JobResult, ResultKind, Task

TICKET_BATCH = 50
# Connections kept open per address; further ones are closed after their request.
CONNECTIONS_PER_ADDRESS = 64
CONNECT_TIMEOUT_MS = 1_000
# Time for the response to a submission on top of the job's deadline.
RESPONSE_SLACK_MS = 2_000
# Timeout of all other requests, on top of a query's wait.
SHORT_REQUEST_TIMEOUT_MS = 2_000
JSON_HEADERS = {"Content-Type": "application/json"}


@frozen
class JsonResponse:
    """An HTTP response: status and parsed JSON body."""

    status: int
    document: dict


@define(eq=False)
class Entry:
    """An HTTP address of the system, with the unused tickets fetched from it.

    A job is submitted to the address that issued its ticket, which avoids
    forwarding, unless that address fails.
    """

    address: str
    pool: HTTPConnectionPool
    tickets: deque[str] = field(factory=deque)


@define(eq=False)
class Dispatcher:
    """Client of one team, with failover between one or more HTTP addresses.

    Sends all requests to one address until a request fails, then to the next.
    ``ticket_batch`` is the number of tickets fetched by one request.
    """

    addresses: tuple[str, ...]
    team: str
    ticket_batch: int = TICKET_BATCH
    _entries: tuple[Entry, ...] = field(init=False)
    _current_index: int = field(init=False, default=0)

    def __attrs_post_init__(self) -> None:
        self._entries = tuple(
            Entry(address, _open_pool(address)) for address in self.addresses
        )

    def new_job(
        self,
        tasks: tuple[Task, ...],
        deadline_ms: int,
        idempotent: bool = True,
        key: str = "",
    ) -> Job | Failure:
        """Return a job with a new ticket, or with the idempotency key ``key``."""
        ticket = "" if key else self._take_ticket()
        if isinstance(ticket, Failure):
            return ticket
        return Job(ticket, self.team, tasks, deadline_ms, idempotent, key)

    def submit(self, job: Job) -> JobResult:
        """Submit a job and wait for its result.

        Submitting the same job again, through this or another client, joins the
        first submission; the job never runs twice. After an UNKNOWN result, query
        or resubmit the job later.
        """
        body = json.dumps(job_to_json(job)).encode()
        timeout_ms = job.deadline_ms + RESPONSE_SLACK_MS
        response = self._request_with_failover("POST", "/v1/jobs", body, timeout_ms)
        return _to_result(job.job_id, response)

    def ask(self, job_id: str, wait_ms: int = 0) -> JobResult:
        """Query a job's result, waiting up to ``wait_ms`` for it."""
        path = f"/v1/jobs/{job_id}?wait_ms={wait_ms}"
        response = self._request_with_failover(
            "GET", path, None, wait_ms + SHORT_REQUEST_TIMEOUT_MS
        )
        return _to_result(job_id, response)

    def cancel(self, job_id: str) -> JobResult:
        """Cancel a job; the result's failure says whether any task may have run."""
        response = self._request_with_failover(
            "DELETE", f"/v1/jobs/{job_id}", None, SHORT_REQUEST_TIMEOUT_MS
        )
        return _to_result(job_id, response)

    def _request_with_failover(
        self, method: str, path: str, body: bytes | None, timeout_ms: float
    ) -> JsonResponse | Failure:
        """Send a request to the current address, with failover to the others.

        Any failure makes the next address current. The request itself is sent
        there only if it was definitely not received before.
        """
        response = Failure(ErrorKind.HOME_UNREACHABLE, "no address is configured")
        for _ in self._entries:
            response = self._request(
                self._current_entry, method, path, body, timeout_ms
            )
            if isinstance(response, JsonResponse):
                return response
            self._select_next_entry()
            if response.ran is not Ran.NOT_RUN:
                return response
        return response

    def _take_ticket(self) -> str | Failure:
        failure = Failure(ErrorKind.HOME_UNREACHABLE, "no address issued a ticket")
        for _ in self._entries:
            entry = self._current_entry
            if entry.tickets:
                return entry.tickets.popleft()
            failure = self._fetch_tickets(entry)
            if failure is None:
                return entry.tickets.popleft()
            self._select_next_entry()
        return failure

    def _fetch_tickets(self, entry: Entry) -> Failure | None:
        body = json.dumps({"count": self.ticket_batch}).encode()
        response = self._request(
            entry, "POST", "/v1/tickets", body, SHORT_REQUEST_TIMEOUT_MS
        )
        if isinstance(response, Failure):
            return response
        if "tickets" not in response.document:
            return failure_from_json(response.document["failure"])
        entry.tickets.extend(response.document["tickets"])
        return None

    @property
    def _current_entry(self) -> Entry:
        return self._entries[self._current_index]

    def _select_next_entry(self) -> None:
        self._current_index = (self._current_index + 1) % len(self._entries)

    def _request(
        self,
        entry: Entry,
        method: str,
        path: str,
        body: bytes | None,
        timeout_ms: float,
    ) -> JsonResponse | Failure:
        timeout = Timeout(
            connect=CONNECT_TIMEOUT_MS / MS_PER_S, read=timeout_ms / MS_PER_S
        )
        try:
            response = entry.pool.request(
                method,
                path,
                body=body,
                headers=JSON_HEADERS,
                timeout=timeout,
                retries=False,
            )
            return JsonResponse(response.status, json.loads(response.data))
        except NewConnectionError as error:
            reason = f"cannot connect to {entry.address}: {error}"
            return Failure(ErrorKind.HOME_UNREACHABLE, reason, ran=Ran.NOT_RUN)
        except (HTTPError, MaxRetryError, ValueError) as error:
            reason = f"no complete response from {entry.address}: {error}"
            return Failure(ErrorKind.OUTCOME_UNKNOWN, reason)


def _open_pool(address: str) -> HTTPConnectionPool:
    host, _, port = address.rpartition(":")
    return HTTPConnectionPool(
        host, int(port), maxsize=CONNECTIONS_PER_ADDRESS, block=False
    )


def _to_result(job_id: str, response: JsonResponse | Failure) -> JobResult:
    """Convert a response, or the failure to get one, to the job's result.

    Only a response of an entry host can refuse the job. If no response arrived, the
    result is UNKNOWN: even if this request was not delivered, an earlier one for the
    same job may have been.
    """
    if isinstance(response, Failure):
        unknown = evolve(response, ran=Ran.MAY_HAVE_RUN)
        return JobResult(job_id, ResultKind.UNKNOWN, failure=unknown)
    if "outcome" in response.document:
        return result_from_json(response.document)
    failure = failure_from_json(response.document["failure"])
    refused = failure.effective_ran is Ran.NOT_RUN
    outcome = ResultKind.REFUSED if refused else ResultKind.UNKNOWN
    return JobResult(job_id, outcome, failure=failure)
