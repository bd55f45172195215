"""Chooses the worker for a task among those that an entry host knows."""

from collections.abc import Iterable, Sequence
from hashlib import blake2b

from attrs import frozen

from rattanloom.job import Task
from rattanloom.rules import DeploymentRule
from rattanloom.targets.state import TargetState

HOLD_LEAST_MS = 0.0
HOLD_MOST_MS = 500.0


@frozen
class Tiers:
    """The workers that a host may use, nearest first.

    A host fills the workers that it ``owned`` by ``spread_owners``, then those
    of its ``zone`` with slots known to be free, then those of other zones.
    """

    owned: tuple[TargetState, ...] = ()
    zone: tuple[TargetState, ...] = ()
    far: tuple[TargetState, ...] = ()


def make_tiers(targets: Iterable[TargetState], zone: str) -> Tiers:
    """Sort workers into the tiers of a host of ``zone``."""
    targets = tuple(targets)
    near = [target for target in targets if target.listed.zone == zone]
    return Tiers(
        owned=tuple(target for target in near if target.owned),
        zone=tuple(target for target in near if not target.owned),
        far=tuple(target for target in targets if target.listed.zone != zone),
    )


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


def choose_target(task: Task, tiers: Tiers, now_ms: float) -> TargetState | None:
    """Return the best worker with free slots for the task, or None.

    Workers known to be slow are used only where no other has free slots.
    """
    slowest = None
    for tier in (tiers.owned, tiers.zone, tiers.far):
        best, best_slow = _most_free(task, tier, now_ms)
        if best is not None:
            return best
        slowest = slowest or best_slow
    return slowest


def hold_ms(rule: DeploymentRule) -> float:
    """Return how long a worker may hold an attempt for a slot.

    Holding longer saves the messages of refusals; being refused sooner lets
    the task run elsewhere.
    """
    weights = rule.response_weight + rule.message_weight
    message_share = rule.message_weight / weights if weights else 0.5
    return HOLD_LEAST_MS + message_share * (HOLD_MOST_MS - HOLD_LEAST_MS)


def _most_free(
    task: Task, targets: Sequence[TargetState], now_ms: float
) -> tuple[TargetState | None, TargetState | None]:
    """Return the worker with most free slots, and the slow one with most."""
    best = slow = None
    best_share = slow_share = -1.0
    for target in targets:
        free_slots = target.free_slots(now_ms) - task.size_slots
        if free_slots < 0 or not target.usable(now_ms):
            continue
        if task.accelerator and not target.listed.accelerator:
            continue
        share = free_slots / target.listed.slots
        if target.health.is_slow(now_ms):
            if share > slow_share:
                slow, slow_share = target, share
        elif share > best_share:
            best, best_share = target, share
    return best, slow


def _weight(target: str, host: str) -> bytes:
    return blake2b(f"{target}/{host}".encode(), digest_size=8).digest()
