"""Tests that a live process does not count as the owner that it was before a restart.

The links are stubs, so that each test sets what a peer has stated on its link.
"""

from types import SimpleNamespace

import gevent
from attrs import define, evolve, field

from rattanloom.links.messages import (
    JOB_LEASES_VERSION,
    OWNED_ZONES_VERSION,
    Hello,
    OwnedZones,
    OwnerLivenessQuery,
    OwnerLivenessReply,
)
from rattanloom.ownership.confirmation import CONFIRMATION_TIMEOUT_MS
from rattanloom.ownership.records import ZoneOwner
from rattanloom.ownership.takeover import Takeover
from tests.test_takeover import RecordingAcquirer, make_takeover

LATE_MS = CONFIRMATION_TIMEOUT_MS + 1


@define(eq=False)
class StubLink:
    """A live link to a peer that stated ``peer_zones``; records sent messages."""

    peer: Hello
    peer_zones: dict[str, int] = field(factory=dict)
    own_hello: Hello | None = None
    closed: bool = False
    sent: list = field(factory=list)
    probes: int = 0

    @property
    def has_job_leases(self) -> bool:
        """Return whether the peer replies to probes."""
        return self.peer.protocol_version >= JOB_LEASES_VERSION

    def needs_probe(self) -> bool:
        """Return that the last reply is recent."""
        return False

    def send_probe(self) -> None:
        """Count the probe."""
        self.probes += 1

    def is_alive(self) -> bool:
        """Return that the link is alive."""
        return True

    def send(self, message) -> None:
        """Record the message."""
        self.sent.append(message)


def link_to(takeover: Takeover, node: str, version=OWNED_ZONES_VERSION) -> StubLink:
    """Open a live link to a peer that has stated no zones."""
    link = StubLink(Hello(node, node[0], "", 1, version))
    takeover.hub._links[node] = [link]
    takeover.hub.alive.add(node)
    return link


def state_zones(takeover: Takeover, link: StubLink, *zones: str) -> None:
    tokens = tuple(takeover.view.token(zone) for zone in zones)
    takeover.confirmation.record(link, OwnedZones(zones, tokens))


def needs_owner_after(takeover: Takeover, zone: str, ms: float) -> bool:
    takeover._needs_owner(zone)
    takeover.clock.ms += ms
    return takeover._needs_owner(zone)


def test_restarted_owner_that_does_not_confirm_its_zone_is_lost_after_the_bound():
    takeover = make_takeover(1)
    link_to(takeover, "a0")
    assert not needs_owner_after(takeover, "a", CONFIRMATION_TIMEOUT_MS)
    assert takeover.confirmation.is_held("a")
    assert not takeover.is_settled()
    assert needs_owner_after(takeover, "a", 1)
    assert not takeover.confirmation.is_held("a")


def test_owner_that_confirms_within_the_bound_is_not_lost():
    takeover = make_takeover(1)
    link = link_to(takeover, "a0")
    assert not needs_owner_after(takeover, "a", CONFIRMATION_TIMEOUT_MS)
    state_zones(takeover, link, "a")
    assert not needs_owner_after(takeover, "a", LATE_MS)
    assert takeover.is_settled()


def test_bound_starts_again_with_the_record_of_another_acquisition():
    takeover = make_takeover(1)
    state_zones(takeover, link_to(takeover, "a0"), "a")
    assert not needs_owner_after(takeover, "a", LATE_MS)
    takeover.view.apply_owners([ZoneOwner("a", "a0", 2)])
    assert not needs_owner_after(takeover, "a", CONFIRMATION_TIMEOUT_MS)
    assert needs_owner_after(takeover, "a", 1)


def test_owner_of_two_zones_that_confirms_one_is_lost_for_the_other():
    takeover = make_takeover(1)
    takeover.view.apply_owners([ZoneOwner("b", "a0", 2)])
    state_zones(takeover, link_to(takeover, "a0"), "a")
    assert needs_owner_after(takeover, "b", 2 * LATE_MS)
    assert not takeover._needs_owner("a")


def test_owner_of_a_build_without_confirmations_is_judged_by_its_link():
    takeover = make_takeover(1)
    link_to(takeover, "a0", OWNED_ZONES_VERSION - 1)
    assert not needs_owner_after(takeover, "a", LATE_MS)
    assert takeover.is_settled()
    takeover.view.owners.clear()
    assert reply_about(takeover, "a0").is_alive


def test_zone_is_taken_from_a_live_owner_without_it_though_it_writes_heartbeats():
    # It was the only daemon reached; ``store_heartbeats`` is None and must not be read.
    takeover = make_takeover(1)
    takeover.acquirer = RecordingAcquirer()
    link_to(takeover, "a0")
    assert needs_owner_after(takeover, "a", LATE_MS)
    takeover._run_takeover(["a"])
    assert takeover.acquirer.acquired == ["a"]


def test_live_owner_of_one_zone_does_not_keep_another_daemon_from_a_second_zone():
    takeover = make_takeover(1)
    takeover.acquirer = RecordingAcquirer()
    takeover.indirect_probe.peers_reply = True
    state_zones(takeover, link_to(takeover, "b0"), "b")
    takeover._run_takeover(["a", "b"])
    assert takeover.acquirer.acquired == ["a"]


def test_daemon_without_zones_watches_the_zones_whose_records_name_it():
    takeover = make_takeover(1)
    assert takeover._watched_zones() == ("a",)
    takeover.view.apply_owners([ZoneOwner("c", "a1", 2)])
    assert set(takeover._watched_zones()) == {"a", "c"}
    assert takeover._needs_owner("c")


def test_own_zone_is_acquired_again_without_the_delay_of_the_rank():
    # Ranked behind the 20 daemons of zone "c", it would wait for 1.9 s.
    takeover = make_takeover(1)
    takeover.acquirer = RecordingAcquirer()
    takeover.view.apply_owners([ZoneOwner("c", "a1", 2)])
    # No peer replies to the probe for zone "b", so that one is not taken.
    takeover.store_heartbeats = SimpleNamespace(have_stopped=lambda owners: False)
    with gevent.Timeout(1):
        takeover._run_takeover(["b", "c"])
    assert takeover.acquirer.acquired == ["c"]


def reply_about(takeover: Takeover, owner: str) -> OwnerLivenessReply:
    asking = StubLink(Hello("a9", "a", "", 1))
    takeover.indirect_probe.handle_query(asking, OwnerLivenessQuery(owner))
    return asking.sent[0]


def test_replies_to_probes_name_the_zones_that_an_owner_holds():
    takeover = make_takeover(1)
    takeover.view.apply_owners([ZoneOwner("b", "a0", 2)])
    assert reply_about(takeover, "a0") == OwnerLivenessReply("a0", False)
    link = link_to(takeover, "a0")
    assert reply_about(takeover, "a0") == OwnerLivenessReply("a0", True, ("a", "b"))
    state_zones(takeover, link, "a")
    takeover.clock.ms += LATE_MS
    assert reply_about(takeover, "a0") == OwnerLivenessReply("a0", True, ("a",))
    state_zones(takeover, link)
    reply_about(takeover, "a0")
    takeover.clock.ms += LATE_MS
    assert reply_about(takeover, "a0") == OwnerLivenessReply("a0", False)


def test_replies_about_itself_leave_out_zones_of_the_former_incarnation():
    takeover = make_takeover(0)
    assert reply_about(takeover, "a0") == OwnerLivenessReply("a0", False)


def test_reply_of_an_older_build_does_not_outweigh_the_own_link_to_the_owner():
    takeover = make_takeover(1)
    probe = takeover.indirect_probe
    old_peer = StubLink(Hello("a2", "a", "", 1, OWNED_ZONES_VERSION - 1))
    probe.handle_reply(old_peer, OwnerLivenessReply("a0", True))
    assert probe.is_owner_alive("a0", "a")
    link_to(takeover, "a0")
    assert needs_owner_after(takeover, "a", LATE_MS)
    assert not probe.is_owner_alive("a0", "a")
    probe.handle_reply(
        StubLink(Hello("a3", "a", "", 1)), OwnerLivenessReply("a0", True, ("a",))
    )
    assert probe.is_owner_alive("a0", "a")


def test_changed_zones_are_announced_on_all_links_and_in_later_hellos():
    takeover = make_takeover(0)
    hub, confirmation = takeover.hub, takeover.confirmation
    known, old = link_to(takeover, "a1"), link_to(takeover, "a2", 1)
    opening = StubLink(Hello("a3", "a", "", 1), own_hello=hub.own_hello)
    record = ZoneOwner("a", "a0", 2)
    takeover.view.apply_owners([record], acquired=True)
    confirmation.announce()
    confirmation.announce()
    confirmation.on_link_opened(opening)
    announced = OwnedZones(("a",), (record.fencing_token,))
    assert (known.probes, old.probes, opening.probes) == (0, 0, 1)
    assert (known.sent, old.sent, opening.sent) == ([announced], [], [announced])
    assert hub.own_hello == evolve(
        hub.own_hello, zones=announced.zones, tokens=announced.tokens
    )
