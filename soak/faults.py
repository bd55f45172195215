"""The faults of a soak, each injected from outside and undone when it ends."""

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, ExitStack, contextmanager
from random import Random
from signal import SIGHUP

import gevent
from attrs import define, field, frozen
from urllib3.exceptions import HTTPError

from rattanloom.clock import MS_PER_S, Clock, SystemClock
from soak.deployment import PATH_PREFIX, ZONES, Daemon, Deployment
from soak.history import History, PoolKill, Span
from soak.relay import ways_between

# The platform ends a process this long after SIGTERM (grace_s).
GRACE_S = 6.0
RESTART_PAUSE_S = 0.3
SLOW_STORE_MS = 300.0
LINK_DELAY_MS = 60.0
OTHER_PREFIXES = ("/other-a/", "/other-b/")


@define(eq=False)
class Scene:
    """What a fault works on."""

    deployment: Deployment
    history: History
    random: Random
    clock: Clock = field(factory=SystemClock)
    held: set[str] = field(factory=set)

    @contextmanager
    def span(self, fault: str, *names: str) -> Iterator[None]:
        """Record that a fault touches these processes during the block."""
        from_ms = self.clock.now_ms()
        try:
            yield
        finally:
            to_ms = self.clock.now_ms()
            self.history.spans.append(Span(fault, from_ms, to_ms, names))

    @contextmanager
    def free_daemon(self) -> Iterator[Daemon | None]:
        """Hold a daemon that no other fault of processes holds."""
        free = [
            daemon
            for name, daemon in self.deployment.daemons.items()
            if name not in self.held
        ]
        if not free:
            yield None
            return
        daemon = self.random.choice(free)
        self.held.add(daemon.name)
        try:
            yield daemon
        finally:
            self.held.discard(daemon.name)

    def any_worker(self) -> str:
        """Return one worker."""
        return self.random.choice(list(self.deployment.workers))

    def sides(self) -> tuple[set[str], set[str]]:
        """Return the members of one zone, and all others and the store."""
        return self.deployment.sides(self.random.choice(ZONES))


Block = Iterator[None]
Fault = Callable[[Scene], AbstractContextManager[None]]


def on_free_daemon(block: Callable[[Scene, Daemon], Block]) -> Fault:
    """Return a fault of a daemon that no other fault holds, if there is one."""

    @contextmanager
    def fault(scene: Scene) -> Block:
        with scene.free_daemon() as daemon:
            if daemon is None:
                yield
                return
            with contextmanager(block)(scene, daemon):
                yield

    return fault


@on_free_daemon
def daemon_killed(scene: Scene, daemon: Daemon) -> Block:
    """A daemon is killed, and started again at the end."""
    with scene.span("daemon_killed", daemon.name):
        daemon.kill()
        yield
        _start(scene, daemon)


@contextmanager
def all_killed(scene: Scene) -> Block:
    """Every daemon is killed at once and started again."""
    with ExitStack() as stack:
        daemons = []
        while (daemon := stack.enter_context(scene.free_daemon())) is not None:
            daemons.append(daemon)
        stack.enter_context(scene.span("all_killed"))
        for daemon in daemons:
            daemon.kill()
        gevent.sleep(RESTART_PAUSE_S)
        for daemon in daemons:
            daemon.start()
        yield
        for daemon in daemons:
            _await_ready(scene, daemon)


@on_free_daemon
def daemon_stopped(scene: Scene, daemon: Daemon) -> Block:
    """A daemon is told to stop, killed after its grace, and started again."""
    from_ms = scene.clock.now_ms()
    daemon.terminate()
    while daemon.running and scene.clock.now_ms() < from_ms + GRACE_S * MS_PER_S:
        gevent.sleep(RESTART_PAUSE_S)
    to_ms = scene.clock.now_ms()
    scene.history.stops.append(Span("stop", from_ms, to_ms, (daemon.name,)))
    with scene.span("daemon_started", daemon.name):
        daemon.kill()
        _start(scene, daemon)
    yield


@on_free_daemon
def daemon_paused(scene: Scene, daemon: Daemon) -> Block:
    """A daemon's process is paused, and goes on."""
    with scene.span("daemon_paused", daemon.name):
        daemon.freeze()
        yield
        daemon.thaw()


@on_free_daemon
def settings_reloaded(scene: Scene, daemon: Daemon) -> Block:
    """A daemon's settings file changes, with SIGHUP."""
    daemon.settings["comment"] = scene.random.random()
    daemon.write_settings()
    daemon.signal(SIGHUP)
    yield


@contextmanager
def workers_killed(scene: Scene) -> Block:
    """All workers of a zone die and start anew."""
    zone = scene.random.choice(ZONES)
    if zone in scene.held:
        yield
        return
    scene.held.add(zone)
    pool = scene.deployment.pools[zone]
    with scene.span("workers_killed"):
        pool.kill()
        scene.history.pool_kills.append(PoolKill(zone, scene.clock.now_ms()))
        yield
        pool.start()
        scene.held.discard(zone)


@contextmanager
def worker_crashed(scene: Scene) -> Block:
    """A worker starts anew."""
    _with_worker(scene, lambda worker: scene.deployment.crash_worker(worker))
    yield


def switched(fault: str, on: dict, off: dict) -> Fault:
    """Return a fault that sets switches of one worker, and sets them back."""

    @contextmanager
    def block(scene: Scene) -> Block:
        worker = scene.any_worker()
        with scene.span(fault, worker):
            _switch_worker(scene, worker, on)
            yield
            _switch_worker(scene, worker, off)

    return block


def store_switched(fault: str, on: dict, off: dict) -> Fault:
    """Return a fault that sets switches of the store, and sets them back."""

    @contextmanager
    def block(scene: Scene) -> Block:
        with scene.span(fault):
            scene.deployment.switch_store(**on)
            yield
            scene.deployment.switch_store(**off)

    return block


@contextmanager
def history_dropped(scene: Scene) -> Block:
    """The store forgets its history."""
    scene.deployment.post(scene.deployment.store.address, "/standin/drop-history", {})
    yield


@contextmanager
def zone_cut(scene: Scene) -> Block:
    """One zone is cut off from the others and from the store, both ways."""
    with _cut(scene, "zone_cut", ways_between(*scene.sides())):
        yield


@contextmanager
def zone_cut_one_way(scene: Scene) -> Block:
    """Nothing leaves one zone, though all still reaches it."""
    inside, outside = scene.sides()
    with _cut(scene, "zone_cut_one_way", {(a, b) for a in inside for b in outside}):
        yield


@on_free_daemon
def daemon_cut(scene: Scene, daemon: Daemon) -> Block:
    """One daemon reaches nobody, and nobody reaches it, but for clients."""
    others = {"store", *scene.deployment.daemons, *scene.deployment.workers}
    ways = ways_between({daemon.name}, others - {daemon.name})
    with _cut(scene, "daemon_cut", ways):
        yield


@contextmanager
def daemon_cut_from_store(scene: Scene) -> Block:
    """One daemon does not reach the store."""
    name = scene.random.choice(list(scene.deployment.daemons))
    with _cut(scene, "daemon_cut_from_store", ways_between({name}, {"store"})):
        yield


@contextmanager
def links_delayed(scene: Scene) -> Block:
    """Everything that leaves one zone is late."""
    inside, outside = scene.sides()
    ways = dict.fromkeys(((a, b) for a in inside for b in outside), LINK_DELAY_MS)
    with scene.span("links_delayed"):
        scene.deployment.conditions.delay_ms |= ways
        yield
        for way in ways:
            scene.deployment.conditions.delay_ms.pop(way, None)


@contextmanager
def connections_reset(scene: Scene) -> Block:
    """All present connections of some processes end."""
    with scene.span("connections_reset"):
        for relay in _some_relays(scene):
            relay.reset()
        yield


@contextmanager
def connections_silenced(scene: Scene) -> Block:
    """All present connections of some processes go silent; new ones work."""
    with scene.span("connections_silenced"):
        for relay in _some_relays(scene):
            relay.silence()
        yield


@contextmanager
def configuration_changed(scene: Scene) -> Block:
    """Queues come and go beside the one that the clients use."""
    scene.deployment.configure((PATH_PREFIX, *OTHER_PREFIXES))
    yield
    scene.deployment.configure((PATH_PREFIX,))


@frozen
class FaultKind:
    """One kind of fault, and how long it lasts at least and at most."""

    inject: Fault
    shortest_s: float
    longest_s: float


FAULTS = {
    "daemon_killed": FaultKind(daemon_killed, 0.2, 3),
    "all_killed": FaultKind(all_killed, 0.5, 1),
    "daemon_stopped": FaultKind(daemon_stopped, 0.1, 0.2),
    "daemon_paused": FaultKind(daemon_paused, 0.1, 4),
    "settings_reloaded": FaultKind(settings_reloaded, 0.1, 1),
    "workers_killed": FaultKind(workers_killed, 0.5, 3),
    "worker_crashed": FaultKind(worker_crashed, 0.1, 0.2),
    "worker_slow": FaultKind(
        switched("worker_slow", {"speed": 0.3}, {"speed": 1.0}), 1, 4
    ),
    "worker_stands_still": FaultKind(
        switched("worker_stands_still", {"speed": 0.0}, {"speed": 1.0}), 1, 4
    ),
    "worker_fails": FaultKind(
        switched("worker_fails", {"failing": True}, {"failing": False}), 1, 4
    ),
    "late_orders": FaultKind(
        switched("late_orders", {"late_orders": 4}, {"late_orders": 0}), 1, 3
    ),
    "worker_leaves": FaultKind(
        switched("worker_leaves", {"draining": True}, {"draining": False}), 2, 5
    ),
    "store_down": FaultKind(
        store_switched("store_down", {"down": True}, {"down": False}), 0.5, 5
    ),
    "store_silent": FaultKind(
        store_switched("store_silent", {"silent": True}, {"silent": False}), 0.5, 5
    ),
    "store_slow": FaultKind(
        store_switched(
            "store_slow", {"latency_ms": SLOW_STORE_MS}, {"latency_ms": 4.0}
        ),
        1,
        5,
    ),
    "store_loses_replies": FaultKind(
        store_switched("store_loses_replies", {"lose_replies": 5}, {"lose_replies": 0}),
        1,
        4,
    ),
    "history_dropped": FaultKind(history_dropped, 0.1, 0.2),
    "zone_cut": FaultKind(zone_cut, 0.3, 5),
    "zone_cut_one_way": FaultKind(zone_cut_one_way, 0.3, 5),
    "daemon_cut": FaultKind(daemon_cut, 0.3, 5),
    "daemon_cut_from_store": FaultKind(daemon_cut_from_store, 0.5, 5),
    "links_delayed": FaultKind(links_delayed, 1, 4),
    "connections_reset": FaultKind(connections_reset, 0.1, 0.2),
    "connections_silenced": FaultKind(connections_silenced, 0.1, 0.2),
    "configuration_changed": FaultKind(configuration_changed, 0.5, 2),
}


def inject(scene: Scene, name: str, length_s: float) -> None:
    """Inject one fault for a time."""
    with FAULTS[name].inject(scene):
        gevent.sleep(length_s)


@contextmanager
def _cut(scene: Scene, fault: str, ways: set[tuple[str, str]]) -> Block:
    conditions = scene.deployment.conditions
    with scene.span(fault):
        conditions.cut |= ways
        yield
        conditions.cut -= ways


def _some_relays(scene: Scene) -> list:
    relays = list(scene.deployment.relays.values())
    return scene.random.sample(relays, max(1, len(relays) // 3))


def _start(scene: Scene, daemon: Daemon) -> None:
    daemon.start()
    _await_ready(scene, daemon)


def _await_ready(scene: Scene, daemon: Daemon) -> None:
    give_up_ms = scene.clock.now_ms() + GRACE_S * MS_PER_S
    while not scene.deployment.is_ready(daemon) and scene.clock.now_ms() < give_up_ms:
        gevent.sleep(RESTART_PAUSE_S)


def _switch_worker(scene: Scene, worker: str, switches: dict) -> None:
    _with_worker(
        scene, lambda name: scene.deployment.switch_worker(name, **switches), worker
    )


def _with_worker(
    scene: Scene, call: Callable[[str], None], worker: str | None = None
) -> None:
    """Call a worker's control page, unless its whole process is down."""
    worker = worker or scene.any_worker()
    if scene.deployment.workers[worker].zone in scene.held:
        return
    try:
        call(worker)
    except HTTPError as error:
        # Its process starts anew, without switches.
        print(f"  {worker} is not reached: {error}", flush=True)
