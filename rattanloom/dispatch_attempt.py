"""Runs one attempt on one worker and determines its outcome."""

from collections.abc import Callable

import gevent
from attrs import frozen

from rattanloom.clock import MS_PER_S
from rattanloom.environment import Environment
from rattanloom.errors import ErrorKind, Failure
from rattanloom.metrics import Metrics
from rattanloom.targets.protocol import Attempt, AttemptReply, AttemptState, Target

# Added to the reply time-out of a start, and to the lease before look-ups end.
SLACK_MS = 500.0
# How long one look-up waits for a running attempt to finish.
LOOK_UP_WAIT_MS = 2_000.0
LOOK_UP_FAILURES_MAX = 3
LOOK_UP_PAUSE_MS = 200.0
# A request and its reply.
MESSAGES_PER_EXCHANGE = 2

_HISTORY_LOST = Failure(
    ErrorKind.OUTCOME_UNKNOWN,
    "the worker was restarted or dropped its history after the attempt was sent",
)


@frozen
class AttemptRunner:
    """Sends attempts; after a lost reply, looks the attempt up or stops it.

    ``on_unresponsive(target, reason)`` is called for each failed look-up;
    ``look_up_pause_ms`` is the pause after it.
    """

    environment: Environment
    metrics: Metrics
    on_unresponsive: Callable[[Target, str], None]
    look_up_pause_ms: float = LOOK_UP_PAUSE_MS

    def run(
        self, target: Target, attempt: Attempt, upper_bound_ms: float
    ) -> AttemptReply | Failure:
        """Run an attempt and return its outcome.

        ``upper_bound_ms`` is a run time that the attempt is unlikely to exceed; an
        attempt without a reply is looked up after it. Returns the worker's reply if
        the attempt finished or definitely did not start, a NO_TARGETS failure if it
        was definitely not sent, or an OUTCOME_UNKNOWN failure.
        """
        sent_ms = self.environment.clock.now_ms()
        run_ms = min(upper_bound_ms, attempt.lease_ms)
        timeout_ms = attempt.start_within_ms + run_ms + SLACK_MS
        self.metrics.count("messages", "start", MESSAGES_PER_EXCHANGE)
        reply = target.start(attempt, timeout_ms)
        if isinstance(reply, Failure) and reply.kind is ErrorKind.OUTCOME_UNKNOWN:
            return self._resolve(target, attempt, sent_ms, reply)
        if isinstance(reply, AttemptReply):
            return self._verify_never_started(reply, sent_ms)
        return reply

    def _resolve(
        self, target: Target, attempt: Attempt, sent_ms: float, failure: Failure
    ) -> AttemptReply | Failure:
        """Look the attempt up over new connections until its outcome is known.

        Gives up after LOOK_UP_FAILURES_MAX failures in all, or ``SLACK_MS`` after the
        lease has expired.
        """
        failures = 0
        wait_ms = 0.0
        while failures < LOOK_UP_FAILURES_MAX and self._within_lease(attempt, sent_ms):
            self._count_messages("look_up")
            reply = target.look_up(attempt.attempt_id, wait_ms)
            if isinstance(reply, Failure):
                failures += 1
                failure = reply
                self.on_unresponsive(target, reply.reason)
                gevent.sleep(self.look_up_pause_ms / MS_PER_S)
            elif reply.state is AttemptState.NOT_SEEN:
                return self._stop_unseen(target, attempt, sent_ms, reply)
            elif reply.state is not AttemptState.RUNNING:
                return self._verify_never_started(reply, sent_ms)
            else:
                wait_ms = LOOK_UP_WAIT_MS
        return Failure(ErrorKind.OUTCOME_UNKNOWN, failure.reason)

    def _stop_unseen(
        self, target: Target, attempt: Attempt, sent_ms: float, reply: AttemptReply
    ) -> AttemptReply | Failure:
        """Stop an attempt that the worker has not seen, to keep it from starting."""
        if not self._has_history_since(reply, sent_ms):
            return _HISTORY_LOST
        self._count_messages("stop")
        reply = target.stop(attempt.attempt_id)
        if isinstance(reply, Failure):
            return Failure(ErrorKind.OUTCOME_UNKNOWN, reply.reason)
        return self._verify_never_started(reply, sent_ms)

    def _verify_never_started(
        self, reply: AttemptReply, sent_ms: float
    ) -> AttemptReply | Failure:
        """Return a failure for NEVER_STARTED if the history may lack the start."""
        is_never_started = reply.state is AttemptState.NEVER_STARTED
        if is_never_started and not self._has_history_since(reply, sent_ms):
            return _HISTORY_LOST
        return reply

    def _has_history_since(self, reply: AttemptReply, sent_ms: float) -> bool:
        """Return whether the worker's history reaches back to ``sent_ms``."""
        return reply.remembers_ms >= self.environment.clock.now_ms() - sent_ms

    def _within_lease(self, attempt: Attempt, sent_ms: float) -> bool:
        elapsed_ms = self.environment.clock.now_ms() - sent_ms
        return elapsed_ms <= attempt.lease_ms + SLACK_MS

    def _count_messages(self, name: str) -> None:
        self.metrics.count("messages", name, MESSAGES_PER_EXCHANGE)
        self.metrics.count("wasted_messages", name, MESSAGES_PER_EXCHANGE)
