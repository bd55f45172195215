"""Runs callers, faults and several job services in one process, recorded.

Every operation takes one number that picks the host, submission and variant,
so that a seed or hypothesis can drive the same schedule again.
"""

from collections.abc import Callable

import gevent
from attrs import define, evolve, field

from experiments.history import Action, Answered, History, Invoked, Started, Unanswered
from rattanloom.errors import ErrorKind, Ran
from rattanloom.job import ResultKind
from rattanloom.jobs import JobService
from tests.fakes_jobs import EPOCH_MS, OVERLOADED, FakeCluster, make_job, settle

HOSTS = ("a", "b", "c")
DEADLINE_MS = 600_000
TASKS = 2


@define(eq=False)
class Caller:
    """What one caller knows of the one thing it wants done."""

    submission: str
    job_id: str
    key: str
    open_calls: set = field(factory=set)
    not_run: bool = False


@define(eq=False)
class JobsRun:
    """One recorded run; ``step`` does one operation and lets all settle."""

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
        """Do the operation of that name."""
        (OPERATIONS | RESTART)[name](self, number)
        settle()

    def close(self):
        """End every greenlet of the run's callers."""
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
            self.history.add(Started(self._tick(), "w", submission, index, job.job_id))

    def _call(self, host, caller, action):
        self.calls += 1
        number = self.calls
        wanted = tuple(f"out:{caller.submission}/{n}" for n in range(TASKS))
        self.history.add(
            Invoked(
                self._tick(),
                number,
                action,
                host,
                caller.submission,
                caller.job_id,
                caller.key,
                wanted,
                False,
            )
        )
        caller.open_calls.add(number)
        greenlet = gevent.spawn(self._do, number, host, caller, action)
        self.greenlets.setdefault(host, []).append(greenlet)

    def _do(self, number, host, caller, action):
        try:
            self.cluster.gates[host].wait()
            answer = self._ask_service(self.cluster.hosts[host], caller, action)
        except gevent.GreenletExit:
            self.history.add(Unanswered(self._tick(), number, True))
        except Exception as error:
            self.errors.append(error)
        else:
            self._record(number, caller, action, answer)
        finally:
            caller.open_calls.discard(number)

    def _ask_service(self, service, caller, action):
        if action is Action.ASK:
            return service.ask(caller.job_id, 0)
        if action is Action.CANCEL:
            return service.cancel(caller.job_id)
        job = make_job(caller.job_id, caller.key, caller.submission, DEADLINE_MS, TASKS)
        return service.submit(evolve(job, idempotent=False))

    def _record(self, number, caller, action, answer):
        failure = answer.failure
        if failure is not None and failure.kind is ErrorKind.INTERNAL:
            self.errors.append(failure)
        self.history.add(
            Answered(
                self._tick(),
                number,
                answer.job_id,
                answer.outcome,
                answer.outputs,
                failure.kind.value if failure else "",
                failure.ran_word if failure else None,
            )
        )
        told_not_run = failure is not None and failure.ran_word is Ran.NOT_RUN
        caller.not_run = told_not_run and action is not Action.ASK

    def submit_new(self, number):
        """A new submission, by ticket or by key."""
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
        """An impatient caller sends the same again, to any host."""
        self._known_call(number, Action.SUBMIT)

    def ask(self, number):
        """A caller asks for its answer, at any host."""
        self._known_call(number, Action.ASK)

    def cancel(self, number):
        """A caller cancels, at any host."""
        self._known_call(number, Action.CANCEL)

    def retake(self, number):
        """A caller that was told "not run" takes a new ticket for the same."""
        if not self.callers:
            return
        caller = pick(self.callers, number // 3)
        minted = self.cluster.hosts[pick(HOSTS, number)].issue_tickets(1)
        if caller.not_run and not caller.key and not caller.open_calls and minted:
            caller.job_id = minted[0]
            self._call(pick(HOSTS, number), caller, Action.SUBMIT)

    def _known_call(self, number, action):
        if not self.callers:
            return
        caller = pick(self.callers, number // 3)
        if action is Action.SUBMIT or caller.job_id:
            self._call(pick(HOSTS, number), caller, action)

    def hold(self, number):
        """Jobs of a host run until it releases them."""
        dispatcher = self.cluster.hosts[pick(HOSTS, number)].dispatcher
        dispatcher.hold = True
        dispatcher.released.clear()

    def release(self, number):
        """The running jobs of a host end."""
        dispatcher = self.cluster.hosts[pick(HOSTS, number)].dispatcher
        dispatcher.hold = False
        dispatcher.released.set()

    def refuse(self, number):
        """Admission or the dispatcher of a host refuses, or no longer."""
        service = self.cluster.hosts[pick(HOSTS, number)]
        service.admission.failure = OVERLOADED if number // 3 % 3 == 1 else None
        service.dispatcher.refuse = OVERLOADED if number // 3 % 3 == 2 else None

    def kill(self, number):
        """A host dies and comes back as a new incarnation."""
        host = pick(HOSTS, number)
        self.cluster.start(host)
        gevent.killall(self.greenlets.pop(host, []), block=False)

    def pause(self, number):
        """A host freezes, together with all that reached it."""
        self.cluster.gates[pick(HOSTS, number)].clear()

    def resume(self, number):
        """A frozen host wakes."""
        self.cluster.gates[pick(HOSTS, number)].set()

    def drain(self, number):
        """A host refuses new jobs."""
        host = pick(HOSTS, number)
        draining = gevent.spawn(self.cluster.hosts[host].drain, 0)
        self.greenlets.setdefault(host, []).append(draining)

    def restart(self, number):
        """A host stops in order, leaves its ledger, and is replaced."""
        host = pick(HOSTS, number)
        if self.cluster.gates[host].is_set():
            self.cluster.stop(host)
            self.cluster.start(host)
            gevent.killall(self.greenlets.pop(host, []), block=False)

    def cut(self, number):
        """Two hosts are cut off from each other."""
        self.cluster.partitions.add(pair(number))

    def heal(self, number):
        """Two hosts hear each other again."""
        self.cluster.partitions.discard(pair(number))

    def lose_forwarded(self, number):
        """Replies between hosts are lost, or no longer."""
        self.cluster.lose_forwarded_replies = number % 2 == 0

    def platform(self, number):
        """The table is down, loses replies or delays effects, or works."""
        table = self.cluster.table
        self.cluster.objects.down = number % 5 == 1
        table.down = number % 5 == 1
        table.lose = number % 5 == 2
        table.delay_effect = number % 5 == 3

    def late_effects(self, number):
        """Writes whose reply was lost take effect now."""
        self.cluster.table.release_late_writes()

    def advance(self, number):
        """Time passes: from a part of an epoch to several of them."""
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
    """Return one of the choices."""
    return choices[number % len(choices)]


def pair(number):
    """Return one pair of hosts."""
    return frozenset(HOSTS) - {pick(HOSTS, number)}


def seeded_run(random, steps, service_class=JobService, more=()):
    """Return the history of a seeded schedule, half of it callers' requests."""
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
    """Return how many requests were answered complete."""
    return sum(each.outcome is ResultKind.COMPLETE for each in history.of(Answered))
