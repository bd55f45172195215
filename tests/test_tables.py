"""Following a table of the metadata store through outages and lost history."""

from contextlib import contextmanager

import gevent
from attrs import define, field
from gevent.event import Event

from rattanloom.background import spawn_restarting
from rattanloom.platform.rows import Row, RowRef, TableSnapshot
from rattanloom.registry import Registry
from rattanloom.tables import TableFollower
from tests.dispatcher_fakes import CLOCK, FakeStore, wait_for

REF = RowRef("t", "", "k")


@contextmanager
def following(store: FakeStore):
    seen, snapshots = [], []
    follower = TableFollower(
        store, "t", CLOCK, snapshots.append, lambda rows: seen.extend(rows)
    )
    greenlet = gevent.spawn(follower.run)
    try:
        yield seen, snapshots
    finally:
        greenlet.kill()


def test_changes_arrive_in_order():
    store = FakeStore()
    with following(store) as (seen, snapshots):
        assert wait_for(lambda: snapshots)
        for value in (b"1", b"2", b"3"):
            store.transact((), [(REF, value)])
        assert wait_for(lambda: seen and seen[-1].value == b"3")
        versions = [row.version for row in seen]
        assert versions == sorted(versions)


def test_following_continues_after_an_outage():
    store = FakeStore()
    with following(store) as (seen, snapshots):
        assert wait_for(lambda: snapshots)
        store.down = True
        gevent.sleep(0.2)
        store.down = False
        store.transact((), [(REF, b"after")])
        assert wait_for(lambda: seen and seen[-1].value == b"after")


def test_changes_that_one_read_does_not_return_are_read_without_a_pause():
    store = FakeStore(rows_per_read_max=500)
    seen = []
    follower = TableFollower(
        store, "t", CLOCK, lambda rows: None, seen.extend, pause_ms=lambda: 1_400
    )
    follower.version = 0
    for number in range(1, 601):
        ref = RowRef("t", "", f"k{number}")
        store.rows[ref] = Row(ref, number, b"x")
    store.version = 600
    greenlet = gevent.spawn(follower.run)
    try:
        assert wait_for(lambda: len(seen) == 600, 1.0)
    finally:
        greenlet.kill()


def test_table_is_read_in_full_after_a_long_pause():
    store = FakeStore()
    pause_ms = 2_000
    snapshots, seen = [], []
    follower = TableFollower(
        store, "t", CLOCK, snapshots.append, seen.extend, pause_ms=lambda: pause_ms
    )
    greenlet = gevent.spawn(follower.run)
    try:
        assert wait_for(lambda: snapshots)
        for value in range(10):
            store.transact((), [(REF, b"%d" % value)])
        pause_ms = 1_600
        assert wait_for(lambda: len(snapshots) == 2)
    finally:
        greenlet.kill()
    assert [row.value for row in snapshots[1]] == [b"9"]
    assert not seen


def test_table_is_read_again_when_the_store_dropped_the_history():
    store = FakeStore()
    with following(store) as (_, snapshots):
        assert wait_for(lambda: snapshots)
        store.transact((), [(REF, b"x")])
        store.history_from = store.version + 1
        assert wait_for(lambda: len(snapshots) > 1)
        store.history_from = 0
        assert [row.value for row in snapshots[-1]] == [b"x"]


def test_registry_is_not_complete_right_after_the_first_read():
    registry = Registry(CLOCK, lambda: None)
    assert not registry.is_complete()
    registry.apply_snapshot(())
    assert not registry.is_complete()


def test_staleness_grows_while_reads_fail_and_ends_with_the_next_success():
    store = FakeStore(down=True)
    follower = TableFollower(
        store, "t", CLOCK, lambda rows: None, lambda rows: None, pause_ms=lambda: 0
    )
    gevent.sleep(0.05)
    greenlet = gevent.spawn(follower.run)
    try:
        assert wait_for(lambda: follower.failures > 1)
        stale_ms = follower.stale_ms()
        assert stale_ms >= 50
        store.down = False
        assert wait_for(lambda: follower.stale_ms() < stale_ms)
    finally:
        greenlet.kill()


def test_changes_are_delivered_again_if_applying_them_failed():
    store = FakeStore()
    store.transact((), [(REF, b"1")])
    applied = []

    def apply_rows(rows):
        if not applied:
            applied.append("failed")
            raise RuntimeError("unforeseen")
        applied.extend(row.value for row in rows)

    follower = TableFollower(store, "t", CLOCK, lambda rows: None, apply_rows)
    assert follower.read_now() is None
    store.transact((), [(REF, b"2")])
    greenlet = spawn_restarting(follower.run)
    try:
        assert wait_for(lambda: len(applied) == 2)
    finally:
        greenlet.kill()
    assert applied == ["failed", b"2"]


@define
class OvertakenStore(FakeStore):
    """A store whose reads are sent at once and get their responses on ``release``."""

    release: Event = field(factory=Event)

    def poll_changes(self, table, after_version, wait_ms):
        """Return the changes as they were before the release."""
        changes = FakeStore.poll_changes(self, table, after_version, wait_ms)
        self.release.wait()
        return changes


def test_response_that_a_newer_read_overtook_restores_no_removed_row():
    store = OvertakenStore()
    present = {}

    def apply_snapshot(rows):
        present.clear()
        apply_rows(rows)

    def apply_rows(rows):
        for row in rows:
            present[row.ref] = None if row.deleted else row.value

    follower = TableFollower(store, "t", CLOCK, apply_snapshot, apply_rows)
    assert follower.read_now() is None
    store.transact((), [(REF, b"1")])
    greenlet = gevent.spawn(follower.run)
    try:
        gevent.sleep(0.05)
        store.transact((), (), (REF,))
        assert follower.read_now() is None
        store.release.set()
        gevent.sleep(0.05)
    finally:
        greenlet.kill()
    assert not present.get(REF)


def test_snapshot_that_newer_changes_overtook_is_not_applied():
    store = FakeStore()
    store.transact((), [(REF, b"1")])
    snapshots = []
    follower = TableFollower(
        store, "t", CLOCK, lambda rows: snapshots.append(rows[0].value), lambda rows: ()
    )
    assert follower.read_now() is None
    older = store.read("t")
    store.transact((), [(REF, b"2")])
    assert follower.read_now() is None
    follower.store = SingleReadStore(older)
    assert follower.read_now() is None
    assert snapshots == [b"1", b"2"]


@define
class SingleReadStore:
    """A store whose every read returns the same snapshot."""

    snapshot: TableSnapshot

    def read(self, table):
        """Return the snapshot."""
        return self.snapshot
