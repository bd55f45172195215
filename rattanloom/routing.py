"""Chooses the worker for a task among the workers that an entry host knows.

A worker *holds* an attempt that waits there for a free slot. The *owner* of a worker
is the entry host that fills it before the workers of other hosts.
"""

from collections.abc import Iterable, Sequence
from hashlib import blake2b
from math import inf

from attrs import frozen

from rattanloom.job import Task
from rattanloom.rules import DeploymentRule
from rattanloom.targets.state import TargetState

# How long a worker may hold an attempt if only response time has a weight, and if
# only messages have one.
HOLD_MIN_MS = 0.0
HOLD_MAX_MS = 500.0
# Shortest hold with which a host overcommits its own workers.
OVERCOMMIT_MIN_HOLD_MS = 90.0
OVERCOMMIT_SHARE = 0.125
OVERCOMMIT_MAX_SHARE = 0.375
# Delays of an overflow if only messages have a weight.
ZONE_DELAY_MAX_MS = 15.0
OTHER_ZONES_DELAY_MAX_MS = 45.0


@frozen
class OverflowPolicy:
    """When a task overflows to workers that other hosts own.

    It waits ``zone_delay_ms`` before it may use those of the host's zone, and
    ``other_zones_delay_ms`` before it may use those of other zones. Before the zone's
    workers are tried, the host's own workers get attempts for more slots than they
    have: ``overcommit_share`` more, as a share of their slots. Before those of other
    zones are tried, it is ``overcommit_max_share`` more.
    """

    zone_delay_ms: float = 0.0
    other_zones_delay_ms: float = 0.0
    overcommit_share: float = 0.0
    overcommit_max_share: float = 0.0


IMMEDIATE_OVERFLOW = OverflowPolicy()


@frozen
class CandidateGroup:
    """Workers that a task may go to once it has waited ``wait_ms``.

    Each may be overcommitted by ``overcommit_share`` of its slots.
    """

    targets: Sequence[TargetState]
    wait_ms: float
    overcommit_share: float


@frozen
class TargetTiers:
    """The workers that a host may use, nearest tier first.

    A host fills the workers that ``spread_owners`` assigns to it (``owned``), then
    the others of its ``zone`` with slots known to be free, then those of other zones.
    """

    owned: tuple[TargetState, ...] = ()
    zone: tuple[TargetState, ...] = ()
    other_zones: tuple[TargetState, ...] = ()


def make_tiers(targets: Iterable[TargetState], zone: str) -> TargetTiers:
    """Sort workers into the tiers of a host of ``zone``."""
    targets = tuple(targets)
    near = [target for target in targets if target.listed.zone == zone]
    return TargetTiers(
        owned=tuple(target for target in near if target.owned),
        zone=tuple(target for target in near if not target.owned),
        other_zones=tuple(target for target in targets if target.listed.zone != zone),
    )


def spread_owners(slots: dict[str, int], hosts: Iterable[str]) -> dict[str, str]:
    """Return the owner of each worker, with even shares of the slots.

    ``slots`` holds the slots of each worker by name. Rendezvous hashing assigns a
    worker to its most preferred host whose share is not yet full, so that few workers
    move when a host joins or leaves. A worker that fits no share goes to the host with
    the fewest slots so far.
    """
    hosts = sorted(hosts)
    if not hosts:
        return {}
    share = sum(slots.values()) / len(hosts)
    taken = dict.fromkeys(hosts, 0)
    owners = {}
    for target in sorted(slots, key=lambda name: _rendezvous_hash(name, "")):
        by_preference = sorted(hosts, key=lambda host: _rendezvous_hash(target, host))
        fitting = [
            host for host in by_preference if taken[host] + slots[target] <= share
        ]
        owner = (fitting or [min(by_preference, key=taken.__getitem__)])[0]
        taken[owner] += slots[target]
        owners[target] = owner
    return owners


def choose_target(
    task: Task,
    tiers: TargetTiers,
    now_ms: float,
    waited_ms: float = inf,
    overflow: OverflowPolicy = IMMEDIATE_OVERFLOW,
) -> TargetState | None:
    """Return the best worker with free slots for the task, or None.

    A worker known to be slow is used only if no group has another with free slots.
    A candidate group is tried only once ``waited_ms`` reaches its ``wait_ms``, or if
    no nearer group has a worker at all.
    """
    nearest_slow = None
    has_nearer = False
    for group in _candidate_groups(tiers, overflow):
        if has_nearer and waited_ms < group.wait_ms:
            return None
        has_nearer = has_nearer or bool(group.targets)
        best, best_slow = _most_free(task, group, now_ms)
        if best is not None:
            return best
        nearest_slow = nearest_slow or best_slow
    return nearest_slow


def _candidate_groups(
    tiers: TargetTiers, overflow: OverflowPolicy
) -> tuple[CandidateGroup, ...]:
    """Return the groups of workers that a task may go to, in order.

    A host overcommits its own workers by a few attempts: when a slot becomes free
    there, the worker starts the next attempt without a round trip to the host.
    """
    return (
        CandidateGroup(tiers.owned, 0.0, 0.0),
        CandidateGroup(tiers.owned, 0.0, overflow.overcommit_share),
        CandidateGroup(tiers.zone, overflow.zone_delay_ms, 0.0),
        CandidateGroup(
            tiers.owned, overflow.zone_delay_ms, overflow.overcommit_max_share
        ),
        CandidateGroup(tiers.other_zones, overflow.other_zones_delay_ms, 0.0),
    )


def hold_ms(rule: DeploymentRule) -> float:
    """Return how long a worker may hold an attempt before it refuses it.

    A longer hold saves the messages of refusals; an earlier refusal lets the task
    run elsewhere.
    """
    return HOLD_MIN_MS + _message_share(rule) * (HOLD_MAX_MS - HOLD_MIN_MS)


def make_overflow_policy(rule: DeploymentRule) -> OverflowPolicy:
    """Return when tasks overflow, from the weights in the deployment's rule.

    This host knows which slots of its own workers are free. Its data on other
    hosts' workers is as old as their last heartbeat, and an attempt sent to a full
    worker costs a wait there or the messages of a refusal. Workers are overcommitted
    only if they hold attempts long enough for a slot to become free.
    """
    share = _message_share(rule)
    zone_delay_ms, other_zones_delay_ms = (
        share * ZONE_DELAY_MAX_MS,
        share * OTHER_ZONES_DELAY_MAX_MS,
    )
    if hold_ms(rule) < OVERCOMMIT_MIN_HOLD_MS:
        return OverflowPolicy(zone_delay_ms, other_zones_delay_ms)
    return OverflowPolicy(
        zone_delay_ms, other_zones_delay_ms, OVERCOMMIT_SHARE, OVERCOMMIT_MAX_SHARE
    )


def _message_share(rule: DeploymentRule) -> float:
    """Return the weight of messages as a share of both weights."""
    weights = rule.response_weight + rule.message_weight
    return rule.message_weight / weights if weights else 0.5


def _most_free(
    task: Task, group: CandidateGroup, now_ms: float
) -> tuple[TargetState | None, TargetState | None]:
    """Return the normal and the slow worker with the largest share of free slots."""
    best = slow = None
    best_share = slow_share = -inf
    for target in group.targets:
        free_slots = target.free_slots(now_ms) - task.size_slots
        overcommit_slots = int(group.overcommit_share * target.listed.slots)
        if free_slots + overcommit_slots < 0 or not target.usable(now_ms):
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


def _rendezvous_hash(target: str, host: str) -> bytes:
    return blake2b(f"{target}/{host}".encode(), digest_size=8).digest()
