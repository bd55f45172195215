"""The daemon's client API over real connections: responses, bad input, disconnects."""

import json
import os
import socket
from contextlib import contextmanager

import gevent
import pytest
from bottle import request

from rattanloom.decision_log import logging_decisions
from rattanloom.ingress.api import ClientApi
from rattanloom.ingress.pending_job import PendingJob
from rattanloom.ingress.queues import (
    Configuration,
    Queue,
    QueueTable,
    RequestLimits,
)
from rattanloom.ingress.server import (
    ConnectionState,
    finish_requests,
    serving,
)
from rattanloom.metrics import Metrics
from rattanloom.placement.jobs import JobOutcome, OutcomeKind
from rattanloom.serving.http_connection import CONNECTION_KEY
from tests.dispatcher_fakes import CLOCK, wait_for

JOB = "5c0e7a21d94b36f8"
BODY = {"spec": "x", "steps": [{"count": 1, "cpu": 5}], "best_effort": True}
LIMITS = RequestLimits(800, 2_000, header_timeout_ms=300)
QUEUE = Queue("q", "h.example", "/q/", "service")


class FakeRouter:
    """Finishes each job with an outcome of ``kind``; never if ``kind`` is None."""

    def __init__(self, kind):
        self.kind = kind
        self.clock = CLOCK
        self.submitted = []
        self.cancelled = []
        self.pending = []
        self.is_sent = True
        self.retry_after_ms = 1_500

    def submit(self, submitted, is_client_connected):
        """Return a pending job, with its outcome if ``kind`` is set."""
        self.submitted.append(submitted.job_id)
        job = PendingJob(submitted, CLOCK.now_ms())
        self.pending.append(job)
        if self.kind is not None:
            outcome = JobOutcome(
                submitted.job_id, self.kind, "why", self.retry_after_ms
            )
            job.result.set(outcome)
        return job

    def revoke(self, job_id):
        """Return whether the job was submitted."""
        return job_id in self.submitted

    def cancel(self, job):
        """Record the cancelled job."""
        self.cancelled.append(job.submitted.job_id)

    def expire(self, job):
        """Cancel the job; refuse it unless the test says that it was sent."""
        self.cancel(job)
        if self.is_sent:
            return None
        return JobOutcome(job.submitted.job_id, OutcomeKind.REFUSED, "why", 1_500)


class FailingRouter(FakeRouter):
    """Raises an unexpected exception for each job."""

    def submit(self, submitted, is_client_connected):
        """Raise an exception."""
        raise RuntimeError("unforeseen")


@contextmanager
def serve_api(
    kind=OutcomeKind.COMPLETE, configured=True, router_type=FakeRouter, told=True
):
    queues = QueueTable()
    if configured:
        queues.replace(Configuration(1, (QUEUE,), LIMITS))
    job_router = router_type(kind)
    api = ClientApi(
        queues, job_router, Metrics(), job_router.revoke, lambda job_id: told
    )
    state = ConnectionState(lambda: LIMITS, lambda: False)
    with serving("127.0.0.1:0", api.app, state) as server:
        yield server.server_port, job_router


def send(port: int, content: bytes) -> socket.socket:
    connection = socket.create_connection(("127.0.0.1", port), timeout=5)
    connection.sendall(content)
    return connection


def make_post(
    body: bytes,
    path: str = f"/q/{JOB}",
    host: str = "h.example",
    headers: str = "",
):
    head = (
        f"POST {path} HTTP/1.1\r\nHost: {host}\r\n{headers}Content-Length: {len(body)}"
    )
    return f"{head}\r\n\r\n".encode() + body


def fetch(port: int, content: bytes) -> tuple[int, str]:
    """Send a request; return the status and the complete response."""
    with send(port, content) as connection:
        response = connection.recv(65_536).decode()
    return int(response.split()[1]), response


def make_body(**changes) -> bytes:
    return json.dumps(BODY | changes).encode()


@pytest.mark.parametrize(
    ("kind", "status", "expected"),
    [
        (OutcomeKind.COMPLETE, 200, '"state":"complete"'),
        (OutcomeKind.FAILED, 200, '"state":"failed"'),
        (OutcomeKind.REFUSED, 503, "Retry-After: 2"),
        (OutcomeKind.GIVEN_UP, 504, "why"),
        (OutcomeKind.CANCELLED, 200, '"state":"cancelled"'),
    ],
)
def test_outcome_is_returned_to_the_client(kind, status, expected):
    with serve_api(kind) as (port, _):
        actual_status, response = fetch(port, make_post(make_body()))
    assert actual_status == status
    assert expected in response


@pytest.mark.parametrize(
    ("content", "status"),
    [
        (make_post(b"{"), 400),
        (make_post(b"\xff\xfe"), 400),
        (make_post(b"[" * 1_900), 400),
        (make_post(make_body(steps=[])), 400),
        (make_post(make_body(steps=[{"count": -1}])), 400),
        (make_post(make_body(), path="/q/short"), 400),
        (make_post(make_body(), host="other.example"), 404),
        (make_post(b"x" * 3_000), 413),
        (make_post(make_body(), headers=f"X-Large: {'x' * 1_000}\r\n"), 431),
        (make_post(make_body(best_effort=False)), 503),
        (b"GET /q/ HTTP/1.1\r\nHost: h.example\r\n\r\n", 200),
        (f"GET /q/{JOB} HTTP/1.1\r\nHost: h.example\r\n\r\n".encode(), 410),
        (f"DELETE /q/{JOB} HTTP/1.1\r\nHost: h.example\r\n\r\n".encode(), 410),
        (b"BREW /q/ HTTP/1.1\r\nHost: h.example\r\n\r\n", 405),
    ],
)
def test_request_gets_expected_status_and_server_keeps_serving(content, status):
    with serve_api() as (port, _):
        assert fetch(port, content)[0] == status
        assert fetch(port, make_post(make_body()))[0] == 200


def test_request_before_the_first_configuration_gets_retry_after():
    with serve_api(configured=False) as (port, _):
        status, response = fetch(port, make_post(make_body()))
    assert status == 503
    assert "Retry-After" in response


def test_client_of_a_job_that_may_have_run_returns_after_its_runs_have_ended():
    with serve_api(OutcomeKind.GIVEN_UP) as (port, job_router):
        job_router.retry_after_ms = 1_000
        _, response = fetch(port, make_post(make_body()))
        assert "Retry-After: 2" in response


def test_client_disconnect_cancels_its_job():
    with serve_api(None) as (port, job_router):
        with send(port, make_post(make_body())):
            assert wait_for(lambda: job_router.submitted == [JOB])
        assert wait_for(lambda: job_router.cancelled == [JOB])


@pytest.mark.parametrize(
    "extra", [b"\r\n", b"GET /q/ HTTP/1.1\r\nHost: h.example\r\n\r\n"]
)
def test_client_that_sent_more_data_before_it_disconnected_cancels_its_job(extra):
    # The data ended the watch, and the job went on until its deadline.
    with serve_api(None) as (port, job_router):
        with send(port, make_post(make_body())) as client:
            assert wait_for(lambda: job_router.submitted == [JOB])
            gevent.sleep(0.05)
            client.sendall(extra)
            gevent.sleep(0.05)
            assert not job_router.cancelled
        assert wait_for(lambda: job_router.cancelled == [JOB], within_s=0.5)


def test_client_that_sent_data_twice_before_it_disconnected_cancels_its_job():
    # The buffer took no more than the first part, and the end was behind the second.
    with serve_api(None) as (port, job_router):
        with send(port, make_post(make_body())) as client:
            assert wait_for(lambda: job_router.submitted == [JOB])
            for _ in range(2):
                gevent.sleep(0.05)
                client.sendall(b"\r\n")
        assert wait_for(lambda: job_router.cancelled == [JOB], within_s=0.5)


def test_client_that_sent_more_than_the_buffer_takes_cancels_its_job():
    with serve_api(None) as (port, job_router):
        with send(port, make_post(make_body())) as client:
            assert wait_for(lambda: job_router.submitted == [JOB])
            client.sendall(b"GET /q/ HTTP/1.1\r\nX: " + b"x" * 20_000)
            gevent.sleep(0.05)
        assert wait_for(lambda: job_router.cancelled == [JOB], within_s=0.5)


def test_request_that_a_client_sent_while_it_waited_is_served_after_its_job():
    with (
        serve_api(None) as (port, job_router),
        send(port, make_post(make_body())) as client,
    ):
        assert wait_for(lambda: job_router.pending)
        client.sendall(b"GET /q/ HTTP/1.1\r\nHost: h.example\r\n\r\n")
        gevent.sleep(0.05)
        job_router.pending[0].result.set(JobOutcome(JOB, OutcomeKind.COMPLETE))
        received = b""
        while b'"pending":0' not in received:
            received += client.recv(4_096)
        assert b'"state":"complete"' in received


def test_no_watcher_is_left_on_the_connection_when_the_response_is_sent():
    # A daemon was aborted by libev, which found a closed connection in its event loop.
    watches = []

    class WatchingApi(ClientApi):
        def _watch_client(self, pending, connection):
            watches.append(gevent.getcurrent())
            gevent.sleep(9)

    router = FakeRouter(None)
    api = WatchingApi(QueueTable(), router, Metrics(), router.revoke)
    job = PendingJob(None, CLOCK.now_ms())
    gevent.spawn_later(0.02, job.result.set, JobOutcome(JOB, OutcomeKind.COMPLETE))
    request.environ[CONNECTION_KEY] = None
    api._wait_for_outcome(job, 500)
    assert watches[0].dead


@pytest.mark.parametrize(("is_sent", "expected"), [(True, 504), (False, 503)])
def test_job_is_ended_at_its_deadline_by_whether_it_may_have_run(is_sent, expected):
    with serve_api(None) as (port, job_router):
        job_router.is_sent = is_sent
        status, _ = fetch(port, make_post(make_body(), headers="Deadline-Ms: 100\r\n"))
        assert job_router.cancelled
    assert status == expected


def test_slow_headers_time_out_and_other_clients_are_served():
    with serve_api() as (port, _):
        slow = send(port, b"POST /q/")
        gevent.sleep(LIMITS.header_timeout_ms / 1_000 + 0.3)
        assert fetch(port, make_post(make_body()))[0] == 200
        slow.settimeout(3)
        assert slow.recv(1_000)[:12] in (b"", b"HTTP/1.1 400")
        slow.close()


def test_random_bytes_do_not_affect_other_clients():
    with serve_api() as (port, _):
        for seed in range(50):
            send(port, bytes((seed * 7 + n * 13) % 256 for n in range(300))).close()
        assert fetch(port, make_post(make_body()))[0] == 200


def test_responses_close_the_connection_while_the_daemon_stops():
    queues = QueueTable()
    queues.replace(Configuration(1, (QUEUE,), LIMITS))
    router = FakeRouter(OutcomeKind.COMPLETE)
    api = ClientApi(queues, router, Metrics(), router.revoke)
    state = ConnectionState(lambda: LIMITS, lambda: True)
    with serving("127.0.0.1:0", api.app, state) as server:
        _, response = fetch(server.server_port, make_post(make_body()))
    assert "Connection: close" in response


def test_unexpected_exception_is_logged_and_returns_500():
    read_end, write_end = os.pipe()
    with (
        logging_decisions("edge-1", CLOCK, write_end, "INFO"),
        serve_api(router_type=FailingRouter) as (port, _),
    ):
        status, _ = fetch(port, make_post(make_body()))
    lines = [json.loads(line) for line in os.read(read_end, 100_000).splitlines()]
    (failed,) = [line for line in lines if line["event"] == "request_failed"]
    assert status == 500
    assert failed["reason"] == "RuntimeError: unforeseen"


def test_older_configuration_does_not_replace_a_newer_one():
    queues = QueueTable()
    assert queues.replace(Configuration(2, (QUEUE,), LIMITS))
    assert not queues.replace(Configuration(1, (), LIMITS))
    assert queues.configuration.version == 2


def test_request_whose_headers_arrive_as_a_stop_ends_is_answered():
    queues = QueueTable()
    queues.replace(Configuration(1, (QUEUE,), LIMITS))
    router = FakeRouter(OutcomeKind.COMPLETE)
    api = ClientApi(queues, router, Metrics(), router.revoke)
    state = ConnectionState(lambda: LIMITS, lambda: True)
    line, headers = make_post(make_body()).split(b"\r\n", 1)

    def stop(server) -> None:
        finish_requests(server, state, CLOCK, CLOCK.now_ms() + 5_000)
        server.stop(timeout=0)

    with serving("127.0.0.1:0", api.app, state) as server:
        with send(server.server_port, line + b"\r\n") as late:
            gevent.sleep(0.05)
            stopping = gevent.spawn(stop, server)
            gevent.sleep(0.05)
            late.sendall(headers)
            assert late.recv(12) == b"HTTP/1.1 200"
        stopping.join(5)
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(("127.0.0.1", server.server_port), timeout=5)


def test_job_whose_client_has_gone_before_it_is_read_is_not_submitted():
    # The requests arrived while this daemon was frozen.
    with serve_api() as (port, job_router):
        for shutdown in (True, False):
            connection = send(port, make_post(make_body()))
            if shutdown:
                connection.shutdown(socket.SHUT_WR)
            connection.close()
        gevent.sleep(0.1)
        assert not job_router.submitted
        assert fetch(port, make_post(make_body()))[0] == 200
        assert job_router.submitted == [JOB]


def test_cancellation_that_may_not_have_reached_all_owners_gets_no_410():
    # A daemon that was cut off told nobody, and the job ran on.
    delete = f"DELETE /q/{JOB} HTTP/1.1\r\nHost: h.example\r\n\r\n".encode()
    with serve_api(told=False) as (port, _):
        status, response = fetch(port, delete)
    assert status == 503
    assert "Retry-After: 1" in response


def test_cancellation_of_a_job_that_is_known_is_confirmed():
    delete = f"DELETE /q/{JOB} HTTP/1.1\r\nHost: h.example\r\n\r\n".encode()
    with serve_api() as (port, _):
        assert fetch(port, delete)[0] == 410
        fetch(port, make_post(make_body()))
        status, response = fetch(port, delete)
    assert status == 200
    assert '"state":"cancelled"' in response
