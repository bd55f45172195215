"""Clients that break the limits: real processes stay within their machine.

Each test starts the processes on loopback addresses, with a small machine in their
settings, and sends what one kind of client sends. It checks memory, descriptors, and
that an ordinary request is answered.
"""

import json
import socket
from base64 import b64encode
from contextlib import contextmanager
from random import Random

import gevent
import pytest
from urllib3 import PoolManager
from urllib3.exceptions import HTTPError

from experiments.cluster import (
    READY_WITHIN_S,
    ClusterLayout,
    await_page,
    running_cluster,
)
from rattanloom.ingress.metrics_page import METRICS_PORT
from soak.deployment import (
    PEER_PORT,
    READY_PORT,
    ROUTE_HOST,
    SERVICE,
    DeploymentSize,
    running_deployment,
)
from tests.crowd import (
    MB,
    Shape,
    chunked_body,
    empty_lines,
    frame_short_of_its_end,
    head_of_long_lines,
    head_of_short_lines,
    long_request_line,
    nothing,
    pressing,
    short_body,
    unread_answers,
)

# The machine in the settings of the daemons; 200 descriptors are for files.
MEMORY_MB = 120
MAX_FDS = 500
SOCKETS_MAX = MAX_FDS - 200
BODY_MAX_BYTES = 786_432
# An entry host's settings do not say how large its machine is.
ENTRY_HOST_MEMORY_MB = 256
ENTRY_HOST_BODY_MAX_BYTES = 16 * MB
FRAME_MAX_BYTES = 32 * MB
# Of one ordinary request; a process that hangs takes longer.
ANSWER_TIMEOUT_S = 10
TRIES = 2
JOB = "5c0e7a21d94b36f8"
PATH = f"/jobs/{JOB}"
GET = f"GET /jobs/ HTTP/1.1\r\nHost: {ROUTE_HOST}\r\n\r\n".encode()
GET_READY = b"GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n"
GET_METRICS = b"GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n"
ORDINARY = {
    "spec": json.dumps({"ms": 20, "cpu": 100, "mem_mb": 1, "est_ms": 20}),
    "steps": [{"count": 1, "cpu": 100, "mem_mb": 1, "est_ms": 20}],
    "best_effort": True,
}
# Complete jobs of the largest size, of a label that no worker has.
LABEL = "x" * (BODY_MAX_BYTES - 1_000)
LARGE_JOB = json.dumps(
    ORDINARY | {"steps": [{"count": 1, "cpu": 100, "required_label": LABEL}]}
).encode()
LARGE_HEAD = (
    f"POST {PATH} HTTP/1.1\r\nHost: {ROUTE_HOST}\r\nDeadline-Ms: 9000\r\n"
    f"Content-Length: {len(LARGE_JOB)}\r\n\r\n"
).encode()


def large_jobs():
    return iter([LARGE_HEAD + LARGE_JOB])


CLIENT_SHAPES = (
    Shape("head_of_long_lines", 60, head_of_long_lines),
    Shape("head_of_short_lines", 60, head_of_short_lines),
    Shape("long_request_line", 60, long_request_line),
    Shape("empty_lines", 60, empty_lines),
    Shape("short_bodies", 200, short_body(PATH, BODY_MAX_BYTES)),
    Shape("chunked_bodies", 60, chunked_body(PATH, 262_143, 1_024)),
    Shape("tiny_chunks", 40, chunked_body(PATH, MB, 1)),
    Shape("no_request", 400, nothing),
    Shape("unread_answers", 60, unread_answers(GET)),
    Shape("complete_large_jobs", 200, large_jobs),
)
OTHER_SHAPES = (
    (READY_PORT, Shape("head_of_long_lines", 60, head_of_long_lines)),
    (READY_PORT, Shape("short_bodies", 400, short_body("/readyz", BODY_MAX_BYTES))),
    (READY_PORT, Shape("unread_answers", 60, unread_answers(GET_READY))),
    (METRICS_PORT, Shape("head_of_long_lines", 60, head_of_long_lines)),
    (METRICS_PORT, Shape("unread_answers", 60, unread_answers(GET_METRICS))),
    (PEER_PORT, Shape("message_without_end", 200, frame_short_of_its_end(MB))),
    (PEER_PORT, Shape("no_hello", 400, nothing)),
)
ENTRY_HOST_SHAPES = (
    Shape("head_of_long_lines", 60, head_of_long_lines),
    Shape("short_bodies", 30, short_body("/v1/jobs", ENTRY_HOST_BODY_MAX_BYTES)),
    Shape("tiny_chunks", 40, chunked_body("/v1/jobs", MB, 1)),
    Shape(
        "unread_answers",
        60,
        unread_answers(b"GET /v1/timeline HTTP/1.1\r\nHost: h\r\n\r\n"),
    ),
)


def name_of(value):
    return value.name if isinstance(value, Shape) else None


def write_configuration(deployment):
    deployment.config_version += 1
    route = {
        "name": "queue",
        "host": ROUTE_HOST,
        "path_prefix": "/jobs/",
        "service": SERVICE,
        "timeout_ms": 10_000,
        "target_latency_ms": 60_000,
    }
    document = {
        "version": deployment.config_version,
        "routes": [route],
        "services": [{"name": SERVICE, "admission_control": True}],
        "limits": {"max_body_bytes": BODY_MAX_BYTES},
    }
    value = b64encode(json.dumps(document).encode()).decode()
    row = {"table": "op", "key": "config", "value": value}
    deployment.post(deployment.store.address, "/standin/rows", [row])


def shrink_machine(daemon):
    daemon.settings["limits"] = {"memory_mb": MEMORY_MB, "max_fds": MAX_FDS}


@contextmanager
def running_daemon():
    """Run one daemon in each of three zones; return the first."""
    size = DeploymentSize(daemons=1, workers=2)
    with running_deployment(
        size, Random(54), shrink_machine, write_configuration
    ) as deployment:
        daemon = next(iter(deployment.daemons.values()))
        answer(daemon, "POST", PATH, json.dumps(ORDINARY))
        yield daemon


def answer(process, method, path, body=None):
    """Return the status of one request; 0 without a response."""
    url = f"http://{process.address}{path}"
    headers = {"Host": ROUTE_HOST, "Deadline-Ms": "9000"}
    with PoolManager(retries=False, timeout=ANSWER_TIMEOUT_S) as http:
        try:
            return http.request(method, url, body=body, headers=headers).status
        except HTTPError:
            return 0


def is_answered(process, method, path, body=None):
    """Return whether a client that tries again, as Retry-After asks, is answered."""
    for _ in range(TRIES):
        if answer(process, method, path, body) == 200:
            return True
        gevent.sleep(1)
    return False


def check(process, shape, address, bounds, request):
    """Send what the crowd sends; check the process during it and after it."""
    memory_mb, descriptors_max = bounds
    with pressing(shape, address, process) as usage:
        answered_during = is_answered(process, *request)
    answered_after = is_answered(process, *request)
    usage.sample(frozenset())
    print(
        shape.name,
        usage.memory_bytes // MB,
        usage.descriptors,
        answered_during,
        answered_after,
    )
    assert process.is_running
    assert usage.memory_bytes < memory_mb * MB
    assert usage.descriptors < descriptors_max
    assert answered_during
    assert answered_after


def check_daemon(shape, port=None):
    with running_daemon() as daemon:
        host, _, clients_port = daemon.address.rpartition(":")
        address = f"{host}:{port or clients_port}"
        request = ("POST", PATH, json.dumps(ORDINARY))
        check(daemon, shape, address, (MEMORY_MB, SOCKETS_MAX), request)


@pytest.mark.parametrize("shape", CLIENT_SHAPES, ids=name_of)
def test_daemon_stays_within_its_machine(shape):
    check_daemon(shape)


@pytest.mark.parametrize(("port", "shape"), OTHER_SHAPES, ids=name_of)
def test_other_listener_of_a_daemon_stays_within_its_machine(port, shape):
    check_daemon(shape, port)


@contextmanager
def running_entry_host():
    settings = {
        "body_max_bytes": ENTRY_HOST_BODY_MAX_BYTES,
        "connections_max": SOCKETS_MAX - 100,
    }
    layout = ClusterLayout(("Adum",), hosts=1, workers=1, host_settings=settings)
    with running_cluster(layout) as cluster:
        (host,) = cluster.hosts.values()
        await_page(cluster.http, host, "/v1/status", READY_WITHIN_S)
        yield host


@pytest.mark.parametrize("shape", ENTRY_HOST_SHAPES, ids=name_of)
def test_entry_host_stays_within_its_machine(shape):
    with running_entry_host() as host:
        bounds = (ENTRY_HOST_MEMORY_MB, SOCKETS_MAX)
        check(host, shape, host.address, bounds, ("GET", "/v1/status"))


def test_entry_host_reads_no_large_frame_before_a_hello():
    shape = Shape("frame", 16, frame_short_of_its_end(FRAME_MAX_BYTES))
    with running_entry_host() as host:
        bounds = (ENTRY_HOST_MEMORY_MB, SOCKETS_MAX)
        check(host, shape, host.peer_address, bounds, ("GET", "/v1/status"))


def test_entry_host_answers_beside_invalid_datagrams():
    with (
        running_entry_host() as host,
        socket.socket(type=socket.SOCK_DGRAM) as sender,
    ):
        ip, _, port = host.peer_address.rpartition(":")
        for number in range(20_000):
            sender.sendto(b"x" * (number % 4_000), (ip, int(port)))
        assert answer(host, "GET", "/v1/status") == 200
        assert host.is_running
