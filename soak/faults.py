"""The faults of a soak: context managers that undo the fault at the end."""

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, ExitStack, contextmanager
from random import Random
from signal import SIGHUP

import gevent
from attrs import define, field
from urllib3.exceptions import HTTPError

from rattanloom.clock import MS_PER_S, Clock, SystemClock
from soak.clients import Traffic
from soak.deployment import OTHER_PREFIXES, PATH_PREFIX, ZONES, Daemon, Deployment
from soak.history import Evacuation, History, PoolKill, Span
from soak.relay import pairs_between

# The platform kills a process this long after SIGTERM (grace_s).
GRACE_S = 6.0
# Pause before a restart, and between checks whether a daemon has stopped or is ready.
RESTART_PAUSE_S = 0.3
SLOW_STORE_MS = 300.0
LINK_DELAY_MS = 60.0
CRASHING_SHARE = 0.05
# How long some connections stay blocked after an uneven end of a cut.
UNEVEN_END_S = 1.6


@define(eq=False)
class FaultContext:
    """What a fault acts on.

    ``in_use`` names the daemons reserved by a fault, and the zones whose workers
    are killed.
    """

    deployment: Deployment
    history: History
    random: Random
    traffic: Traffic
    clock: Clock = field(factory=SystemClock)
    in_use: set[str] = field(factory=set)

    @contextmanager
    def record_span(self, fault: str, *names: str) -> Iterator[None]:
        """Record the block as a fault on the named processes; without names, on all."""
        from_ms = self.clock.now_ms()
        try:
            yield
        finally:
            to_ms = self.clock.now_ms()
            self.history.spans.append(Span(fault, from_ms, to_ms, names))

    @contextmanager
    def reserve_daemon(self) -> Iterator[Daemon | None]:
        """Reserve a random daemon that no fault has reserved; None if there is none."""
        free = [
            daemon
            for name, daemon in self.deployment.daemons.items()
            if name not in self.in_use
        ]
        if not free:
            yield None
            return
        daemon = self.random.choice(free)
        self.in_use.add(daemon.name)
        try:
            yield daemon
        finally:
            self.in_use.discard(daemon.name)

    def random_worker(self) -> str:
        """Return the id of a random worker."""
        return self.random.choice(list(self.deployment.workers))

    def split_by_random_zone(self) -> tuple[set[str], set[str]]:
        """Return the names of a random zone's daemons and workers, and all others."""
        return self.deployment.split_by_zone(self.random.choice(ZONES))


# Return type of the faults: generators that yield once, while the fault is active.
FaultBody = Iterator[None]
Fault = Callable[[FaultContext], AbstractContextManager[None]]


def daemon_fault(body: Callable[[FaultContext, Daemon], FaultBody]) -> Fault:
    """Return a fault that reserves a daemon; it does nothing if none is free."""

    @contextmanager
    def fault(context: FaultContext) -> FaultBody:
        with context.reserve_daemon() as daemon:
            if daemon is None:
                yield
                return
            with contextmanager(body)(context, daemon):
                yield

    return fault


@daemon_fault
def daemon_killed(context: FaultContext, daemon: Daemon) -> FaultBody:
    """A daemon is killed with SIGKILL, and restarted at the end."""
    with context.record_span("daemon_killed", daemon.name):
        daemon.kill()
        yield
        _start(context, daemon)


@contextmanager
def all_killed(context: FaultContext) -> FaultBody:
    """All daemons that no fault has reserved are killed, then restarted together."""
    with ExitStack() as stack:
        daemons = []
        while (daemon := stack.enter_context(context.reserve_daemon())) is not None:
            daemons.append(daemon)
        stack.enter_context(context.record_span("all_killed"))
        for daemon in daemons:
            daemon.kill()
        gevent.sleep(RESTART_PAUSE_S)
        for daemon in daemons:
            daemon.start()
        yield
        for daemon in daemons:
            _await_ready(context, daemon)


@daemon_fault
def daemon_stopped(context: FaultContext, daemon: Daemon) -> FaultBody:
    """A daemon is stopped with SIGTERM, or SIGKILL after GRACE_S, and restarted."""
    from_ms = context.clock.now_ms()
    daemon.terminate()
    while daemon.is_running and context.clock.now_ms() < from_ms + GRACE_S * MS_PER_S:
        gevent.sleep(RESTART_PAUSE_S)
    to_ms = context.clock.now_ms()
    context.history.stops.append(Span("stop", from_ms, to_ms, (daemon.name,)))
    with context.record_span("daemon_started", daemon.name):
        daemon.kill()
        _start(context, daemon)
    yield


@daemon_fault
def daemon_paused(context: FaultContext, daemon: Daemon) -> FaultBody:
    """A daemon is paused with SIGSTOP, and resumed at the end."""
    with context.record_span("daemon_paused", daemon.name):
        daemon.pause()
        yield
        daemon.resume()


@daemon_fault
def settings_reloaded(context: FaultContext, daemon: Daemon) -> FaultBody:
    """A daemon's settings file changes, and SIGHUP makes the daemon reload it."""
    daemon.settings["comment"] = context.random.random()
    daemon.write_settings()
    daemon.signal(SIGHUP)
    yield


@contextmanager
def workers_killed(context: FaultContext) -> FaultBody:
    """All workers of a zone are killed, and restarted at the end."""
    zone = context.random.choice(ZONES)
    if zone in context.in_use:
        yield
        return
    context.in_use.add(zone)
    pool = context.deployment.pools[zone]
    with context.record_span("workers_killed"):
        pool.kill()
        context.history.pool_kills.append(PoolKill(zone, context.clock.now_ms()))
        yield
        pool.start()
        context.in_use.discard(zone)


@contextmanager
def workers_shrunk(context: FaultContext) -> FaultBody:
    """A third of the workers have less capacity until the end."""
    workers = list(context.deployment.workers)
    shrunk = context.random.sample(workers, max(1, len(workers) // 3))
    share = context.random.uniform(0.2, 0.8)
    for worker in shrunk:
        _switch_worker(context, worker, {"capacity_share": share})
    yield
    for worker in shrunk:
        _switch_worker(context, worker, {"capacity_share": 1.0})


@contextmanager
def worker_crashed(context: FaultContext) -> FaultBody:
    """A worker drops its runs and starts a new incarnation."""
    _with_worker(context, lambda worker: context.deployment.crash_worker(worker))
    yield


@contextmanager
def crashing_jobs_sent(context: FaultContext) -> FaultBody:
    """Some jobs have a task that crashes each worker that starts it."""
    with context.record_span("crashing_jobs_sent"):
        context.traffic.crashing_share = CRASHING_SHARE
        yield
        context.traffic.crashing_share = 0.0


def switched(fault: str, on: dict, off: dict) -> Fault:
    """Return a fault that sets switches of a worker to ``on``, at the end to ``off``.

    WorkerSwitches in standins/run_table.py describes the switches.
    """

    @contextmanager
    def body(context: FaultContext) -> FaultBody:
        worker = context.random_worker()
        with context.record_span(fault, worker):
            _switch_worker(context, worker, on)
            yield
            _switch_worker(context, worker, off)

    return body


def store_switched(fault: str, on: dict, off: dict) -> Fault:
    """Return a fault that sets switches of the store to ``on``, at the end to ``off``.

    StoreSwitches in standins/store.py describes the switches.
    """

    @contextmanager
    def body(context: FaultContext) -> FaultBody:
        with context.record_span(fault):
            context.deployment.switch_store(**on)
            yield
            context.deployment.switch_store(**off)

    return body


@contextmanager
def history_dropped(context: FaultContext) -> FaultBody:
    """The store drops its history of all row changes up to now."""
    context.deployment.post(
        context.deployment.store.address, "/standin/drop-history", {}
    )
    yield


@contextmanager
def zone_cut(context: FaultContext) -> FaultBody:
    """A zone is cut off from other zones, and its daemons from the store."""
    with _cut(context, "zone_cut", pairs_between(*context.split_by_random_zone())):
        yield


@contextmanager
def zone_cut_one_way(context: FaultContext) -> FaultBody:
    """Data from a zone to other zones and the store is blocked, but not the reverse."""
    inside, outside = context.split_by_random_zone()
    with _cut(context, "zone_cut_one_way", {(a, b) for a in inside for b in outside}):
        yield


@contextmanager
def zone_cut_ends_unevenly(context: FaultContext) -> FaultBody:
    """After the cut of a zone, some traffic stays blocked for ``UNEVEN_END_S``.

    That is the traffic between a daemon of the zone and the store, and between the
    zone's workers and the other zones.
    """
    fault = "zone_cut_ends_unevenly"
    inside, outside = context.split_by_random_zone()
    daemons = sorted(inside.intersection(context.deployment.daemons))
    late = pairs_between({context.random.choice(daemons)}, {"store"})
    late |= pairs_between(inside.difference(daemons), outside)
    with _cut(context, fault, pairs_between(inside, outside)):
        yield
    with _cut(context, fault, late):
        gevent.sleep(UNEVEN_END_S)


@daemon_fault
def daemon_cut(context: FaultContext, daemon: Daemon) -> FaultBody:
    """A daemon is cut off from its peers, all workers and the store, not clients."""
    others = {"store", *context.deployment.daemons, *context.deployment.workers}
    pairs = pairs_between({daemon.name}, others - {daemon.name})
    with _cut(context, "daemon_cut", pairs):
        yield


@contextmanager
def daemon_cut_from_store(context: FaultContext) -> FaultBody:
    """A daemon is cut off from the store in both directions."""
    name = context.random.choice(list(context.deployment.daemons))
    with _cut(context, "daemon_cut_from_store", pairs_between({name}, {"store"})):
        yield


@contextmanager
def links_delayed(context: FaultContext) -> FaultBody:
    """Data from a zone to other zones and the store is delayed by LINK_DELAY_MS."""
    inside, outside = context.split_by_random_zone()
    pairs = dict.fromkeys(((a, b) for a in inside for b in outside), LINK_DELAY_MS)
    with context.record_span("links_delayed"):
        context.deployment.conditions.delay_ms |= pairs
        yield
        for pair in pairs:
            context.deployment.conditions.delay_ms.pop(pair, None)


@contextmanager
def connections_reset(context: FaultContext) -> FaultBody:
    """The open connections of a random third of the relays are closed."""
    with context.record_span("connections_reset"):
        for relay in _some_relays(context):
            relay.reset()
        yield


@contextmanager
def connections_silenced(context: FaultContext) -> FaultBody:
    """The open connections of a third of the relays stop forwarding; new ones work."""
    with context.record_span("connections_silenced"):
        for relay in _some_relays(context):
            relay.silence()
        yield


@contextmanager
def configuration_changed(context: FaultContext) -> FaultBody:
    """Queues that no client uses are configured, and removed at the end."""
    context.deployment.configure((PATH_PREFIX, *OTHER_PREFIXES))
    yield
    context.deployment.configure((PATH_PREFIX,))


@contextmanager
def configuration_after_outage(context: FaultContext) -> FaultBody:
    """The store loses all requests; when it responds again, queues change at once."""
    with context.record_span("configuration_after_outage"):
        context.deployment.switch_store(lose_requests=True)
        yield
        context.deployment.switch_store(lose_requests=False)
    context.deployment.configure((PATH_PREFIX, *OTHER_PREFIXES))


@contextmanager
def zone_evacuated(context: FaultContext) -> FaultBody:
    """The operator evacuates a random zone, unless it is evacuated already."""
    zone = context.random.choice(ZONES)
    name = f"evacuation of {zone}"
    if name in context.in_use:
        yield
        return
    context.in_use.add(name)
    with context.record_span("zone_evacuated", name):
        context.deployment.set_evacuated(zone, True)
        confirmed_ms = context.clock.now_ms()
        yield
        ended_ms = context.clock.now_ms()
        context.deployment.set_evacuated(zone, False)
        context.in_use.discard(name)
    context.history.evacuations.append(Evacuation(zone, confirmed_ms, ended_ms))


@contextmanager
def _cut(context: FaultContext, fault: str, pairs: set[tuple[str, str]]) -> FaultBody:
    """Block the traffic of (sender, receiver) pairs, and record it as a fault."""
    conditions = context.deployment.conditions
    with context.record_span(fault):
        conditions.blocked_pairs |= pairs
        yield
        conditions.blocked_pairs -= pairs


def _some_relays(context: FaultContext) -> list:
    relays = list(context.deployment.relays.values())
    return context.random.sample(relays, max(1, len(relays) // 3))


def _start(context: FaultContext, daemon: Daemon) -> None:
    daemon.start()
    _await_ready(context, daemon)


def _await_ready(context: FaultContext, daemon: Daemon) -> None:
    deadline_ms = context.clock.now_ms() + GRACE_S * MS_PER_S
    while (
        not context.deployment.is_ready(daemon) and context.clock.now_ms() < deadline_ms
    ):
        gevent.sleep(RESTART_PAUSE_S)


def _switch_worker(context: FaultContext, worker: str, switches: dict) -> None:
    _with_worker(
        context, lambda name: context.deployment.switch_worker(name, **switches), worker
    )


def _with_worker(
    context: FaultContext, call: Callable[[str], None], worker: str | None = None
) -> None:
    """Call a worker's control interface, unless its zone's workers are killed."""
    worker = worker or context.random_worker()
    if context.deployment.workers[worker].zone in context.in_use:
        return
    try:
        call(worker)
    except HTTPError as error:
        # The zone's workers are restarting, which resets all their switches.
        print(f"  cannot reach {worker}: {error}", flush=True)
