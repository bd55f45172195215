"""HTTP interface for callers: responses, error reports and malformed input.

Guards against malformed, oversized or slow requests that stop the server or exhaust
its memory, and against refusals without a reason.
"""

import json
import socket
from contextlib import contextmanager
from pathlib import Path
from random import Random

import pytest
from urllib3 import HTTPConnectionPool

from rattanloom.callers.api import CallersApi
from rattanloom.callers.server import InFlight, serving_http
from rattanloom.errors import ERROR_RESPONSES, ErrorKind, Failure
from rattanloom.job import JobResult, ResultKind
from rattanloom.resources import own_usage
from rattanloom.serving.limits import ClientLimits
from tests.utils import send_random_requests

BODY_MAX_BYTES = 20_000
HEADER_TIMEOUT_MS = 300
RANDOM_REQUESTS = 10_000
MEMORY_GROWTH_MAX_BYTES = 32_000_000
JOB = {
    "job_id": "t",
    "team": "commissions",
    "tasks": [{"kind": "proof_crop"}],
    "deadline_ms": 1000,
}


class EchoJobs:
    """Job service whose outputs are the payloads; refuses queries and cancels."""

    def issue_tickets(self, count):
        return tuple(f"ticket-{number}" for number in range(count))

    def submit(self, job):
        outputs = tuple(task.payload for task in job.tasks)
        return JobResult(job.job_id, ResultKind.COMPLETE, outputs)

    def ask(self, job_id, wait_ms):
        failure = Failure(ErrorKind.BAD_TICKET, "ticket was not issued here")
        return JobResult(job_id, ResultKind.REFUSED, failure=failure)

    def cancel(self, job_id):
        failure = Failure(ErrorKind.QUOTA_EXCEEDED, "busy", retry_after_ms=1500)
        return JobResult(job_id, ResultKind.REFUSED, failure=failure)


@contextmanager
def serving():
    api = CallersApi(EchoJobs(), BODY_MAX_BYTES)
    client_limits = ClientLimits(body_timeout_ms=HEADER_TIMEOUT_MS)
    limits = (HEADER_TIMEOUT_MS, 100, InFlight(), client_limits)
    with serving_http("127.0.0.1:0", api.app, *limits) as server:
        yield server.server_port


@pytest.fixture
def port():
    with serving() as server_port:
        yield server_port


def request(port, method, path, body=None, headers=None):
    pool = HTTPConnectionPool("127.0.0.1", port, retries=False, timeout=5)
    response = pool.request(method, path, body=body, headers=headers)
    return response, json.loads(response.data)


def post_job(port, **changes):
    body = json.dumps(JOB | changes).encode()
    return request(port, "POST", "/v1/jobs", body)


def test_submission_returns_the_complete_result(port):
    response, document = post_job(port, tasks=[{"kind": "a", "payload": "é"}])
    assert response.status == 200
    assert document["outcome"] == "complete"
    assert document["outputs"] == ["é"]


def test_tickets_are_issued_in_bulk(port):
    _, document = request(port, "POST", "/v1/tickets", b'{"count": 3}')
    assert len(document["tickets"]) == 3


@pytest.mark.parametrize(
    ("body", "word"),
    [
        (b"{", "JSON"),
        (b"[]", "object"),
        (b"[" * 10_000, "JSON"),
        (b"\xff\xfe", "JSON"),
        (json.dumps(JOB | {"tasks": []}).encode(), "tasks"),
        (json.dumps(JOB | {"deadline_ms": -1}).encode(), "deadline_ms"),
        (json.dumps(JOB | {"deadline_ms": 1e9}).encode(), "deadline_ms"),
        (json.dumps(JOB | {"color": 1}).encode(), "color"),
        (json.dumps(JOB | {"job_id": ""}).encode(), "POST /v1/tickets"),
        (json.dumps(JOB | {"job_id": "x" * 300}).encode(), "job_id"),
        (json.dumps(JOB | {"team": "\ud800"}).encode(), "team"),
        (json.dumps(JOB | {"tasks": [{"kind": 7}]}).encode(), "kind"),
    ],
)
def test_bad_body_is_refused_with_a_reason(port, body, word):
    response, document = request(port, "POST", "/v1/jobs", body)
    assert response.status == 400
    assert document["failure"]["ran"] == "not_run"
    assert word in document["failure"]["reason"]


def test_oversized_bodies_are_refused_whether_or_not_declared(port):
    big = b"x" * (BODY_MAX_BYTES + 1)
    response, document = request(port, "POST", "/v1/jobs", big)
    assert response.status == 413
    assert document["failure"]["kind"] == "too_large"
    chunks = (b"x" * 5000 for _ in range(5))
    response, document = request(port, "POST", "/v1/jobs", chunks)
    assert response.status == 413


def test_unknown_page_and_wrong_method_have_their_error_kinds(port):
    response, document = request(port, "GET", "/v2/jobs")
    assert (response.status, document["failure"]["kind"]) == (404, "not_found")
    response, document = request(port, "PUT", "/v1/jobs")
    assert (response.status, document["failure"]["kind"]) == (405, "method_not_allowed")


def test_refusal_carries_retry_after(port):
    response, document = request(port, "DELETE", "/v1/jobs/t")
    assert response.status == 429
    assert response.headers["Retry-After"] == "2"
    assert document["failure"]["retry_after_ms"] == 1500


def test_slow_connections_are_closed_and_others_served(port):
    with socket.create_connection(("127.0.0.1", port)) as slow:
        slow.sendall(b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nX-Slow: ")
        slow.settimeout(5)
        assert post_job(port)[0].status == 200
        assert slow.recv(1000) in (b"", b"HTTP/1.1 400 Bad Request\r\n")


def test_incomplete_body_times_out_with_400(port):
    with socket.create_connection(("127.0.0.1", port)) as slow:
        slow.sendall(b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n{")
        slow.settimeout(5)
        assert b"400" in slow.recv(1000)


def test_random_bytes_leave_the_server_running_in_bounded_memory(port):
    address, random = ("127.0.0.1", port), Random(7)
    send_random_requests(address, random, 1)
    before_bytes = own_usage().memory_bytes
    send_random_requests(address, random, RANDOM_REQUESTS)
    assert post_job(port)[0].status == 200
    assert own_usage().memory_bytes - before_bytes < MEMORY_GROWTH_MAX_BYTES


def test_every_error_kind_is_documented_in_the_api_page():
    assert set(ERROR_RESPONSES) == set(ErrorKind)
    page = (Path(__file__).parent.parent / "docs" / "API.md").read_text()
    for kind, row in ERROR_RESPONSES.items():
        yes_or_no = "yes" if row.retryable else "no"
        columns = (
            kind.value,
            str(row.http_status.value),
            row.ran.value,
            yes_or_no,
            str(row.retry_after_ms),
        )
        assert f"| {' | '.join(columns)} |" in page
