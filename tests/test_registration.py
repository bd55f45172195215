"""Registration of a daemon across lost and late writes and a restart."""

import gevent
from attrs import define, evolve

from rattanloom.ownership.records import (
    TABLE,
    Member,
    decode_record,
    encode_record,
    member_ref,
)
from rattanloom.ownership.registration import Registration
from rattanloom.platform.rows import Conflicted
from tests.dispatcher_fakes import FakeStore, wait_for

FIRST = Member("n1", "a", "127.0.0.1:9", 1_000)
SECOND = evolve(FIRST, started_wall_ms=2_000)


def registered(store: FakeStore) -> list[Member]:
    return [decode_record(row) for row in store.read(TABLE).rows]


def test_late_removal_by_a_stopped_daemon_keeps_the_row_of_its_next_start():
    store = FakeStore()
    first, second = Registration(FIRST, store), Registration(SECOND, store)
    first.register()
    store.delay_writes = 1
    leaving = gevent.spawn(first.unregister)
    assert wait_for(lambda: store.delayed_writes)
    leaving.kill()
    second.register()
    store.perform_delayed_writes()
    assert registered(store) == [SECOND]


def test_late_registration_of_a_killed_daemon_does_not_replace_its_next_start():
    store = FakeStore(delay_writes=1)
    Registration(FIRST, store).register()
    Registration(SECOND, store).register()
    store.perform_delayed_writes()
    assert registered(store) == [SECOND]


def test_row_of_an_earlier_start_is_replaced():
    store = FakeStore()
    store.transact((), [(member_ref("n1"), encode_record(FIRST))])
    Registration(SECOND, store).register()
    assert registered(store) == [SECOND]


def test_stopping_daemon_removes_its_row_although_a_write_failed():
    store = FakeStore()
    registration = Registration(FIRST, store)
    registration.register()
    store.down = True
    leaving = gevent.spawn(registration.unregister)
    gevent.sleep(0.05)
    store.down = False
    leaving.join(5)
    assert registered(store) == []


def test_daemon_stopped_while_it_registers_leaves_no_row():
    store = FakeStore(lose_replies=1)
    registration = Registration(FIRST, store)
    registering = gevent.spawn(registration.register)
    assert wait_for(lambda: registered(store))
    registration.unregister()
    registering.join(5)
    assert registered(store) == []


@define
class UnclearStore(FakeStore):
    """A store that refuses writes without naming the row that differs."""

    writes: int = 0

    def transact(self, conditions, writes, removals=()):
        """Refuse the write."""
        self.writes += 1
        gevent.sleep(0.001)
        return Conflicted(())


def test_registration_pauses_after_a_refusal_that_does_not_tell_the_version():
    store = UnclearStore()
    registering = gevent.spawn(Registration(FIRST, store).register)
    gevent.sleep(0.3)
    registering.kill()
    assert store.writes <= 3
