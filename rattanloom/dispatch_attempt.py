"""One attempt on one worker, followed until its outcome is as sure as can be."""

import gevent
from attrs import frozen

from rattanloom.clock import MS_PER_S
from rattanloom.environment import Environment
from rattanloom.errors import ErrorKind, Failure
from rattanloom.metrics import Metrics
from rattanloom.targets.protocol import Attempt, AttemptReply, AttemptState, Target

SLACK_MS = 500.0
LOOK_UP_TRIES = 3
LOOK_UP_PAUSE_MS = 200.0
MESSAGES_PER_EXCHANGE = 2


@frozen
class AttemptRunner:
    """Sends attempts and resolves lost replies by look-up and stop."""

    environment: Environment
    metrics: Metrics

    def run(
        self, target: Target, attempt: Attempt, expected_ms: float
    ) -> AttemptReply | Failure:
        """Run an attempt to an outcome.

        Returns a reply that ended or surely did not start the attempt, a
        NO_TARGETS failure (surely not started) or an OUTCOME_UNKNOWN one.
        """
        sent_ms = self.environment.clock.now_ms()
        patience_ms = min(expected_ms + SLACK_MS, attempt.lease_ms + SLACK_MS)
        self.metrics.count("messages", "start", MESSAGES_PER_EXCHANGE)
        reply = target.start(attempt, patience_ms)
        if isinstance(reply, Failure) and reply.kind is ErrorKind.OUTCOME_UNKNOWN:
            return self._resolve(target, attempt, sent_ms, patience_ms, reply)
        if isinstance(reply, AttemptReply):
            return self._checked(reply, sent_ms)
        return reply

    def _resolve(
        self,
        target: Target,
        attempt: Attempt,
        sent_ms: float,
        wait_ms: float,
        failure: Failure,
    ) -> AttemptReply | Failure:
        """Ask over fresh connections until the outcome is known or hopeless."""
        tries = 0
        while tries < LOOK_UP_TRIES and self._within_lease(attempt, sent_ms):
            self.metrics.count("messages", "look_up", MESSAGES_PER_EXCHANGE)
            self.metrics.count("wasted_messages", "look_up", MESSAGES_PER_EXCHANGE)
            reply = target.look_up(attempt.attempt_id, wait_ms)
            if isinstance(reply, Failure):
                tries += 1
                failure = reply
                gevent.sleep(LOOK_UP_PAUSE_MS / MS_PER_S)
            elif reply.state is AttemptState.NOT_SEEN:
                return self._fence(target, attempt, sent_ms)
            elif reply.state is not AttemptState.RUNNING:
                return self._checked(reply, sent_ms)
        return Failure(ErrorKind.OUTCOME_UNKNOWN, failure.reason)

    def _fence(
        self, target: Target, attempt: Attempt, sent_ms: float
    ) -> AttemptReply | Failure:
        """Stop an attempt that the worker has not seen, so that it never starts."""
        self.metrics.count("messages", "stop", MESSAGES_PER_EXCHANGE)
        self.metrics.count("wasted_messages", "stop", MESSAGES_PER_EXCHANGE)
        reply = target.stop(attempt.attempt_id)
        if isinstance(reply, Failure):
            return Failure(ErrorKind.OUTCOME_UNKNOWN, reply.reason)
        return self._checked(reply, sent_ms)

    def _checked(self, reply: AttemptReply, sent_ms: float) -> AttemptReply | Failure:
        """Distrust NEVER_STARTED from a worker that may have forgotten a start."""
        if reply.state is not AttemptState.NEVER_STARTED:
            return reply
        elapsed_ms = self.environment.clock.now_ms() - sent_ms
        if reply.remembers_ms >= elapsed_ms:
            return reply
        return Failure(
            ErrorKind.OUTCOME_UNKNOWN,
            "the worker was restarted, or forgot, since the attempt was sent",
        )

    def _within_lease(self, attempt: Attempt, sent_ms: float) -> bool:
        elapsed_ms = self.environment.clock.now_ms() - sent_ms
        return elapsed_ms <= attempt.lease_ms + SLACK_MS
