"""The lease that a placer grants a worker, in the worker's clock.

A worker has one lease for all its runs; when it expires, the worker stops them.
"""

from math import inf

from attrs import define

from rattanloom.clock import Clock

# A worker's clock may run 2% slow; a lease then lasts longer in the placer's clock.
SLOW_CLOCK_FACTOR = 1.02
# Allowance for a renewal to reach the worker: a few times the delay between zones.
TRANSIT_MS = 20


@define(eq=False, repr=False)
class WorkerLease:
    """Grants leases in the worker's clock, and tracks their end in this daemon's.

    ``offset_ms`` is the worker's clock minus this daemon's at the last reply.
    ``expires_ms``, in this daemon's clock, is when all granted leases have expired.
    """

    clock: Clock
    duration_ms: float
    offset_ms: float | None = None
    expires_ms: float = 0

    def record_worker_clock(self, worker_clock_ms: int) -> None:
        """Record the worker's clock from a reply that was received just now."""
        self.offset_ms = worker_clock_ms - self.clock.now_ms()

    def extend(self, limit_ms: float = inf) -> int:
        """Grant a new lease; return its end in the worker's clock, to be sent now.

        It ends at ``limit_ms`` at the latest, by a clock that is not slow.
        """
        now_ms = self.clock.now_ms()
        duration_ms = min(self.duration_ms, limit_ms - now_ms)
        self._record(now_ms, duration_ms)
        return int(now_ms + self.offset_ms + duration_ms)

    def record_grant(self, now_ms: float) -> None:
        """Record that a lease granted at ``now_ms`` may be active on the worker."""
        self._record(now_ms, self.duration_ms)

    def _record(self, now_ms: float, duration_ms: float) -> None:
        expires_ms = now_ms + duration_ms * SLOW_CLOCK_FACTOR + TRANSIT_MS
        self.expires_ms = max(self.expires_ms, expires_ms)

    def is_expired(self) -> bool:
        """Return whether all leases granted by this daemon have expired."""
        return self.clock.now_ms() > self.expires_ms
