"""Chooses the worker for a task among those that an entry host knows."""

from collections.abc import Iterable
from hashlib import blake2b

from rattanloom.job import Task
from rattanloom.targets.state import TargetState


def spread_owners(slots: dict[str, int], hosts: Iterable[str]) -> dict[str, str]:
    """Return which host fills each worker first, in even shares of the slots.

    Workers go by rendezvous hashing to their most preferred host whose share
    is not yet full, so that a host's coming or going moves few of them.
    """
    hosts = sorted(hosts)
    if not hosts:
        return {}
    share = sum(slots.values()) / len(hosts)
    taken = dict.fromkeys(hosts, 0)
    owners = {}
    for target in sorted(slots, key=lambda name: _weight(name, "")):
        by_preference = sorted(hosts, key=lambda host: _weight(target, host))
        fitting = [
            host for host in by_preference if taken[host] + slots[target] <= share
        ]
        owner = (fitting or [min(by_preference, key=taken.__getitem__)])[0]
        taken[owner] += slots[target]
        owners[target] = owner
    return owners


def choose_target(
    task: Task, targets: Iterable[TargetState], zone: str, now_ms: float
) -> TargetState | None:
    """Return the best worker with free slots for the task, or None.

    A host fills its own workers first, then those of its zone with slots
    known to be free, then those of other zones.
    """
    best = None
    best_rank = None
    for target in targets:
        rank = _rank(task, target, zone, now_ms)
        if rank is not None and (best_rank is None or rank < best_rank):
            best, best_rank = target, rank
    return best


def _rank(
    task: Task, target: TargetState, zone: str, now_ms: float
) -> tuple[int, float] | None:
    if task.accelerator and not target.listed.accelerator:
        return None
    if not target.usable(now_ms):
        return None
    free_slots = target.free_slots(now_ms) - task.size_slots
    if free_slots < 0:
        return None
    distance = 0 if target.listed.zone == zone else 2
    return distance + (not target.owned), -free_slots / target.listed.slots


def _weight(target: str, host: str) -> bytes:
    return blake2b(f"{target}/{host}".encode(), digest_size=8).digest()
