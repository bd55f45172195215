"""Tests of zone acquisition: which takeovers count as complete."""

import gevent
from attrs import define, field

from rattanloom.links.hub import LinkHub
from rattanloom.links.messages import Hello
from rattanloom.ownership.acquisition import ZoneAcquirer
from rattanloom.ownership.records import TABLE, Member, ZoneOwner, encode_record
from rattanloom.ownership.records import zone_ref as ref
from rattanloom.ownership.view import OwnerView
from rattanloom.tables import TableFollower
from tests.dispatcher_fakes import CLOCK, FakeStore, wait_for


@define(eq=False)
class Acquiring:
    """One daemon reduced to its acquirer; it reads owners only when asked to."""

    node: str
    store: FakeStore
    workers_readable: bool = True
    changes: int = 0
    view: OwnerView = field(init=False)
    acquirer: ZoneAcquirer = field(init=False)

    def __attrs_post_init__(self):
        self.view = OwnerView(Member(self.node, "a", "", 1), self._count_change)
        follower = TableFollower(
            self.store, TABLE, CLOCK, self.view.apply_snapshot, self.view.apply_rows
        )
        hello = Hello(self.node, "a", "127.0.0.1:9", 1)
        hub = LinkHub(hello, hello.address, CLOCK, None, None, None)
        self.acquirer = ZoneAcquirer(
            CLOCK,
            self.store,
            hub,
            self.view,
            follower,
            lambda: self.workers_readable,
            lambda: True,
            self._count_change,
        )

    def _count_change(self):
        self.changes += 1


def store_owner(store: FakeStore, zone: str, owner: str, epoch: int) -> None:
    record = ZoneOwner(zone, owner, epoch)
    store.transact((), [(ref(zone), encode_record(record))])


def make_store() -> FakeStore:
    store = FakeStore()
    for zone in ("a", "b"):
        store_owner(store, zone, "old", 1)
    return store


def test_takeover_is_recorded_after_owners_and_workers_were_read():
    new = Acquiring("new", make_store())
    new.acquirer.follower.read_now()
    new.acquirer.acquire(("a", "b"), "lost owner")
    assert wait_for(lambda: "old" in new.acquirer.takeover_ms_by_node)
    assert new.changes == 3


def test_takeover_is_not_recorded_while_the_former_owner_has_a_zone_unknown_here():
    new = Acquiring("new", make_store())
    new.acquirer.follower.read_now()
    store_owner(new.store, "c", "old", 1)
    new.acquirer.acquire(("a", "b"), "lost owner")
    gevent.sleep(0.05)
    assert set(new.view.owned()) == {"a", "b"}
    assert "old" not in new.acquirer.takeover_ms_by_node


def test_takeover_is_not_recorded_without_a_new_read_of_the_workers():
    new = Acquiring("new", make_store(), workers_readable=False)
    new.acquirer.follower.read_now()
    new.acquirer.acquire(("a", "b"), "lost owner")
    gevent.sleep(0.05)
    assert set(new.view.owned()) == {"a", "b"}
    assert "old" not in new.acquirer.takeover_ms_by_node


def test_daemon_that_lost_a_zone_unnoticed_gets_no_further_zone():
    store = FakeStore()
    old = Acquiring("old", store)
    old.acquirer.acquire(("a", "b"), "no owner")
    gevent.sleep(0.05)
    store_owner(store, "a", "new", 2)
    store_owner(store, "c", "gone", 1)
    old.view.apply_owners([ZoneOwner("c", "gone", 1)])
    old.view.versions["c"] = store.version
    old.acquirer.acquire(("c",), "lost owner")
    assert set(old.view.owned()) == {"b"}


def test_zones_stay_owned_if_their_write_takes_effect_after_they_were_claimed():
    new = Acquiring("new", make_store())
    new.acquirer.follower.read_now()
    new.store.delay_writes = 1
    new.acquirer.acquire_or_claim(("a", "b"), "lost owner")
    assert all(owner.claim for owner in new.view.owned().values())
    new.store.perform_delayed_writes()
    new.acquirer.follower.read_now()
    assert set(new.view.owned()) == {"a", "b"}
    assert not any(owner.claim for owner in new.view.owned().values())


def test_row_of_an_earlier_incarnation_is_not_owned_after_a_conflict():
    store = make_store()
    new = Acquiring("new", store)
    new.acquirer.follower.read_now()
    store_owner(store, "a", "new", 2)
    new.acquirer.acquire(("a",), "lost owner")
    assert not new.view.owned()


def test_zone_stays_owned_if_it_is_acquired_twice_at_the_same_time():
    new = Acquiring("new", make_store())
    new.acquirer.follower.read_now()
    tries = [gevent.spawn(new.acquirer.acquire, ("a",), "fenced") for _ in range(2)]
    gevent.joinall(tries)
    assert set(new.view.owned()) == {"a"}


def test_takeover_does_not_count_any_more_once_the_former_owner_owns_a_zone_again():
    new = Acquiring("new", make_store())
    new.acquirer.follower.read_now()
    new.acquirer.acquire(("a", "b"), "lost owner")
    assert wait_for(lambda: "old" in new.acquirer.takeover_ms_by_node)
    store_owner(new.store, "b", "old", 3)
    new.acquirer.follower.read_now()
    assert new.view.zones_of("old") == {"b"}
    new.workers_readable = False
    new.acquirer.acquire(("b",), "lost owner")
    gevent.sleep(0.05)
    assert "old" not in new.acquirer.takeover_ms_by_node


def test_takeover_is_not_recorded_if_another_daemon_took_a_zone_of_the_former_owner():
    # Its runs in that zone are not known here, and not stopped yet.
    new = Acquiring("new", make_store())
    new.acquirer.follower.read_now()
    store_owner(new.store, "b", "other", 2)
    new.acquirer.acquire(("a",), "lost owner")
    gevent.sleep(0.05)
    assert set(new.view.owned()) == {"a"}
    assert not new.view.zones_of("old")
    assert "old" not in new.acquirer.takeover_ms_by_node


def test_takeover_is_recorded_if_another_daemon_took_a_zone_long_before(monkeypatch):
    monkeypatch.setattr("rattanloom.ownership.view.TAKEOVER_RECENT_MS", 0)
    new = Acquiring("new", make_store())
    new.acquirer.follower.read_now()
    store_owner(new.store, "b", "other", 2)
    new.acquirer.follower.read_now()
    gevent.sleep(0.01)
    new.acquirer.acquire(("a",), "lost owner")
    assert wait_for(lambda: "old" in new.acquirer.takeover_ms_by_node)
