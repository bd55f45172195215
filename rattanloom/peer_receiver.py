"""Sends what becomes of the jobs that another daemon submitted to this placer."""

from attrs import define

from rattanloom.links.hub import LinkHub
from rattanloom.links.messages import JOBS_RETURNED_VERSION, JobsReturned, Outcome
from rattanloom.placement.jobs import JobOutcome, ReturnedJob


@define(eq=False, repr=False)
class PeerOutcomeReceiver:
    """Receives the outcome of a job that another daemon submitted over a link.

    ``submission`` is that of the message ``Submit``.
    """

    node: str
    hub: LinkHub
    submission: int = 0

    def deliver(self, outcome: JobOutcome) -> None:
        """Send an outcome over the current link to that daemon.

        Without a link the outcome is dropped; the other daemon submits the job again.
        """
        link = self.hub.link(self.node)
        if link is not None:
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
