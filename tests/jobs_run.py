"""Records runs of callers, faults and several job services in one process.

Every operation takes one number that selects host, submission and variant, so
that a seed or hypothesis can repeat the same schedule.
"""

from collections.abc import Callable

import gevent
from attrs import define, evolve, field

from experiments.history import (
    Action,
    History,
    Invoked,
    ResponseMissing,
    ResponseReceived,
    TaskStarted,
)
from rattanloom.errors import ErrorKind, Ran
from rattanloom.job import ResultKind
from rattanloom.jobs import JobService
from tests.fakes_jobs import EPOCH_MS, OVERLOADED, FakeCluster, make_job, settle

HOSTS = ("a", "b", "c")
DEADLINE_MS = 600_000
TASKS = 2


@define(eq=False)
class Caller:
    """A caller and its job; ``not_run`` once the job is reported as not run."""

    submission: str
    job_id: str
    key: str
    open_calls: set = field(factory=set)
    not_run: bool = False


@define(eq=False)
class JobsRun:
    """One recorded run; ``step`` does one operation and waits for its effects."""

    service_class: type = JobService
    history: History = field(factory=History)
    cluster: FakeCluster = field(init=False)
    callers: list[Caller] = field(factory=list)
    ticks: int = 0
    calls: int = 0
    greenlets: dict = field(factory=dict)
    errors: list = field(factory=list)

    def __attrs_post_init__(self):
        self.cluster = FakeCluster(
            service_class=self.service_class, on_start=self._started
        )
        for host in HOSTS:
            self.cluster.start(host)

    def step(self, name, number):
        """Run the operation ``name`` until all greenlets are blocked."""
        (OPERATIONS | RESTART)[name](self, number)
        settle()

    def close(self):
        """Kill the greenlets of all callers."""
        for host in HOSTS:
            self.cluster.gates[host].set()
        for greenlets in self.greenlets.values():
            gevent.killall(greenlets, block=False)
        settle()

    def _tick(self):
        self.ticks += 1
        return float(self.ticks)

    def _started(self, job):
        for index, task in enumerate(job.tasks):
            submission = task.payload.split("/")[0]
            self.history.add(
                TaskStarted(self._tick(), "w", submission, index, job.job_id)
            )

    def _call(self, host, caller, action):
        self.calls += 1
        number = self.calls
        expected = tuple(f"out:{caller.submission}/{n}" for n in range(TASKS))
        self.history.add(
            Invoked(
                self._tick(),
                number,
                action,
                host,
                caller.submission,
                caller.job_id,
                caller.key,
                expected,
                False,
            )
        )
        caller.open_calls.add(number)
        greenlet = gevent.spawn(self._do, number, host, caller, action)
        self.greenlets.setdefault(host, []).append(greenlet)

    def _do(self, number, host, caller, action):
        try:
            self.cluster.gates[host].wait()
            result = self._ask_service(self.cluster.hosts[host], caller, action)
        except gevent.GreenletExit:
            self.history.add(ResponseMissing(self._tick(), number, True))
        except Exception as error:
            self.errors.append(error)
        else:
            self._record(number, caller, action, result)
        finally:
            caller.open_calls.discard(number)

    def _ask_service(self, service, caller, action):
        if action is Action.ASK:
            return service.ask(caller.job_id, 0)
        if action is Action.CANCEL:
            return service.cancel(caller.job_id)
        job = make_job(caller.job_id, caller.key, caller.submission, DEADLINE_MS, TASKS)
        return service.submit(evolve(job, idempotent=False))

    def _record(self, number, caller, action, result):
        failure = result.failure
        if failure is not None and failure.kind is ErrorKind.INTERNAL:
            self.errors.append(failure)
        self.history.add(
            ResponseReceived(
                self._tick(),
                number,
                result.job_id,
                result.outcome,
                result.outputs,
                failure.kind.value if failure else "",
                failure.effective_ran if failure else None,
            )
        )
        is_not_run = failure is not None and failure.effective_ran is Ran.NOT_RUN
        caller.not_run = is_not_run and action is not Action.ASK

    def submit_new(self, number):
        """Submit a new job with a ticket or with a key."""
        host = pick(HOSTS, number)
        name = f"s{len(self.callers)}"
        if number // 3 % 3 == 0:
            caller = Caller(name, "", name)
        else:
            tickets = self.cluster.hosts[host].issue_tickets(1)
            if not tickets:
                return
            caller = Caller(name, tickets[0], "")
        self.callers.append(caller)
        self._call(pick(HOSTS, number // 9), caller, Action.SUBMIT)

    def resubmit(self, number):
        """Send a submission again, to any host."""
        self._known_call(number, Action.SUBMIT)

    def ask(self, number):
        """Query a job's result at any host."""
        self._known_call(number, Action.ASK)

    def cancel(self, number):
        """Cancel a job at any host."""
        self._known_call(number, Action.CANCEL)

    def retake(self, number):
        """Resubmit a job that was reported as not run, with a new ticket."""
        if not self.callers:
            return
        caller = pick(self.callers, number // 3)
        tickets = self.cluster.hosts[pick(HOSTS, number)].issue_tickets(1)
        if caller.not_run and not caller.key and not caller.open_calls and tickets:
            caller.job_id = tickets[0]
            self._call(pick(HOSTS, number), caller, Action.SUBMIT)

    def _known_call(self, number, action):
        if not self.callers:
            return
        caller = pick(self.callers, number // 3)
        if action is Action.SUBMIT or caller.job_id:
            self._call(pick(HOSTS, number), caller, action)

    def hold(self, number):
        """Let the jobs of a host run until ``release``."""
        dispatcher = self.cluster.hosts[pick(HOSTS, number)].dispatcher
        dispatcher.hold = True
        dispatcher.released.clear()

    def release(self, number):
        """Finish the running jobs of a host."""
        dispatcher = self.cluster.hosts[pick(HOSTS, number)].dispatcher
        dispatcher.hold = False
        dispatcher.released.set()

    def refuse(self, number):
        """Let a host's admission refuse all jobs, or its dispatcher, or neither."""
        service = self.cluster.hosts[pick(HOSTS, number)]
        service.admission.failure = OVERLOADED if number // 3 % 3 == 1 else None
        service.dispatcher.refuse = OVERLOADED if number // 3 % 3 == 2 else None

    def kill(self, number):
        """Replace a host with a new incarnation; its ledger is lost."""
        host = pick(HOSTS, number)
        self.cluster.start(host)
        gevent.killall(self.greenlets.pop(host, []), block=False)

    def pause(self, number):
        """Pause a host with all requests that reach it."""
        self.cluster.gates[pick(HOSTS, number)].clear()

    def resume(self, number):
        """Resume a paused host."""
        self.cluster.gates[pick(HOSTS, number)].set()

    def drain(self, number):
        """Let a host refuse new jobs and cancel the running ones."""
        host = pick(HOSTS, number)
        draining = gevent.spawn(self.cluster.hosts[host].drain, 0)
        self.greenlets.setdefault(host, []).append(draining)

    def restart(self, number):
        """Stop a host as planned with its ledger sealed, and replace it."""
        host = pick(HOSTS, number)
        if self.cluster.gates[host].is_set():
            self.cluster.stop(host)
            self.cluster.start(host)
            gevent.killall(self.greenlets.pop(host, []), block=False)

    def cut(self, number):
        """Partition two hosts from each other."""
        self.cluster.partitions.add(pair(number))

    def heal(self, number):
        """End the partition between two hosts."""
        self.cluster.partitions.discard(pair(number))

    def lose_forwarded(self, number):
        """Start or stop losing replies between hosts."""
        self.cluster.lose_forwarded_replies = number % 2 == 0

    def platform(self, number):
        """Let the table be unavailable, lose replies, delay writes or work normally."""
        table = self.cluster.table
        self.cluster.objects.down = number % 5 == 1
        table.down = number % 5 == 1
        table.lose = number % 5 == 2
        table.delay_effect = number % 5 == 3

    def late_effects(self, number):
        """Apply the delayed writes."""
        self.cluster.table.release_late_writes()

    def advance(self, number):
        """Advance the clock by 0.3, 1 or 2.5 epochs."""
        self.cluster.clock.ms += EPOCH_MS * (0.3, 1, 2.5)[number % 3]


OPERATIONS: dict[str, Callable] = {
    name: getattr(JobsRun, name)
    for name in [
        "submit_new",
        "resubmit",
        "ask",
        "cancel",
        "retake",
        "hold",
        "release",
        "refuse",
        "kill",
        "pause",
        "resume",
        "drain",
        "cut",
        "heal",
        "lose_forwarded",
        "platform",
        "late_effects",
        "advance",
    ]
}

RESTART = {"restart": JobsRun.restart}

RECOVERY = ("release", "resume", "heal")


def pick(choices, number):
    """Return the choice that ``number`` selects."""
    return choices[number % len(choices)]


def pair(number):
    """Return the pair of hosts without the one that ``number`` selects."""
    return frozenset(HOSTS) - {pick(HOSTS, number)}


def seeded_run(random, steps, service_class=JobService, more=()):
    """Return the history of a schedule drawn from ``random``; it ends with RECOVERY.

    ``more`` are operations added to the choice; submissions are drawn more often.
    """
    run = JobsRun(service_class)
    names = [*OPERATIONS, *more, *["submit_new", "resubmit", "resubmit", "retake"] * 3]
    for _ in range(steps):
        run.step(random.choice(names), random.randrange(10_000))
    for host in range(len(HOSTS)):
        for name in RECOVERY:
            run.step(name, host)
    run.close()
    assert run.errors == []
    return run.history


def answered_complete(history):
    """Return the number of requests whose result is COMPLETE."""
    return sum(
        each.outcome is ResultKind.COMPLETE
        for each in history.of_type(ResponseReceived)
    )
