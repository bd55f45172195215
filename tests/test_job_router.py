"""Jobs whose clients wait, while their placers come and go."""

from rattanloom.ingress.job_router import NO_PLACER_TIMEOUT_MS, JobRouter
from rattanloom.ingress.placer_choice import PlacerChoice
from rattanloom.links.messages import Cancel, Submit
from rattanloom.placement.work import JobOutcome, OutcomeKind
from tests.dispatcher_fakes import CLOCK, make_work

JOB = "00000000000000aa"


class ManualClock:
    """A clock that is moved by hand."""

    def __init__(self):
        self.at_ms = CLOCK.now_ms()

    def now_ms(self) -> float:
        """Return the time set."""
        return self.at_ms


class FakeHub:
    """Links that collect what is sent."""

    def __init__(self, *nodes):
        self.sent = {node: [] for node in nodes}

    def link(self, node):
        """Return a link to a node that is there."""
        if node not in self.sent:
            return None
        outer = self

        class Link:
            """Collects messages."""

            def send(self, message):
                """Take a message."""
                outer.sent[node].append(message)

        return Link()


class Placers:
    """Which daemon owns the zone, and which is reached."""

    def __init__(self, owner):
        self.owner = owner


def make_router(placers, hub):
    return JobRouter(
        "n0",
        ManualClock(),
        hub,
        None,
        PlacerChoice(
            CLOCK,
            lambda: {"a": placers.owner} if placers.owner else {},
            lambda zone: placers.owner,
        ),
        lambda node: node == placers.owner,
    )


def outcome(kind):
    return JobOutcome(JOB, kind)


def test_job_goes_to_the_owner():
    hub = FakeHub("p1")
    job_router = make_router(Placers("p1"), hub)
    job_router.submit(make_work())
    (message,) = hub.sent["p1"]
    assert isinstance(message, Submit)
    assert message.former_placers == ()


def test_job_is_handed_on_with_the_names_of_those_that_had_it():
    placers, hub = Placers("p1"), FakeHub("p1", "p2")
    job_router = make_router(placers, hub)
    job_router.submit(make_work())
    placers.owner = "p2"
    job_router.on_placers_changed()
    assert hub.sent["p2"][0].former_placers == ("p1",)


def test_refusal_of_a_former_placer_is_not_told_to_the_client():
    placers, hub = Placers("p1"), FakeHub("p1", "p2")
    job_router = make_router(placers, hub)
    job = job_router.submit(make_work())
    placers.owner = "p2"
    job_router.on_placers_changed()
    job_router.record_outcome("p1", outcome(OutcomeKind.REFUSED))
    assert not job.result.ready()


def test_completion_by_a_former_placer_counts_and_ends_the_other_one():
    placers, hub = Placers("p1"), FakeHub("p1", "p2")
    job_router = make_router(placers, hub)
    job = job_router.submit(make_work())
    placers.owner = "p2"
    job_router.on_placers_changed()
    job_router.record_outcome("p1", outcome(OutcomeKind.COMPLETE))
    assert job.result.get().kind is OutcomeKind.COMPLETE
    assert hub.sent["p2"][-1] == Cancel(JOB)


def test_job_without_a_placer_is_refused_soon_and_has_not_run():
    job_router = make_router(Placers(None), FakeHub())
    job = job_router.submit(make_work())
    job_router.tick()
    assert not job.result.ready()
    job_router.clock.at_ms += NO_PLACER_TIMEOUT_MS + 1
    job_router.tick()
    refused = job.result.get()
    assert refused.kind is OutcomeKind.REFUSED
    assert refused.retry_after_ms > 0


def test_job_that_may_run_is_never_told_not_to_have_run():
    placers, hub = Placers("p1"), FakeHub("p1")
    job_router = make_router(placers, hub)
    job = job_router.submit(make_work())
    job_router.on_placer_lost("p1")
    placers.owner = None
    job_router.clock.at_ms += 10_000
    job_router.tick()
    assert job.result.get().kind is OutcomeKind.GIVEN_UP


def test_jobs_left_at_the_end_of_a_stop_are_given_up_and_ended_at_their_placer():
    hub = FakeHub("p1")
    job_router = make_router(Placers("p1"), hub)
    job = job_router.submit(make_work())
    job_router.give_up_all("this daemon stops")
    assert job.result.get(timeout=1).kind is OutcomeKind.GIVEN_UP
    assert job.result.get().retry_after_ms
    assert hub.sent["p1"][-1] == Cancel(JOB)
    assert not job_router.pending
