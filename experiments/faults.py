"""Faults that the failure histories inject, each undone when its block ends."""

import signal
import subprocess
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, ExitStack, contextmanager
from random import Random

import gevent
from attrs import define, field, frozen

from experiments.cluster import Cluster, Process
from experiments.history import (
    ConfigAccepted,
    Disturbed,
    HostStopped,
    TargetLeaving,
)
from experiments.history_recorder import Recorder, now_ms
from rattanloom.clock import MS_PER_S

SLOW_PLATFORM_MS = 300
SLOW_FACTOR = 15.0
LIST_LAG_MS = 1_500
STOP_WITHIN_S = 20.0
CANCEL_WAVE_SHARE = 0.6
OPERATORS = 2


@define(eq=False)
class Scene:
    """What a fault works on."""

    cluster: Cluster
    recorder: Recorder
    random: Random
    cancel_share: list[float]
    changes: int = 0
    greenlets: list[gevent.Greenlet] = field(factory=list)

    def any_host(self) -> Process:
        """Return one running entry host."""
        hosts = [host for host in self.cluster.hosts.values() if host.running]
        return self.random.choice(hosts)

    def any_worker(self) -> Process:
        """Return one worker."""
        return self.random.choice(list(self.cluster.workers.values()))

    def any_zone(self) -> str:
        """Return one availability zone."""
        return self.random.choice(self.cluster.shape.zones)

    @contextmanager
    def excused(self, *hosts: Process) -> Iterator[None]:
        """Excuse hosts from following the configuration during the block."""
        from_ms = now_ms()
        yield
        for host in hosts or self.cluster.hosts.values():
            self.recorder.history.add(Disturbed(from_ms, now_ms(), host.name))


Block = Iterator[None]


@contextmanager
def host_killed(scene: Scene) -> Block:
    """One entry host dies at once; another process takes its place at the end."""
    host = scene.any_host()
    with scene.excused(host):
        host.kill()
        yield
        host.start()
        scene.cluster.await_ready()


@contextmanager
def host_frozen(scene: Scene) -> Block:
    """One entry host is paused, and wakes."""
    host = scene.any_host()
    with scene.excused(host):
        host.pause()
        yield
        host.resume()


@contextmanager
def host_stopped(scene: Scene) -> Block:
    """One entry host is stopped as planned, and replaced."""
    host = scene.any_host()
    with scene.excused(host):
        told_at_ms = now_ms()
        host.terminate()
        yield
        host.wait(STOP_WITHIN_S)
        ended_at_ms = now_ms()
        scene.recorder.history.add(HostStopped(told_at_ms, ended_at_ms, host.name))
        host.start()
        scene.cluster.await_ready()


@contextmanager
def zone_cut(scene: Scene) -> Block:
    """One zone is cut off from the others."""
    with scene.excused():
        scene.cluster.isolate_zone(scene.any_zone())
        yield
        scene.cluster.reconnect_zones()


@contextmanager
def zone_cut_from_all(scene: Scene) -> Block:
    """One zone is cut off from the others and from the platform."""
    with scene.excused():
        scene.cluster.isolate_zone(scene.any_zone(), platform_too=True)
        yield
        scene.cluster.reconnect_zones()


def platform_switched(**switches: object) -> Callable[[Scene], AbstractContextManager]:
    """Return a fault that sets switches of the platform."""

    @contextmanager
    def fault(scene: Scene) -> Block:
        usual = {name: type(value)() for name, value in switches.items()}
        with scene.excused():
            scene.cluster.switch_platform(**switches)
            yield
            scene.cluster.switch_platform(**usual)

    return fault


def worker_switched(
    usual: object, **switches: object
) -> Callable[[Scene], AbstractContextManager]:
    """Return a fault that sets one switch of one worker."""

    @contextmanager
    def fault(scene: Scene) -> Block:
        worker = scene.any_worker()
        scene.cluster.switch_worker(worker.name, **switches)
        yield
        if worker.running:
            usuals = dict.fromkeys(switches, usual)
            scene.cluster.switch_worker(worker.name, **usuals)

    return fault


@contextmanager
def worker_died(scene: Scene) -> Block:
    """One worker dies with its tasks and unsent replies, and comes back empty."""
    worker = scene.any_worker()
    scene.cluster.switch_worker(worker.name, stall=True)
    scene.recorder.save_starts(worker)
    worker.kill()
    yield
    worker.start()


@contextmanager
def target_leaving(scene: Scene) -> Block:
    """The platform lists one worker as leaving, while the worker still works."""
    worker = scene.any_worker()
    scene.cluster.list_targets(leaving=[worker.name])
    at_ms = now_ms()
    yield
    scene.recorder.history.add(TargetLeaving(at_ms, worker.name, now_ms()))
    scene.cluster.list_targets()


@contextmanager
def operators_racing(scene: Scene) -> Block:
    """Operators publish changes at the same time."""
    publishing = [gevent.spawn(_publish, scene) for _ in range(OPERATORS)]
    yield
    gevent.joinall(publishing)


@contextmanager
def cancellations(scene: Scene) -> Block:
    """Callers cancel in a wave."""
    usual = scene.cancel_share[0]
    scene.cancel_share[0] = CANCEL_WAVE_SHARE
    yield
    scene.cancel_share[0] = usual


def _publish(scene: Scene) -> None:
    scene.changes += 1
    change = f"{scene.recorder.name}.{scene.changes}"
    try:
        output = scene.cluster.operator("drain", change)
    except (RuntimeError, subprocess.TimeoutExpired):
        return
    accepted = output.split("accepted: version ")
    if len(accepted) == 2:
        version = int(accepted[1].split()[0])
        scene.recorder.history.add(ConfigAccepted(now_ms(), version, change))


FAULTS: dict[str, Callable[[Scene], AbstractContextManager]] = {
    "entry host killed": host_killed,
    "entry host frozen": host_frozen,
    "entry host stopped": host_stopped,
    "zone cut": zone_cut,
    "zone cut from all": zone_cut_from_all,
    "platform down": platform_switched(down=True),
    "platform slow": platform_switched(latency_ms=float(SLOW_PLATFORM_MS)),
    "platform stalled": platform_switched(stall=True),
    "platform replies lost": platform_switched(lose_replies=True),
    "host list lagging": platform_switched(host_list_lag_ms=float(LIST_LAG_MS)),
    "worker stalled": worker_switched(False, stall=True),
    "worker fails everything": worker_switched(False, fail_all=True),
    "worker connections silent": worker_switched(False, silent=True),
    "worker slow": worker_switched(1.0, slow_factor=SLOW_FACTOR),
    "worker died": worker_died,
    "target leaving": target_leaving,
    "operators racing": operators_racing,
    "cancellations": cancellations,
}

PAIRS = (
    ("platform down", "entry host killed"),
    ("zone cut", "entry host killed"),
    ("zone cut from all", "platform down"),
    ("worker connections silent", "cancellations"),
    ("entry host frozen", "platform replies lost"),
    ("operators racing", "platform replies lost"),
    ("operators racing", "entry host killed"),
    ("host list lagging", "target leaving"),
    ("entry host stopped", "worker stalled"),
    ("entry host stopped", "zone cut"),
    ("entry host frozen", "entry host killed"),
    ("worker died", "cancellations"),
)


@frozen
class Schedule:
    """The faults of one history, switched on together for ``hold_ms``."""

    names: tuple[str, ...]
    hold_ms: float


HOLD_MS = 2_000
HOLD_LEAVING_MS = 6_000


def schedules(random: Random) -> Iterator[Schedule]:
    """Yield every fault alone and every pair, in a new order in each round."""
    while True:
        names = [(name,) for name in FAULTS] + list(PAIRS)
        random.shuffle(names)
        for each in names:
            leaving = "target leaving" in each
            yield Schedule(each, HOLD_LEAVING_MS if leaving else HOLD_MS)


@contextmanager
def injected(scene: Scene, schedule: Schedule) -> Block:
    """Switch the schedule's faults on, and off again at the end."""
    with ExitStack() as stack:
        for name in schedule.names:
            stack.enter_context(FAULTS[name](scene))
        yield
        for host in scene.cluster.hosts.values():
            host.signal(signal.SIGCONT)
    gevent.sleep(1 / MS_PER_S)
