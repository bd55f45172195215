"""Which placer jobs go to when placers tell their room."""

from rattanloom.ingress.placer_choice import (
    CAPACITY_MAX_AGE_MS,
    LOW_CAPACITY_MILLICORES,
    ChosenPlacer,
    PlacerChoice,
)

OWN, OTHER = ChosenPlacer("n1", "a"), ChosenPlacer("n2", "b")


class ManualClock:
    """A clock that is moved by hand."""

    at_ms = 0.0

    def now_ms(self) -> float:
        """Return the time set."""
        return self.at_ms


def make_choice(reached=None) -> PlacerChoice:
    owners = {"a": "n1", "b": "n2"} if reached is None else reached
    return PlacerChoice(ManualClock(), lambda: owners, owners.get)


def test_job_goes_to_its_own_zone_while_nothing_is_told():
    assert make_choice().choose(1_000) == OWN


def test_job_goes_to_another_zone_only_where_its_own_has_no_room():
    choice = make_choice()
    choice.record_free_capacity("n1", 1_500)
    choice.record_free_capacity("n2", 90_000)
    assert [choice.choose(1_000) for _ in range(3)] == [OWN, OTHER, OTHER]


def test_jobs_sent_since_count_against_the_room_that_was_told():
    choice = make_choice()
    choice.record_free_capacity("n1", -5_000)
    choice.record_free_capacity("n2", 1_000)
    assert choice.choose(4_000) == OTHER
    assert choice.choose(4_000) == OTHER
    assert choice.choose(4_000) == OWN


def test_old_news_do_not_count():
    choice = make_choice()
    choice.record_free_capacity("n1", -5_000)
    choice.record_free_capacity("n2", 90_000)
    choice.clock.at_ms += CAPACITY_MAX_AGE_MS + 1
    assert choice.choose(1_000) == OWN


def test_nobody_is_chosen_while_no_owner_is_heard():
    assert make_choice({}).choose(1_000) is None


def test_successor_is_the_owner_of_the_zone_that_the_job_was_given_to():
    choice = make_choice()
    assert choice.successor("b") == OTHER
    assert choice.successor("c") is None


def test_links_to_others_are_wanted_while_the_own_room_is_short():
    choice = make_choice()
    assert not choice.is_preferred_nearly_full()
    choice.record_free_capacity("n1", LOW_CAPACITY_MILLICORES - 1)
    assert choice.is_preferred_nearly_full()
    choice.record_free_capacity("n1", LOW_CAPACITY_MILLICORES)
    assert not choice.is_preferred_nearly_full()
    assert make_choice({}).is_preferred_nearly_full()
