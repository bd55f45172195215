"""Delay from a change in the store until a daemon that lost a read acts on it."""

from contextlib import contextmanager

import gevent
import pytest
from attrs import asdict, evolve

from rattanloom.daemon import OWNER_READ_PAUSE_MS, Daemon
from rattanloom.environment import Environment
from rattanloom.ownership.records import TABLE, ZONE_PREFIX, ZoneOwner
from rattanloom.platform.deployment import (
    Bounds,
    Deployment,
    ListenAddresses,
    StoreSettings,
)
from rattanloom.platform.rows import POLL_RESPONSE_TIMEOUT_MS
from rattanloom.tables import TableFollower, long_poll_wait_ms
from standins.handler import serving_at
from standins.store import Store, StoreSwitches
from tests.dispatcher_fakes import CLOCK, wait_for
from tests.peer_hosts import free_address
from tests.store_rows import write_configuration, write_row, write_worker

# The platform's bounds ``config_apply_ms`` and ``drain_ms``. It has none for owners;
# a job that waits for a new one is late after its client's time of 1.5 s or more.
CONFIGURATION_BOUND_MS = 2_000
DRAIN_BOUND_MS = 2_000
OWNERS_BOUND_MS = 2_000


@contextmanager
def daemon_with(store: Store, bounds: Bounds | None = None):
    """Return a daemon that uses a stand-in store; none of its greenlets run."""
    address = free_address()
    listen = ListenAddresses(free_address(), free_address())
    deployment = Deployment(
        "d1",
        "127.0.0.1",
        "a",
        {"a": "r"},
        listen,
        (0,),
        StoreSettings(address),
        bounds or Bounds(),
    )
    with serving_at(address, store.application()):
        daemon = Daemon(deployment, Environment())
        try:
            yield daemon
        finally:
            daemon.store.close()


@contextmanager
def running(follower: TableFollower):
    greenlet = gevent.spawn(follower.run)
    try:
        yield
    finally:
        greenlet.kill()


def lose_one_request(store: Store) -> None:
    """Let one request get no response, also if the store returns to service at once."""
    lost = store.requests_lost
    store.set_switches(lose_requests=True)
    assert wait_for(lambda: store.requests_lost > lost)
    store.set_switches(lose_requests=False)


def ms_until(condition) -> float:
    started_ms = CLOCK.now_ms()
    assert wait_for(condition)
    return CLOCK.now_ms() - started_ms


@pytest.mark.parametrize("lost_polls", [1, 3])
def test_removed_queue_is_not_served_beyond_the_bound_after_polls_were_lost(lost_polls):
    store = Store(switches=StoreSwitches(latency_ms=0))
    write_configuration(store, 1, ("/a/", "/b/"))
    with daemon_with(store) as daemon, running(daemon.queue_follower):
        assert wait_for(lambda: daemon.queues.find("h", "/b/1"))
        for _ in range(lost_polls):
            lose_one_request(store)
        write_configuration(store, 2, ("/a/",))
        delay_ms = ms_until(lambda: not daemon.queues.find("h", "/b/1"))
    assert delay_ms <= CONFIGURATION_BOUND_MS


def test_started_daemon_has_queues_within_the_bound_after_its_first_reads_were_lost():
    store = Store(switches=StoreSwitches(latency_ms=0, lose_requests=True))
    with daemon_with(store) as daemon, running(daemon.queue_follower):
        for _ in range(2):
            lose_one_request(store)
        write_configuration(store, 1, ("/a/",))
        delay_ms = ms_until(lambda: daemon.queues.find("h", "/a/1"))
    assert delay_ms <= CONFIGURATION_BOUND_MS


def test_leaving_worker_is_known_within_the_bound_after_a_read_was_lost():
    store = Store(switches=StoreSwitches(latency_ms=0))
    write_worker(store, "w1")
    with daemon_with(store) as daemon, running(daemon.workers_follower):
        daemon.workers_follower.pause_ms = lambda: OWNER_READ_PAUSE_MS
        entries = daemon.registry.entries
        assert wait_for(lambda: "w1" in entries)
        lose_one_request(store)
        write_worker(store, "w1", "draining")
        delay_ms = ms_until(lambda: not entries["w1"].accepting)
    assert delay_ms <= DRAIN_BOUND_MS


def test_new_owner_is_known_within_the_bound_after_a_poll_was_lost():
    store = Store(switches=StoreSwitches(latency_ms=0))
    with daemon_with(store) as daemon, running(daemon.ownership.follower):
        assert wait_for(lambda: daemon.ownership.follower.version is not None)
        lose_one_request(store)
        owner = asdict(ZoneOwner("a", "d2", 1))
        write_row(store, TABLE, ZONE_PREFIX + "a", owner)
        delay_ms = ms_until(lambda: daemon.ownership.owner_of("a") == "d2")
    assert delay_ms <= OWNERS_BOUND_MS


def test_bound_of_the_settings_and_of_reloaded_ones_limits_the_wait_of_polls():
    store = Store(switches=StoreSwitches(latency_ms=0))
    with daemon_with(store, Bounds(configuration_delay_max_ms=1_600)) as daemon:
        assert daemon.queue_follower.delay_max_ms == 1_600
        bounds = Bounds(configuration_delay_max_ms=1_400)
        daemon.apply(evolve(daemon.deployment, bounds=bounds))
        assert daemon.queue_follower.delay_max_ms == 1_400


@pytest.mark.parametrize("delay_max_ms", [1_100, 1_500, 2_000, 3_000, 10_000])
def test_lost_poll_and_the_next_one_fit_into_the_bound(delay_max_ms):
    wait_ms = long_poll_wait_ms(delay_max_ms)
    assert 0 < wait_ms <= delay_max_ms - 2 * POLL_RESPONSE_TIMEOUT_MS
