"""Faults of the failure histories: context managers that undo the fault at the end."""

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
    ConfigExemption,
    HostStopped,
    TargetLeaving,
)
from experiments.history_recorder import Recorder, now_ms
from rattanloom.clock import MS_PER_S

SLOW_PLATFORM_MS = 300
# Factor on the run times of a slow worker.
SLOW_FACTOR = 15.0
# Delay of changes of the platform's host list.
LIST_LAG_MS = 1_500
STOP_WITHIN_S = 20.0
# Probability of a cancellation while the fault "cancellations" is active.
CANCEL_WAVE_SHARE = 0.6
# Operators that publish at the same time.
OPERATORS = 2


@define(eq=False)
class FaultContext:
    """The cluster, recorder and random generator that a fault uses.

    ``cancel_share`` is the list that all callers use; see ``Caller``. ``changes``
    counts the configuration changes that faults have tried to publish.
    """

    cluster: Cluster
    recorder: Recorder
    random: Random
    cancel_share: list[float]
    changes: int = 0
    greenlets: list[gevent.Greenlet] = field(factory=list)

    def random_host(self) -> Process:
        """Return a random running entry host."""
        hosts = [host for host in self.cluster.hosts.values() if host.is_running]
        return self.random.choice(hosts)

    def random_worker(self) -> Process:
        """Return a random worker."""
        return self.random.choice(list(self.cluster.workers.values()))

    def random_zone(self) -> str:
        """Return a random availability zone."""
        return self.random.choice(self.cluster.layout.zones)

    @contextmanager
    def exempt_hosts(self, *hosts: Process) -> Iterator[None]:
        """Exempt hosts (without arguments, all) from the configuration check."""
        from_ms = now_ms()
        yield
        for host in hosts or self.cluster.hosts.values():
            self.recorder.history.add(ConfigExemption(from_ms, now_ms(), host.name))


# Return type of the faults: generators that yield once, while the fault is active.
FaultBody = Iterator[None]


@contextmanager
def host_killed(context: FaultContext) -> FaultBody:
    """Kills an entry host, and restarts it at the end."""
    host = context.random_host()
    with context.exempt_hosts(host):
        host.kill()
        yield
        host.start()
        context.cluster.await_ready()


@contextmanager
def host_paused(context: FaultContext) -> FaultBody:
    """Pauses an entry host with SIGSTOP, and resumes it at the end."""
    host = context.random_host()
    with context.exempt_hosts(host):
        host.pause()
        yield
        host.resume()


@contextmanager
def host_stopped(context: FaultContext) -> FaultBody:
    """Stops an entry host with SIGTERM, and restarts it at the end."""
    host = context.random_host()
    with context.exempt_hosts(host):
        requested_at_ms = now_ms()
        host.terminate()
        yield
        host.wait(STOP_WITHIN_S)
        exited_at_ms = now_ms()
        context.recorder.history.add(
            HostStopped(requested_at_ms, exited_at_ms, host.name)
        )
        host.start()
        context.cluster.await_ready()


@contextmanager
def zone_isolated(context: FaultContext) -> FaultBody:
    """Cuts a zone off from the hosts and workers of the other zones."""
    with context.exempt_hosts():
        context.cluster.isolate_zone(context.random_zone())
        yield
        context.cluster.reconnect_zones()


@contextmanager
def zone_isolated_from_platform(context: FaultContext) -> FaultBody:
    """Cuts a zone off as ``zone_isolated`` does, and from the platform."""
    with context.exempt_hosts():
        context.cluster.isolate_zone(context.random_zone(), platform_too=True)
        yield
        context.cluster.reconnect_zones()


def platform_switched(
    **switches: object,
) -> Callable[[FaultContext], AbstractContextManager]:
    """Return a fault that sets platform switches, then resets them to False or 0."""

    @contextmanager
    def fault(context: FaultContext) -> FaultBody:
        defaults = {name: type(value)() for name, value in switches.items()}
        with context.exempt_hosts():
            context.cluster.switch_platform(**switches)
            yield
            context.cluster.switch_platform(**defaults)

    return fault


def worker_switched(
    default: object, **switches: object
) -> Callable[[FaultContext], AbstractContextManager]:
    """Return a fault that sets a worker's switches, then resets them to ``default``."""

    @contextmanager
    def fault(context: FaultContext) -> FaultBody:
        worker = context.random_worker()
        context.cluster.switch_worker(worker.name, **switches)
        yield
        if worker.is_running:
            defaults = dict.fromkeys(switches, default)
            context.cluster.switch_worker(worker.name, **defaults)

    return fault


@contextmanager
def worker_died(context: FaultContext) -> FaultBody:
    """Kills a worker with its tasks and unsent replies, and restarts it at the end.

    The worker is stalled first, so that it starts no task between the copy of its
    start log and the kill.
    """
    worker = context.random_worker()
    context.cluster.switch_worker(worker.name, stall=True)
    context.recorder.save_starts(worker)
    worker.kill()
    yield
    worker.start()


@contextmanager
def target_leaving(context: FaultContext) -> FaultBody:
    """Lists a worker as leaving, while it still accepts and runs tasks."""
    worker = context.random_worker()
    context.cluster.set_target_list(leaving=[worker.name])
    at_ms = now_ms()
    yield
    context.recorder.history.add(TargetLeaving(at_ms, worker.name, now_ms()))
    context.cluster.set_target_list()


@contextmanager
def operators_racing(context: FaultContext) -> FaultBody:
    """Makes several operators publish configuration changes at the same time."""
    publishing = [gevent.spawn(_publish, context) for _ in range(OPERATORS)]
    yield
    gevent.joinall(publishing)


@contextmanager
def cancellations(context: FaultContext) -> FaultBody:
    """Makes the callers cancel more often, with CANCEL_WAVE_SHARE."""
    normal_share = context.cancel_share[0]
    context.cancel_share[0] = CANCEL_WAVE_SHARE
    yield
    context.cancel_share[0] = normal_share


def _publish(context: FaultContext) -> None:
    """Drain a target named after the change; record the version if it is accepted."""
    context.changes += 1
    change = f"{context.recorder.name}.{context.changes}"
    try:
        output = context.cluster.run_operator_command("drain", change)
    except (RuntimeError, subprocess.TimeoutExpired):
        return
    accepted = output.split("accepted: version ")
    if len(accepted) == 2:
        version = int(accepted[1].split()[0])
        context.recorder.history.add(ConfigAccepted(now_ms(), version, change))


# The order of the faults and pairs determines the schedules of each seed.
FAULTS: dict[str, Callable[[FaultContext], AbstractContextManager]] = {
    "entry host killed": host_killed,
    "entry host frozen": host_paused,
    "entry host stopped": host_stopped,
    "zone cut": zone_isolated,
    "zone cut from all": zone_isolated_from_platform,
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

FAULT_PAIRS = (
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
    """The faults of one history, which are injected together for ``hold_ms``."""

    names: tuple[str, ...]
    hold_ms: float


HOLD_MS = 2_000
# Longer than LEAVING_GRACE_MS, after which the check reports starts on the target.
HOLD_LEAVING_MS = 6_000


def generate_schedules(random: Random) -> Iterator[Schedule]:
    """Yield all faults and pairs of faults in random order, in endless rounds."""
    while True:
        names = [(name,) for name in FAULTS] + list(FAULT_PAIRS)
        random.shuffle(names)
        for each in names:
            leaving = "target leaving" in each
            yield Schedule(each, HOLD_LEAVING_MS if leaving else HOLD_MS)


@contextmanager
def inject_faults(context: FaultContext, schedule: Schedule) -> FaultBody:
    """Inject faults for the block, then resume all hosts and undo faults in reverse."""
    with ExitStack() as stack:
        for name in schedule.names:
            stack.enter_context(FAULTS[name](context))
        yield
        for host in context.cluster.hosts.values():
            host.signal(signal.SIGCONT)
    gevent.sleep(1 / MS_PER_S)
