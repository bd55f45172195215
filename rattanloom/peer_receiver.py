"""Sends what becomes of the jobs that another daemon submitted to this placer."""

from attrs import define, evolve, field

from rattanloom.links.hub import LinkHub
from rattanloom.links.link import Link
from rattanloom.links.messages import (
    JOB_CANCELLED_VERSION,
    JOBS_RETURNED_VERSION,
    JobsReturned,
    Outcome,
)
from rattanloom.placement.job_lease import counted_renewal_ms
from rattanloom.placement.jobs import JobOutcome, OutcomeKind, ReturnedJob


@define(repr=False, eq=True)
class PeerOutcomeReceiver:
    """Receives the outcome of a job that another daemon submitted over ``link``.

    ``submission`` is that of the message ``Submit``. Two are equal if link and
    submission are the same.
    """

    link: Link
    hub: LinkHub = field(eq=False)
    submission: int = 0

    @property
    def node(self) -> str:
        """Return the daemon that submitted the job."""
        return self.link.peer.node

    def renewed_ms(self, job_id: str) -> float:
        """Return when the daemon last renewed the lease, on the submission's link."""
        return min(self.link.renewed_ms(), counted_renewal_ms(self.link.closed_ms))

    def deliver(self, outcome: JobOutcome) -> None:
        """Send an outcome over the current link to that daemon.

        Without a link the outcome is dropped; the other daemon submits the job again.
        """
        link = self.hub.link(self.node)
        if link is None:
            return
        is_cancelled = outcome.kind is OutcomeKind.CANCELLED
        if is_cancelled and link.peer.protocol_version < JOB_CANCELLED_VERSION:
            outcome = evolve(outcome, kind=OutcomeKind.GIVEN_UP)
        link.send(Outcome(outcome, self.submission))

    def take_back(self, jobs: tuple[ReturnedJob, ...]) -> None:
        """Return jobs that never ran; to an older build, send refusals instead."""
        link = self.hub.link(self.node)
        if link is None:
            return
        if link.peer.protocol_version >= JOBS_RETURNED_VERSION:
            link.send(JobsReturned(jobs))
            return
        for job in jobs:
            link.send(Outcome(job.refusal, self.submission))
