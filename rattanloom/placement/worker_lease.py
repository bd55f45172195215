"""The lease that a placer grants a worker, in the worker's own clock."""

from attrs import define

from rattanloom.clock import Clock

# A worker's clock may run 2% slow, so that a lease lasts longer there than in the
# placer's clock.
SLOW_CLOCK_FACTOR = 1.02
# Allowance for a renewal to reach the worker: a few times the delay between zones.
TRANSIT_MS = 20


@define(eq=False, repr=False)
class WorkerLease:
    """Converts this daemon's time to the worker's, and tracks when its lease ends.

    ``offset_ms`` is the worker's clock minus this daemon's at the last reply.
    """

    clock: Clock
    duration_ms: float
    offset_ms: float | None = None
    expires_ms: float = 0

    def record_worker_clock(self, worker_clock_ms: int) -> None:
        """Record the worker's clock from a reply that was received just now."""
        self.offset_ms = worker_clock_ms - self.clock.now_ms()

    def extend(self) -> int:
        """Return the end of a new lease, in the worker's clock, to be sent now."""
        now_ms = self.clock.now_ms()
        self.record_grant(now_ms)
        return int(now_ms + self.offset_ms + self.duration_ms)

    def record_grant(self, now_ms: float) -> None:
        """Record that a lease granted at ``now_ms`` may be active on the worker."""
        expires_ms = now_ms + self.duration_ms * SLOW_CLOCK_FACTOR + TRANSIT_MS
        self.expires_ms = max(self.expires_ms, expires_ms)

    def is_expired(self) -> bool:
        """Return whether all leases granted by this daemon have expired."""
        return self.clock.now_ms() > self.expires_ms
