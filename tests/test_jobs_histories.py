"""Checks histories of random schedules of requests and faults.

Schedules come from seeds and from hypothesis. A service class with one guard
disabled shows that the checks find the violation that this guard prevents.
"""

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
    """Disabled guard: the ledger keeps no finished jobs."""

    def _finish(self, running, result):
        super()._finish(running, result)
        self.ledger._kept.clear()
        self.ledger._statuses.clear()


class LocalService(JobService):
    """Disabled guard: runs jobs with other hosts' tickets."""

    def _forward(self, job, ticket, left_ms):
        return self._run_or_join(job, ticket, left_ms)


class SuccessorService(JobService):
    """Disabled guard: runs a job whose ticket's issuer is unavailable."""

    def _forward(self, job, ticket, left_ms):
        result = super()._forward(job, ticket, left_ms)
        if result.failure is not None and result.failure.kind.value.startswith("home"):
            return self._run_or_join(job, ticket, left_ms)
        return result


class UnclaimedService(JobService):
    """Disabled guard: uses a caller's key without claiming it."""

    def _claim(self, job, proposed):
        return proposed


class UnfencedService(JobService):
    """Disabled guard: does not record cancellations of unknown tickets."""

    def _cancel(self, ticket):
        result = super()._cancel(ticket)
        if ticket.number not in self.ledger.running:
            self.ledger._statuses.clear()
        return result


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
    """Disabled guard: a stopping host seals an empty ledger."""

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
    """Requests and faults in any order, checked after each step."""

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
