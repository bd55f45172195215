"""The lease under which a placer runs a job.

The daemon that has a job's client grants it. It renews the lease by replies to the
placer's probes, on the link over which it submitted the job, until it withdraws the job
there. The lease of a worker is limited by those of all jobs that have runs on it. So
the runs of a job end by themselves once its daemon is lost or has sent it elsewhere,
even if no message reaches the placer, or no stop reaches the worker.
"""

from typing import Protocol

from rattanloom.placement.jobs import JobOutcome, ReturnedJob

# Leases granted to workers end by this time after the last renewal of a job with a run
# there. With a worker's clock that is 2% slow, that is before the next placer starts
# the job's missing tasks (``FORMER_LEASE_MAX_MS``) and before a client posts its job
# again (1,300 ms).
RUN_LEASE_MAX_MS = 1_120
# A placer starts tasks of a job for this time after the last renewal. A worker may have
# a lease of 918 ms by then, which can't be shortened.
START_MAX_MS = 220
# A placer ends a job this long after the last renewal. That is the time for which a
# link stays open without data, and ``RECONNECT_MAX_MS``.
KEEP_MAX_MS = 750
# Time for a daemon to submit its jobs again after its link was closed.
RECONNECT_MAX_MS = 300
# A run that no job has adopted yet limits the lease of its worker to the earlier of
# these times after it was first listed and after the worker was taken over. It is
# stopped before the first one. Its job may be sent to a third placer by the second one.
INHERITED_LEASE_MAX_MS = 450
TAKEOVER_LEASE_MAX_MS = 900
# No start order is sent with a shorter lease than this, which is not renewed in time.
START_LEASE_MIN_MS = 400


def counted_renewal_ms(closed_ms: float) -> float:
    """Return up to when a link that was closed at ``closed_ms`` renews leases.

    The daemon is about to submit its jobs again, to this placer or another. Until then
    no task of them starts, and they end after ``RECONNECT_MAX_MS``.
    """
    return closed_ms + RECONNECT_MAX_MS - KEEP_MAX_MS


class OutcomeReceiver(Protocol):
    """Receives the outcome of a job for ``node``, the daemon that serves its client."""

    node: str

    def renewed_ms(self, job_id: str) -> float:
        """Return when the daemon last renewed the lease of a job at this placer.

        Minus infinity if it has sent the job elsewhere.
        """

    def deliver(self, outcome: JobOutcome) -> None:
        """Report the outcome of a job; must not block."""

    def take_back(self, jobs: tuple[ReturnedJob, ...]) -> None:
        """Take back jobs that never ran here; must not block."""
