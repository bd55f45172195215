"""Resends never start a task twice, whatever requests or replies are lost.

A lost reply to a start looks like a lost request; a resend without a look-up
would start the task again.
"""

from enum import Enum
from random import Random

import gevent
from attrs import define, field
from hypothesis import given, settings
from hypothesis import strategies as st

from rattanloom.clock import SystemClock
from rattanloom.dispatch_attempt import AttemptRunner
from rattanloom.environment import Environment
from rattanloom.errors import ErrorKind, Failure
from rattanloom.metrics import Metrics
from rattanloom.targets.protocol import (
    NOT_STARTED_STATES,
    Attempt,
    AttemptReply,
    AttemptState,
)
from standins.worker_attempts import AttemptTable

ATTEMPTS = 4


class Fault(Enum):
    """Fault injected into one request."""

    NONE = "none"
    REFUSED = "refused"
    LOST = "lost"
    REPLY_LOST = "reply lost"
    LATE = "late"
    RESTART_BEFORE = "restart before"
    RESTART_AFTER = "restart after"
    BUSY = "busy"


@define(eq=False)
class LossyTarget:
    """A worker behind a network with injected faults, one for each request.

    A late request is delivered after the next one, unless the worker is
    restarted in between, which closes the connection.
    """

    faults: list
    name: str = "w"
    table: AttemptTable = field(factory=lambda: AttemptTable(SystemClock(), 1))
    late: list = field(factory=list)
    started: list = field(factory=list)

    def start(self, attempt, reply_timeout_ms):
        return self._deliver(lambda: self.table.start(attempt, self._now_ms()))

    def look_up(self, attempt_id, wait_ms):
        return self._deliver(lambda: self.table.look_up(attempt_id, wait_ms))

    def stop(self, attempt_id):
        return self._deliver(lambda: self.table.stop(attempt_id))

    def probe(self):
        return self._deliver(self.table.probe)

    def end(self):
        """Deliver late requests and return all starts, also before restarts."""
        self._deliver_late()
        return self.started + list(self.table.starts)

    def _deliver(self, request):
        fault = self.faults.pop() if self.faults else Fault.NONE
        self.table.switches.refuse = fault is Fault.BUSY
        if fault is Fault.RESTART_BEFORE:
            self._restart()
        if fault is Fault.REFUSED:
            return Failure(ErrorKind.NO_TARGETS, "refused")
        if fault is Fault.LOST:
            return Failure(ErrorKind.OUTCOME_UNKNOWN, "lost")
        if fault is Fault.LATE:
            self.late.append(request)
            return Failure(ErrorKind.OUTCOME_UNKNOWN, "late")
        reply = request()
        self._deliver_late()
        if fault is Fault.RESTART_AFTER:
            self._restart()
        if fault in (Fault.REPLY_LOST, Fault.RESTART_AFTER):
            return Failure(ErrorKind.OUTCOME_UNKNOWN, "reply lost")
        return reply

    def _deliver_late(self):
        while self.late:
            self.late.pop(0)()

    def _restart(self):
        self.started += self.table.starts
        self.late.clear()
        gevent.sleep(0)
        self.table = AttemptTable(SystemClock(), 1)

    def _now_ms(self):
        return self.table.clock.now_ms()


def is_known_not_started(reply):
    if isinstance(reply, Failure):
        return reply.kind is ErrorKind.NO_TARGETS
    return reply.state in NOT_STARTED_STATES


def run_with_resends(target):
    """Send attempts until one may have started, like the dispatcher."""
    environment = Environment(random=Random(1))
    runner = AttemptRunner(environment, Metrics(), lambda target, reason: None, 0)
    for number in range(1, ATTEMPTS + 1):
        attempt = Attempt(f"j.0.1.{number}", "j", 0, number, "k", "", 1, 0, 10, 60_000)
        reply = runner.run(target, attempt, 10)
        if not is_known_not_started(reply):
            return reply
    return reply


@settings(max_examples=400)
@given(st.lists(st.sampled_from(Fault), max_size=12))
def test_resends_never_start_a_task_twice(faults):
    target = LossyTarget(list(faults))
    reply = run_with_resends(target)
    starts = target.end()
    assert len(starts) <= 1
    if is_known_not_started(reply):
        assert not starts
    if isinstance(reply, AttemptReply) and reply.state is AttemptState.DONE:
        assert len(starts) == 1
