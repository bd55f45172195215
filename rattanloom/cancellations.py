"""Passes the cancellation of a job by its client to the daemon that has the job.

A client may cancel at another daemon than the one that it posted the job to. Every job
is at the placer of an owner, or about to be sent to one, so all owners are told; each
ends the job if it has it, and remembers the cancellation for a copy that arrives later.
"""

from collections.abc import Callable

import gevent
from attrs import define, field

from rattanloom.clock import MS_PER_S, Clock
from rattanloom.decision_log import DecisionLog
from rattanloom.ingress.job_router import JobRouter
from rattanloom.links.hub import LinkHub
from rattanloom.links.link import Link
from rattanloom.links.messages import JOB_CANCELLED_VERSION, JobCancelled
from rattanloom.placement.placer import Placer

log = DecisionLog("ingress")

# How long owners are told of a cancellation that they could not be reached for. A
# cancelled job must start no task 3 s after the response to the cancellation.
TELL_MAX_MS = 3_000
# Time for all owners to confirm that they were told. One that has just been lost is
# replaced within it.
CONFIRM_MAX_MS = 1_000
CONFIRM_POLL_MS = 5


@define(eq=False)
class Cancellation:
    """The cancellation of one job, of which owners are told until ``until_ms``.

    ``told_ms`` has when an owner was told over a link.
    """

    until_ms: float
    told_ms: dict[Link, float] = field(factory=dict)

    def tell(self, link: Link, job_id: str, now_ms: float) -> None:
        """Tell a peer of the cancellation, unless it was told over this link."""
        if link in self.told_ms or not _knows_cancellations(link):
            return
        self.told_ms[link] = now_ms
        link.send(JobCancelled(job_id))
        if link.has_job_leases:
            link.send_probe()

    def is_confirmed_by(self, link: Link) -> bool:
        """Return whether a peer has replied to a probe that followed the message."""
        told_ms = self.told_ms.get(link)
        return told_ms is not None and link.renewed_ms() >= told_ms


@define(eq=False, repr=False)
class Cancellations:
    """Tells the owners of zones which jobs were cancelled.

    ``owners`` returns the nodes that own zones. ``_untold`` has the cancellations by
    job id.
    """

    node: str
    clock: Clock
    hub: LinkHub
    placer: Placer
    job_router: JobRouter
    owners: Callable[[], set[str]]
    _untold: dict[str, Cancellation] = field(factory=dict)

    def cancel(self, job_id: str) -> bool:
        """Cancel a job everywhere; return whether it was known to this daemon.

        If it was, no other daemon runs it for longer than a job's lease lasts.
        """
        is_known = self.job_router.revoke(job_id)
        is_known |= self.placer.revoke(job_id)
        log.info("job_revoked", job=job_id, known=is_known)
        self._untold[job_id] = Cancellation(self.clock.now_ms() + TELL_MAX_MS)
        self.tick()
        return is_known

    def wait_until_told(self, job_id: str) -> bool:
        """Wait until all other owners know of a cancellation; return whether they do.

        Returns False after ``CONFIRM_MAX_MS``. The owners are told nevertheless.
        """
        until_ms = self.clock.now_ms() + CONFIRM_MAX_MS
        while unconfirmed := self._unconfirmed_owners(job_id):
            if self.clock.now_ms() > until_ms:
                log.warning("cancellation_unconfirmed", job=job_id, owners=unconfirmed)
                return False
            gevent.sleep(CONFIRM_POLL_MS / MS_PER_S)
            self.tick()
        return True

    def is_telling(self) -> bool:
        """Return whether some owner may have to be told of a cancellation."""
        return bool(self._untold)

    def tick(self) -> None:
        """Tell the owners that have not been told over their current link."""
        if not self._untold:
            return
        now_ms = self.clock.now_ms()
        links = [self.hub.link(node) for node in self.owners() - {self.node}]
        for job_id, cancellation in list(self._untold.items()):
            for link in links:
                if link is not None:
                    cancellation.tell(link, job_id, now_ms)
            if now_ms > cancellation.until_ms:
                del self._untold[job_id]

    def _unconfirmed_owners(self, job_id: str) -> list[str]:
        """Return the other owners that may not know of a cancellation yet."""
        cancellation = self._untold.get(job_id)
        links = {node: self.hub.link(node) for node in self.owners() - {self.node}}
        return sorted(
            node
            for node, link in links.items()
            if cancellation is None
            or link is None
            or not cancellation.is_confirmed_by(link)
        )


def _knows_cancellations(link: Link) -> bool:
    return link.peer.protocol_version >= JOB_CANCELLED_VERSION
