"""Checks of the cases on what the stand-ins recorded."""

import asyncio

from deployment import ZONES, Deployment
from platform_standins import Record


def overlaps(record: Record) -> list[str]:
    """Return the runs that started while another run of their task was at work."""
    found, running_on = [], {}
    for row in record.of("start", "end"):
        workers = running_on.setdefault(row["task"], [])
        if row["event"] == "end":
            workers.remove(row["worker"])
            continue
        if workers:
            found.append(
                f"task {row['task']} starts on {row['worker']} at {row['at_ms']:.0f} ms"
                f" while it runs on {', '.join(workers)}"
            )
        workers.append(row["worker"])
    return found


async def record_owners(deployment: Deployment) -> None:
    """Record each change of a zone's owner in the store, forever."""
    known: dict[str, str] = {}
    while True:
        for zone in ZONES:
            row = deployment.store.read("rattanloom", f"zone/{zone}") or {}
            if known.get(zone) != row.get("owner"):
                known[zone] = row.get("owner")
                deployment.record.add("owner", zone=zone, daemon=known[zone])
        await asyncio.sleep(0.02)
