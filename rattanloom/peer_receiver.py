"""Sends what becomes of the jobs that another daemon submitted to this placer."""

from attrs import define, evolve

from rattanloom.links.hub import LinkHub
from rattanloom.links.link import Link
from rattanloom.links.messages import (
    JOB_CANCELLED_VERSION,
    JOBS_RETURNED_VERSION,
    JobsReturned,
    Outcome,
)
from rattanloom.placement.jobs import JobOutcome, OutcomeKind, ReturnedJob


@define(eq=False, repr=False)
class PeerOutcomeReceiver:
    """Receives the outcome of a job that another daemon submitted over ``link``.

    ``submission`` is that of the message ``Submit``.
    """

    link: Link
    hub: LinkHub
    submission: int = 0

    @property
    def node(self) -> str:
        """Return the daemon that submitted the job."""
        return self.link.peer.node

    def is_waiting(self, job_id: str) -> bool:
        """Return whether the link of the submission is still alive.

        After its loss, the daemon submits the job again, to this placer or another.
        """
        return self.link.is_alive()

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
