"""Seeds on which a check has failed, each with the daemon's fault that caused it."""

from soak.fault_table import FAULTS

# A seed plays the same series of faults only with the same list of faults.
ADDED_LATER = (
    "store_loses_requests",
    "configuration_after_outage",
    "crashing_jobs_sent",
    "workers_shrunk",
    "zone_evacuated",
    "zone_cut_ends_unevenly",
    "stops_lost",
    "worker_unregistered",
)
REGRESSION_FAULTS = tuple(name for name in FAULTS if name not in ADDED_LATER)

REGRESSIONS: dict[int, str] = {
    2: "a report out of order restored a finished run; its worker stayed unused",
    3: "same as seed 2, while the store was down",
    7: "requests still open at the end of a planned stop got a 500 response",
    10: "same as seed 25",
    11: "a run in a worker's new incarnation was assumed lost and started again",
    21: "a failed call to a closed client stalled the daemon for seconds",
    24: "same as seed 21",
    25: "a daemon had no link to a peer that kept using an older link",
}
