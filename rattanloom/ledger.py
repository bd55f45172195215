"""Ledger: the tickets and jobs of one incarnation of a stand-alone entry host.

A job runs only in the process that issued its ticket, so the ledger of that process
alone decides whether the job may start. Its memory is bounded: one status byte per
ticket number, dropped two epochs after the ticket's epoch; kept results by their total
bytes; running jobs by their number. A ticket whose status was dropped never starts.
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
# Memory of a kept result and of each of its output texts, beyond the text itself.
RESULT_OVERHEAD_BYTES = 700
TEXT_OVERHEAD_BYTES = 60
# The epoch in which the ticket was issued, and the next.
TICKET_VALID_EPOCHS = 2
EXTENDED_MAX_TICKETS = 10_000


class TicketStatus(IntEnum):
    """Status byte of a ticket; all but UNUSED prevent a start."""

    UNUSED = 0
    RUNNING = 1
    COMPLETE = 2
    FAILED = 3
    UNKNOWN = 4
    CANCELLED = 5


_STATUS_BY_RESULT_KIND = {
    ResultKind.COMPLETE: TicketStatus.COMPLETE,
    ResultKind.FAILED: TicketStatus.FAILED,
}

# What is still known of a used ticket whose result is not kept.
_DROPPED_RESULTS: dict[TicketStatus, tuple[Ran, str]] = {
    TicketStatus.RUNNING: (
        Ran.MAY_HAVE_RUN,
        "the job was started and never starts again",
    ),
    TicketStatus.COMPLETE: (
        Ran.RAN,
        "the job completed, but its result is no longer kept; do not resubmit",
    ),
    TicketStatus.FAILED: (
        Ran.MAY_HAVE_RUN,
        "the job failed, but its result is no longer kept; do not resubmit",
    ),
    TicketStatus.UNKNOWN: (
        Ran.MAY_HAVE_RUN,
        "the job ended with an unknown outcome and never starts again",
    ),
    TicketStatus.CANCELLED: (
        Ran.NOT_RUN,
        "the job was cancelled before any task started, and never starts",
    ),
}


@define(eq=False)
class RunningJob:
    """A started job; resubmissions of its ticket wait for ``done``.

    ``keyed`` jobs were submitted with an idempotency key. ``extended`` is whether
    the ticket was valid beyond its epochs, see ``Ledger.extend_ticket``.
    """

    ticket: Ticket
    digest: bytes
    keyed: bool = False
    extended: bool = False
    done: Event = field(factory=Event)
    cancelled: Event = field(factory=Event)
    result: JobResult | None = None


@frozen
class KeptResult:
    """A result kept for resubmissions and later queries."""

    result: JobResult
    digest: bytes
    ended_epoch: int
    size_bytes: int


@frozen
class LedgerSnapshot:
    """Contents of a ledger without its running jobs, for other processes.

    ``statuses`` holds epoch, position and status bytes of each chunk of
    ``CHUNK_TICKETS`` numbers; ``results`` the ticket numbers and kept results,
    oldest first; ``extended`` the numbers of unused tickets that stay valid after
    their epochs.
    """

    statuses: tuple[tuple[int, int, bytes], ...]
    results: tuple[tuple[int, KeptResult], ...]
    extended: tuple[int, ...] = ()


@define(eq=False)
class Ledger:
    """Tracks the jobs of one incarnation by ticket number."""

    running: dict[int, RunningJob] = field(factory=dict)
    kept_bytes: int = 0
    _kept: OrderedDict[int, KeptResult] = field(factory=OrderedDict)
    _statuses: dict[int, dict[int, bytearray]] = field(factory=dict)
    _extended: OrderedDict[int, None] = field(factory=OrderedDict)

    def admit(
        self, ticket: Ticket, digest: bytes, epoch: int
    ) -> RunningJob | JobResult | Failure | None:
        """Return the ticket's running job or kept result, or None if its job may start.

        Failures: KEY_REUSED (the ticket was used for other content),
        TICKET_EXPIRED (the ticket is too old, or its result was dropped).
        """
        running = self.running.get(ticket.number)
        known = running or self._kept.get(ticket.number)
        if known is not None and known.digest not in (digest, b""):
            return Failure(
                ErrorKind.KEY_REUSED,
                "this ticket was used for a job with other content; use a new ticket",
            )
        if running is not None:
            return running
        return self.result(ticket, epoch)

    def result(self, ticket: Ticket, epoch: int) -> JobResult | Failure | None:
        """Return the finished job's result, or None if the ticket was not used."""
        self.drop_expired(epoch)
        kept = self._kept.get(ticket.number)
        if kept is not None:
            return kept.result
        if ticket.number in self._extended:
            return None
        if ticket.epoch + TICKET_VALID_EPOCHS <= epoch:
            return Failure(
                ErrorKind.TICKET_EXPIRED,
                "the ticket is valid in its epoch and the next only; whether it was "
                "used is no longer known",
            )
        status = self.status(ticket)
        if status is TicketStatus.UNUSED:
            return None
        ran, reason = _DROPPED_RESULTS[status]
        return Failure(ErrorKind.TICKET_EXPIRED, reason, ran=ran)

    def start(
        self, ticket: Ticket, digest: bytes, keyed: bool = False
    ) -> RunningJob | Failure:
        """Record the ticket as used, before any task of its job starts."""
        if len(self.running) >= RUNNING_MAX_JOBS:
            return Failure(
                ErrorKind.OVERLOADED, "too many jobs are running here; retry later"
            )
        if ticket.number in self.running:
            return Failure(
                ErrorKind.INTERNAL, "a concurrent request has already started the job"
            )
        extended = ticket.number in self._extended
        self._extended.pop(ticket.number, None)
        job = RunningJob(ticket, digest, keyed, extended)
        self.running[ticket.number] = job
        self._set_status(ticket, TicketStatus.RUNNING)
        return job

    def undo_start(self, job: RunningJob, result: JobResult) -> None:
        """Remove a job that started no task; its ticket may be used again."""
        job.result = result
        self.running.pop(job.ticket.number, None)
        self._set_status(job.ticket, TicketStatus.UNUSED)
        if job.extended:
            self._extended[job.ticket.number] = None
        job.done.set()

    def end(
        self, job: RunningJob, result: JobResult, epoch: int, keep_bytes: int
    ) -> None:
        """Record a job as finished, keep its result and wake the waiting callers.

        The oldest results are dropped until all take at most ``keep_bytes``.
        """
        job.result = result
        self.running.pop(job.ticket.number, None)
        self._set_status(job.ticket, _status_of(result))
        self._keep(job.ticket.number, result, job.digest, epoch)
        self._drop_results_above(keep_bytes)
        job.done.set()

    def extend_ticket(self, ticket: Ticket, epoch: int) -> None:
        """Keep an unused ticket valid after its epochs.

        For a ticket that started no task and to which an idempotency key is, or may
        be, bound in the table; such a binding lasts much longer than an epoch.
        """
        if ticket.number in self.running or self.result(ticket, epoch) is not None:
            return
        self._extended[ticket.number] = None
        if len(self._extended) > EXTENDED_MAX_TICKETS:
            self._extended.popitem(last=False)

    def fence(self, ticket: Ticket) -> None:
        """Mark an unused ticket as cancelled, so that its job never starts."""
        self._extended.pop(ticket.number, None)
        self._set_status(ticket, TicketStatus.CANCELLED)

    def status(self, ticket: Ticket) -> TicketStatus:
        """Return the status of a ticket that has not expired."""
        chunk = self._statuses.get(ticket.epoch, {}).get(ticket.number // CHUNK_TICKETS)
        if chunk is None:
            return TicketStatus.UNUSED
        return TicketStatus(chunk[ticket.number % CHUNK_TICKETS])

    def drop_expired(self, epoch: int) -> None:
        """Drop the statuses and results of expired epochs."""
        for old in [e for e in self._statuses if e + TICKET_VALID_EPOCHS <= epoch]:
            del self._statuses[old]
        while self._kept:
            oldest = next(iter(self._kept.values()))
            if oldest.ended_epoch + TICKET_VALID_EPOCHS > epoch:
                return
            self._drop_oldest_result()

    def snapshot(self, results_max_bytes: int) -> LedgerSnapshot:
        """Return a snapshot with the newest results, up to ``results_max_bytes``."""
        statuses = tuple(
            (epoch, position, bytes(chunk))
            for epoch, chunks in self._statuses.items()
            for position, chunk in chunks.items()
        )
        results = []
        left_bytes = results_max_bytes
        for number, kept in reversed(self._kept.items()):
            left_bytes -= kept.size_bytes
            if left_bytes < 0:
                break
            results.append((number, kept))
        return LedgerSnapshot(statuses, tuple(reversed(results)), tuple(self._extended))

    @classmethod
    def restore(cls, snapshot: LedgerSnapshot) -> "Ledger":
        """Return a ledger with the contents of a snapshot."""
        ledger = cls()
        for epoch, position, chunk in snapshot.statuses:
            ledger._statuses.setdefault(epoch, {})[position] = bytearray(chunk)
        ledger._kept.update(snapshot.results)
        ledger._extended.update(dict.fromkeys(snapshot.extended))
        return ledger

    def _set_status(self, ticket: Ticket, status: TicketStatus) -> None:
        chunks = self._statuses.setdefault(ticket.epoch, {})
        position = ticket.number // CHUNK_TICKETS
        if position not in chunks:
            chunks[position] = bytearray(CHUNK_TICKETS)
        chunks[position][ticket.number % CHUNK_TICKETS] = status

    def _keep(self, number: int, result: JobResult, digest: bytes, epoch: int) -> None:
        text_bytes = sum(map(_size_of, result.outputs))
        size_bytes = text_bytes + RESULT_OVERHEAD_BYTES
        self._kept[number] = KeptResult(result, digest, epoch, size_bytes)
        self.kept_bytes += size_bytes

    def _drop_results_above(self, keep_bytes: int) -> None:
        while self._kept and self.kept_bytes > keep_bytes:
            self._drop_oldest_result()

    def _drop_oldest_result(self) -> None:
        _, kept = self._kept.popitem(last=False)
        self.kept_bytes -= kept.size_bytes


def _size_of(text: str) -> int:
    return len(text.encode(errors="surrogatepass")) + TEXT_OVERHEAD_BYTES


def _status_of(result: JobResult) -> TicketStatus:
    if result.failure is not None and result.failure.effective_ran is Ran.NOT_RUN:
        return TicketStatus.CANCELLED
    return _STATUS_BY_RESULT_KIND.get(result.outcome, TicketStatus.UNKNOWN)
