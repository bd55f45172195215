"""Requests for jobs whose tickets another process issued."""

from collections.abc import Callable

from attrs import define
from gevent.event import Event

from rattanloom.errors import Failure
from rattanloom.job import Job, JobResult
from rattanloom.job_digest import digest_of
from rattanloom.job_requests import RequestsInFlight
from rattanloom.job_results import issuer_failed_result, result_from_failure
from rattanloom.peers.protocol import Peers
from rattanloom.sealed_ledger import StoppedLedgers
from rattanloom.ticket import Ticket


@define(eq=False)
class RemoteJobs:
    """Forwards requests to a ticket's issuer; if this fails, reads its sealed ledger.

    During a planned stop of this host, queries in flight are abandoned at once,
    submissions and cancellations when the stop is overdue.
    """

    peers: Peers
    stopped_ledgers: StoppedLedgers
    requests: RequestsInFlight

    def submit(self, ticket: Ticket, job: Job) -> JobResult:
        """Forward a submission to the ticket's issuer."""
        host, incarnation = ticket.host, ticket.incarnation
        return self._forward(
            ticket,
            lambda: self.peers.submit(host, incarnation, job),
            self.requests.overdue,
            digest_of(job),
        )

    def ask(self, ticket: Ticket, wait_ms: float) -> JobResult:
        """Forward a query for the job's result to the ticket's issuer."""
        host, incarnation = ticket.host, ticket.incarnation
        return self._forward(
            ticket,
            lambda: self.peers.ask(host, incarnation, ticket.text, wait_ms),
            self.requests.leaving,
        )

    def cancel(self, ticket: Ticket) -> JobResult:
        """Forward a cancellation to the ticket's issuer."""
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
        result = self.requests.call_issuer(call, give_up)
        if isinstance(result, Failure):
            return self._read_sealed_ledger(ticket, result, digest)
        return result

    def _read_sealed_ledger(
        self, ticket: Ticket, failure: Failure, digest: bytes | None
    ) -> JobResult:
        """Return the result in the stopped issuer's ledger.

        Without a sealed ledger, returns a result that reports ``failure``. ``digest``
        is that of a submitted job, None for a query or a cancellation.
        """
        sealed = self.stopped_ledgers.find(ticket)
        if sealed is None:
            return issuer_failed_result(ticket.text, failure)
        known = (
            sealed.result(ticket) if digest is None else sealed.admit(ticket, digest)
        )
        return (
            result_from_failure(ticket.text, known)
            if isinstance(known, Failure)
            else known
        )
