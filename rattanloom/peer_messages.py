"""Passes the messages and events of links between daemons to the components."""

from collections.abc import Callable

from attrs import define

from rattanloom.capacity_exchange import CapacityExchange
from rattanloom.crash_exchange import CrashExchange
from rattanloom.ingress.job_router import JobRouter
from rattanloom.job_exchange import JobExchange
from rattanloom.links.hub import LinkHub
from rattanloom.links.link import Link
from rattanloom.links.messages import (
    OWNED_ZONES_VERSION,
    AnnouncedLoad,
    Cancel,
    FreeCapacity,
    JobCancelled,
    JobReleased,
    JobsHeld,
    JobsReturned,
    LeaseProbeReply,
    Message,
    Outcome,
    OwnedZones,
    ReleaseJob,
    RunLosses,
    Submit,
    SubmitRejected,
    Withdraw,
)
from rattanloom.ownership.ownership import Ownership
from rattanloom.peer_receiver import PeerOutcomeReceiver
from rattanloom.placement.placer import Placer


@define(eq=False, repr=False)
class PeerMessages:
    """Handles the links of one daemon; ``wake`` ends the pause of its tick."""

    hub: LinkHub
    placer: Placer
    ownership: Ownership
    capacity_exchange: CapacityExchange
    crash_exchange: CrashExchange
    job_exchange: JobExchange
    job_router: JobRouter
    wake: Callable[[], None]

    def on_message(self, link: Link, message: Message) -> None:
        """Handle a message of a peer."""
        if isinstance(message, SubmitRejected | Outcome | JobsReturned):
            self._on_submission_ended(link.peer.node, message)
        elif isinstance(message, Submit):
            self._on_submit(link, message)
        elif isinstance(message, Cancel | Withdraw):
            self._on_withdrawn(link, message)
        elif isinstance(message, JobCancelled):
            self.placer.revoke(message.job_id)
        elif isinstance(message, FreeCapacity | AnnouncedLoad):
            self.capacity_exchange.handle(link, message)
        elif isinstance(message, LeaseProbeReply):
            # It was late: tasks may wait for it.
            self.placer.start_waiting_tasks()
        elif isinstance(message, JobsHeld | ReleaseJob | JobReleased):
            self.job_exchange.handle(link, message)
        elif isinstance(message, RunLosses):
            self.crash_exchange.handle(message)
        else:
            self.ownership.handle_message(link, message)
            if isinstance(message, OwnedZones):
                self.job_exchange.on_placers_changed()
                self.job_router.on_zones_announced(link.peer.node, bool(message.zones))

    def _on_submission_ended(
        self, node: str, message: SubmitRejected | Outcome | JobsReturned
    ) -> None:
        """Pass on what became of jobs of this daemon's clients at a placer."""
        if isinstance(message, SubmitRejected):
            self.job_router.on_rejected(node, message.job_id, message.submission)
        elif isinstance(message, Outcome):
            self.job_router.record_outcome(node, message.outcome, message.submission)
        else:
            self.job_router.on_jobs_returned(node, message.jobs)

    def on_link_opened(self, link: Link) -> None:
        """Announce zones and losses to a peer, and submit the jobs that wait for it."""
        self.ownership.on_link_opened(link)
        self.crash_exchange.on_link_opened(link)
        self.job_exchange.on_placers_changed()
        if self.ownership.is_owner(link.peer.node):
            self.job_router.on_placers_changed()

    def on_link_lost(self, link: Link) -> None:
        """Handle the loss of a link."""
        self.wake()
        for message in link.unsent():
            if isinstance(message, Submit):
                self.job_router.on_not_sent(
                    link.peer.node, message.job.job_id, message.submission
                )
        self.job_router.on_placer_lost(link.peer.node)

    def _on_withdrawn(self, link: Link, message: Cancel | Withdraw) -> None:
        """End a job for which the peer does not wait any more."""
        if isinstance(message, Cancel):
            self.placer.cancel(message.job_id, link.peer.node)
            return
        receiver = PeerOutcomeReceiver(link, self.hub, message.submission)
        self.placer.withdraw(
            message.job_id, receiver, message.moved, message.submission
        )

    def _on_submit(self, link: Link, message: Submit) -> None:
        """Give a job to the placer, or reject it if this daemon owns no zone.

        A peer of an older build gets no reply; it submits the job again to the zone's
        new owner.
        """
        if self.ownership.owned():
            if link.needs_probe():
                link.send_probe()
            receiver = PeerOutcomeReceiver(link, self.hub, message.submission)
            self.placer.submit(
                receiver,
                message.job,
                message.former_placers,
                message.completed_by,
                message.submission,
            )
        elif link.peer.protocol_version >= OWNED_ZONES_VERSION:
            submission = message.submission if link.has_job_leases else 0
            link.send(SubmitRejected(message.job.job_id, submission))
