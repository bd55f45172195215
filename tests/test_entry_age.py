"""Tests that capacities which may have changed meanwhile are read before a start."""

from contextlib import contextmanager

import gevent
from attrs import evolve

from rattanloom.daemon import Daemon
from rattanloom.placement.jobs import OutcomeKind
from standins.store import Store, StoreSwitches
from tests.dispatcher_fakes import (
    POLICY,
    FakeReceiver,
    FakeWorker,
    make_submitted_job,
    wait_for,
)
from tests.store_rows import write_worker
from tests.test_configuration_delay import daemon_with
from tests.test_placer import all_ready

# A task of make_submitted_job needs 14,000 millicores.
ROOM_FOR_TWO, ROOM_FOR_ONE = 32_000, 20_000


def write_capacity(store: Store, worker: FakeWorker, cpu_millicores: int) -> None:
    """Write the worker's entry, as of its current incarnation."""
    write_worker(
        store,
        worker.worker_id,
        service="service",
        cpu_millicores=cpu_millicores,
        incarnation_ms=worker.incarnation_ms,
    )


@contextmanager
def ticking(daemon: Daemon):
    def tick_all() -> None:
        while True:
            gevent.sleep(0.02)
            daemon.placer.tick()

    greenlet = gevent.spawn(tick_all)
    try:
        yield
    finally:
        greenlet.kill()
        for worker in daemon.placer.workers.values():
            worker.closed = True


@contextmanager
def daemon_with_old_entries(worker: FakeWorker, store: Store):
    """Run a daemon that read the worker's entry 10 s ago; it has shrunk since."""
    write_capacity(store, worker, ROOM_FOR_TWO)
    with daemon_with(store) as daemon, ticking(daemon):
        daemon.placer.connect = lambda entry: worker
        assert daemon.workers_follower.read_now() is None
        daemon.workers_follower._confirmed_ms -= 10_000
        write_capacity(store, worker, ROOM_FOR_ONE)
        yield daemon


def test_new_owner_does_not_fill_a_worker_that_has_shrunk_since_its_last_read():
    store = Store(switches=StoreSwitches(latency_ms=50))
    worker = FakeWorker("w1")
    with daemon_with_old_entries(worker, store) as daemon:
        daemon.placer.submit(FakeReceiver(), make_submitted_job(count=2), ())
        gevent.spawn(daemon.ownership.acquirer.acquire, ["a"], "test")
        assert wait_for(lambda: worker.starts)
        gevent.sleep(0.3)
        assert len(worker.running) == 1


def test_owner_that_was_suspended_reads_the_workers_before_it_starts_tasks():
    store = Store(switches=StoreSwitches(latency_ms=50))
    worker = FakeWorker("w1")
    with daemon_with_old_entries(worker, store) as daemon:
        daemon.ownership.acquirer.acquire(["a"], "test")
        assert wait_for(lambda: daemon.workers_follower.stale_ms() < 1_000)
        write_capacity(store, worker, ROOM_FOR_TWO)
        assert daemon.workers_follower.read_now() is None
        write_capacity(store, worker, ROOM_FOR_ONE)
        daemon.workers_follower._confirmed_ms -= 10_000
        daemon.placer.suspension.last_tick_ms -= 10_000
        daemon.placer.submit(FakeReceiver(), make_submitted_job(count=2), ())
        assert wait_for(lambda: worker.starts)
        gevent.sleep(0.3)
        assert len(worker.running) == 1


def test_tasks_start_by_old_entries_if_the_store_does_not_respond():
    store = Store(switches=StoreSwitches(latency_ms=5))
    worker = FakeWorker("w1")
    with daemon_with_old_entries(worker, store) as daemon:
        daemon.ownership.acquirer.acquire(["a"], "test")
        assert wait_for(lambda: daemon.placer.workers)
        store.set_switches(silent=True)
        daemon.workers_follower._confirmed_ms -= 10_000
        daemon.placer.submit(FakeReceiver(), make_submitted_job(), ())
        assert wait_for(lambda: worker.starts)


def test_worker_that_does_not_guard_its_capacity_is_not_used_by_old_entries():
    # A daemon that was cut off claimed a zone and filled a worker that had shrunk.
    store = Store(switches=StoreSwitches(latency_ms=5))
    worker, receiver = FakeWorker("w1"), FakeReceiver()
    policy = evolve(POLICY, guards_capacity=False)
    with daemon_with_old_entries(worker, store) as daemon:
        daemon.ownership.acquirer.acquire(["a"], "test")
        assert wait_for(lambda: daemon.placer.workers)
        store.set_switches(silent=True)
        daemon.workers_follower._confirmed_ms -= 10_000
        daemon.placer.submit(receiver, make_submitted_job(policy=policy), ())
        assert wait_for(lambda: receiver.outcomes, within_s=1.0)
        assert receiver.outcomes[0].kind is OutcomeKind.REFUSED
        assert not worker.starts
        store.set_switches(silent=False)
        assert wait_for(lambda: daemon.workers_follower.stale_ms() < 1_000)
        again = make_submitted_job("00000000000000bb", policy=policy)
        daemon.placer.submit(receiver, again, ())
        assert wait_for(lambda: worker.starts)


def test_restarted_worker_gets_no_tasks_before_its_new_entry_was_read():
    store = Store(switches=StoreSwitches(latency_ms=5))
    worker = FakeWorker("w1")
    with daemon_with(store) as daemon, ticking(daemon):
        daemon.placer.connect = lambda entry: worker
        write_capacity(store, worker, ROOM_FOR_TWO)
        assert daemon.workers_follower.read_now() is None
        daemon.ownership.acquirer.acquire(["a"], "test")
        assert wait_for(lambda: daemon.placer.workers)
        assert wait_for(lambda: all_ready(daemon.placer))
        worker.incarnation_ms = 2
        worker.changed.set()
        assert wait_for(lambda: daemon.placer.workers["w1"].incarnation_ms == 2)
        daemon.placer.submit(FakeReceiver(), make_submitted_job(count=2), ())
        gevent.sleep(0.1)
        assert not worker.starts
        write_capacity(store, worker, ROOM_FOR_ONE)
        assert daemon.workers_follower.read_now() is None
        assert wait_for(lambda: worker.starts)
        gevent.sleep(0.1)
        assert len(worker.running) == 1
