"""The other homes: jobs whose tickets another process minted."""

from collections.abc import Callable

from attrs import define
from gevent.event import Event

from rattanloom.errors import Failure
from rattanloom.job import Job, JobAnswer
from rattanloom.job_answer import home_failed, refused
from rattanloom.job_digest import digest_of
from rattanloom.job_requests import RequestsInFlight
from rattanloom.peers.protocol import Peers
from rattanloom.sealed_ledger import StoppedLedgers
from rattanloom.ticket import Ticket


@define(eq=False)
class OtherHomes:
    """Forwards to a ticket's home, or reads what a stopped home left behind.

    A submission or cancellation in flight is given up when a planned stop is
    overdue, a question as soon as the stop begins.
    """

    peers: Peers
    stopped_ledgers: StoppedLedgers
    requests: RequestsInFlight

    def submit(self, ticket: Ticket, job: Job) -> JobAnswer:
        """Forward a submission."""
        host, incarnation = ticket.host, ticket.incarnation
        return self._forward(
            ticket,
            lambda: self.peers.submit(host, incarnation, job),
            self.requests.overdue,
            digest_of(job),
        )

    def ask(self, ticket: Ticket, wait_ms: float) -> JobAnswer:
        """Forward a question for an answer."""
        host, incarnation = ticket.host, ticket.incarnation
        return self._forward(
            ticket,
            lambda: self.peers.ask(host, incarnation, ticket.text, wait_ms),
            self.requests.leaving,
        )

    def cancel(self, ticket: Ticket) -> JobAnswer:
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
        call: Callable[[], JobAnswer | Failure],
        give_up: Event,
        digest: bytes | None = None,
    ) -> JobAnswer:
        answer = self.requests.from_home(call, give_up)
        if isinstance(answer, Failure):
            return self._without_home(ticket, answer, digest)
        return answer

    def _without_home(
        self, ticket: Ticket, failure: Failure, digest: bytes | None
    ) -> JobAnswer:
        """Answer from what a stopped home left behind, or say what is unknown."""
        sealed = self.stopped_ledgers.find(ticket)
        if sealed is None:
            return home_failed(ticket.text, failure)
        known = (
            sealed.answer(ticket) if digest is None else sealed.admit(ticket, digest)
        )
        return refused(ticket.text, known) if isinstance(known, Failure) else known
