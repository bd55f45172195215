"""Measures what the tracking of workers and of peers' loads costs one entry host.

For the stand-alone version. ``python -m experiments.directory_cost`` prints JSON.
"""

import json
from collections.abc import Callable
from functools import partial
from time import process_time
from tracemalloc import get_traced_memory, start, stop

from fire import Fire

from rattanloom.job import Task
from rattanloom.peers.protocol import HostLoad, Member, MemberState, TargetLoad
from rattanloom.platform.protocol import ListedTarget
from rattanloom.routing import choose_target
from rattanloom.targets.client import TargetClient
from rattanloom.targets.fleet import Fleet
from rattanloom.targets.state import TargetState

SIZES = ((24, 9, 3), (120, 15, 3), (470, 28, 7), (940, 40, 7))  # workers, hosts, zones
SLOTS = 8  # of each worker
ROUNDS = 40  # measured calls of each function
# Calls of Fleet.refresh and Fleet.update_peer_loads that core_percent assumes.
REFRESHES_PER_S = 4
LOAD_UPDATES_PER_S = 20
TASK = Task("proof")


class FixedPeerLoads:
    """The membership, with fixed loads of the peers."""

    def __init__(self, members: tuple[Member, ...], targets: list[str]) -> None:
        """Split ``targets`` among the members; each has 5 slots on each of its own."""
        self._members = members
        self._loads = {
            member.host: HostLoad(
                targets=tuple(
                    TargetLoad(name, 5) for name in targets[number :: len(members)]
                )
            )
            for number, member in enumerate(members)
        }

    def members(self) -> tuple[Member, ...]:
        """Return the peers of the measured host."""
        return self._members

    def loads(self) -> dict[str, HostLoad]:
        """Return the peers' loads by host."""
        return self._loads


def build_fleet(workers: int, hosts: int, zones: int) -> Fleet:
    """Return the fleet as one entry host tracks it, with ``hosts`` - 1 peers."""
    names = [f"worker-{number}" for number in range(workers)]
    members = tuple(
        Member(f"host-{n}", f"zone-{n % zones}", "", "i", 0, MemberState.LIVE)
        for n in range(1, hosts)
    )
    fleet = Fleet("host-0", "zone-0", FixedPeerLoads(members, names))
    for number, name in enumerate(names):
        listed = ListedTarget(name, f"zone-{number % zones}", "10.0.0.1:1", SLOTS, 64)
        fleet.add(TargetState(listed, TargetClient(name, listed.address, SLOTS)))
    return fleet


def choose_worker(fleet: Fleet) -> TargetState | None:
    """Choose a worker as the dispatcher does before each start."""
    return choose_target(TASK, fleet.tiers(()), 0.0)


def cpu_s_per_call(call: Callable, rounds: int = ROUNDS) -> float:
    """Return the mean processor time of a call, in seconds, after a warm-up call."""
    call()
    started_s = process_time()
    for _ in range(rounds):
        call()
    return (process_time() - started_s) / rounds


def measure() -> None:
    """Print one JSON line for each size.

    ``find_us`` is the time to choose a worker for one task, ``memory_kb`` the memory
    of the fleet.
    """
    for workers, hosts, zones in SIZES:
        start()
        before, _ = get_traced_memory()
        fleet = build_fleet(workers, hosts, zones)
        fleet.refresh()
        after, _ = get_traced_memory()
        stop()
        refresh_s = cpu_s_per_call(fleet.refresh)
        loads_s = cpu_s_per_call(fleet.update_peer_loads)
        find_s = cpu_s_per_call(partial(choose_worker, fleet))
        figures = {
            "workers": workers,
            "hosts": hosts,
            "refresh_ms": round(refresh_s * 1_000, 3),
            "loads_ms": round(loads_s * 1_000, 3),
            "core_percent": round(
                100 * (refresh_s * REFRESHES_PER_S + loads_s * LOAD_UPDATES_PER_S), 3
            ),
            "find_us": round(find_s * 1_000_000, 1),
            "memory_kb": round((after - before) / 1_000),
        }
        print(json.dumps(figures))


if __name__ == "__main__":
    Fire(measure)
