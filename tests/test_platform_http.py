"""The daemon's HTTP client, compared with one based on ``http.client``."""

import re
import socket
from contextlib import contextmanager, suppress
from http.client import HTTPConnection, HTTPException
from itertools import pairwise
from socket import MSG_PEEK

import gevent
import pytest
from attrs import define, field
from gevent.event import Event
from gevent.server import StreamServer
from hypothesis import given
from hypothesis import strategies as st

from rattanloom.errors import ErrorKind, Failure
from rattanloom.platform.http import HEAD_MAX_BYTES, HEADERS, HttpClient, Response

# Not 127.0.0.1, where other processes may probe ports that are used here next.
HOST = "127.33.0.1"
TIMEOUT_MS = 10_000
REQUEST = ("POST", "/hold", b'{"fencing_token":7}')
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
LAST_CHUNK = b"0\r\nX-Trailer: 1\r\n\r\n"
# Empty lines after an interim response; an encoding of a body that can't exist. The
# status is beyond doubt in both cases, but the reference refuses them.
TOLERATED = re.compile(
    rb" 100.*\r\n(.+\r\n)*\r\n[\r\n]| [23]04 (.*\r\n)+.*chunked", re.I
)
LOST, NOT_SENT = ErrorKind.REPLY_LOST, ErrorKind.PLATFORM_UNREACHABLE


@define(eq=False)
class ReferenceClient:
    """The client whose outcomes ``HttpClient`` must have."""

    address: str
    idle: HTTPConnection | None = None

    def call(self, method: str, path: str, body: bytes | None, timeout_ms: float):
        connection, self.idle = self.idle, None
        if connection is None or not _is_connected(connection):
            connection = HTTPConnection(self.address)
        try:
            connection.request(method, path, body, HEADERS)
            received = connection.getresponse()
            response = Response(received.status, received.read())
        except (HTTPException, OSError):
            connection.close()
            return LOST
        self.idle = connection
        return response


def _is_connected(connection: HTTPConnection) -> bool:
    if connection.sock is None:
        return False
    connection.sock.settimeout(0)
    with suppress(OSError):
        try:
            connection.sock.recv(1, MSG_PEEK)
        except BlockingIOError:
            connection.sock.settimeout(None)
            return True
    return False


@define(eq=False)
class ScriptedServer:
    """Answers the n-th request with the n-th entry of ``script``, a list of pieces.

    Closes the connection after an entry that ends with None.
    """

    script: list[list[bytes | None]]
    requests: list[bytes] = field(factory=list)
    connections: int = 0
    answered: Event = field(factory=Event)

    def serve(self, connection: socket.socket, _: object) -> None:
        self.connections += 1
        while request := _read_request(connection):
            pieces = self.script[len(self.requests)]
            self.requests.append(request)
            for piece in pieces:
                with suppress(OSError):
                    if piece is None:
                        # Takes effect at once, unlike ``close`` under gevent.
                        connection.shutdown(socket.SHUT_RDWR)
                    else:
                        connection.sendall(piece)
                gevent.sleep(0)
            self.answered.set()


def _read_request(connection: socket.socket) -> bytes:
    """Return a request; nothing if the connection is closed."""
    data = bytearray()
    with suppress(OSError):
        while piece := connection.recv(1_000_000):
            data += piece
            head_bytes = data.find(b"\r\n\r\n") + 4
            found = re.search(rb"(?i)content-length: (\d+)", data[:head_bytes])
            length = int(found[1]) if found else 0
            if head_bytes > 4 and len(data) >= head_bytes + length:
                return bytes(data)
    return b""


@contextmanager
def serving(script: list[list[bytes | None]]):
    scripted = ScriptedServer(script)
    server = StreamServer((HOST, 0), scripted.serve)
    server.start()
    try:
        yield scripted, f"{HOST}:{server.server_port}"
    finally:
        server.stop()


def play(make_client, script: list[list[bytes | None]]):
    """Return the outcomes of one call for each entry, and the server."""
    outcomes = []
    with serving(script) as (server, address):
        client = make_client(address)
        for _ in script:
            server.answered.clear()
            outcome = client.call(*REQUEST, TIMEOUT_MS)
            outcomes.append(outcome.kind if isinstance(outcome, Failure) else outcome)
            server.answered.wait()
            gevent.sleep(0)
    return outcomes, server


def make_client(address: str) -> HttpClient:
    return HttpClient(address, 2, 2_000)


@st.composite
def answers(draw):
    """Return the pieces of one answer that is valid HTTP, perhaps cut in its body."""
    version = draw(st.sampled_from([b"1.1", b"1.0"]))
    status = draw(st.sampled_from([200, 204, 304, 404, 409, 412, 421, 503]))
    has_body = status not in (204, 304)
    body = draw(st.binary(max_size=60)) if has_body else b""
    headers = draw(
        st.lists(
            st.sampled_from(
                [
                    b"Connection: close",
                    b"Connection: Keep-Alive",
                    b"content-type: application/json",
                    b"X-Empty:",
                    b"Date:   Fri, 04 Dec 2026 20:00:00 GMT  ",
                ]
            ),
            unique=True,
            max_size=3,
        )
    )
    framings = ["length", "close"] + ["chunked"] * (has_body and version == b"1.1")
    framing = draw(st.sampled_from(framings))
    if framing == "length":
        headers.append(b"CONTENT-length: %d" % len(body))
    elif framing == "chunked":
        headers.append(b"Transfer-Encoding: Chunked")
        body = _chunked(body, draw(st.integers(1, 30)))
    head = b"HTTP/%b %d Any reason\r\n" % (version, status)
    head += b"".join(header + b"\r\n" for header in headers) + b"\r\n"
    interim = b"HTTP/1.1 100 Continue\r\n\r\n" * draw(st.integers(0, 2))
    ending = draw(st.sampled_from(["", "extra", "cut"]))
    sent = interim + head + body
    if ending == "cut":
        # The reference accepts an incomplete last chunk.
        last = len(body.removesuffix(LAST_CHUNK)) if framing == "chunked" else len(body)
        sent = interim + head + body[: draw(st.integers(0, last))]
    elif ending == "extra":
        sent += draw(st.sampled_from([b"\r\n", b"\n", b"x", OK, b"HTTP/1.1 500"]))
    splits = draw(st.lists(st.integers(0, len(sent)), max_size=4).map(sorted))
    pieces = [sent[a:b] for a, b in pairwise([0, *splits, len(sent)]) if a < b]
    closes = framing == "close" or ending == "cut" or draw(st.booleans())
    return [*pieces, None] if closes else pieces


def _chunked(body: bytes, size: int) -> bytes:
    chunks = [body[start : start + size] for start in range(0, len(body), size)]
    framed = (b"%x;name=value\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks)
    return b"".join(framed) + LAST_CHUNK


@given(st.lists(answers(), min_size=1, max_size=4))
def test_outcomes_are_those_of_the_reference(script):
    expected, reference_server = play(ReferenceClient, script)
    outcomes, server = play(make_client, script)
    assert outcomes == expected
    assert len(server.requests) == len(reference_server.requests) == len(script)


@given(answers(), st.data())
def test_altered_answer_has_the_outcome_of_the_reference_or_is_lost(answer, data):
    """The reference accepts some malformed answers; a lost reply is always safe."""
    sent = b"".join(piece for piece in answer if piece)
    start = data.draw(st.integers(0, len(sent)))
    end = min(len(sent), start + data.draw(st.integers(0, 3)))
    altered = sent[:start] + data.draw(st.binary(max_size=3)) + sent[end:]
    script = [[altered, None], [OK]]
    expected, _ = play(ReferenceClient, script)
    outcomes, _ = play(make_client, script)
    assert outcomes[0] in (expected[0], LOST) or TOLERATED.search(altered)
    assert outcomes[1] == Response(200, b"ok")


@pytest.mark.parametrize(
    "answer",
    [
        b"",
        b"HTTP/1.1 200 OK\r\nContent-Le",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nno colon\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nz\r\n",
        b"HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
        b"\r\n" + OK,
        b"HTTP/1.1 099 OK\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        b"HTTP/1.1 20 OK\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"SSH-2.0\r\n",
        b"HTTP/1.1 200 OK\r\nX: " + b"x" * HEAD_MAX_BYTES,
        b"HTTP/1.1 100 Continue\r\n\r\n" * (HEAD_MAX_BYTES // 25 + 1),
    ],
    ids=lambda answer: repr(answer[:60]),
)
def test_reply_that_is_cut_or_malformed_is_lost(answer):
    outcomes, server = play(make_client, [[OK], [answer, None], [OK]])
    assert outcomes == [Response(200, b"ok"), LOST, Response(200, b"ok")]
    assert server.connections == 2


@pytest.mark.parametrize(
    ("answer", "connections"),
    [
        ([OK], 1),
        ([OK[:1], OK[1:30], OK[30:]], 1),
        ([CHUNKED], 1),
        ([b"HTTP/1.1 100 Continue\r\n\r\n" + OK], 1),
        ([OK.replace(b"1.1", b"1.0")], 2),
        ([OK.replace(b"\r\n\r\n", b"\r\nConnection: Close\r\n\r\n")], 2),
        ([OK + b"\r\n"], 2),
        ([OK + OK], 2),
        ([OK, OK], 2),
        ([OK, None], 2),
    ],
    ids=repr,
)
def test_connection_is_reused_only_if_open_and_without_unread_data(answer, connections):
    outcomes, server = play(make_client, [answer, [OK]])
    assert outcomes == [Response(200, b"ok")] * 2
    assert server.connections == connections


@pytest.mark.parametrize("status", [101, 103])
def test_connection_is_not_reused_after_an_interim_response(status):
    interim = b"HTTP/1.1 %d Any\r\n\r\n" % status
    outcomes, server = play(make_client, [[interim], [OK]])
    assert outcomes == [Response(status, b""), Response(200, b"ok")]
    assert server.connections == 2


def test_request_has_the_headers_of_the_client_and_arrives_whole():
    body = b"x" * 8_000_000  # more than a socket's buffers hold
    with serving([[OK], [OK]]) as (server, address):
        client = HttpClient(
            address, 2, 2_000, headers=HEADERS | {"Expect-Instance": "w1"}
        )
        for call in (("POST", "/hold", body), ("GET", "/rows-get?table=t", None)):
            assert client.call(*call, TIMEOUT_MS).status == 200
    shared = f"Host: {address}\r\nContent-Type: application/json\r\nExpect-Instance: w1"
    post = f"POST /hold HTTP/1.1\r\n{shared}\r\nContent-Length: {len(body)}\r\n\r\n"
    get = f"GET /rows-get?table=t HTTP/1.1\r\n{shared}\r\n\r\n"
    assert server.requests == [post.encode() + body, get.encode()]


@pytest.mark.parametrize("text", ["w\r\nX: 1", "w\0", "w\u0416"])
def test_request_with_an_invalid_header_is_not_sent(text):
    with serving([]) as (server, address):
        client = HttpClient(address, 2, 2_000, headers={"Expect-Instance": text})
        assert client.call(*REQUEST, TIMEOUT_MS).kind is NOT_SENT
    assert server.connections == 0


def test_call_that_cannot_connect_is_not_sent(monkeypatch):
    with serving([]) as (_, address):
        pass
    assert make_client(address).call(*REQUEST, TIMEOUT_MS).kind is NOT_SENT
    monkeypatch.setattr(
        "rattanloom.platform.http.create_connection", lambda *_: gevent.sleep(60)
    )
    assert make_client(address).call(*REQUEST, 1).kind is NOT_SENT


def test_reply_that_is_late_is_lost_and_its_connection_and_the_idle_ones_closed():
    with serving([[OK], [OK[:-1]], [OK]]) as (server, address):
        client = make_client(address)
        assert client.call(*REQUEST, TIMEOUT_MS).status == 200
        assert client.call(*REQUEST, 50).kind is LOST
        assert client.call(*REQUEST, TIMEOUT_MS).status == 200
    assert server.connections == 2


def test_killed_call_leaves_no_connection_for_reuse():
    with serving([[OK], [OK[:-1]], [OK]]) as (server, address):
        client = make_client(address)
        assert client.call(*REQUEST, TIMEOUT_MS).status == 200
        server.answered.clear()
        call = gevent.spawn(client.call, *REQUEST, TIMEOUT_MS)
        server.answered.wait()
        call.kill()
        assert client.call(*REQUEST, TIMEOUT_MS).status == 200
    assert server.connections == 2


def test_end_of_a_long_request_is_not_delayed_by_the_kernel():
    with serving([[OK]]) as (_, address):
        client = make_client(address)
        assert client.call(*REQUEST, TIMEOUT_MS).status == 200
        (connection,) = client._idle
        assert connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
