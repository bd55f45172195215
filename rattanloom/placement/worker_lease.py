"""The lease that a placer holds on one worker, on the worker's own clock."""

from attrs import define

from rattanloom.clock import Clock

# A worker's clock may run 2% slow, so that its leases last longer than ours.
SLOW_CLOCK_FACTOR = 1.02
# Time for a renewal to reach the worker, at a few times the delay between zones.
TRANSIT_MS = 20


@define(eq=False, repr=False)
class WorkerLease:
    """Turns this daemon's time into the worker's, and knows when a lease is over.

    ``offset_ms`` is the worker's clock less ours when its last answer came.
    """

    clock: Clock
    duration_ms: float
    offset_ms: float | None = None
    expires_ms: float = 0

    def record_worker_clock(self, worker_clock_ms: int) -> None:
        """Take the worker's clock from an answer that came just now."""
        self.offset_ms = worker_clock_ms - self.clock.now_ms()

    def extend(self) -> int:
        """Return the end of a new lease on the worker's clock; it is sent now."""
        now_ms = self.clock.now_ms()
        self.record_grant(now_ms)
        return int(now_ms + self.offset_ms + self.duration_ms)

    def record_grant(self, now_ms: float) -> None:
        """Note that a lease that was given at ``now_ms`` may be in force."""
        expires_ms = now_ms + self.duration_ms * SLOW_CLOCK_FACTOR + TRANSIT_MS
        self.expires_ms = max(self.expires_ms, expires_ms)

    def is_expired(self) -> bool:
        """Return whether nothing can run on the worker under our leases."""
        return self.clock.now_ms() > self.expires_ms
