"""What rattanloom asks of one worker, as a ``Protocol`` type."""

from enum import Enum
from typing import Protocol

from attrs import frozen

from rattanloom.errors import Failure


class AttemptState(Enum):
    """What a worker says of one attempt.

    DONE and FAILED carry an output. BUSY and LEAVING mean that the worker did
    not start the attempt and never will. NEVER_STARTED answers a stop of an
    attempt that had not begun; from then on the worker refuses to start it.
    RUNNING covers an attempt that the worker still holds for a slot.
    NOT_SEEN answers a look-up of an attempt the worker does not know.
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

    ``attempt_id`` is ``<job id>.<task index>.<run>.<attempt number>`` and is
    never used for a second start. Where no slot is free the worker holds it,
    and answers BUSY once ``start_within_ms`` passed since its receipt. It stops
    the attempt once ``lease_ms`` passed since its start. ``sender`` is the entry
    host.
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
    """A worker's answer about one attempt, with its own state riding on it.

    ``run_ms`` is the measured run time. ``busy_slots`` of ``slots`` are taken
    as the worker sends the reply, or waited for by attempts that it holds;
    ``sender_slots`` of them by attempts of the same sender. ``leaving`` says
    that it accepts no new work.
    ``remembers_ms`` is how far back the worker remembers every attempt, bounded
    by its own start: NEVER_STARTED counts only for attempts sent within it.
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
    """One worker, as the entry host speaks to it.

    Failures are NO_TARGETS (no byte was handed over: surely not started) or
    OUTCOME_UNKNOWN (the attempt may have been started).
    """

    name: str

    def start(
        self, attempt: Attempt, reply_timeout_ms: float
    ) -> AttemptReply | Failure:
        """Start the attempt and return once it ended or was refused.

        Gives up waiting for the reply after ``reply_timeout_ms`` with
        OUTCOME_UNKNOWN; the attempt itself goes on.
        """

    def look_up(self, attempt_id: str, wait_ms: float) -> AttemptReply | Failure:
        """Ask over a fresh connection how the attempt stands.

        Waits up to ``wait_ms`` for a running attempt to end.
        """

    def stop(self, attempt_id: str) -> AttemptReply | Failure:
        """Stop the attempt over a fresh connection, or fence it if not begun."""

    def probe(self) -> AttemptReply | Failure:
        """Ask for the worker's slots without starting anything."""
