"""State machine: the queue never loses or duplicates a task and keeps the quotas."""

from hypothesis import seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from rattanloom.rules import TeamRule
from tests.admission_utils import Bench, make_rules

TEAMS = {
    "a": TeamRule(quota_slots=5, weight=1),
    "b": TeamRule(quota_slots=9, weight=3),
    "c": TeamRule(quota_slots=100, weight=2),
}
PAST_DEADLINE_MS = 61_000


class AdmissionMachine(RuleBasedStateMachine):
    """Compares the admission with plain records of waiting and running tasks."""

    def __init__(self):
        super().__init__()
        self.bench = Bench(slots=12, rules=make_rules(**TEAMS))
        self.bench.admission.on_overdue(self.drop)
        self.waiting = {}
        self.running = []
        self.number = 0

    def drop(self, queued):
        del self.waiting[queued.job.job_id, queued.index]

    @rule(
        team=st.sampled_from(sorted(TEAMS)),
        tasks=st.integers(1, 12),
        size=st.integers(1, 4),
        run_ms=st.integers(1, 3000),
    )
    def submit(self, team, tasks, size, run_ms):
        self.number += 1
        job_id = f"j{self.number}"
        options = {"size_slots": size, "run_ms": run_ms, "deadline_ms": 60_000}
        if self.bench.submit(job_id, team, tasks, **options) is None:
            for index in range(tasks):
                self.waiting[job_id, index] = team

    @rule(fits=st.integers(1, 4))
    def take(self, fits):
        free = self.bench.free_slots()
        queued = self.bench.admission.take(
            lambda task: task.task.size_slots <= min(fits, free)
        )
        if queued is None:
            return
        del self.waiting[queued.job.job_id, queued.index]
        self.running.append(queued)

    @precondition(lambda self: self.running)
    @rule(data=st.data(), run_ms=st.floats(0, 2000))
    def finish(self, data, run_ms):
        queued = self.running.pop(data.draw(st.integers(0, len(self.running) - 1)))
        self.bench.admission.finished(queued, run_ms)
        self.bench.admission.finished(queued, run_ms)

    @precondition(lambda self: self.running)
    @rule(data=st.data())
    def requeue(self, data):
        queued = self.running.pop(data.draw(st.integers(0, len(self.running) - 1)))
        queued.number += 1
        self.bench.admission.requeue(queued)
        self.waiting[queued.job.job_id, queued.index] = queued.job.team

    @rule(data=st.data())
    def withdraw(self, data):
        job_id = f"j{data.draw(st.integers(0, self.number + 1))}"
        withdrawn = self.bench.admission.withdraw(job_id)
        expected = {key for key in self.waiting if key[0] == job_id}
        keys = [(queued.job.job_id, queued.index) for queued in withdrawn]
        assert sorted(keys) == sorted(expected)
        for key in keys:
            del self.waiting[key]

    @rule(ms=st.sampled_from([1, 50, 700, PAST_DEADLINE_MS]))
    def pass_time(self, ms):
        self.bench.clock.ms += ms
        self.bench.admission.tick()
        if ms == PAST_DEADLINE_MS:
            assert not self.waiting

    @invariant()
    def totals_agree(self):
        load = self.bench.admission.load()
        assert load.running_slots == sum(task.task.size_slots for task in self.running)
        assert self.bench.admission._queue.tasks == len(self.waiting)
        assert self.bench.admission._queue.work_slot_ms >= -1e-6

    @invariant()
    def quotas_hold(self):
        for team in self.bench.admission.load().teams:
            assert team.running_slots <= TEAMS[team.team].quota_slots

    def teardown(self):
        while self.running:
            self.bench.admission.finished(self.running.pop(), 1)
        self.bench.clock.ms += 700
        self.bench.admission.tick()
        while (queued := self.bench.admission.take(lambda task: True)) is not None:
            del self.waiting[queued.job.job_id, queued.index]
            self.bench.admission.finished(queued, 1)
        assert not self.waiting
        assert self.bench.admission.load().teams == ()


AdmissionMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)
TestAdmissionMachine = seed(1)(AdmissionMachine.TestCase)
