"""The protocol between an entry host and one worker."""

from enum import Enum
from typing import Protocol

from attrs import frozen

from rattanloom.errors import Failure


class AttemptState(Enum):
    """State of one attempt in a worker's reply.

    DONE and FAILED carry an output. BUSY and LEAVING mean that the worker did
    not start the attempt and never will. NEVER_STARTED is the reply to a stop of
    an attempt that had not started; from then on the worker refuses to start it.
    RUNNING includes an attempt that is held until a slot is free.
    NOT_SEEN is the reply to a look-up of an unknown attempt.
    """

    DONE = "done"
    FAILED = "failed"
    BUSY = "busy"
    LEAVING = "leaving"
    RUNNING = "running"
    STOPPED = "stopped"
    NEVER_STARTED = "never_started"
    NOT_SEEN = "not_seen"


NOT_STARTED_STATES = frozenset(
    {AttemptState.BUSY, AttemptState.LEAVING, AttemptState.NEVER_STARTED}
)


@frozen
class Attempt:
    """One try to run one task on one worker.

    ``attempt_id`` is ``<job id>.<task index>.<run>.<attempt number>``, where
    ``<run>`` distinguishes runs of the same job in one process. It is never used for
    a second start. If no slot is free, the worker holds the attempt, and replies BUSY
    if none becomes free within ``start_within_ms``. It stops the attempt ``lease_ms``
    after starting it. ``sender`` is the name of the entry host.
    """

    attempt_id: str
    job_id: str
    task: int
    number: int
    kind: str
    payload: str
    size_slots: int
    run_ms: int
    start_within_ms: float
    lease_ms: float
    accelerator: bool = False
    sender: str = ""


@frozen
class AttemptReply:
    """A worker's reply about one attempt; includes the worker's own state.

    ``run_ms`` is the measured run time. ``busy_slots`` are the slots of
    running and held attempts when the worker sends the reply, and may exceed
    ``slots``; ``sender_slots`` are those of the attempts of the same sender.
    ``leaving`` means that the worker accepts no new work. ``remembers_ms`` is how
    far back the worker's record of attempts is complete, at most to the worker's
    start: NEVER_STARTED is conclusive only for attempts sent within it.
    """

    attempt_id: str
    state: AttemptState
    output: str = ""
    run_ms: float = 0.0
    slots: int = 0
    busy_slots: int = 0
    sender_slots: int = 0
    leaving: bool = False
    remembers_ms: float = 0.0


class Target(Protocol):
    """Requests that an entry host sends to one worker.

    Failures are NO_TARGETS (no byte was sent, so the attempt was definitely not
    started) or OUTCOME_UNKNOWN (the attempt may have been started).
    """

    name: str

    def start(
        self, attempt: Attempt, reply_timeout_ms: float
    ) -> AttemptReply | Failure:
        """Start the attempt; return once it has finished or was refused.

        Returns OUTCOME_UNKNOWN if there is no reply within
        ``reply_timeout_ms``; the attempt itself continues.
        """

    def look_up(self, attempt_id: str, wait_ms: float) -> AttemptReply | Failure:
        """Request the state of the attempt over a new connection.

        Waits up to ``wait_ms`` for a running attempt to finish.
        """

    def stop(self, attempt_id: str) -> AttemptReply | Failure:
        """Stop the attempt over a new connection, or fence it if not started."""

    def probe(self) -> AttemptReply | Failure:
        """Request the worker's slots without starting an attempt."""
