"""Clients' requests over real connections: answers, bad input, clients that leave."""

import json
import os
import socket
from contextlib import contextmanager

import gevent
import pytest

from rattanloom.decision_log import logging_decisions
from rattanloom.ingress.api import ClientApi
from rattanloom.ingress.job_router import PendingJob
from rattanloom.ingress.queues import (
    Configuration,
    Queue,
    QueueTable,
    RequestLimits,
)
from rattanloom.ingress.server import ConnectionState, serving
from rattanloom.metrics import Metrics
from rattanloom.placement.work import JobOutcome, OutcomeKind
from tests.dispatcher_fakes import CLOCK, wait_for

JOB = "5c0e7a21d94b36f8"
BODY = {"spec": "x", "steps": [{"count": 1, "cpu": 5}], "best_effort": True}
LIMITS = RequestLimits(800, 2_000, header_timeout_ms=300)
QUEUE = Queue("q", "h.example", "/q/", "service")


class FakeRouter:
    """Ends each job with a set outcome, or not at all."""

    def __init__(self, kind):
        self.kind = kind
        self.clock = CLOCK
        self.cancelled = []

    def submit(self, work):
        """Take a job."""
        job = PendingJob(work, CLOCK.now_ms())
        if self.kind is not None:
            job.result.set(JobOutcome(work.job_id, self.kind, "why", 1_500))
        return job

    def cancel(self, job):
        """Take the end of a client."""
        self.cancelled.append(job.work.job_id)


class FailingRouter(FakeRouter):
    """Fails unexpectedly."""

    def submit(self, work):
        """Raise instead of taking the job."""
        raise RuntimeError("unforeseen")


@contextmanager
def serve_api(kind=OutcomeKind.COMPLETE, configured=True, router_type=FakeRouter):
    queues = QueueTable()
    if configured:
        queues.replace(Configuration(1, (QUEUE,), LIMITS))
    job_router = router_type(kind)
    api = ClientApi(queues, job_router, Metrics())
    state = ConnectionState(lambda: LIMITS, lambda: False)
    with serving("127.0.0.1:0", api.app, state) as server:
        yield server.server_port, job_router


def send(port: int, content: bytes) -> socket.socket:
    connection = socket.create_connection(("127.0.0.1", port), timeout=5)
    connection.sendall(content)
    return connection


def post(body: bytes, path: str = f"/q/{JOB}", host: str = "h.example", more: str = ""):
    head = f"POST {path} HTTP/1.1\r\nHost: {host}\r\n{more}Content-Length: {len(body)}"
    return f"{head}\r\n\r\n".encode() + body


def ask(port: int, content: bytes) -> tuple[int, str]:
    """Return status and the whole answer."""
    with send(port, content) as connection:
        answer = connection.recv(65_536).decode()
    return int(answer.split()[1]), answer


def encoded(**changes) -> bytes:
    return json.dumps(BODY | changes).encode()


@pytest.mark.parametrize(
    ("kind", "status", "told"),
    [
        (OutcomeKind.COMPLETE, 200, '"state":"complete"'),
        (OutcomeKind.FAILED, 200, '"state":"failed"'),
        (OutcomeKind.REFUSED, 503, "Retry-After: 2"),
        (OutcomeKind.GIVEN_UP, 504, "why"),
    ],
)
def test_outcome_is_told(kind, status, told):
    with serve_api(kind) as (port, _):
        got, answer = ask(port, post(encoded()))
    assert got == status
    assert told in answer


@pytest.mark.parametrize(
    ("content", "status"),
    [
        (post(b"{"), 400),
        (post(b"\xff\xfe"), 400),
        (post(b"[" * 1_900), 400),
        (post(encoded(steps=[])), 400),
        (post(encoded(steps=[{"count": -1}])), 400),
        (post(encoded(), path="/q/short"), 400),
        (post(encoded(), host="other.example"), 404),
        (post(b"x" * 3_000), 413),
        (post(encoded(), more=f"X-Large: {'x' * 1_000}\r\n"), 431),
        (post(encoded(best_effort=False)), 503),
        (b"GET /q/ HTTP/1.1\r\nHost: h.example\r\n\r\n", 200),
        (f"GET /q/{JOB} HTTP/1.1\r\nHost: h.example\r\n\r\n".encode(), 410),
        (f"DELETE /q/{JOB} HTTP/1.1\r\nHost: h.example\r\n\r\n".encode(), 410),
        (b"BREW /q/ HTTP/1.1\r\nHost: h.example\r\n\r\n", 405),
    ],
)
def test_request_gets_a_clear_answer(content, status):
    with serve_api() as (port, _):
        assert ask(port, content)[0] == status
        assert ask(port, post(encoded()))[0] == 200


def test_without_a_configuration_clients_are_told_to_come_back():
    with serve_api(configured=False) as (port, _):
        status, answer = ask(port, post(encoded()))
    assert status == 503
    assert "Retry-After" in answer


def test_client_that_leaves_ends_its_job():
    with serve_api(None) as (port, job_router):
        send(port, post(encoded())).close()
        assert wait_for(lambda: job_router.cancelled == [JOB])


def test_job_is_given_up_at_its_deadline():
    with serve_api(None) as (port, job_router):
        status, _ = ask(port, post(encoded(), more="Deadline-Ms: 100\r\n"))
        assert job_router.cancelled
    assert status == 504


def test_slow_headers_are_cut_off_and_others_served():
    with serve_api() as (port, _):
        slow = send(port, b"POST /q/")
        gevent.sleep(LIMITS.header_timeout_ms / 1_000 + 0.3)
        assert ask(port, post(encoded()))[0] == 200
        slow.settimeout(3)
        assert slow.recv(1_000)[:12] in (b"", b"HTTP/1.1 400")
        slow.close()


def test_random_bytes_do_not_disturb_others():
    with serve_api() as (port, _):
        for seed in range(50):
            send(port, bytes((seed * 7 + n * 13) % 256 for n in range(300))).close()
        assert ask(port, post(encoded()))[0] == 200


def test_answers_ask_for_a_new_connection_while_the_daemon_stops():
    queues = QueueTable()
    queues.replace(Configuration(1, (QUEUE,), LIMITS))
    api = ClientApi(queues, FakeRouter(OutcomeKind.COMPLETE), Metrics())
    state = ConnectionState(lambda: LIMITS, lambda: True)
    with serving("127.0.0.1:0", api.app, state) as server:
        _, answer = ask(server.server_port, post(encoded()))
    assert "Connection: close" in answer


def test_unexpected_failure_is_answered_and_logged():
    read_end, write_end = os.pipe()
    with (
        logging_decisions("edge-1", CLOCK, write_end, "INFO"),
        serve_api(router_type=FailingRouter) as (port, _),
    ):
        status, _ = ask(port, post(encoded()))
    lines = [json.loads(line) for line in os.read(read_end, 100_000).splitlines()]
    (failed,) = [line for line in lines if line["event"] == "request_failed"]
    assert status == 500
    assert failed["reason"] == "RuntimeError: unforeseen"
