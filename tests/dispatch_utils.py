"""In-process stand-in workers and a FIFO queue for dispatch tests."""

from collections import deque
from contextlib import ExitStack, contextmanager
from random import Random
from socket import SHUT_RDWR

import gevent
from attrs import define, field
from gevent.event import Event

from rattanloom.clock import SystemClock
from rattanloom.dispatch import Dispatcher
from rattanloom.environment import Environment
from rattanloom.job import Job, Task
from rattanloom.metrics import Metrics
from rattanloom.platform.protocol import ListedTarget
from rattanloom.rules import Rules
from rattanloom.settings import EntrySettings
from rattanloom.targets.directory import TargetDirectory
from rattanloom.timeline import Timeline
from rattanloom.timer import running_timers
from standins.worker import Worker, serving

SEED = 7


@define(eq=False)
class FifoQueue:
    """A FIFO implementation of the dispatcher's ``TaskQueue``."""

    waiting: deque = field(factory=deque)
    taken: list = field(factory=list)
    ready: list = field(factory=list)
    overdue: list = field(factory=list)

    def on_ready(self, callback):
        self.ready.append(callback)

    def on_overdue(self, callback):
        self.overdue.append(callback)

    def put(self, tasks):
        self.waiting.extend(tasks)
        self._notify()

    def requeue(self, task):
        self.taken.remove(task)
        self.waiting.appendleft(task)
        self._notify()

    def take(self, can_place):
        if not self.waiting or not can_place(self.waiting[0]):
            return None
        self.taken.append(self.waiting.popleft())
        return self.taken[-1]

    def finished(self, task, run_ms):
        self.taken.remove(task)
        self._notify()

    def withdraw(self, job_id):
        mine = [task for task in self.waiting if task.job.job_id == job_id]
        for task in mine:
            self.waiting.remove(task)
        return mine

    def _notify(self):
        for callback in self.ready:
            callback()


@define(eq=False, slots=False)
class Bench:
    """A dispatcher with stand-in workers; it also serves as the host list."""

    workers: dict
    directory: TargetDirectory
    queue: FifoQueue
    dispatcher: Dispatcher
    metrics: Metrics
    listed: list
    servers: dict = field(factory=dict)
    stack: ExitStack = None
    rules: Rules = Rules()

    def kill(self, name):
        """Close a worker and all its connections, like a crash."""
        self.servers[name].close()
        for connection in tuple(self.servers[name].connections):
            connection.socket.shutdown(SHUT_RDWR)

    def restart(self, name):
        """Kill a worker and start a new one at its address."""
        self.kill(name)
        old = self.workers[name]
        self.workers[name] = Worker(name, old.zone, old.slots)
        address = next(item.address for item in self.listed if item.name == name)
        serving_again = serving(self.workers[name], address)
        self.servers[name] = self.stack.enter_context(serving_again)

    def state(self, name):
        """Return the directory's state of a worker."""
        return self.directory._fleet.targets[name]

    def usable(self, name):
        return self.state(name).usable(self.dispatcher.environment.clock.now_ms())

    def is_healthy(self, name):
        """Say whether a worker is usable and not on trial."""
        return self.usable(name) and not self.state(name).health.on_trial

    def run(self, job, deadline_ms=5_000, cancelled=None):
        now_ms = self.dispatcher.environment.clock.now_ms()
        return self.dispatcher.run(job, now_ms + deadline_ms, cancelled or Event())

    def run_later(self, job, deadline_ms=5_000, cancelled=None):
        return gevent.spawn(self.run, job, deadline_ms, cancelled)

    def starts(self):
        """Return the recorded starts of all workers."""
        return [
            start
            for worker in self.workers.values()
            for start in worker.attempts.starts
        ]

    def listed_targets(self):
        """Return the host list; see ``HostList``."""
        return tuple(self.listed)


def settings():
    return EntrySettings(
        host="adum-1",
        zone="Adum",
        http_address="127.0.0.1:1",
        peer_address="127.0.0.1:1",
        platform_address="127.0.0.1:1",
        ticket_key="0123456789abcdef",
        host_list_poll_ms=60_000,
        heartbeat_ms=10_000,
    )


def job(*tasks, job_id="j1"):
    return Job(job_id, "desk", tuple(tasks), 5_000)


def task(ms=5, answer="x", **fields):
    script = f'{{"ms": {ms}, "answer": "{answer}"}}'
    return Task("proof", script, run_ms=ms, **fields)


def until(condition, within_s=10.0):
    """Wait until ``condition()`` is true; raise a timeout otherwise."""
    with gevent.Timeout(within_s):
        while not condition():
            gevent.sleep(0.002)


@contextmanager
def worker_bench(workers=2, slots=4):
    """Serve in-process workers and build a dispatcher that uses them."""
    with ExitStack() as stack:
        running = {}
        servers = {}
        listed = []
        for number in range(workers):
            worker = Worker(f"w{number}", "Adum", slots)
            server = stack.enter_context(serving(worker, "127.0.0.1:0"))
            running[worker.name] = worker
            servers[worker.name] = server
            address = f"127.0.0.1:{server.server_port}"
            listed.append(ListedTarget(worker.name, "Adum", address, slots, 64))
        bench = stack.enter_context(bench_over(running, listed))
        bench.servers = servers
        bench.stack = stack
        yield bench


@contextmanager
def bench_over(workers, listed):
    """Build a dispatcher for the listed workers."""
    environment = Environment(random=Random(SEED))
    timeline = Timeline("adum-1", SystemClock())
    metrics = Metrics()
    with running_timers() as timers:
        bench = Bench(workers, None, FifoQueue(), None, metrics, listed)
        bench.directory = TargetDirectory(
            settings(),
            environment,
            timers,
            timeline,
            bench,
            lambda: bench.rules,
            metrics,
        )
        bench.directory.start(NoPeers())
        bench.dispatcher = Dispatcher(
            environment,
            timeline,
            bench.queue,
            bench.directory,
            lambda: bench.rules,
            metrics,
        )
        yield bench


class NoPeers:
    """An entry host without peers."""

    def members(self):
        return ()

    def loads(self):
        return {}
