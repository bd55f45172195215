"""The choice of a placer for a job by the reported free capacity of placers."""

from itertools import product
from operator import truediv

import pytest

from rattanloom.placement.jobs import JobPolicy, Step, SubmittedJob
from rattanloom.placement.workers import Resources
from rattanloom.scheduling.placer_capacity import LOW_CAPACITY_MILLICORES
from rattanloom.scheduling.zone_choice import (
    ACTIVITY_WINDOW_MS,
    CAPACITY_MAX_AGE_MS,
    MOVED_WAIT_MAX_MS,
    RESERVE_SHARE,
    ChosenPlacer,
    PlacerChoice,
    ZoneReason,
)
from rattanloom.scheduling.zone_load import PriorityLoad, ZoneLoad
from tests.zone_replay import Replay

PREFERRED = ChosenPlacer("n1", "a")
OTHER = ChosenPlacer("n2", "b", ZoneReason.FREE_ONLY)


class ManualClock:
    """A clock that the test advances."""

    at_ms = 0.0

    def now_ms(self) -> float:
        """Return the time that the test has set."""
        return self.at_ms


def make_choice(reachable_owners=None) -> PlacerChoice:
    owners = {"a": "n1", "b": "n2"} if reachable_owners is None else reachable_owners
    return PlacerChoice(ManualClock(), lambda: owners, owners.get)


def job_needing(millicores, job_id="00000000000000aa", run_ms=200, label=""):
    step = Step(1, Resources(millicores, 64), run_ms, required_label=label)
    return SubmittedJob(job_id, "", (step,), JobPolicy("s", 1, 2, 1.6, 61), 1_540)


def test_job_goes_to_the_preferred_placer_without_reports():
    assert make_choice().choose(job_needing(1_000)) == PREFERRED


def test_job_goes_to_another_placer_only_if_the_preferred_one_is_full():
    choice = make_choice()
    choice.record_free_capacity("n1", 1_500)
    choice.record_free_capacity("n2", 90_000)
    assert [choice.choose(job_needing(1_000)) for _ in range(3)] == [
        PREFERRED,
        OTHER,
        OTHER,
    ]


def test_jobs_sent_since_a_report_reduce_the_reported_capacity():
    choice = make_choice()
    choice.record_free_capacity("n1", -5_000)
    choice.record_free_capacity("n2", 1_000)
    assert choice.choose(job_needing(4_000)) == OTHER
    assert choice.choose(job_needing(4_000)) == OTHER
    assert choice.choose(job_needing(4_000)) == PREFERRED


def test_old_reports_are_ignored():
    choice = make_choice()
    choice.record_free_capacity("n1", -5_000)
    choice.record_free_capacity("n2", 90_000)
    choice.clock.at_ms += CAPACITY_MAX_AGE_MS + 1
    assert choice.choose(job_needing(1_000)) == PREFERRED


def test_no_placer_is_chosen_while_no_owner_is_reachable():
    assert make_choice({}).choose(job_needing(1_000)) is None


def test_current_owner_is_looked_up_by_zone():
    choice = make_choice()
    assert choice.current_owner("b") == ChosenPlacer("n2", "b", ZoneReason.SENT_BEFORE)
    assert choice.current_owner("c") is None


def test_preferred_is_nearly_full_below_the_threshold_or_if_unreachable():
    choice = make_choice()
    assert not choice.is_preferred_nearly_full()
    choice.record_free_capacity("n1", LOW_CAPACITY_MILLICORES - 1)
    assert choice.is_preferred_nearly_full()
    choice.record_free_capacity("n1", LOW_CAPACITY_MILLICORES)
    assert not choice.is_preferred_nearly_full()
    assert make_choice({}).is_preferred_nearly_full()


CAPACITY = 2_000_000
FULL = ZoneLoad(-200_000, CAPACITY, 0, (PriorityLoad(1, 60 * CAPACITY),))


def make_loaded_choice(other_load, daemons=1, reports=7, home_load=FULL):
    choice = make_choice()
    choice.daemons_in = lambda zone: daemons
    for _ in range(reports):
        choice.clock.at_ms += 100
        choice.record_load("n1", home_load)
        choice.record_load("n2", other_load)
    return choice


def moved_need(choice, jobs=200, need=16_000, run_ms=200):
    """Return the processor need of the jobs that went to the other zone."""
    chosen = [
        choice.choose(job_needing(need, f"{number:016x}", run_ms))
        for number in range(jobs)
    ]
    return need * sum(placer.zone == "b" for placer in chosen)


def test_moved_jobs_leave_the_reserve_of_the_other_zone_free():
    reserve = RESERVE_SHARE * 1_000_000
    choice = make_loaded_choice(ZoneLoad(200_000, CAPACITY, 1_000_000))
    assert 0 < moved_need(choice) <= 200_000 - reserve + 16_000
    choice = make_loaded_choice(ZoneLoad(int(reserve), CAPACITY, 1_000_000))
    assert moved_need(choice) == 0


def test_daemons_that_act_on_the_same_report_do_not_exceed_it_together():
    free, need = 200_000, 16_000
    choices = [make_loaded_choice(ZoneLoad(free, CAPACITY), 10) for _ in range(10)]
    moved = [0] * 15
    for report, number, (index, choice) in product(
        range(15), range(3), enumerate(choices)
    ):
        if number == 0:
            choice.clock.at_ms += 100
            choice.record_load("n1", FULL)
            choice.record_load("n2", ZoneLoad(free, CAPACITY))
        job = job_needing(need, f"{index:08x}{report:04x}{number:04x}")
        moved[report] += need * (choice.choose(job).zone == "b")
    steady = moved[5:]
    assert free * len(steady) / 2 < sum(steady) <= free * len(steady) + 10 * need
    assert max(moved) <= 3 * free + 10 * need


def test_jobs_stay_while_the_wait_is_shorter_than_the_way_or_equal_elsewhere():
    short = ZoneLoad(-1, CAPACITY, 0, (PriorityLoad(1, 2 * CAPACITY),))
    choice = make_loaded_choice(ZoneLoad(900_000, CAPACITY), home_load=short)
    assert moved_need(choice) == 0
    assert moved_need(make_loaded_choice(FULL)) == 0


def test_jobs_wait_in_another_zone_only_if_late_here_and_within_the_bound():
    def load(wait_ms):
        return ZoneLoad(-1, CAPACITY, 0, (PriorityLoad(1, wait_ms * CAPACITY),))

    late = make_loaded_choice(load(10), home_load=load(400))
    bound = (MOVED_WAIT_MAX_MS - 10) * CAPACITY
    assert 0 < moved_need(late) * 200 <= bound + 16_000 * 200
    on_time = make_loaded_choice(load(10), home_load=load(150))
    assert moved_need(on_time) == 0
    bounded = make_loaded_choice(load(MOVED_WAIT_MAX_MS), home_load=load(400))
    assert moved_need(bounded) == 0


def test_a_placer_that_was_not_heard_gets_no_wave_of_jobs():
    free = ZoneLoad(1_600_000, CAPACITY)
    assert moved_need(make_loaded_choice(free, reports=1)) == 0
    early = moved_need(make_loaded_choice(free, reports=2))
    assert 0 < early < moved_need(make_loaded_choice(free, reports=7)) / 2
    healed = make_loaded_choice(free)
    healed.clock.at_ms += CAPACITY_MAX_AGE_MS + 1
    healed.record_load("n1", FULL)
    healed.record_load("n2", free)
    assert moved_need(healed) == 0


def waiting_load(wait_ms, free=-1, capacity=CAPACITY):
    return ZoneLoad(free, capacity, 0, (PriorityLoad(1, wait_ms * CAPACITY),))


def make_choice_of(evacuated=(), **loads):
    """Return a choice among the placers of zones a, b and so on, all well known."""
    owners = {node: node for node in loads}
    choice = PlacerChoice(ManualClock(), lambda: owners, owners.get, evacuated)
    for _ in range(7):
        choice.clock.at_ms += 100
        for node, load in loads.items():
            choice.record_load(node, load)
    return choice


NO_WORKERS = ZoneLoad(0, 0)


@pytest.mark.parametrize(
    "home", [waiting_load(60), waiting_load(400), NO_WORKERS, ZoneLoad(-90_000)]
)
@pytest.mark.parametrize("other", [waiting_load(0, 1_600_000), waiting_load(10)])
def test_evacuated_zones_and_excluded_placers_are_left_out_of_every_rule(home, other):
    # They would hand the job back or reject it, and its client would wait longer.
    choice = make_choice_of({"b"}, a=home, b=other, c=waiting_load(500), d=other)
    jobs = [job_needing(16_000, f"{number:016x}") for number in range(50)]
    chosen = {choice.choose(job, {"d"}).node for job in jobs}
    assert chosen <= {"a", "c"}


@pytest.mark.parametrize("home", [None, NO_WORKERS])
def test_evacuated_zone_or_one_without_workers_sends_its_jobs_to_the_shortest_wait(
    home,
):
    # Without capacity, the zone was taken for one of an older build with free capacity.
    loads = {"b": waiting_load(500), "c": waiting_load(300), "d": NO_WORKERS}
    choice = make_choice_of(() if home else {"a"}, a=home or waiting_load(0), **loads)
    expected = ChosenPlacer("c", "c", ZoneReason.NO_CAPACITY)
    assert choice.choose(job_needing(16_000)) == expected
    assert choice.is_preferred_nearly_full()


def test_jobs_stay_if_no_placer_has_workers():
    choice = make_choice_of(a=NO_WORKERS, b=NO_WORKERS)
    assert choice.choose(job_needing(16_000)) == ChosenPlacer("a", "a")


@pytest.mark.parametrize(
    ("home", "placer"),
    [
        (waiting_load(400), "a"),
        (ZoneLoad(-90_000), "a"),
        (NO_WORKERS, "b"),
    ],
)
def test_job_with_a_required_label_stays_where_the_label_may_be(home, placer):
    # In a zone without workers of the label, it would wait until it is given up.
    choice = make_choice_of(a=home, b=waiting_load(0, 1_600_000))
    assert choice.choose(job_needing(16_000, label="r1-2")).node == placer
    assert choice.choose(job_needing(16_000)).node == "b"


def test_times_of_old_jobs_are_forgotten_without_reports():
    # Small deployments have no reports, and the times of all jobs were kept.
    choice = make_choice()
    for _ in range(100):
        choice.clock.at_ms += ACTIVITY_WINDOW_MS / 10
        choice.choose(job_needing(1_000))
    assert len(choice._jobs_ms) <= 11


def test_preferred_is_nearly_full_while_tasks_wait_beside_scattered_capacity():
    # Free parts that are too small for the waiting tasks kept the links closed.
    assert not make_choice_of(a=waiting_load(0, 900_000)).is_preferred_nearly_full()
    assert make_choice_of(a=waiting_load(10, 900_000)).is_preferred_nearly_full()


def test_late_job_waits_at_the_placer_with_the_shortest_wait():
    # The placers were tried by the order of zones.
    loads = {"b": waiting_load(60), "c": waiting_load(20)}
    choice = make_choice_of(a=waiting_load(400), **loads)
    expected = ChosenPlacer("c", "c", ZoneReason.ON_TIME)
    assert choice.choose(job_needing(16_000)) == expected


def test_time_already_waited_counts_for_being_late():
    # Of 181 ms of slack, a job sent again after a rejection has less left.
    loads = {"a": waiting_load(150), "b": waiting_load(10)}
    assert make_choice_of(**loads).choose(job_needing(16_000)).node == "a"
    chosen = make_choice_of(**loads).choose(job_needing(16_000), (), 100)
    assert chosen.reason is ZoneReason.ON_TIME
    assert make_choice_of(**loads).choose(job_needing(16_000), (), 175).node == "a"


@pytest.mark.parametrize(("own_zone", "daemons"), [("a", 20), ("z", 30)])
def test_daemons_of_an_own_zone_without_owner_share_the_capacity_of_others(
    own_zone, daemons
):
    # They were left out, so that together they took more than was announced.
    loads = {"a": waiting_load(60), "b": waiting_load(60), "c": waiting_load(0, 90)}
    choice = make_choice_of(**loads)
    choice.own_zone, choice.daemons_in = own_zone, lambda zone: 10
    choice.record_load("c", loads["c"])
    assert choice.free_capacity["c"].sharing_daemons == daemons
    choice.record_load("a", loads["a"])
    assert choice.free_capacity["a"].budget_millicores <= 90


@pytest.mark.parametrize(
    ("phases", "load"),
    [
        ((0.10, 0.18, 0.26), 0.7),
        ((0.10, 0.18, 0.26), 0.9),
        ((0, 0.33, 0.67), 0.95),
        ((0, 0.5, 0.25), 0.9),
    ],
)
def test_callers_gain_over_the_choice_by_free_capacity(phases, load):
    former, new = (Replay(phases, load, announces) for announces in (False, True))
    assert new.run() >= former.run() - 0.002
    moved = [sum(zone.moved_in for zone in replay.zones) for replay in (former, new)]
    assert moved[1] < 0.6 * moved[0]
    assert (
        min(map(truediv, new.worth, new.asked))
        >= min(map(truediv, former.worth, former.asked)) - 0.02
    )
