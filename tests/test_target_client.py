"""Failures that the client returns for lost, wrong or malformed replies."""

import json
from contextlib import contextmanager
from socket import create_server

import gevent
import pytest

from rattanloom.errors import ErrorKind
from rattanloom.targets.client import TargetClient
from rattanloom.targets.protocol import Attempt, AttemptState
from standins.worker import Worker, serving
from tests.dispatch_utils import until

REPLY_TIMEOUT_MS = 2_000.0


def attempt(number=1):
    return Attempt(
        f"j.0.1.{number}", "j", 0, number, "k", '{"ms": 1}', 1, 1, 100, 5_000
    )


def reply_body(**changes):
    return json.dumps({"attempt_id": "j.0.1.1", "state": "done", **changes}).encode()


@contextmanager
def raw_worker(respond):
    """Accept connections; ``respond(socket)`` serves each after its request."""
    with create_server(("127.0.0.1", 0)) as listener:

        def accept():
            while True:
                connection, _ = listener.accept()
                connection.recv(65_536)
                respond(connection)

        server = gevent.spawn(accept)
        host, port = listener.getsockname()
        client = TargetClient("w", f"{host}:{port}", 4)
        try:
            yield client
        finally:
            client.close()
            server.kill()


def http_response(body, status="200 OK"):
    def respond(connection):
        head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n"
        connection.sendall(head.encode() + body)

    return respond


def test_refused_connection_means_not_started():
    with create_server(("127.0.0.1", 0)) as listener:
        host, port = listener.getsockname()
    client = TargetClient("w", f"{host}:{port}", 4)
    assert client.start(attempt(), REPLY_TIMEOUT_MS).kind is ErrorKind.NO_TARGETS


@pytest.mark.parametrize(
    "respond",
    [
        lambda connection: connection.close(),
        http_response(reply_body(attempt_id="j.0.1.2")),
        http_response(reply_body(state="finished")),
        http_response(b'{"attempt_id": "j.0.1.1"}'),
        http_response(b"[]"),
        http_response(b"done"),
        http_response(reply_body(), status="500 Oops"),
        http_response(reply_body()[:-1], status="302 Found"),
    ],
    ids=["closed", "other", "state", "short", "list", "text", "error", "redirect"],
)
def test_closed_wrong_or_malformed_reply_leaves_the_outcome_unknown(respond):
    with raw_worker(respond) as client:
        failure = client.start(attempt(), REPLY_TIMEOUT_MS)
        assert failure.kind is ErrorKind.OUTCOME_UNKNOWN


def test_start_gives_up_after_the_reply_timeout():
    with raw_worker(lambda connection: gevent.sleep(60)) as client:
        failure = client.start(attempt(), 20)
        assert failure.kind is ErrorKind.OUTCOME_UNKNOWN


def test_idle_connection_is_reused_until_it_is_dropped():
    worker = Worker("w", "Adum")
    with serving(worker, "127.0.0.1:0") as server:
        client = TargetClient("w", f"127.0.0.1:{server.server_port}", 4)
        for number in range(3):
            reply = client.start(attempt(number), REPLY_TIMEOUT_MS)
            assert reply.state is AttemptState.DONE
        assert len(server.connections) == 1
        client.close_idle()
        assert client.start(attempt(4), REPLY_TIMEOUT_MS).state is AttemptState.DONE
        assert len(server.connections) == 1
        client.drop_connections()
        until(lambda: not server.connections)
        assert client.start(attempt(5), REPLY_TIMEOUT_MS).state is AttemptState.DONE
