"""Chooses the worker for a task among those that an entry host knows."""

from collections.abc import Iterable
from hashlib import blake2b

from rattanloom.job import Task
from rattanloom.targets.state import TargetState

SPILL_MARGIN_SLOTS = 1


def owner_of(target: str, hosts: Iterable[str]) -> str:
    """Return which host a worker belongs to first, by rendezvous hashing."""
    return max(hosts, key=lambda host: _weight(target, host), default="")


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
    if not target.owned:
        free_slots -= SPILL_MARGIN_SLOTS
    if free_slots < 0:
        return None
    distance = 0 if target.listed.zone == zone else 2
    return distance + (not target.owned), -free_slots / target.listed.slots


def _weight(target: str, host: str) -> bytes:
    return blake2b(f"{target}/{host}".encode(), digest_size=8).digest()
