"""The choice of a placer for a job by the reported free capacity of placers."""

from rattanloom.ingress.placer_choice import (
    CAPACITY_MAX_AGE_MS,
    LOW_CAPACITY_MILLICORES,
    ChosenPlacer,
    PlacerChoice,
)

PREFERRED, OTHER = ChosenPlacer("n1", "a"), ChosenPlacer("n2", "b")


class ManualClock:
    """A clock that the test advances."""

    at_ms = 0.0

    def now_ms(self) -> float:
        """Return the time that the test has set."""
        return self.at_ms


def make_choice(reachable_owners=None) -> PlacerChoice:
    owners = {"a": "n1", "b": "n2"} if reachable_owners is None else reachable_owners
    return PlacerChoice(ManualClock(), lambda: owners, owners.get)


def test_job_goes_to_the_preferred_placer_without_reports():
    assert make_choice().choose(1_000) == PREFERRED


def test_job_goes_to_another_placer_only_if_the_preferred_one_is_full():
    choice = make_choice()
    choice.record_free_capacity("n1", 1_500)
    choice.record_free_capacity("n2", 90_000)
    assert [choice.choose(1_000) for _ in range(3)] == [PREFERRED, OTHER, OTHER]


def test_jobs_sent_since_a_report_reduce_the_reported_capacity():
    choice = make_choice()
    choice.record_free_capacity("n1", -5_000)
    choice.record_free_capacity("n2", 1_000)
    assert choice.choose(4_000) == OTHER
    assert choice.choose(4_000) == OTHER
    assert choice.choose(4_000) == PREFERRED


def test_old_reports_are_ignored():
    choice = make_choice()
    choice.record_free_capacity("n1", -5_000)
    choice.record_free_capacity("n2", 90_000)
    choice.clock.at_ms += CAPACITY_MAX_AGE_MS + 1
    assert choice.choose(1_000) == PREFERRED


def test_no_placer_is_chosen_while_no_owner_is_reachable():
    assert make_choice({}).choose(1_000) is None


def test_current_owner_is_looked_up_by_zone():
    choice = make_choice()
    assert choice.current_owner("b") == OTHER
    assert choice.current_owner("c") is None


def test_preferred_is_nearly_full_below_the_threshold_or_if_unreachable():
    choice = make_choice()
    assert not choice.is_preferred_nearly_full()
    choice.record_free_capacity("n1", LOW_CAPACITY_MILLICORES - 1)
    assert choice.is_preferred_nearly_full()
    choice.record_free_capacity("n1", LOW_CAPACITY_MILLICORES)
    assert not choice.is_preferred_nearly_full()
    assert make_choice({}).is_preferred_nearly_full()
