"""Stand-ins for the daemons' store and workers, called by the platform adapter."""

import io
import json
from contextlib import contextmanager

import gevent
import pytest
from attrs import evolve

from rattanloom.errors import ErrorKind, Failure
from rattanloom.placement.workers import (
    RefusalReason,
    Refused,
    Renewal,
    RunOutcome,
    Started,
    StartOrder,
)
from rattanloom.platform.rows import Committed, Condition, Conflicted, RowRef
from rattanloom.platform.store import StoreClient
from rattanloom.platform.workers import WorkerClient
from standins.handler import serving_at
from standins.pool import StandinWorker
from standins.run_table import WorkerSettings, WorkerSwitches
from standins.store import Store, StoreSwitches
from tests.dispatcher_fakes import CLOCK
from tests.peer_hosts import free_address

TABLE = "t"
ONE = RowRef(TABLE, "", "one")
SPEC = {"ms": 40, "cpu": 14_000, "mem_mb": 64}


@contextmanager
def running_store():
    store = Store(switches=StoreSwitches(latency_ms=0))
    address = free_address()
    with serving_at(address, store.application()):
        yield store, StoreClient(address, lambda name, word: None)


@contextmanager
def running_worker(**switches):
    address = free_address()
    settings = WorkerSettings("w1", "a", address, address)
    worker = StandinWorker(settings, CLOCK, io.StringIO())
    worker.table.switches = WorkerSwitches(**switches)
    with serving_at(address, worker.application()):
        yield worker, WorkerClient("w1", address)


def order(
    worker, index=0, attempt=1, token=5, lease_ms=900, **spec_changes
) -> StartOrder:
    until_ms = worker.table.clock_ms() + lease_ms
    spec = json.dumps(SPEC | spec_changes)
    return StartOrder(f"aa.0.0.{index}", attempt, spec, until_ms, token)


def test_transaction_applies_only_if_versions_match():
    with running_store() as (_, client):
        assert isinstance(client.transact((), ((ONE, b"1"),)), Committed)
        conflict = client.transact((Condition(ONE, 0),), ((ONE, b"2"),))
        assert isinstance(conflict, Conflicted)
        (row,) = client.read(TABLE).rows
        assert row.value == b"1"


def test_feed_returns_changes_until_their_history_is_dropped():
    with running_store() as (store, client):
        waiting = gevent.spawn(client.poll_changes, TABLE, 0, 2_000)
        gevent.sleep(0.02)
        client.transact((), ((ONE, b"1"),))
        assert [row.value for row in waiting.get().rows] == [b"1"]
        client.transact((), (), (ONE,))
        assert [row.deleted for row in client.poll_changes(TABLE, 1, 0).rows] == [True]
        store.rows.drop_history()
        assert client.poll_changes(TABLE, 1, 0).kind is ErrorKind.HISTORY_GONE


def test_write_with_a_lost_reply_takes_effect():
    with running_store() as (store, client):
        store.switches = StoreSwitches(latency_ms=0, lose_replies=1)
        reply = client.transact((), ((ONE, b"1"),))
        assert isinstance(reply, Failure)
        assert reply.kind is ErrorKind.REPLY_LOST
        assert len(client.read(TABLE).rows) == 1


def test_write_to_a_store_that_is_down_has_no_effect():
    with running_store() as (store, client):
        store.switches = StoreSwitches(latency_ms=0, down=True)
        assert isinstance(client.transact((), ((ONE, b"1"),)), Failure)
        assert store.rows.version == 0


def test_row_that_is_not_renewed_expires():
    with running_store() as (store, client), running_expiry(store):
        store.rows.transact((), ())
        row = {"table": "servers", "key": "w", "value": "", "ttl_ms": 50}
        client._http.call("POST", "/standin/rows", json.dumps([row]).encode(), 500)
        assert len(client.read("servers").rows) == 1
        gevent.sleep(0.3)
        assert client.read("servers").rows == ()


@contextmanager
def running_expiry(store):
    expiring = gevent.spawn(store.expire_rows)
    try:
        yield
    finally:
        expiring.kill()


def test_worker_runs_a_task_and_reports_its_outcome():
    with running_worker() as (worker, client):
        assert isinstance(client.start(order(worker)), Started)
        report = client.renew(Renewal(5, 0, None, 1_000))
        assert [run.outcome for run in report.ended] == [RunOutcome.DONE]
        assert client.renew(Renewal(5, 1, None, 0)).ended == ()


def test_report_of_a_worker_with_many_finished_runs_lists_the_first_ones():
    with running_worker() as (worker, client):
        worker.table.finished_runs += [
            [number, f"aa.0.0.{number}", 1, "done", ""] for number in range(1, 601)
        ]
        first = client.renew(Renewal(5, 0, None, 0))
        second = client.renew(Renewal(5, first.ended[-1].number, None, 0))
    assert [len(first.ended), len(second.ended)] == [500, 100]
    assert [first.lists_all_ends, second.lists_all_ends] == [False, True]


@pytest.mark.parametrize(
    ("changes", "refusal"),
    [
        ({"token": 4}, RefusalReason.FENCED),
        ({"lease_ms": -10}, RefusalReason.LEASE_EXPIRED),
        ({"index": 7}, RefusalReason.NO_ROOM),
    ],
)
def test_worker_refuses(changes, refusal):
    with running_worker(speed=0.0) as (worker, client):
        for index in range(2):
            client.start(order(worker, index))
        reply = client.start(order(worker, **({"index": 8} | changes)))
        assert isinstance(reply, Refused)
        assert reply.refusal is refusal


def test_start_of_a_stopped_attempt_is_refused():
    with running_worker() as (worker, client):
        client.start(order(worker, attempt=2))
        client.stop("aa.0.0.0", 2, 5)
        client.renew(Renewal(5, 0, None, 500))
        reply = client.start(order(worker, attempt=2))
        assert reply.refusal is RefusalReason.ATTEMPT_TOO_OLD


def test_runs_expire_with_their_lease():
    with running_worker(speed=0.0) as (worker, client):
        client.start(order(worker, lease_ms=60))
        gevent.sleep(0.15)
        report = client.renew(Renewal(5, 0, None, 0))
        assert [run.outcome for run in report.ended] == [RunOutcome.EXPIRED]


def test_late_start_takes_effect_although_its_response_is_lost():
    with running_worker(late_orders=1, late_ms=50, speed=0.0) as (worker, client):
        reply = client.start(order(worker))
        assert reply.kind is ErrorKind.REPLY_LOST
        assert client.renew(Renewal(5, 0, None, 0)).running


def test_new_incarnation_has_no_state_of_the_previous_one():
    with running_worker(speed=0.0) as (worker, client):
        client.start(order(worker))
        start_wall_ms = worker.table.start_wall_ms
        gevent.sleep(0.005)
        worker.crash()
        report = client.renew(Renewal(1, 0, None, 0))
        assert report.incarnation_ms > start_wall_ms
        assert report.running == ()


def test_worker_crashes_under_a_task_and_returns_under_another_id():
    with running_worker() as (worker, client):
        worker.worker_settings = evolve(
            worker.worker_settings, crash_down_ms=50, renamed_by_crash=True
        )
        client.start(order(worker, crash_index=0))
        gevent.sleep(0.02)
        assert isinstance(client.renew(Renewal(5, 0, None, 0)), Failure)
        gevent.sleep(0.08)
        reply = client.renew(Renewal(5, 0, None, 0))
        assert reply.refusal is RefusalReason.OTHER_WORKER
        assert worker.registered_id != worker.worker_settings.worker_id


@pytest.mark.parametrize(("guards", "starts"), [(True, 1), (False, 2)])
def test_shrunk_worker_starts_what_its_capacity_allows_if_it_guards_it(guards, starts):
    with running_worker(speed=0.0, capacity_share=0.5) as (worker, client):
        worker.worker_settings = evolve(worker.worker_settings, guards_capacity=guards)
        worker.table.worker_settings = worker.worker_settings
        for index in range(2):
            client.start(order(worker, index))
        assert len(worker.table.runs) == starts
        assert worker.entry("desk")["capacity"]["cpu"] == 16_000


def test_change_during_the_delay_of_a_reply_is_not_lost():
    with running_store() as (store, client):
        client.transact((), ((ONE, b"1"),))
        store.switches = StoreSwitches(latency_ms=100)
        read = gevent.spawn(client.poll_changes, TABLE, 0, 1_000)
        gevent.sleep(0.15)
        store.rows.transact((), ((RowRef(TABLE, "", "two"), "Mg=="),))
        changes = read.get()
        store.switches = StoreSwitches(latency_ms=0)
        later = client.poll_changes(TABLE, changes.version, 0)
    keys = [row.ref.key for row in (*changes.rows, *later.rows)]
    assert keys == ["one", "two"]


def test_row_changed_between_two_pages_of_a_read_is_among_the_later_changes():
    with running_store() as (store, client):
        refs = [RowRef(TABLE, "", f"k{number:03}") for number in range(600)]
        store.write([(ref, "MQ==") for ref in refs])
        store.switches = StoreSwitches(latency_ms=50)
        reading = gevent.spawn(client.read, TABLE)
        gevent.sleep(0.08)
        store.write([(refs[0], "Mg==")])
        snapshot = reading.get()
        store.switches = StoreSwitches(latency_ms=0)
        later = client.poll_changes(TABLE, snapshot.version, 0)
    assert len(snapshot.rows) == 600
    assert (refs[0], b"2") in [(row.ref, row.value) for row in later.rows]
