"""The ledger: what one incarnation remembers of the jobs it may start.

A job runs only in the process that minted its ticket, so this memory alone
decides whether a ticket may start. It is bounded three ways: one byte for each
ticket used, dropped two epochs after the ticket's; answers by their bytes; and
running jobs by number. A ticket that is no longer remembered never starts.
"""

from collections import OrderedDict
from enum import IntEnum

from attrs import define, field, frozen
from gevent.event import Event

from rattanloom.errors import ErrorKind, Failure, Ran
from rattanloom.job import JobResult, ResultKind
from rattanloom.ticket import Ticket

CHUNK_TICKETS = 4096
RUNNING_MAX_JOBS = 20_000
ANSWER_OVERHEAD_BYTES = 700
TEXT_OVERHEAD_BYTES = 60
EPOCHS_GOOD = 2
SPARED_MAX_TICKETS = 10_000


class Mark(IntEnum):
    """What the one byte of a ticket says; all but UNUSED bar another start."""

    UNUSED = 0
    RUNNING = 1
    COMPLETE = 2
    FAILED = 3
    UNKNOWN = 4
    CANCELLED = 5


_MARK_OF_OUTCOME = {
    ResultKind.COMPLETE: Mark.COMPLETE,
    ResultKind.FAILED: Mark.FAILED,
}

_DROPPED: dict[Mark, tuple[Ran, str]] = {
    Mark.RUNNING: (
        Ran.MAY_HAVE_RUN,
        "the job was started and never starts again",
    ),
    Mark.COMPLETE: (
        Ran.RAN,
        "the job ran complete, but its answer is no longer kept; do not resubmit",
    ),
    Mark.FAILED: (
        Ran.MAY_HAVE_RUN,
        "the job failed, but its answer is no longer kept; do not resubmit",
    ),
    Mark.UNKNOWN: (
        Ran.MAY_HAVE_RUN,
        "the job ended with an unknown outcome and never starts again",
    ),
    Mark.CANCELLED: (
        Ran.NOT_RUN,
        "the job was cancelled before any task started, and never will start",
    ),
}


@define(eq=False)
class RunningJob:
    """One admitted job: joined by resubmissions until ``done`` is set."""

    ticket: Ticket
    digest: bytes
    keyed: bool = False
    spared: bool = False
    done: Event = field(factory=Event)
    cancelled: Event = field(factory=Event)
    answer: JobResult | None = None


@frozen
class KeptAnswer:
    """An answer kept for callers that come back."""

    answer: JobResult
    digest: bytes
    ended_epoch: int
    size_bytes: int


@frozen
class LedgerState:
    """What a ledger says of the jobs that ended, for another process to read.

    ``marks`` holds an epoch, the position of a chunk and its marks;
    ``answers`` a ticket number and its kept answer, oldest first; ``spared``
    are the numbers of unused tickets that outlived their epochs.
    """

    marks: tuple[tuple[int, int, bytes], ...]
    answers: tuple[tuple[int, KeptAnswer], ...]
    spared: tuple[int, ...] = ()


@define(eq=False)
class Ledger:
    """The jobs of one incarnation, by ticket number."""

    running: dict[int, RunningJob] = field(factory=dict)
    kept_bytes: int = 0
    _kept: OrderedDict[int, KeptAnswer] = field(factory=OrderedDict)
    _marks: dict[int, dict[int, bytearray]] = field(factory=dict)
    _spared: OrderedDict[int, None] = field(factory=OrderedDict)

    def admit(
        self, ticket: Ticket, digest: bytes, epoch: int
    ) -> RunningJob | JobResult | Failure | None:
        """Return the ticket's running job or kept answer, or None to start it.

        Failures: KEY_REUSED (other content under this ticket), TICKET_EXPIRED
        (too old to be remembered, or its answer dropped).
        """
        running = self.running.get(ticket.number)
        known = running or self._kept.get(ticket.number)
        if known is not None and known.digest not in (digest, b""):
            return Failure(
                ErrorKind.KEY_REUSED,
                "this ticket was used for a job of other content; use a new ticket",
            )
        if running is not None:
            return running
        return self.answer(ticket, epoch)

    def answer(self, ticket: Ticket, epoch: int) -> JobResult | Failure | None:
        """Return the ended job's answer, or None where none was submitted."""
        self.reclaim(epoch)
        kept = self._kept.get(ticket.number)
        if kept is not None:
            return kept.answer
        if ticket.number in self._spared:
            return None
        if ticket.epoch + EPOCHS_GOOD <= epoch:
            return Failure(
                ErrorKind.TICKET_EXPIRED,
                "the ticket is older than its epoch and the next; whether it was "
                "used is no longer known",
            )
        mark = self.mark(ticket)
        if mark is Mark.UNUSED:
            return None
        ran, reason = _DROPPED[mark]
        return Failure(ErrorKind.TICKET_EXPIRED, reason, ran=ran)

    def start(
        self, ticket: Ticket, digest: bytes, keyed: bool = False
    ) -> RunningJob | Failure:
        """Record the ticket as used, before anything of its job starts."""
        if len(self.running) >= RUNNING_MAX_JOBS:
            return Failure(
                ErrorKind.OVERLOADED, "too many jobs are running here; come back"
            )
        if ticket.number in self.running:
            return Failure(
                ErrorKind.INTERNAL, "the job was started by a request beside this one"
            )
        spared = ticket.number in self._spared
        self._spared.pop(ticket.number, None)
        job = RunningJob(ticket, digest, keyed, spared)
        self.running[ticket.number] = job
        self._set_mark(ticket, Mark.RUNNING)
        return job

    def forget(self, job: RunningJob, answer: JobResult) -> None:
        """Take back a job of which nothing started; its ticket is good again."""
        job.answer = answer
        self.running.pop(job.ticket.number, None)
        self._set_mark(job.ticket, Mark.UNUSED)
        if job.spared:
            self._spared[job.ticket.number] = None
        job.done.set()

    def end(
        self, job: RunningJob, answer: JobResult, epoch: int, keep_bytes: int
    ) -> None:
        """Keep a job's answer and wake everyone who waits for it."""
        job.answer = answer
        self.running.pop(job.ticket.number, None)
        self._set_mark(job.ticket, _mark_of(answer))
        self._keep(job.ticket.number, answer, job.digest, epoch)
        self._drop_answers_above(keep_bytes)
        job.done.set()

    def spare(self, ticket: Ticket, epoch: int) -> None:
        """Let an unused ticket start later than its epochs.

        For a ticket of which nothing started, while a key is or may be bound
        to it in the table for much longer than an epoch.
        """
        if ticket.number in self.running or self.answer(ticket, epoch) is not None:
            return
        self._spared[ticket.number] = None
        if len(self._spared) > SPARED_MAX_TICKETS:
            self._spared.popitem(last=False)

    def fence(self, ticket: Ticket) -> None:
        """Bar a ticket that was never started from ever starting."""
        self._spared.pop(ticket.number, None)
        self._set_mark(ticket, Mark.CANCELLED)

    def mark(self, ticket: Ticket) -> Mark:
        """Return the mark of a ticket that is not yet forgotten."""
        chunk = self._marks.get(ticket.epoch, {}).get(ticket.number // CHUNK_TICKETS)
        if chunk is None:
            return Mark.UNUSED
        return Mark(chunk[ticket.number % CHUNK_TICKETS])

    def reclaim(self, epoch: int) -> None:
        """Drop the marks and answers of epochs that are over."""
        for old in [e for e in self._marks if e + EPOCHS_GOOD <= epoch]:
            del self._marks[old]
        while self._kept:
            oldest = next(iter(self._kept.values()))
            if oldest.ended_epoch + EPOCHS_GOOD > epoch:
                return
            self._drop_oldest_answer()

    def state(self, answers_max_bytes: int) -> LedgerState:
        """Return what is kept, with the newest answers up to so many bytes."""
        marks = tuple(
            (epoch, position, bytes(chunk))
            for epoch, chunks in self._marks.items()
            for position, chunk in chunks.items()
        )
        answers = []
        left_bytes = answers_max_bytes
        for number, kept in reversed(self._kept.items()):
            left_bytes -= kept.size_bytes
            if left_bytes < 0:
                break
            answers.append((number, kept))
        return LedgerState(marks, tuple(reversed(answers)), tuple(self._spared))

    @classmethod
    def restore(cls, state: LedgerState) -> "Ledger":
        """Return a ledger that says what ``state`` says."""
        ledger = cls()
        for epoch, position, chunk in state.marks:
            ledger._marks.setdefault(epoch, {})[position] = bytearray(chunk)
        ledger._kept.update(state.answers)
        ledger._spared.update(dict.fromkeys(state.spared))
        return ledger

    def _set_mark(self, ticket: Ticket, mark: Mark) -> None:
        chunks = self._marks.setdefault(ticket.epoch, {})
        position = ticket.number // CHUNK_TICKETS
        if position not in chunks:
            chunks[position] = bytearray(CHUNK_TICKETS)
        chunks[position][ticket.number % CHUNK_TICKETS] = mark

    def _keep(self, number: int, answer: JobResult, digest: bytes, epoch: int) -> None:
        text_bytes = sum(map(_size_of, answer.outputs))
        size_bytes = text_bytes + ANSWER_OVERHEAD_BYTES
        self._kept[number] = KeptAnswer(answer, digest, epoch, size_bytes)
        self.kept_bytes += size_bytes

    def _drop_answers_above(self, keep_bytes: int) -> None:
        while self._kept and self.kept_bytes > keep_bytes:
            self._drop_oldest_answer()

    def _drop_oldest_answer(self) -> None:
        _, kept = self._kept.popitem(last=False)
        self.kept_bytes -= kept.size_bytes


def _size_of(text: str) -> int:
    return len(text.encode(errors="surrogatepass")) + TEXT_OVERHEAD_BYTES


def _mark_of(answer: JobResult) -> Mark:
    if answer.failure is not None and answer.failure.ran_word is Ran.NOT_RUN:
        return Mark.CANCELLED
    return _MARK_OF_OUTCOME.get(answer.outcome, Mark.UNKNOWN)
