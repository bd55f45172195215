"""Routing of tasks to workers: owners, tiers, health, loads, holds and retries."""

from hypothesis import given
from hypothesis import strategies as st

from rattanloom.estimates import RunTimeEstimates
from rattanloom.job import Task
from rattanloom.peers.protocol import HostLoad, Member, MemberState, TargetLoad
from rattanloom.platform.protocol import ListedTarget
from rattanloom.retry import RetryBudget
from rattanloom.routing import (
    OverflowPolicy,
    choose_target,
    hold_ms,
    make_overflow_policy,
    make_tiers,
    spread_owners,
)
from rattanloom.rules import DeploymentRule, TeamRule
from rattanloom.targets.fleet import Fleet
from rattanloom.targets.health import TargetHealth
from rattanloom.targets.protocol import AttemptReply, AttemptState
from rattanloom.targets.state import TargetState

NAMES = st.text("abcdefgh0123", min_size=1, max_size=4)


def state(name, zone="Adum", slots=8, connections=64, **fields):
    listed = ListedTarget(name, zone, "127.0.0.1:1", slots, connections)
    return TargetState(listed, None, **fields)


def choose_name(states, task=None, now_ms=1_000_000.0):
    target = choose_target(task or Task("k"), make_tiers(states, "Adum"), now_ms)
    return target and target.name


def member(host, zone, state=MemberState.LIVE):
    return Member(host, zone, "127.0.0.1:1", "i", 0, state)


class Peers:
    """Peers with members and loads set by the test."""

    def __init__(self, members, loads=None):
        self._members = members
        self._loads = loads or {}

    def members(self):
        return self._members

    def loads(self):
        return dict(self._loads)


@given(st.sets(NAMES, min_size=1, max_size=40), st.sets(NAMES, min_size=1, max_size=9))
def test_owners_share_the_slots_evenly(targets, hosts):
    owners = spread_owners(dict.fromkeys(targets, 8), hosts)
    counts = [list(owners.values()).count(host) for host in hosts]
    assert set(owners) == targets
    assert max(counts) - min(counts) <= 1


@given(st.sets(NAMES, min_size=8, max_size=40), st.sets(NAMES, min_size=3, max_size=9))
def test_lost_host_moves_few_workers_of_the_others(targets, hosts):
    slots = dict.fromkeys(targets, 8)
    before = spread_owners(slots, hosts)
    lost = sorted(hosts)[0]
    after = spread_owners(slots, hosts - {lost})
    moved = [name for name in targets if before[name] not in (lost, after[name])]
    assert len(moved) <= len(targets) / 2 + 1


def test_own_workers_are_used_first_then_the_zone_then_other_zones():
    owned, near = state("w1"), state("w2", owned=False)
    far = state("w3", "Bantama", owned=False)
    states = [far, near, owned]
    assert choose_name(states) == "w1"
    owned.own_slots = 8
    assert choose_name(states) == "w2"
    near.peer_slots = {"h": 5, "i": 3}
    assert choose_name(states) == "w3"
    far.leaving = True
    assert choose_name(states) is None


def test_task_overflows_further_the_longer_it_has_waited():
    owned, near = state("w1"), state("w2", owned=False)
    far = state("w3", "Bantama", owned=False)
    tiers, overflow = make_tiers([far, near, owned], "Adum"), OverflowPolicy(5, 15)

    def choose_after(waited_ms):
        target = choose_target(Task("k"), tiers, 0, waited_ms, overflow)
        return target and target.name

    owned.own_slots = 8
    assert choose_after(4) is None
    assert choose_after(5) == "w2"
    near.peer_slots = {"h": 8}
    assert choose_after(14) is None
    assert choose_after(15) == "w3"


def test_own_workers_are_overcommitted_if_they_hold_attempts_long_enough():
    owned, near = state("w1"), state("w2", owned=False)
    far = state("w3", "Bantama", owned=False)
    tiers = make_tiers([far, near, owned], "Adum")
    holding = make_overflow_policy(
        DeploymentRule(response_weight=0.7, message_weight=0.3)
    )

    def choose_at(own_slots, overflow):
        owned.own_slots = own_slots
        return choose_target(Task("k"), tiers, 0, 1_000, overflow).name

    assert [choose_at(slots, holding) for slots in (8, 9)] == ["w1", "w2"]
    near.peer_slots = {"h": 8}
    assert [choose_at(slots, holding) for slots in (10, 11)] == ["w1", "w3"]
    refusing = make_overflow_policy(DeploymentRule(response_weight=1, message_weight=0))
    assert choose_at(8, refusing) == "w3"


def test_host_without_workers_of_its_own_does_not_wait():
    tiers = make_tiers([state("w3", "Bantama", owned=False)], "Adum")
    assert choose_target(Task("k"), tiers, 0, 0, OverflowPolicy(5, 15)).name == "w3"


def test_slow_workers_are_used_last_until_the_slowness_expires():
    slow, far = state("w1"), state("w2", "Bantama", owned=False)
    for _ in range(30):
        slow.health.record_slowness(4.0, 1_000_000.0)
    assert choose_name([slow, far]) == "w2"
    far.own_slots = 8
    assert choose_name([slow, far]) == "w1"
    far.own_slots = 0
    assert choose_name([slow, far], now_ms=1_100_000.0) == "w1"


def test_pause_of_a_worker_grows_with_each_consecutive_refusal():
    target = state("w1")
    busy = AttemptReply("a", AttemptState.BUSY, slots=8)
    pauses = []
    for _ in range(3):
        target.record_reply(busy, 1_000.0)
        pauses.append(target.busy_until_ms - 1_000.0)
    assert pauses == sorted(set(pauses))
    target.record_reply(AttemptReply("a", AttemptState.DONE, slots=8), 2_000.0)
    target.record_reply(busy, 2_000.0)
    assert target.busy_until_ms - 2_000.0 == pauses[0]


def test_quarantine_grows_and_admits_one_probing_task_at_a_time():
    health = TargetHealth()
    assert not health.record_failure("j1", 2, 0.0)
    assert not health.record_failure("j1", 2, 0.0)
    assert health.record_failure("j2", 2, 0.0)
    first_ms = health.quarantined_until_ms
    assert not health.accepts(first_ms - 1, 0)
    assert health.accepts(first_ms, 0)
    assert not health.accepts(first_ms, 1)
    assert health.record_failure("j3", 2, first_ms)
    assert health.quarantined_until_ms - first_ms > first_ms
    health.record_success()
    assert health.accepts(health.quarantined_until_ms, 5)


def test_worker_connections_are_not_allocated_twice():
    hosts = [f"h{n}" for n in range(9)]
    allocated = {f"w{n}": 0 for n in range(8)}
    for host in hosts:
        others = [member(name, "Adum") for name in hosts if name != host]
        fleet = Fleet(host, "Adum", Peers(tuple(others)))
        fleet.targets = {name: state(name) for name in allocated}
        fleet.refresh()
        for name, target in fleet.targets.items():
            allocated[name] += target.connections
    assert all(40 <= connections <= 56 for connections in allocated.values())


def test_loads_of_lost_hosts_are_removed_and_cut_off_zones_reported_once():
    load = HostLoad(targets=(TargetLoad("w1", 3), TargetLoad("gone", 1)))
    peers = Peers((member("b1", "Bantama"),), {"b1": load})
    fleet = Fleet("a1", "Adum", peers)
    fleet.targets = {"w1": state("w1"), "w2": state("w2", "Bantama")}
    assert fleet.refresh() == []
    assert fleet.targets["w1"].peer_slots == {"b1": 3}
    assert not fleet.update_peer_loads()
    peers._loads["b1"] = HostLoad(targets=(TargetLoad("w2", 1),))
    assert fleet.update_peer_loads()
    assert fleet.targets["w1"].peer_slots == {}
    assert fleet.targets["w2"].peer_slots == {"b1": 1}
    fleet.peers = Peers((member("b1", "Bantama", MemberState.CUT_OFF),))
    assert fleet.refresh() == [fleet.targets["w2"]]
    assert fleet.targets["w2"].peer_slots == {}
    assert fleet.refresh() == []


def test_weights_determine_how_long_a_worker_may_hold_an_attempt():
    weights = [(1, 0), (0.7, 0.3), (0.5, 0.5), (0.3, 0.7), (0, 1)]
    holds = [hold_ms(DeploymentRule(*pair)) for pair in weights]
    assert holds == sorted(set(holds))
    assert hold_ms(DeploymentRule(0, 0)) == hold_ms(DeploymentRule(0.5, 0.5))


def test_retry_budget_limits_retries_to_a_share_of_first_attempts():
    budget = RetryBudget()
    rule = TeamRule(retry_budget_percent=10)
    while budget.try_withdraw("desk", 0.0):
        pass
    for _ in range(100):
        budget.deposit("desk", rule, 0.0)
    retries = sum(budget.try_withdraw("desk", 0.0) for _ in range(100))
    assert 9 <= retries <= 10
    assert not budget.try_withdraw("desk", 0.0)
    assert budget.try_withdraw("desk", 1_500.0)
    assert budget.try_withdraw("other", 0.0)


def test_run_times_are_learned_where_the_declared_ones_are_wrong():
    estimates = RunTimeEstimates()
    task = Task("k", run_ms=10_000)
    assert estimates.learn(task, 100) is None
    for _ in range(50):
        estimates.learn(task, 100)
    assert 100 <= estimates.upper_bound_ms(task) < 300
    for number in range(2_000):
        estimates.learn(Task(f"k{number}"), 50)
    assert len(estimates._deviations) <= 256


def test_late_replies_do_not_count_own_slots_as_those_of_others():
    target = state("w1", own_slots=2, own_attempts=2)
    reply = AttemptReply("a", AttemptState.DONE, slots=8, busy_slots=5, sender_slots=5)
    target.release(1)
    target.release(1)
    target.record_reply(reply, 1_000.0)
    assert target.free_slots(1_000.0) == 8
