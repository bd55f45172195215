"""Quotas over several hosts that receive each other's loads late or not at all."""

from random import Random

import pytest
from attrs import define, field
from hypothesis import given
from hypothesis import strategies as st

from rattanloom.peers.protocol import Member, MemberState
from rattanloom.quota import (
    INCREASE_DELAY_MS,
    JOIN_MS,
    QuotaShares,
    base_share,
    fair_part,
)
from rattanloom.rules import TeamRule
from tests.admission_utils import Bench, make_rules
from tests.utils import FakeClock

QUOTA = 36
HEARTBEAT_MS = 250
STEP_MS = 10


@define(eq=False)
class Hosts:
    """Hosts that exchange their loads every ``HEARTBEAT_MS``.

    The hosts in ``partitioned`` are cut off from the others. ``highest`` is the
    largest number of running slots so far.
    """

    names: tuple = tuple("abcdefghi")
    clock: FakeClock = field(factory=FakeClock)
    quota: int = QUOTA
    partitioned: frozenset = frozenset()
    benches: dict = field(init=False)
    highest: int = 0

    def __attrs_post_init__(self):
        rules = make_rules(desk=TeamRule(quota_slots=self.quota))
        self.benches = {
            name: Bench(slots=1000, rules=rules, clock=self.clock, host=name)
            for name in self.names
        }
        self.exchange_loads()
        self.clock.ms = 4 * HEARTBEAT_MS
        for bench in self.benches.values():
            bench.admission.tick()

    def is_connected(self, one, other):
        return (one in self.partitioned) == (other in self.partitioned)

    def exchange_loads(self):
        for name, bench in self.benches.items():
            others = [other for other in self.names if other != name]
            bench.peers.known_members = tuple(
                Member(other, "z", "", "i", 0, self.state(name, other))
                for other in others
            )
            bench.peers.reported_loads = {
                other: self.benches[other].admission.load()
                for other in others
                if self.is_connected(name, other)
            }

    def state(self, name, other):
        is_connected = self.is_connected(name, other)
        return MemberState.LIVE if is_connected else MemberState.CUT_OFF

    def step(self):
        self.clock.ms += STEP_MS
        if self.clock.ms % HEARTBEAT_MS == 0:
            self.exchange_loads()
        now_ms = self.clock.ms
        for bench in self.benches.values():
            self.clock.ms = now_ms - STEP_MS
            bench.run(now_ms)
            if now_ms % 100 == 0:
                bench.admission.tick()
        self.highest = max(self.highest, self.running())

    def running(self, names=None):
        return sum(
            self.benches[name].admission.load().running_slots
            for name in names or self.names
        )

    def run(self, ms):
        for _ in range(int(ms // STEP_MS)):
            self.step()


def keep_busy(bench, number):
    bench.submit(f"{bench.host}{number}", tasks=200, run_ms=400, deadline_ms=60_000)


@given(st.integers(0, 500), st.integers(1, 40))
def test_base_shares_add_up_to_the_quota(quota, hosts):
    names = [f"host-{number}" for number in range(hosts)]
    shares = [base_share("desk", quota, name, names) for name in names]
    assert sum(shares) == quota
    assert max(shares) - min(shares) <= 1


@given(st.lists(st.integers(0, 50), min_size=1, max_size=12), st.integers(0, 200))
def test_hosts_with_equal_views_never_exceed_the_quota_and_waste_little(demands, total):
    parts = [
        fair_part(demand, demands[:index] + demands[index + 1 :], total)
        for index, demand in enumerate(demands)
    ]
    assert sum(parts) <= total
    assert sum(parts) > min(sum(demands), total) - len(demands)


def test_a_host_that_just_started_runs_one_task_of_a_team_at_a_time():
    bench = Bench(slots=100)
    bench.admission._quotas = QuotaShares(bench.host, bench.clock.ms)
    bench.run(200)
    keep_busy(bench, 0)
    bench.run(210)
    assert bench.admission.load().running_slots == 1
    bench.run(JOIN_MS + 200)
    assert bench.admission.load().running_slots == 100


def test_one_active_host_gets_the_complete_quota_after_the_increase_delay():
    hosts = Hosts()
    keep_busy(hosts.benches["a"], 0)
    hosts.run(INCREASE_DELAY_MS + 2 * HEARTBEAT_MS)
    assert hosts.running() == QUOTA
    assert hosts.highest == QUOTA


def test_hosts_that_start_together_stay_within_the_quota():
    hosts = Hosts()
    for bench in hosts.benches.values():
        keep_busy(bench, 0)
    hosts.run(2_000)
    assert hosts.highest <= QUOTA
    assert hosts.running() >= QUOTA - len(hosts.names)


def test_newly_active_hosts_exceed_the_quota_briefly_and_by_their_base_shares():
    hosts = Hosts()
    keep_busy(hosts.benches["a"], 0)
    hosts.run(INCREASE_DELAY_MS + 900)
    for name in "bcdefghi":
        keep_busy(hosts.benches[name], 0)
    hosts.run(HEARTBEAT_MS)
    assert QUOTA < hosts.highest < QUOTA + QUOTA * 8 / 9 + 1
    hosts.run(HEARTBEAT_MS + 200)
    assert hosts.running() <= QUOTA


@pytest.mark.parametrize("seed", range(3))
def test_random_demand_stays_within_the_stated_bound(seed):
    hosts = Hosts()
    random = Random(seed)
    excess_slots = steps = 0
    for number in range(800):
        if random.random() < 0.2:
            bench = hosts.benches[random.choice(hosts.names)]
            bench.submit(
                f"{bench.host}{number}",
                tasks=random.randint(1, 30),
                run_ms=random.choice((50, 200, 500)),
                deadline_ms=60_000,
            )
        hosts.step()
        excess_slots += max(0, hosts.running() - QUOTA)
        steps += 1
    assert hosts.highest < QUOTA + QUOTA * 8 / 9 + 9
    assert excess_slots / steps <= 0.1 * QUOTA


def test_a_quota_below_the_number_of_hosts_is_still_usable_and_bounded():
    hosts = Hosts(quota=2)
    for bench in hosts.benches.values():
        keep_busy(bench, 0)
    hosts.run(HEARTBEAT_MS + 300)
    assert hosts.highest <= 2 + len(hosts.names)
    started = {name: len(bench.started) for name, bench in hosts.benches.items()}
    hosts.run(20_000)
    assert hosts.running() <= 2
    total = sum(len(bench.started) for bench in hosts.benches.values())
    assert total - sum(started.values()) >= 2 * 20_000 / 400 * 0.8


def test_a_cut_off_zone_uses_its_base_shares_and_the_quota_holds():
    hosts = Hosts()
    keep_busy(hosts.benches["d"], 0)
    hosts.run(INCREASE_DELAY_MS + 900)
    hosts.partitioned = frozenset("abc")
    hosts.run(HEARTBEAT_MS + 200)
    for bench in hosts.benches.values():
        keep_busy(bench, 9)
    hosts.run(1_000)
    for number in range(1, 4):
        for bench in hosts.benches.values():
            keep_busy(bench, number)
        hosts.highest = 0
        hosts.run(1_000)
        assert hosts.running("abc") == QUOTA * 3 // 9
        assert hosts.running("defghi") >= QUOTA * 6 // 9 - 6
        assert hosts.highest <= QUOTA
