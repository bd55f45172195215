"""Measures the load that a placer announces to the daemons of the deployment."""

from collections.abc import Container

from rattanloom.placement.job_endings import capacity_millicores
from rattanloom.placement.placer import Placer
from rattanloom.scheduling.worker_choice import free_millicores
from rattanloom.scheduling.zone_load import ZoneLoad, merge_loads


def measure_load(
    placer: Placer, own_sources: Container[str], now_ms: float
) -> ZoneLoad:
    """Return the load of a placer's workers.

    ``own_sources`` are the daemons in the placer's own zones.
    """
    workers = placer.workers.values()
    waiting = [
        (task.job.submitted.policy.priority, task.step) for task in placer.waiting
    ]
    return ZoneLoad(
        free_millicores(workers, placer.waiting, now_ms),
        capacity_millicores(workers, now_ms),
        placer.demand.from_sources(own_sources, now_ms),
        merge_loads(
            ((priority, step.counted_work_millicore_ms) for priority, step in waiting),
            placer.demand.by_priority(now_ms),
        ),
    )
