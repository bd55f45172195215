"""Measures the load that a placer announces to the daemons of the deployment."""

from collections.abc import Container

from rattanloom.placement.placer import Placer
from rattanloom.scheduling.zone_load import ZoneLoad, merge_loads


def measure_load(
    placer: Placer, own_sources: Container[str], now_ms: float
) -> ZoneLoad:
    """Return the load of a placer's workers.

    ``own_sources`` are the daemons in the placer's own zones.
    """
    index = placer.index
    free = sum(
        max(0, worker.runs.free.cpu_millicores) for worker in index.accepting(now_ms)
    )
    waiting = [
        (task.job.submitted.policy.priority, task.step) for task in placer.waiting
    ]
    return ZoneLoad(
        free - sum(step.need.cpu_millicores for _, step in waiting),
        index.usable_millicores(now_ms),
        placer.demand.from_sources(own_sources, now_ms),
        merge_loads(
            ((priority, step.counted_work_millicore_ms) for priority, step in waiting),
            placer.demand.by_priority(now_ms),
        ),
    )
