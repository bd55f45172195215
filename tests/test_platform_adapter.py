"""The daemon's decoding of settings, worker entries and jobs; its HTTP client."""

import json
import socket
from contextlib import contextmanager, suppress

import gevent
import pytest
from gevent.server import StreamServer
from hypothesis import given
from hypothesis import strategies as st

from rattanloom.errors import ErrorKind
from rattanloom.ingress.queues import Queue
from rattanloom.links.codec import decode_message, encode_message
from rattanloom.links.messages import Submit
from rattanloom.platform.configuration import parse_configuration
from rattanloom.platform.deployment import load_deployment
from rattanloom.platform.http import HttpClient
from rattanloom.platform.job_format import is_job_id, parse_job_request
from rattanloom.platform.json_format import FormatError
from rattanloom.platform.rows import Row, RowRef
from rattanloom.platform.worker_entries import WorkerEntryParser
from rattanloom.settings import SettingsError

QUEUE = Queue("q", "h.example", "/q/", "service", 1, 3, 1.6, 60)
SETTINGS = {
    "node_name": "edge-a-1",
    "ip": "10.1.0.13",
    "zone": "a",
    "zones": {"a": "r", "b": "r"},
    "listen": {"front": "10.1.0.13:1", "ready": "10.1.0.13:2"},
    "internal_ports": [7720, 7735],
    "platform": {"addr": "10.2.0.1:3", "form": "table"},
    "bounds": {"hold_max_ms": 1000, "grace_s": 6, "remote_factor": 3, "a_new_bound": 1},
    "a_new_field": {"of": "any kind"},
}
ENTRY = {
    "service": "s",
    "addr": "10.3.0.1:8080",
    "zone": "a",
    "state": "ready",
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
    "labels": ["b", "r1-3"],
    "born": 17,
}
JOB = {"spec": "x", "steps": [{"count": 2, "cpu": 500}], "best_effort": True}

json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(
            st.sampled_from(
                [*ENTRY, *JOB, "count", "after", "cpu", "version", "routes", "services"]
            ),
            inner,
            max_size=6,
        )
    ),
    max_leaves=12,
)


def make_row(value: bytes) -> Row:
    return Row(RowRef("servers", "", "w1"), 3, value)


def write_settings(tmp_path, **changes):
    path = tmp_path / "boot.json"
    path.write_text(json.dumps(SETTINGS | changes))
    return path


def test_entry_that_changed_only_in_its_heartbeat_is_not_parsed_again():
    parser = WorkerEntryParser()
    entries = [
        parser.parse(make_row(json.dumps(ENTRY | {"seq": number}).encode()))
        for number in (1, 2)
    ]
    assert entries[0] is entries[1]


def test_entry_with_a_changed_field_is_parsed_again():
    parser = WorkerEntryParser()
    first = parser.parse(make_row(json.dumps(ENTRY).encode()))
    second = parser.parse(make_row(json.dumps(ENTRY | {"state": "draining"}).encode()))
    assert (first.accepting, second.accepting) == (True, False)


def test_settings_with_unknown_fields_are_read(tmp_path):
    deployment = load_deployment(write_settings(tmp_path))
    assert deployment.node == "edge-a-1"
    assert deployment.peer_address == deployment.peer_listen_address
    assert deployment.peer_address == "10.1.0.13:7720"
    assert deployment.bounds.worker_lease_max_ms == 1000
    assert deployment.bounds.remote_factor == 3
    assert deployment.store.address == "10.2.0.1:3"


@pytest.mark.parametrize(
    ("changes", "expected_name"),
    [
        ({"zone": 7}, "zone"),
        ({"listen": {}}, "front"),
        ({"bounds": []}, "bounds"),
        ({"client_limits": {"body_timeout_ms": 0}}, "client_limits"),
        ({"client_connections_max": -1}, "client_connections_max"),
    ],
)
def test_error_for_a_setting_of_wrong_type_names_file_and_field(
    tmp_path, changes, expected_name
):
    path = write_settings(tmp_path, **changes)
    with pytest.raises(SettingsError) as refused:
        load_deployment(path)
    assert str(path) in str(refused.value)
    assert expected_name in str(refused.value)


def test_worker_entry_is_parsed():
    entry = WorkerEntryParser().parse(make_row(json.dumps(ENTRY).encode()))
    assert entry.incarnation_ms == 17
    assert entry.accepting
    assert entry.capacity.cpu_millicores == 16000


@pytest.mark.parametrize(
    "value",
    [
        b"\xff\x00",
        b"[]",
        b"null",
        json.dumps(ENTRY | {"state": "asleep"}).encode(),
        json.dumps(ENTRY | {"capacity": "large"}).encode(),
        json.dumps(ENTRY | {"addr": "nowhere"}).encode(),
        json.dumps({key: ENTRY[key] for key in ENTRY if key != "zone"}).encode(),
    ],
)
def test_malformed_worker_entry_is_refused(value):
    with pytest.raises(FormatError):
        WorkerEntryParser().parse(make_row(value))


@given(json_values)
def test_any_json_is_parsed_or_refused(value):
    content = json.dumps(value).encode()
    for parse in (
        lambda: WorkerEntryParser().parse(make_row(content)),
        lambda: parse_configuration(make_row(content)),
        lambda: parse_job_request("00000000000000aa", content, QUEUE, 1_000),
    ):
        with suppress(FormatError):
            parse()


@pytest.mark.parametrize(
    ("posted", "expected"),
    [("r1-3", "r1-3"), ("r1\n3", ""), ("r" * 101, "")],
    ids=["rack", "not-printable", "too-long"],
)
def test_rack_of_a_step_is_parsed_and_an_impossible_label_ignored(posted, expected):
    body = json.dumps(JOB | {"steps": [{"count": 1, "affinity": posted}]}).encode()
    job = parse_job_request("a" * 16, body, QUEUE, 1_000).job
    assert job.steps[0].affinity == expected
    assert job.policy.queue == QUEUE.name


def test_large_body_leaves_a_small_job():
    # Jobs of large bodies were kept, and sent to placers, at several times their size.
    step = {"count": 1, "after": [0] * 60_000, "required_label": "x" * 100_000}
    body = json.dumps(JOB | {"steps": [{"count": 1}, step]}).encode()
    kept = parse_job_request("a" * 16, body, QUEUE, 1_000).job.steps[1]
    assert kept.after == (0,)
    assert len(kept.required_label) == 201  # labels of workers have up to 200


@given(st.binary(max_size=64))
def test_any_bytes_as_a_job_are_parsed_or_refused(content):
    with suppress(FormatError):
        parse_job_request("00000000000000aa", content, QUEUE, 1_000)


@pytest.mark.parametrize(
    "steps",
    [
        [],
        [{"count": 0}],
        [{"count": -1}],
        [{"count": 1, "cpu": -5}],
        [{"count": 1, "after": [0]}],
        [{"count": 1, "after": [1]}, {"count": 1}],
        [{"count": 1, "after": [-1]}],
        [{"count": 1_000_000}],
        [{"count": True}],
        [{"count": 1, "est_ms": float("nan")}],
        [{"count": 1, "est_ms": float("inf")}],
        [{"count": 1, "est_ms": 3_600_001}],
        [{"count": "2"}],
    ],
)
def test_invalid_steps_are_refused(steps):
    with pytest.raises(FormatError):
        parse_job_request(
            "a" * 16, json.dumps(JOB | {"steps": steps}).encode(), QUEUE, 1_000
        )


def test_job_takes_its_policy_from_the_queue():
    posted = parse_job_request("a" * 16, json.dumps(JOB).encode(), QUEUE, 1_000)
    assert not posted.is_durable
    assert posted.job.policy.max_attempts == 3


@pytest.mark.parametrize(
    ("text", "valid"),
    [("5c0e7a21d94b36f8", True), ("5c0e", False), ("zz0e7a21d94b36f8", False)],
)
def test_job_ids_are_sixteen_hexadecimal_digits(text, valid):
    assert is_job_id(text) is valid


def test_call_under_way_when_the_client_closes_is_a_lost_reply():
    with listening() as address:
        client = HttpClient(address, 2, 200)
        call = gevent.spawn(client.call, "GET", "/", None, 100)
        gevent.sleep(0.02)
        client.close()
        assert call.get().kind is ErrorKind.REPLY_LOST


@contextmanager
def listening():
    """Accept connections and never respond."""
    listener = socket.create_server(("127.0.0.1", 0))
    try:
        yield f"127.0.0.1:{listener.getsockname()[1]}"
    finally:
        listener.close()


def test_connection_that_the_server_closed_is_replaced_before_a_call():
    response = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
    accepted = []

    def serve(connection: socket.socket, _: object) -> None:
        accepted.append(connection)
        connection.recv(1_000)
        connection.sendall(response)

    server = StreamServer(("127.0.0.1", 0), serve)
    server.start()
    try:
        client = HttpClient(f"127.0.0.1:{server.server_port}", 2, 200)
        statuses = [client.call("GET", "/", None, 500).status for _ in range(3)]
    finally:
        server.stop()
    assert statuses == [200, 200, 200]
    assert len(accepted) == 3


@pytest.mark.parametrize(
    ("services", "expected"),
    [
        ([{"name": "s", "admission_control": True, "standby": False}], True),
        ([{"name": "s"}, {"name": "other", "admission_control": True}], False),
        ([], False),
    ],
)
def test_queue_knows_whether_its_workers_guard_their_capacity(services, expected):
    route = {"name": "q", "host": "h", "path_prefix": "/q/", "service": "s"}
    document = {"version": 1, "routes": [route], "services": services}
    (queue,) = parse_configuration(make_row(json.dumps(document).encode())).queues
    assert queue.guards_capacity is expected
    job = parse_job_request("00000000000000aa", json.dumps(JOB).encode(), queue, 1_000)
    message = decode_message(encode_message(Submit(job.job, ())))
    assert message.job.policy.guards_capacity is expected
