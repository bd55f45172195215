"""Fakes of the job service's dependencies: table, peers, admission, dispatcher."""

from collections.abc import Callable

import gevent
from attrs import define, evolve, field
from gevent.event import Event

from rattanloom.claims import Claims
from rattanloom.environment import Environment
from rattanloom.errors import ErrorKind, Failure, Ran
from rattanloom.job import Job, JobResult, ResultKind, Task
from rattanloom.jobs import JobService
from rattanloom.keys import Keyring
from rattanloom.metrics import Metrics
from rattanloom.platform.protocol import ABSENT, Committed, Conflicted, Row
from rattanloom.rules import Rules
from rattanloom.sealed_ledger import SealedLedgers
from rattanloom.settings import EntrySettings
from rattanloom.ticket import TicketIssuer
from rattanloom.timeline import Timeline
from tests.utils import FakeClock, FakeObjects

KEY = "0123456789abcdef0123"
EPOCH_MS = 60_000
UNREACHABLE = Failure(ErrorKind.PLATFORM_UNREACHABLE, "down")
REPLY_LOST = Failure(ErrorKind.REPLY_LOST, "lost")
OVERLOADED = Failure(ErrorKind.OVERLOADED, "full")


@define(eq=False)
class FakeTable:
    """A table in memory with injectable faults.

    ``down`` fails all calls, ``lose`` is the number of writes whose replies are
    lost, ``delay_effect`` holds writes back until ``release_late_writes``.
    """

    rows: dict = field(factory=dict)
    down: bool = False
    lose: int = 0
    late: list = field(factory=list)
    delay_effect: bool = False
    writes: int = 0
    gate: Event = field(factory=Event)

    def __attrs_post_init__(self):
        self.gate.set()

    def read(self, keys):
        self.gate.wait()
        if self.down:
            return UNREACHABLE
        return tuple(self.rows[key] for key in keys if key in self.rows)

    def scan(self, prefix, limit):
        if self.down:
            return UNREACHABLE
        names = sorted(name for name in self.rows if name.startswith(prefix))
        return tuple(self.rows[name] for name in names[:limit])

    def transact(self, changes):
        self.gate.wait()
        if self.down:
            return UNREACHABLE
        self.writes += 1
        if self.delay_effect:
            self.late.append(changes)
            return REPLY_LOST
        done = self.apply(changes)
        if self.lose > 0:
            self.lose -= 1
            return REPLY_LOST
        return done

    def apply(self, changes):
        differing = []
        for change in changes:
            row = self.rows.get(change.key, Row(change.key, ABSENT, ""))
            if row.version != change.expected_version:
                differing.append(row)
        if differing:
            return Conflicted(tuple(differing))
        for change in changes:
            if change.value is None:
                self.rows.pop(change.key, None)
            else:
                version = change.expected_version + 1
                self.rows[change.key] = Row(change.key, version, change.value)
        return Committed(tuple(self.rows[c.key] for c in changes if c.value))

    def release_late_writes(self):
        late, self.late = self.late, []
        for changes in late:
            self.apply(changes)


@define(eq=False)
class FakeDispatcher:
    """Starts a job at once; with ``hold``, it runs until released or cancelled.

    ``refuse``, if set, is the failure of every job. With ``dead``, as after a kill of
    the process, later jobs never start. A cleared ``gate`` pauses the dispatcher.
    """

    gate: Event
    on_start: Callable = field(default=lambda job: None)
    starts: list = field(factory=list)
    hold: bool = False
    refuse: Failure | None = None
    dead: bool = False
    released: Event = field(factory=Event)

    def run(self, job, deadline_at_ms, cancelled):
        self.gate.wait()
        if self.dead:
            Event().wait()
        if self.refuse is not None:
            return JobResult(job.job_id, ResultKind.REFUSED, failure=self.refuse)
        self.starts.append((job.job_id, job.key, job.tasks))
        self.on_start(job)
        if self.hold:
            gevent.wait([self.released, cancelled], count=1)
        self.gate.wait()
        if cancelled.is_set():
            failure = Failure(ErrorKind.CANCELLED, "stopped")
            return JobResult(job.job_id, ResultKind.UNKNOWN, failure=failure)
        outputs = tuple(f"out:{task.payload}" for task in job.tasks)
        return JobResult(job.job_id, ResultKind.COMPLETE, outputs)


@define(eq=False)
class FakeAdmission:
    """Refuses with ``failure``; the clock may jump ahead, as in a process pause."""

    clock: FakeClock
    failure: Failure | None = None
    frozen_until_ms: float = 0.0

    def admit(self, job, deadline_at_ms):
        self.clock.ms = max(self.clock.ms, self.frozen_until_ms)
        return self.failure


@define(eq=False)
class FakePeers:
    """Calls the other hosts' services, subject to the cluster's partitions."""

    cluster: object
    host: str

    def members(self):
        return ()

    def submit(self, host, incarnation, job):
        return self._forward(host, incarnation, lambda jobs: jobs.submit_here(job))

    def ask(self, host, incarnation, job_id, wait_ms):
        return self._forward(
            host, incarnation, lambda jobs: jobs.ask_here(job_id, wait_ms)
        )

    def cancel(self, host, incarnation, job_id):
        return self._forward(host, incarnation, lambda jobs: jobs.cancel_here(job_id))

    def _forward(self, host, incarnation, call):
        cluster = self.cluster
        if frozenset((self.host, host)) in cluster.partitions:
            return Failure(ErrorKind.HOME_UNREACHABLE, "partitioned", ran=Ran.NOT_RUN)
        service = cluster.hosts.get(host)
        if service is None or service.issuer.incarnation != incarnation:
            return Failure(ErrorKind.HOME_GONE, "gone")
        gate = cluster.gates[host]
        if not gate.is_set():
            gevent.spawn(cluster.when_awake, host, call)
            return Failure(ErrorKind.HOME_UNREACHABLE, "no reply in time")
        result = call(service)
        alive = cluster.hosts.get(host) is service
        if not alive or frozenset((self.host, host)) in cluster.partitions:
            return Failure(ErrorKind.HOME_UNREACHABLE, "connection lost")
        if cluster.lose_forwarded_replies:
            return Failure(ErrorKind.HOME_UNREACHABLE, "reply lost")
        return result


@define(eq=False)
class FakeCluster:
    """Several job services in one process with a shared table and clock.

    A host whose gate in ``gates`` is cleared is paused.
    """

    clock: FakeClock = field(factory=FakeClock)
    table: FakeTable = field(factory=FakeTable)
    objects: FakeObjects = field(factory=FakeObjects)
    hosts: dict = field(factory=dict)
    dispatchers: list = field(factory=list)
    gates: dict = field(factory=dict)
    partitions: set = field(factory=set)
    on_start: Callable = field(default=lambda job: None)
    lose_forwarded_replies: bool = False
    rules: Rules = field(factory=Rules)
    incarnations: int = 0
    service_class: type = JobService

    def start(self, host):
        """Start a host, or replace it with a new incarnation."""
        self.incarnations += 1
        settings = EntrySettings(
            host, "z1", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", KEY
        )
        environment = Environment(clock=self.clock)
        issuer = TicketIssuer(
            "z1",
            host,
            f"i{self.incarnations}",
            Keyring(KEY.encode()),
            self.clock,
            EPOCH_MS,
        )
        if host in self.hosts:
            self.hosts[host].dispatcher.dead = True
        gate = self.gates[host] = Event()
        gate.set()
        dispatcher = FakeDispatcher(gate, self.on_start)
        self.dispatchers.append(dispatcher)
        self.hosts[host] = self.service_class(
            settings,
            environment,
            Timeline(host, self.clock),
            issuer,
            dispatcher,
            FakeAdmission(self.clock),
            FakePeers(self, host),
            Claims(settings, environment, self.table, issuer, host_count=lambda: 0),
            Metrics(),
            lambda: self.rules,
            SealedLedgers(self.objects, self.clock),
        )
        return self.hosts[host]

    def stop(self, host):
        """Stop a host as planned; it seals its ledger."""
        service = self.hosts[host]
        service.drain(0)
        service.seal()
        service.dispatcher.dead = True
        del self.hosts[host]

    def when_awake(self, host, call):
        """Run a call that reached a paused host, unless the host is replaced first."""
        service, gate = self.hosts[host], self.gates[host]
        gate.wait()
        if self.hosts[host] is service:
            call(service)

    def starts(self):
        """Return all starts of jobs, on all hosts and incarnations."""
        return [start for one in self.dispatchers for start in one.starts]


def make_job(job_id="", key="", payload="p", deadline_ms=5_000, tasks=1):
    """Return a small job whose payloads are ``<payload>/<index>``."""
    payloads = [f"{payload}/{index}" for index in range(tasks)]
    return Job(
        job_id,
        "studio",
        tuple(Task("proof", each) for each in payloads),
        deadline_ms,
        key=key,
    )


def with_deadline(job: Job, deadline_ms: int) -> Job:
    """Return the job with another deadline."""
    return evolve(job, deadline_ms=deadline_ms)


def settle():
    """Yield until all greenlets are blocked."""
    for _ in range(20):
        gevent.sleep(0)
