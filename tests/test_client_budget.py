"""The budget of all clients, and requests that are limited while they are read."""

from contextlib import contextmanager
from functools import partial

import pytest
from gevent import socket, spawn
from hypothesis import given
from hypothesis import strategies as st

from rattanloom.serving.budget import ACTIVE_BYTES, IDLE_BYTES, ClientBudget
from rattanloom.serving.http_request import RequestReader, RequestRefusedError
from rattanloom.serving.limits import RequestLimits
from tests.test_client_api import BODY, fetch, make_post, send, serve_api

LIMITS = RequestLimits(body_bytes_max=20_000)
HEAD = b"POST /q/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNKED = HEAD + b"5\r\n\r\n\r\nx\r\n3;ext=1\r\nabc\r\n0\r\nTrailer: t\r\n\r\n"
NEXT = b"GET /next HTTP/1.1\r\nHost: h\r\n\r\n"


class Clock:
    """A clock that the test advances."""

    ms = 0.0

    def now_ms(self):
        return self.ms


def crowd(memory_bytes, connections_max=100, clients=3):
    """Return a budget, its listener, and connections that note when they are closed."""
    budget = ClientBudget(memory_bytes, stalled_after_ms=100, clock=Clock())
    listener = budget.add_listener("clients", connections_max)
    closed = []
    holdings = []
    for number in range(clients):
        budget.clock.ms += 1
        holdings.append(budget.admit(listener, partial(closed.append, number)))
    return budget, listener, holdings, closed


def test_full_listener_closes_the_oldest_connection_that_waits_for_its_client():
    budget, listener, holdings, closed = crowd(10_000_000, connections_max=3)
    assert holdings[0].begin_request() and holdings[0].begin_serving()
    assert budget.admit(listener, lambda: None) is not None
    assert closed == [1]
    assert budget.held_bytes == 3 * IDLE_BYTES + ACTIVE_BYTES


def test_connection_is_refused_if_all_others_are_served():
    budget, listener, holdings, closed = crowd(10_000_000, connections_max=3)
    assert all(one.begin_request() and one.begin_serving() for one in holdings)
    assert budget.admit(listener, lambda: None) is None
    assert not closed
    assert budget.metrics.counters["client_requests_refused", "clients/connections"]


def test_large_request_takes_the_memory_of_a_stalled_one_but_no_recent_one():
    budget, _, (first, second, _), closed = crowd(1_000_000)
    assert first.begin_request() and first.take_large(500_000)
    assert second.begin_request()
    spawn(setattr, budget.clock, "ms", 1_000)  # when the second one begins to wait
    assert second.take_large(500_000)
    assert closed == [0]
    assert not first.begin_serving()


def test_large_requests_leave_memory_for_ordinary_ones():
    budget, _, (first, second, _), closed = crowd(1_000_000)
    assert first.begin_request() and first.begin_serving()
    budget.stalled_after_ms = 10_000
    spawn(setattr, budget.clock, "ms", 1_000)  # when the request begins to wait
    assert not first.take_large(budget.large_max_bytes)
    assert second.begin_request() and second.begin_serving()
    assert not closed


def test_flood_of_refusals_is_logged_once_a_second():
    lines = []
    budget = ClientBudget(clock=Clock(), log=lines.append)
    listener = budget.add_listener("clients", 1)
    for _ in range(1_000):
        budget.count_refused(listener, "memory")
    budget.clock.ms = 1_000
    budget.count_refused(listener, "memory")
    assert [sum(line.values()) for line in lines] == [1, 1_000]


@contextmanager
def reading(*pieces):
    """Send pieces to a reader, one by one."""
    client, server = socket.socketpair()
    budget = ClientBudget()
    holding = budget.admit(budget.add_listener("clients", 1), server.close)
    holding.begin_request()
    with client, server:
        spawn(lambda: [client.sendall(piece) for piece in pieces])
        yield RequestReader(server, holding)


@given(st.lists(st.integers(1, len(CHUNKED + NEXT) - 1), max_size=4))
def test_chunked_body_and_the_request_behind_it_are_read_however_they_arrive(cuts):
    content, ends = CHUNKED + NEXT, sorted({0, *cuts, len(CHUNKED + NEXT)})
    pieces = [content[begin:end] for begin, end in zip(ends, ends[1:], strict=False)]
    with reading(*pieces) as reader:
        body = reader.read_body(reader.read_head(LIMITS), LIMITS.body_bytes_max)
        assert body == b"\r\n\r\nxabc"
        assert reader.read_head(LIMITS).target == "/next"


@pytest.mark.parametrize(
    ("content", "status"),
    [
        (HEAD + b"1\r\nx\r\n" * 9_000, 413),
        (HEAD + b"ffff\r\n" + b"x" * 65_535, 413),
        (HEAD + b"0\r\n" + b"X: y\r\n" * 9_000, 413),
        (b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 101 + b"\r\n", 431),
        (b"GET /" + b"x" * 9_000, 414),
        (b"\r\n" * 5_000, 400),
    ],
)
def test_request_beyond_a_limit_is_refused_before_its_end(content, status):
    with reading(content) as reader, pytest.raises(RequestRefusedError) as refused:
        reader.read_body(reader.read_head(LIMITS), LIMITS.body_bytes_max)
    assert refused.value.status == status


def test_refused_request_is_not_submitted_and_the_client_gets_the_response():
    with serve_api() as (port, router):
        status, _ = fetch(port, make_post(b"x" * 3_000) + b"x" * 500_000)
        assert status == 413
        assert not router.submitted


def test_body_is_asked_for_if_the_client_waits_for_that():
    body = str(BODY).replace("'", '"').replace("True", "true").encode()
    head = make_post(body, headers="Expect: 100-continue\r\n").removesuffix(body)
    with serve_api() as (port, _), send(port, head) as client:
        assert client.recv(1_000) == b"HTTP/1.1 100 Continue\r\n\r\n"
        client.sendall(body)
        assert client.recv(1_000).startswith(b"HTTP/1.1 200")
