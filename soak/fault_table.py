"""The table of a soak's faults, by name, with the bounds of their random durations."""

import gevent
from attrs import frozen

from soak.faults import (
    SLOW_STORE_MS,
    Fault,
    FaultContext,
    all_killed,
    configuration_after_outage,
    configuration_changed,
    connections_reset,
    connections_silenced,
    crashing_jobs_sent,
    daemon_cut,
    daemon_cut_from_store,
    daemon_killed,
    daemon_paused,
    daemon_stopped,
    history_dropped,
    links_delayed,
    settings_reloaded,
    store_switched,
    switched,
    worker_crashed,
    workers_killed,
    workers_shrunk,
    zone_cut,
    zone_cut_ends_unevenly,
    zone_cut_one_way,
    zone_evacuated,
)


@frozen
class FaultKind:
    """A fault, with the bounds of its random duration."""

    inject: Fault
    shortest_s: float
    longest_s: float


# The order determines the faults of each seed.
FAULTS = {
    "daemon_killed": FaultKind(daemon_killed, 0.2, 3),
    "all_killed": FaultKind(all_killed, 0.5, 1),
    "daemon_stopped": FaultKind(daemon_stopped, 0.1, 0.2),
    "daemon_paused": FaultKind(daemon_paused, 0.1, 4),
    "settings_reloaded": FaultKind(settings_reloaded, 0.1, 1),
    "workers_killed": FaultKind(workers_killed, 0.5, 3),
    "worker_crashed": FaultKind(worker_crashed, 0.1, 0.2),
    # A worker carries out its runs at 0.3 times the normal speed.
    "worker_slow": FaultKind(
        switched("worker_slow", {"speed": 0.3}, {"speed": 1.0}), 1, 4
    ),
    # The runs of a worker make no progress.
    "worker_stands_still": FaultKind(
        switched("worker_stands_still", {"speed": 0.0}, {"speed": 1.0}), 1, 4
    ),
    # The runs of a worker end as failed.
    "worker_fails": FaultKind(
        switched("worker_fails", {"failing": True}, {"failing": False}), 1, 4
    ),
    # A worker carries out its next 4 starts late, and sends no response to them.
    "late_orders": FaultKind(
        switched("late_orders", {"late_orders": 4}, {"late_orders": 0}), 1, 3
    ),
    # A worker registers itself as draining.
    "worker_leaves": FaultKind(
        switched("worker_leaves", {"draining": True}, {"draining": False}), 2, 5
    ),
    # The store responds to each request with status 503.
    "store_down": FaultKind(
        store_switched("store_down", {"down": True}, {"down": False}), 0.5, 5
    ),
    # The store responds to no request until the end.
    "store_silent": FaultKind(
        store_switched("store_silent", {"silent": True}, {"silent": False}), 0.5, 5
    ),
    # Requests until the end get no response, also afterwards.
    "store_loses_requests": FaultKind(
        store_switched(
            "store_loses_requests", {"lose_requests": True}, {"lose_requests": False}
        ),
        0.5,
        5,
    ),
    # The store takes SLOW_STORE_MS instead of 4 ms for each request.
    "store_slow": FaultKind(
        store_switched(
            "store_slow", {"latency_ms": SLOW_STORE_MS}, {"latency_ms": 4.0}
        ),
        1,
        5,
    ),
    # The store applies its next 5 transactions, but sends no response to them.
    "store_loses_replies": FaultKind(
        store_switched("store_loses_replies", {"lose_replies": 5}, {"lose_replies": 0}),
        1,
        4,
    ),
    "history_dropped": FaultKind(history_dropped, 0.1, 0.2),
    "zone_cut": FaultKind(zone_cut, 0.3, 5),
    "zone_cut_one_way": FaultKind(zone_cut_one_way, 0.3, 5),
    "daemon_cut": FaultKind(daemon_cut, 0.3, 5),
    "daemon_cut_from_store": FaultKind(daemon_cut_from_store, 0.5, 5),
    "links_delayed": FaultKind(links_delayed, 1, 4),
    "connections_reset": FaultKind(connections_reset, 0.1, 0.2),
    "connections_silenced": FaultKind(connections_silenced, 0.1, 0.2),
    "configuration_changed": FaultKind(configuration_changed, 0.5, 2),
    "configuration_after_outage": FaultKind(configuration_after_outage, 0.5, 5),
    "crashing_jobs_sent": FaultKind(crashing_jobs_sent, 1, 4),
    "workers_shrunk": FaultKind(workers_shrunk, 2, 6),
    # Longer than EVACUATION_DELAY_MAX_MS, after which no task may start.
    "zone_evacuated": FaultKind(zone_evacuated, 6, 9),
    "zone_cut_ends_unevenly": FaultKind(zone_cut_ends_unevenly, 2, 5),
    # Stops have no effect at a worker, and get no response.
    "stops_lost": FaultKind(
        switched("stops_lost", {"lost_stops": 1_000}, {"lost_stops": 0}), 1, 4
    ),
    # A worker serves, but its entry in the store is not renewed, and expires.
    "worker_unregistered": FaultKind(
        switched(
            "worker_unregistered", {"unregistered": True}, {"unregistered": False}
        ),
        2,
        6,
    ),
}


def inject(context: FaultContext, name: str, length_s: float) -> None:
    """Inject one fault, and undo it after ``length_s``."""
    with FAULTS[name].inject(context):
        gevent.sleep(length_s)
