"""Compares policies for choosing a worker, on a seeded model in virtual time.

Run it with ``python -m experiments.routing --help``. The policies "owner first" use
``choose_target``, as the entry hosts of the stand-alone version do; the others are
for comparison. "hold 50" means that workers hold tasks up to 50 ms for a free slot.
"""

from random import Random

from attrs import frozen
from fire import Fire

from experiments.routing_model import (
    HOSTS_PER_ZONE,
    SLOTS_PER_WORKER,
    WORKERS_PER_ZONE,
    Host,
    Model,
    ModelResult,
    Policy,
)
from rattanloom.job import Task
from rattanloom.routing import (
    IMMEDIATE_OVERFLOW,
    OVERCOMMIT_MAX_SHARE,
    OVERCOMMIT_MIN_HOLD_MS,
    OVERCOMMIT_SHARE,
    OverflowPolicy,
    choose_target,
)
from rattanloom.targets.state import TargetState

TASK = Task("proof")
OVERCOMMIT = OverflowPolicy(
    overcommit_share=OVERCOMMIT_SHARE, overcommit_max_share=OVERCOMMIT_MAX_SHARE
)
LOADS = (0.5, 0.8, 0.95)  # offered work as a share of all slots


def random_choice(model: Model, host: Host) -> TargetState:
    """Choose a random worker."""
    return model.random.choice(host.states)


def two_choices(model: Model, host: Host) -> TargetState:
    """Choose the less loaded of two random workers."""
    pair = model.random.sample(host.states, 2)
    return min(pair, key=lambda state: -state.free_slots(model.now_ms))


def least_outstanding(model: Model, host: Host) -> TargetState | None:
    """Choose the worker with the most free slots by the host's own estimates."""
    best = max(host.states, key=lambda state: state.free_slots(model.now_ms))
    return best if best.free_slots(model.now_ms) > 0 else None


def all_knowing(model: Model, host: Host) -> TargetState | None:
    """Choose by the current load of all hosts, which no real host has.

    This bounds what the usable policies can reach.
    """
    slots = {state.name: 0 for state in host.states}
    for other in model.hosts:
        for state in other.states:
            slots[state.name] += state.own_slots
    best = min(host.states, key=lambda state: slots[state.name])
    return best if slots[best.name] < SLOTS_PER_WORKER else None


def slot_shares(model: Model, host: Host) -> TargetState | None:
    """Choose by free slots in the host's fixed share of its zone's workers."""
    host_index = model.hosts.index(host)
    free = [
        (_slot_share(host_index, index) - state.own_slots, index)
        for index, state in enumerate(host.states)
    ]
    most, index = max(free)
    return host.states[index] if most > 0 else None


def _slot_share(host: int, worker: int) -> int:
    """Return how many slots of a worker a host may use; both are indices.

    The remainder of an even split rotates among the hosts from worker to worker.
    """
    if host // HOSTS_PER_ZONE != worker // WORKERS_PER_ZONE:
        return 0
    extra = (host + worker) % HOSTS_PER_ZONE < SLOTS_PER_WORKER % HOSTS_PER_ZONE
    return SLOTS_PER_WORKER // HOSTS_PER_ZONE + extra


def owner_first(model: Model, host: Host) -> TargetState | None:
    """Choose with ``choose_target``, as entry hosts do."""
    overflow = (
        OVERCOMMIT
        if model.policy.start_within_ms >= OVERCOMMIT_MIN_HOLD_MS
        else IMMEDIATE_OVERFLOW
    )
    return choose_target(TASK, host.tiers, model.now_ms, overflow=overflow)


POLICIES: dict[str, Policy] = {
    "all-knowing": Policy(all_knowing),
    "random": Policy(random_choice),
    "two choices": Policy(two_choices),
    "slot shares": Policy(slot_shares),
    "least outstanding": Policy(least_outstanding),
    "reserve first": Policy(least_outstanding, reserve=True),
    "owner first": Policy(owner_first),
    "owner first, hold 50": Policy(owner_first, start_within_ms=50),
    "owner first, hold 100": Policy(owner_first, start_within_ms=100),
    "owner first, hold 250": Policy(owner_first, start_within_ms=250),
    "owner first, hold 500": Policy(owner_first, start_within_ms=500),
}


def quantile(values: list[float], share: float) -> float:
    """Return the quantile of ``values`` at ``share`` (0.5 is the median)."""
    return sorted(values)[int(share * (len(values) - 1))]


@frozen
class MeasurementPlan:
    """The size of each measurement: ``seconds`` of virtual time for each seed."""

    seconds: float
    seeds: int
    zones: int
    heartbeat_ms: float


def measure(policy: Policy, load: float, plan: MeasurementPlan) -> ModelResult:
    """Run one policy at one load; return the results of all seeds together."""
    total = ModelResult()
    for seed in range(plan.seeds):
        length_ms = plan.seconds * 1_000
        model = Model(
            policy, load, length_ms, Random(seed), plan.zones, plan.heartbeat_ms
        )
        result = model.run()
        total.ratios += result.ratios
        total.tasks += result.tasks
        total.wasted += result.wasted
    return total


def compare(
    seconds: float = 60,
    seeds: int = 3,
    only: str = "",
    zones: int = 3,
    heartbeat_ms: float = 250,
) -> None:
    """Print response time over ideal and wasted messages per task of each policy.

    Args:
        seconds: virtual seconds of each run.
        seeds: number of seeded runs that each figure covers.
        only: run only the policies whose name starts with this.
        zones: number of zones, each of 3 hosts and 8 workers.
        heartbeat_ms: interval at which each host reports its load to its peers.
    """
    plan = MeasurementPlan(seconds, seeds, zones, heartbeat_ms)
    print(f"{'policy':24} {'load':>5} {'p50':>6} {'p99':>7} {'wasted/task':>11}")
    for name, policy in POLICIES.items():
        if not name.startswith(only):
            continue
        for load in LOADS:
            result = measure(policy, load, plan)
            p50, p99 = (quantile(result.ratios, share) for share in (0.5, 0.99))
            wasted = result.wasted / result.tasks
            print(f"{name:24} {load:5.0%} {p50:6.3f} {p99:7.3f} {wasted:11.4f}")


if __name__ == "__main__":
    Fire(compare)
