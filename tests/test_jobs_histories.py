"""Histories of seeded and of drawn schedules hold; broken services are caught."""

from random import Random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from experiments.history_checks import check
from rattanloom.jobs import JobService
from rattanloom.ledger import Ledger
from tests.jobs_run import OPERATIONS, RESTART, JobsRun, answered_complete, seeded_run

STEPS = 120
SEEDS = range(40)


class ForgetfulService(JobService):
    """Switch-off: no memory of ended jobs."""

    def _finish(self, running, answer):
        super()._finish(running, answer)
        self.ledger._kept.clear()
        self.ledger._marks.clear()


class LocalService(JobService):
    """Switch-off: runs other hosts' tickets itself."""

    def _forward(self, job, ticket, left_ms):
        return self._run_or_join(job, ticket, left_ms)


class SuccessorService(JobService):
    """Switch-off: runs a ticket itself where its home does not answer."""

    def _forward(self, job, ticket, left_ms):
        answer = super()._forward(job, ticket, left_ms)
        if answer.failure is not None and answer.failure.kind.value.startswith("home"):
            return self._run_or_join(job, ticket, left_ms)
        return answer


class UnclaimedService(JobService):
    """Switch-off: trusts a caller's key without claiming it."""

    def _claim(self, job, proposed):
        return proposed


class UnfencedService(JobService):
    """Switch-off: a cancellation of an unknown ticket leaves no trace."""

    def _cancel(self, ticket):
        answer = super()._cancel(ticket)
        if ticket.number not in self.ledger.running:
            self.ledger._marks.clear()
        return answer


DISABLED_GUARDS = {
    ForgetfulService: "every task starts at most once",
    LocalService: "every task starts at most once",
    SuccessorService: "every task starts at most once",
    UnclaimedService: "a non-idempotent request runs at most once",
    UnfencedService: "not run means not run",
}


@pytest.mark.parametrize("seed", SEEDS)
def test_a_seeded_history_has_no_violation(seed):
    history = seeded_run(Random(seed), STEPS)
    assert not any(check(history).values())
    assert answered_complete(history)


@pytest.mark.parametrize("service_class", DISABLED_GUARDS)
def test_the_checks_find_violations_when_a_guard_is_disabled(service_class):
    found = [
        check(seeded_run(Random(seed), STEPS, service_class))[
            DISABLED_GUARDS[service_class]
        ]
        for seed in SEEDS
    ]
    assert any(found)


def test_seeded_histories_with_planned_restarts_have_no_violation():
    histories = [seeded_run(Random(seed), STEPS, more=[*RESTART] * 4) for seed in SEEDS]
    assert not any(any(check(history).values()) for history in histories)
    assert sum(answered_complete(history) > 0 for history in histories) > 30


class UnsealedService(JobService):
    """Switch-off: a stopping host leaves a ledger that knows no job."""

    def seal(self):
        return self.stopped_ledgers.seal(Ledger(), self.issuer)


def test_the_checks_find_violations_when_a_sealed_ledger_is_empty():
    found = [
        check(seeded_run(Random(seed), STEPS, UnsealedService, [*RESTART] * 4))[
            "not run means not run"
        ]
        for seed in SEEDS
    ]
    assert any(found)


class JobsMachine(RuleBasedStateMachine):
    """Any order of requests and faults, checked after each step."""

    def __init__(self):
        super().__init__()
        self.run = JobsRun()

    @rule(name=st.sampled_from([*OPERATIONS, *RESTART]), number=st.integers(0, 9_999))
    def step(self, name, number):
        self.run.step(name, number)

    @invariant()
    def nothing_is_violated(self):
        assert self.run.errors == []
        assert not any(check(self.run.history).values())

    def teardown(self):
        self.run.close()


JobsMachine.TestCase.settings = settings(
    max_examples=40, stateful_step_count=40, deadline=None, derandomize=True
)
TestJobsMachine = JobsMachine.TestCase
