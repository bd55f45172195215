"""Passes the cancellation of a job by its client to the daemon that has the job.

A client may cancel at another daemon than the one that it posted the job to. Every job
is at the placer of an owner, or about to be sent to one, so all owners are told; each
ends the job if it has it, and remembers the cancellation for a copy that arrives later.
"""

from collections.abc import Callable

from attrs import define, field

from rattanloom.clock import Clock
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


@define(eq=False, repr=False)
class Cancellations:
    """Tells the owners of zones which jobs were cancelled.

    ``owners`` returns the nodes that own zones. ``_untold`` maps job ids to the time
    until which owners are told and the links over which they were told.
    """

    node: str
    clock: Clock
    hub: LinkHub
    placer: Placer
    job_router: JobRouter
    owners: Callable[[], set[str]]
    _untold: dict[str, tuple[float, set[Link]]] = field(factory=dict)

    def cancel(self, job_id: str) -> bool:
        """Cancel a job everywhere; return whether it was known to this daemon."""
        is_known = self.job_router.revoke(job_id)
        is_known |= self.placer.revoke(job_id)
        log.info("job_revoked", job=job_id, known=is_known)
        self._untold[job_id] = (self.clock.now_ms() + TELL_MAX_MS, set())
        self.tick()
        return is_known

    def is_telling(self) -> bool:
        """Return whether some owner may have to be told of a cancellation."""
        return bool(self._untold)

    def tick(self) -> None:
        """Tell the owners that have not been told over their current link."""
        if not self._untold:
            return
        now_ms = self.clock.now_ms()
        links = [self.hub.link(node) for node in self.owners() - {self.node}]
        for job_id, (until_ms, told) in list(self._untold.items()):
            for link in links:
                if link is not None and link not in told:
                    told.add(link)
                    if link.peer.protocol_version >= JOB_CANCELLED_VERSION:
                        link.send(JobCancelled(job_id))
            if now_ms > until_ms:
                del self._untold[job_id]
