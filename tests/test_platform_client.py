"""The stand-alone version's platform client: lost responses, refused requests."""

from contextlib import contextmanager

import pytest
from attrs import evolve

from rattanloom.errors import ErrorKind, Failure
from rattanloom.platform.client import PlatformClient
from rattanloom.platform.protocol import (
    ABSENT,
    Change,
    Committed,
    Conflicted,
    ListedTarget,
    Row,
)
from standins.platform import serving
from standins.platform_state import PlatformState, PlatformSwitches

TIMEOUT_MS = 200


@contextmanager
def serving_platform(switches=None, timeout_ms=5_000):
    state = PlatformState(switches=switches or PlatformSwitches())
    with serving(state, "127.0.0.1:0") as server:
        client = PlatformClient(f"127.0.0.1:{server.server_port}", timeout_ms)
        yield state, client
        client.close()


def insert(client, key="a", value="1"):
    return client.transact([Change(key, ABSENT, value)])


def failure_kind(result):
    assert isinstance(result, Failure), result
    return result.kind


def test_transaction_applies_all_changes_or_none():
    with serving_platform() as (_, client):
        assert insert(client) == Committed((Row("a", 1, "1"),))
        both = [Change("b", ABSENT, "2"), Change("a", ABSENT, "3")]
        assert client.transact(both) == Conflicted((Row("a", 1, "1"),))
        assert client.read(["a", "b"]) == (Row("a", 1, "1"),)
        assert client.transact([Change("a", 1, None)]) == Committed((Row("a", 0, ""),))
        assert client.scan("", 10) == ()


def test_objects_and_hosts_are_served():
    with serving_platform() as (state, client):
        assert client.put("config/x y", b"\x00text") is None
        assert client.put("config/x y", b"\x00text") is None
        assert failure_kind(client.put("config/x y", b"other")) is ErrorKind.CONFLICT
        assert client.get("config/x y") == b"\x00text"
        assert failure_kind(client.get("none")) is ErrorKind.NOT_FOUND
        target = ListedTarget("w1", "Adum", "127.0.0.1:1", 8, 64)
        state.hosts.replace((target,), 0)
        listed = client.listed_targets()
        assert listed == (target,)
        assert client.listed_targets() is listed
        state.hosts.replace((evolve(target, leaving=True),), 0)
        assert client.listed_targets()[0].leaving


def test_write_without_response_fails_as_reply_lost_and_takes_effect():
    with serving_platform(PlatformSwitches(lose_replies=True)) as (state, client):
        assert failure_kind(insert(client)) is ErrorKind.REPLY_LOST
        assert failure_kind(client.put("o", b"x")) is ErrorKind.REPLY_LOST
        assert state.table.rows["a"].value == "1"
        assert state.objects == {"o": b"x"}


@pytest.mark.parametrize(
    "switches",
    [
        PlatformSwitches(down=True),
        PlatformSwitches(write_limit_per_s=1, read_limit_per_s=1),
    ],
)
def test_refused_request_has_no_effect(switches):
    with serving_platform(switches) as (state, client):
        results = [insert(client, f"k{number}") for number in range(20)]
        refused = [result for result in results if isinstance(result, Failure)]
        assert refused
        assert {failure.kind for failure in refused} == {ErrorKind.PLATFORM_UNREACHABLE}
        assert len(state.table.rows) == len(results) - len(refused)


def test_refused_connection_fails_as_platform_unreachable():
    with serving_platform() as (_, client):
        address = client.address
    assert failure_kind(insert(client)) is ErrorKind.PLATFORM_UNREACHABLE
    client = PlatformClient(address)
    assert failure_kind(insert(client)) is ErrorKind.PLATFORM_UNREACHABLE
    assert failure_kind(client.read(["a"])) is ErrorKind.PLATFORM_UNREACHABLE


def test_call_to_a_stalled_platform_times_out():
    with serving_platform(PlatformSwitches(stall=True), TIMEOUT_MS) as (state, client):
        assert failure_kind(client.read(["a"])) is ErrorKind.PLATFORM_UNREACHABLE
        assert failure_kind(insert(client)) is ErrorKind.REPLY_LOST
        state.switch({"stall": False})
        assert isinstance(insert(client, "b"), Committed)


def test_cut_off_platform_is_unreachable_until_it_is_unblocked():
    with serving_platform(timeout_ms=TIMEOUT_MS) as (state, client):
        client.link_filter.block([client.address])
        assert failure_kind(insert(client)) is ErrorKind.PLATFORM_UNREACHABLE
        assert not state.table.rows
        client.link_filter.unblock()
        assert isinstance(insert(client), Committed)
