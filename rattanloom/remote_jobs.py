"""The other homes: jobs whose tickets another process minted."""

from collections.abc import Callable

from attrs import define
from gevent.event import Event

from rattanloom.errors import Failure
from rattanloom.job import Job, JobResult
from rattanloom.job_digest import digest_of
from rattanloom.job_requests import RequestsInFlight
from rattanloom.job_results import issuer_failed, refused
from rattanloom.peers.protocol import Peers
from rattanloom.sealed_ledger import StoppedLedgers
from rattanloom.ticket import Ticket


@define(eq=False)
class RemoteJobs:
    """Forwards to a ticket's home, or reads what a stopped home left behind.

    A submission or cancellation in flight is given up when a planned stop is
    overdue, a question as soon as the stop begins.
    """

    peers: Peers
    stopped_ledgers: StoppedLedgers
    requests: RequestsInFlight

    def submit(self, ticket: Ticket, job: Job) -> JobResult:
        """Forward a submission."""
        host, incarnation = ticket.host, ticket.incarnation
        return self._forward(
            ticket,
            lambda: self.peers.submit(host, incarnation, job),
            self.requests.overdue,
            digest_of(job),
        )

    def ask(self, ticket: Ticket, wait_ms: float) -> JobResult:
        """Forward a question for an answer."""
        host, incarnation = ticket.host, ticket.incarnation
        return self._forward(
            ticket,
            lambda: self.peers.ask(host, incarnation, ticket.text, wait_ms),
            self.requests.leaving,
        )

    def cancel(self, ticket: Ticket) -> JobResult:
        """Forward a cancellation."""
        host, incarnation = ticket.host, ticket.incarnation
        return self._forward(
            ticket,
            lambda: self.peers.cancel(host, incarnation, ticket.text),
            self.requests.overdue,
        )

    def _forward(
        self,
        ticket: Ticket,
        call: Callable[[], JobResult | Failure],
        give_up: Event,
        digest: bytes | None = None,
    ) -> JobResult:
        answer = self.requests.call_issuer(call, give_up)
        if isinstance(answer, Failure):
            return self._read_sealed_ledger(ticket, answer, digest)
        return answer

    def _read_sealed_ledger(
        self, ticket: Ticket, failure: Failure, digest: bytes | None
    ) -> JobResult:
        """Answer from what a stopped home left behind, or say what is unknown."""
        sealed = self.stopped_ledgers.find(ticket)
        if sealed is None:
            return issuer_failed(ticket.text, failure)
        known = (
            sealed.answer(ticket) if digest is None else sealed.admit(ticket, digest)
        )
        return refused(ticket.text, known) if isinstance(known, Failure) else known
