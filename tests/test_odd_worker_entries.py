"""Entries of another writer among the workers name no worker and harm no other."""

import json
from base64 import b64encode
from random import Random
from types import SimpleNamespace

import gevent
import pytest

from rattanloom.platform.json_format import FormatError
from rattanloom.platform.rows import Row, RowRef
from rattanloom.platform.worker_entries import WorkerEntryParser
from rattanloom.registry import MISSING_GRACE_MS, Registry
from soak.clients import Balancer, Client
from soak.deployment import (
    PATH_PREFIX,
    ZONES,
    Deployment,
    DeploymentSize,
    running_deployment,
)
from soak.history import ClientJob, History
from tests.dispatcher_fakes import CLOCK, wait_for

ENTRY = {
    "service": "commissions-desk",
    "addr": "127.0.0.1:1",
    "zone": ZONES[0],
    "state": "ready",
    "capacity": {"cpu": 32_000, "mem_mb": 65_536, "gpu": 0},
    "labels": ["a", "r1-3"],
    "cold_left_ms": 0,
    "born": 17,
    "seq": 4,
}
ODD_FIELDS = {
    "cpu-400-digits": {"capacity": {"cpu": 10**399}},
    "memory-400-digits": {"capacity": {"cpu": 1, "mem_mb": 10**399}},
    "gpus-too-many": {"capacity": {"cpu": 1, "gpu": 2**64}},
    "cpu-negative": {"capacity": {"cpu": -1}},
    "memory-negative": {"capacity": {"cpu": 1, "mem_mb": -1}},
    "port-too-large": {"addr": "127.0.0.1:99999"},
    "port-0": {"addr": "127.0.0.1:0"},
    "port-superscript": {"addr": "127.0.0.1:²"},
    "port-5000-digits": {"addr": "127.0.0.1:" + "1" * 5_000},
    "host-line-break": {"addr": "127.0.0.1\r\nX: y:80"},
    "host-empty-label": {"addr": "a..b:80"},
    "host-long-label": {"addr": "a" * 64 + ".example:80"},
    "host-too-long": {"addr": "a." * 150 + "b:80"},
    "host-not-ascii": {"addr": "h\u00f4st\u3002\u3002:80"},
    "host-empty": {"addr": ":80"},
    "born-1e30": {"born": 10**30},
    "born-float": {"born": 1e30},
    "born-negative": {"born": -1},
    "service-empty": {"service": ""},
    "service-too-long": {"service": "s" * 201},
    "zone-line-break": {"zone": "adum\nb"},
    "label-too-long": {"labels": ["l" * 201]},
    "labels-too-many": {"labels": [str(number) for number in range(200)]},
    "capacity-null": {"capacity": None},
}
ODD_BYTES = {
    "deeply-nested": b'{"capacity":' + b"[" * 60_000,
    "deeply-nested-objects": b'{"a":' * 10_000 + b"1" + b"}" * 10_000,
    "not-utf-8": b"\xff\xfe",
    "empty": b"",
}
ODD_VALUES = ODD_BYTES | {
    name: json.dumps(ENTRY | fields).encode() for name, fields in ODD_FIELDS.items()
}


def make_row(value: bytes, version: int = 1, key: str = "w1") -> Row:
    return Row(RowRef("servers", "", key), version, value)


def encode_entry(**changes: object) -> bytes:
    return json.dumps(ENTRY | changes).encode()


@pytest.mark.parametrize("name", ODD_VALUES)
def test_odd_entry_is_refused_with_a_short_reason(name):
    with pytest.raises(FormatError) as refused:
        WorkerEntryParser().parse(make_row(ODD_VALUES[name]))
    assert 0 < len(str(refused.value)) <= 200


@pytest.mark.parametrize("key", ["", "w\n1", "w" * 201])
def test_entry_with_an_odd_id_is_refused(key):
    with pytest.raises(FormatError):
        WorkerEntryParser().parse(make_row(encode_entry(), key=key))


@pytest.mark.parametrize(
    "address", ["10.0.0.1:1", "worker-1.example:65535", "[::1]:80", "host_2:09000"]
)
def test_usual_addresses_are_accepted(address):
    entry = WorkerEntryParser().parse(make_row(encode_entry(addr=address)))
    assert entry.address == address


def test_worker_whose_entry_became_odd_gets_no_task_and_is_gone_after_the_grace(
    monkeypatch,
):
    monkeypatch.setattr("rattanloom.registry.MISSING_GRACE_MS", 50)
    changes = []
    registry = Registry(CLOCK, lambda: changes.append(1))
    registry.apply_snapshot([make_row(encode_entry())])
    assert registry.entries["w1"].accepting
    registry.apply_rows([make_row(b"odd", 2)])
    assert not registry.entries["w1"].accepting
    assert len(changes) == 2
    gevent.sleep(0.1)
    assert "w1" not in registry.entries


def test_worker_whose_odd_entry_is_replaced_in_time_is_used_again(monkeypatch):
    monkeypatch.setattr("rattanloom.registry.MISSING_GRACE_MS", 50)
    registry = Registry(CLOCK, lambda: None)
    registry.apply_snapshot([make_row(encode_entry())])
    registry.apply_rows([make_row(b"odd", 2)])
    registry.apply_rows([make_row(encode_entry(seq=5), 3)])
    gevent.sleep(0.1)
    assert registry.entries["w1"].accepting


def test_odd_entry_is_logged_once_and_does_not_stop_the_others(monkeypatch):
    logged = []
    log = SimpleNamespace(warning=lambda event, **fields: logged.append(event))
    monkeypatch.setattr("rattanloom.registry.log", log)
    registry = Registry(CLOCK, lambda: None)
    rows = [make_row(b"odd", 2), make_row(encode_entry(), 3, "w2")]
    for _ in range(3):
        registry.apply_snapshot(rows)
    assert set(registry.entries) == {"w2"}
    assert logged == ["entry_unreadable"]
    registry.apply_rows([make_row(b"odd again", 4)])
    assert len(logged) == 2


def write_odd_rows(deployment: Deployment, workers: list[str]) -> None:
    """Write all odd values as own rows, and some over the rows of live workers."""
    values = ODD_VALUES | dict(zip(workers, ODD_VALUES.values(), strict=False))
    for key, value in values.items():
        row = {"table": "servers", "key": key, "value": b64encode(value).decode()}
        deployment.post(deployment.store.address, "/standin/rows", [row])


def read_logs(deployment: Deployment) -> list[dict]:
    """Return the lines of all daemons; fails on a line that is not structured."""
    return [
        json.loads(line)
        for daemon in deployment.daemons.values()
        for line in daemon.log_path.read_text().splitlines()
    ]


def complete_job(deployment: Deployment, daemon: str, random: Random) -> bool:
    """Return whether one short job of a daemon's client completes."""
    client = Client(
        "", deployment, Balancer(deployment), History(), random, daemon=daemon
    )
    spec = json.dumps({"ms": 20, "cpu": 1_000, "mem_mb": 64, "est_ms": 20})
    job_id = f"{random.getrandbits(64):016x}"
    job = ClientJob(job_id, "swatch", spec, 2, 1_500.0, PATH_PREFIX)
    return client._send(job).state == "complete"


@pytest.mark.parametrize("workers", [2, 24], ids=["one-owner", "owner-a-zone"])
def test_daemons_serve_jobs_beside_odd_entries(workers):
    """The entries are there at the start, and written again over live workers'."""
    random = Random(1)
    with running_deployment(
        DeploymentSize(daemons=1, workers=workers),
        random,
        lambda daemon: None,
        lambda deployment: write_odd_rows(deployment, []),
    ) as deployment:
        for _ in range(2):
            for daemon in deployment.daemons:
                assert wait_for(lambda d=daemon: complete_job(deployment, d, random))
            write_odd_rows(deployment, [f"worker-{ZONES[0]}-1", f"worker-{ZONES[1]}-2"])
            gevent.sleep(MISSING_GRACE_MS / 1_000)
        assert all(daemon.is_running for daemon in deployment.daemons.values())
        lines = read_logs(deployment)
        assert not [line for line in lines if line["event"] == "task_failed"]
        unreadable = [line for line in lines if line["event"] == "entry_unreadable"]
        assert {line["worker"] for line in unreadable} >= set(ODD_VALUES)
        assert max(len(json.dumps(line)) for line in unreadable) < 1_000
