"""Measures what idle entry hosts of the stand-alone version cost.

Starts entry hosts in several zones, and a platform stand-in that lists workers that
don't exist; reads each host's processor time and memory from /proc.
``python -m experiments.daemon_cost``; the last line is one JSON object.
"""

from gevent import monkey

if __name__ == "__main__":
    monkey.patch_all()

import json
import os
import time
from pathlib import Path
from resource import getpagesize
from statistics import mean

import fire

from experiments.cluster import Cluster, ClusterLayout, Process, running_cluster

BYTES_PER_MB = 1_000_000
PERCENT = 100
STAT_CPU_FIELDS = slice(13, 15)  # of /proc/PID/stat: user and system ticks
READY_TIMEOUT_S = 50.0


def measure(
    zones: int = 7,
    hosts: int = 6,
    workers: int = 940,
    teams: int = 130,
    measure_s: float = 8.0,
    settle_s: float = 15.0,
) -> None:
    """Start ``zones`` x ``hosts`` entry hosts; print their mean and maximum cost.

    Args:
        zones: number of zones.
        hosts: entry hosts per zone.
        workers: listed workers, in all zones.
        teams: teams in the published rules.
        measure_s: length of the measurement.
        settle_s: time between readiness and the measurement.
    """
    zone_names = tuple(f"Zone{number}" for number in range(zones))
    with running_cluster(
        ClusterLayout(zones=zone_names, hosts=hosts, workers=0)
    ) as cluster:
        _list_workers(cluster, zone_names, workers)
        _publish_teams(cluster, teams)
        cluster.await_ready(READY_TIMEOUT_S)
        time.sleep(settle_s)
        processes = list(cluster.hosts.values())
        before = [_cpu_s(process) for process in processes]
        counts = cluster.get_json(cluster.platform.address, "/counts")
        started_s = time.monotonic()
        time.sleep(measure_s)
        elapsed_s = time.monotonic() - started_s
        after = [_cpu_s(process) for process in processes]
        counts_after = cluster.get_json(cluster.platform.address, "/counts")
        used_s = [end - start for start, end in zip(before, after, strict=True)]
        percents = [PERCENT * cpu_s / elapsed_s for cpu_s in used_s]
        memory = [_memory_mb(process) for process in processes]
    summary = {
        "daemons": len(processes),
        "workers": workers,
        "teams": teams,
        "core_percent_mean": round(mean(percents), 2),
        "core_percent_max": round(max(percents), 2),
        "memory_mb_mean": round(mean(memory), 1),
        "memory_mb_max": round(max(memory), 1),
        "platform_counts_s": _rates(counts, counts_after, elapsed_s),
    }
    for name, value in summary.items():
        print(f"{name}: {value}")
    print(json.dumps(summary))


def _list_workers(cluster: Cluster, zones: tuple[str, ...], count: int) -> None:
    document = [
        {
            "name": f"worker-{number:03}",
            "zone": zones[number % len(zones)],
            "address": "127.0.0.1:9",
            "slots": 8,
            "connections": 64,
            "leaving": False,
        }
        for number in range(count)
    ]
    cluster.request(cluster.platform.address, "PUT", "/hosts", document)


def _publish_teams(cluster: Cluster, count: int) -> None:
    folder = cluster.folder / "rules"
    folder.mkdir()
    teams = {f"team-{number:03}": {"quota_slots": 64} for number in range(count)}
    (folder / "10-teams.json").write_text(json.dumps({"teams": teams}))
    cluster.publish(folder)


def _cpu_s(process: Process) -> float:
    text = Path(f"/proc/{process.popen.pid}/stat").read_text()
    # The split starts with field 2, after the PID (0) and the command (1).
    ticks = text.rsplit(")", 1)[1].split()[
        STAT_CPU_FIELDS.start - 2 : STAT_CPU_FIELDS.stop - 2
    ]
    return sum(map(int, ticks)) / os.sysconf("SC_CLK_TCK")


def _memory_mb(process: Process) -> float:
    pages = int(Path(f"/proc/{process.popen.pid}/statm").read_text().split()[1])
    return pages * getpagesize() / BYTES_PER_MB


def _rates(before: dict, after: dict, elapsed_s: float) -> dict:
    return {
        name: round((value - before.get(name, 0)) / elapsed_s, 1)
        for name, value in after.items()
        if isinstance(value, int)
    }


if __name__ == "__main__":
    fire.Fire(measure)
