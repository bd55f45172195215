"""Connects the operator's evacuations to the placer and the job router of a daemon."""

from collections.abc import Callable

from attrs import define, field

from rattanloom.background import spawn_restarting
from rattanloom.clock import Clock
from rattanloom.evacuations import EvacuationAgeGuard, Evacuations
from rattanloom.ingress.queue_follower import make_queue_follower
from rattanloom.ingress.queues import QueueTable
from rattanloom.placement.placer import Placer
from rattanloom.platform.deployment import Bounds
from rattanloom.platform.rows import Store
from rattanloom.registry import Registry
from rattanloom.tables import TableFollower


@define(eq=False, repr=False)
class EvacuationControl:
    """Follows the operator's table and applies evacuations to this daemon's placer.

    ``contact_age_ms`` is that of ``EvacuationAgeGuard``. ``on_change`` is called after
    an evacuation began or ended, with the placer's waiting jobs already returned.
    """

    zones: tuple[str, ...]
    bounds: Bounds
    clock: Clock
    store: Store
    queues: QueueTable
    placer: Placer
    registry: Registry
    contact_age_ms: Callable[[], float]
    on_change: Callable[[], None]
    evacuations: Evacuations = field(init=False)
    follower: TableFollower = field(init=False)
    guard: EvacuationAgeGuard = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.evacuations = Evacuations(self.zones, self._on_evacuations_changed)
        self.follower = make_queue_follower(
            self.store, self.clock, self.queues, self.evacuations
        )
        self.guard = EvacuationAgeGuard(
            self.clock,
            self.evacuations,
            self.follower.stale_ms,
            self.contact_age_ms,
            lambda: spawn_restarting(self.follower.read_now),
        )
        limits = self.placer.start_limits
        limits.evacuated_zones = self.evacuations.in_force
        limits.may_start_by_evacuations = self.guard.may_start
        self.apply_bounds(self.bounds)

    def apply_bounds(self, bounds: Bounds) -> None:
        """Apply changed bounds of the settings, also that of placement by rack."""
        self.bounds = bounds
        self.placer.worker_health.placement.remote_factor = bounds.remote_factor
        self.follower.delay_max_ms = bounds.operator_table_delay_max_ms
        self.guard.age_max_ms = bounds.operator_table_age_max_ms
        cold_workers = self.placer.start_limits.cold_workers
        cold_workers.overshoot = bounds.cold_overshoot
        cold_workers.slack = bounds.cold_slack
        has_evacuations = bounds.evacuation_delay_max_ms is not None
        cold_workers.cold_until_ms = (
            self.registry.cold_until_ms if has_evacuations else {}
        )

    def _on_evacuations_changed(self) -> None:
        self.placer.job_returns.return_jobs(self.placer.waiting)
        self.on_change()
        self.placer.start_waiting_tasks()
