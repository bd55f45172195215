"""A job that its client cancels ends, whichever daemon has it."""

from math import inf
from types import SimpleNamespace

import gevent
import pytest

from rattanloom.cancellations import TELL_MAX_MS, Cancellations
from rattanloom.clock import Clock
from rattanloom.links.messages import (
    JOB_CANCELLED_VERSION,
    JOB_LEASES_VERSION,
    Hello,
    JobCancelled,
    Outcome,
    Withdraw,
)
from rattanloom.peer_receiver import PeerOutcomeReceiver
from rattanloom.placement.jobs import OutcomeKind, cancelled_outcome
from tests.dispatcher_fakes import (
    CLOCK,
    FakeReceiver,
    FakeWorker,
    make_submitted_job,
    wait_for,
)
from tests.test_job_router import FakeHub, FakeOwnership, ManualClock, make_router
from tests.test_placer import all_ready, running_placer

JOB = "00000000000000aa"


def kinds(receiver: FakeReceiver) -> list[OutcomeKind]:
    return [outcome.kind for outcome in receiver.outcomes]


def test_cancelled_job_stops_at_its_placer_and_all_its_posts_are_answered():
    worker = FakeWorker("w1")
    posts = FakeReceiver("entry-1"), FakeReceiver("entry-2")
    with running_placer(worker) as placer:
        assert wait_for(lambda: all_ready(placer))
        for number, receiver in enumerate(posts):
            placer.submit(receiver, make_submitted_job(), (), "", number + 1)
        assert wait_for(lambda: worker.running)
        assert placer.revoke(JOB)
        assert [kinds(receiver) for receiver in posts] == [[OutcomeKind.CANCELLED]] * 2
        assert wait_for(lambda: not worker.running)
        assert not placer.jobs


def test_job_that_arrives_after_its_cancellation_is_not_started():
    worker, receiver = FakeWorker("w1"), FakeReceiver()
    with running_placer(worker) as placer:
        assert wait_for(lambda: all_ready(placer))
        assert not placer.revoke(JOB)
        placer.submit(receiver, make_submitted_job(), ("p2",))
        assert kinds(receiver) == [OutcomeKind.CANCELLED]
        assert not placer.jobs


def test_pending_job_that_is_cancelled_here_is_cancelled_at_its_placer():
    hub = FakeHub("p1")
    router = make_router(FakeOwnership("p1"), hub)
    job = router.submit(make_submitted_job())
    assert router.revoke(JOB)
    assert hub.sent["p1"][-1] == Withdraw(JOB, job.submission)
    assert job.result.get(block=False).kind is OutcomeKind.CANCELLED
    assert not router.revoke(JOB)


class FakeLink:
    """A link that records its messages in ``sent``; the test sets ``replied_ms``."""

    has_job_leases = True

    def __init__(self, peer: Hello, sent: list):
        self.peer = peer
        self.send = sent.append
        self.probes = 0
        self.replied_ms = -inf

    def send_probe(self) -> None:
        """Count the probes."""
        self.probes += 1

    def renewed_ms(self) -> float:
        """Return when the probe was sent that the peer has replied to."""
        return self.replied_ms


class VersionedHub:
    """Links to nodes by their protocol version; ``sent`` has the messages by node."""

    def __init__(self, **versions: int):
        self.sent = {}
        self.links = {}
        for node, version in versions.items():
            self.open(node, version)

    def open(self, node: str, version: int) -> None:
        """Open a new link to a node."""
        sent = self.sent.setdefault(node, [])
        self.links[node] = FakeLink(Hello(node, "a", "", 0, version), sent)

    def link(self, node: str):
        """Return the link to a node, or None."""
        return self.links.get(node)


def make_cancellations(
    hub: VersionedHub, owners: set[str], clock: Clock | None = None
) -> Cancellations:
    nothing_known = SimpleNamespace(revoke=lambda job_id: False)
    clock = clock or ManualClock()
    return Cancellations("n0", clock, hub, nothing_known, nothing_known, lambda: owners)


def test_owners_are_told_once_over_each_link_also_if_it_opens_later():
    hub = VersionedHub(p1=JOB_CANCELLED_VERSION, old=JOB_CANCELLED_VERSION - 1)
    cancellations = make_cancellations(hub, {"n0", "p1", "p2", "old"})
    assert not cancellations.cancel(JOB)
    cancellations.tick()
    hub.open("p2", JOB_CANCELLED_VERSION)
    cancellations.tick()
    expected = [JobCancelled(JOB)]
    assert hub.sent == {"p1": expected, "old": [], "p2": expected}
    cancellations.clock.at_ms += TELL_MAX_MS + 1
    cancellations.tick()
    assert not cancellations.is_telling()


@pytest.mark.parametrize("reached", [True, False])
def test_cancellation_that_reaches_no_owner_is_not_acknowledged(reached, monkeypatch):
    # The daemon was cut off: what it had sent was lost, and it responded 410.
    monkeypatch.setattr("rattanloom.cancellations.CONFIRM_MAX_MS", 60)
    hub = VersionedHub(p1=JOB_LEASES_VERSION)
    link = hub.link("p1")
    cancellations = make_cancellations(hub, {"n0", "p1"}, CLOCK)
    link.replied_ms = CLOCK.now_ms()
    gevent.sleep(0.002)
    assert not cancellations.cancel(JOB)
    assert (hub.sent["p1"], link.probes) == ([JobCancelled(JOB)], 1)
    if reached:
        gevent.spawn_later(0.01, setattr, link, "replied_ms", inf)
    assert cancellations.wait_until_told(JOB) is reached


@pytest.mark.parametrize(
    ("version", "kind"),
    [
        (JOB_CANCELLED_VERSION, OutcomeKind.CANCELLED),
        (JOB_CANCELLED_VERSION - 1, OutcomeKind.GIVEN_UP),
    ],
)
def test_older_peer_gets_an_outcome_that_it_knows(version, kind):
    hub = VersionedHub(n2=version)
    PeerOutcomeReceiver(hub.link("n2"), hub, 7).deliver(cancelled_outcome(JOB))
    (message,) = hub.sent["n2"]
    assert isinstance(message, Outcome)
    assert message.outcome.kind is kind
