"""The last reported load of a placer, as the daemons use it that send jobs to it."""

from attrs import define

from rattanloom.scheduling.zone_load import ZoneLoad

# While the preferred placer has less free capacity than this, links to the other
# placers are kept. About seven tasks of the largest kinds need this much.
LOW_CAPACITY_MILLICORES = 100_000
# The same as a share of the capacity: demand that swings by 0.55 within 15 s uses up
# this share in half a second, the time to open links and to pass the ramp.
LOW_CAPACITY_SHARE = 0.12
# Time that the way to another zone's placer and back takes longer.
DETOUR_MS = 3
# The capacity of a placer that was not heard before, or not for longer than
# ``CAPACITY_MAX_AGE_MS``, becomes available gradually over this time.
RAMP_MS = 500


@define(eq=False, repr=False)
class PlacerCapacity:
    """A placer's last reported load.

    ``millicores`` is its free capacity less the need of jobs sent since. The jobs that
    move there may use ``budget_millicores``: this daemon's share of the free capacity
    beyond the reserve. A job may exceed the budget; the debt lowers the next ones.
    ``moved_work`` is the work of the jobs that this daemon moved into the queue since,
    ``sharing_daemons`` the number of daemons that may move jobs there.
    """

    load: ZoneLoad
    received_ms: float
    heard_since_ms: float
    millicores: float
    budget_millicores: float = 0
    moved_work: float = 0
    sharing_daemons: int = 0

    @property
    def is_short(self) -> bool:
        """Return whether jobs may soon wait at the placer, or do so already.

        Tasks can wait although much capacity is free, if its parts are too small.
        """
        limit = LOW_CAPACITY_SHARE * (self.load.capacity_millicores or 0)
        return (
            self.millicores < max(LOW_CAPACITY_MILLICORES, limit)
            or self.load.wait_ms > DETOUR_MS
        )

    @property
    def has_workers(self) -> bool:
        """Return whether the placer has workers, or may have some for what is known."""
        return self.load.capacity_millicores != 0

    @property
    def ramp(self) -> float:
        """Return the share of the capacity that counts; see ``RAMP_MS``."""
        return min(1.0, (self.received_ms - self.heard_since_ms) / RAMP_MS)
