"""Tests of takeovers in large deployments: who probes an owner, and through whom."""

from attrs import define, field

from rattanloom.links.hub import LinkHub
from rattanloom.links.messages import Hello
from rattanloom.ownership.confirmation import OwnerConfirmation
from rattanloom.ownership.indirect_probe import IndirectProbe
from rattanloom.ownership.records import Member, ZoneOwner
from rattanloom.ownership.takeover import (
    LOST_AFTER_MS,
    PROBING_CANDIDATES,
    PROBING_DELAY_MS,
    Takeover,
)
from rattanloom.ownership.view import OwnerView
from tests.utils import FakeClock

PER_ZONE = 20
ZONES = ("a", "b", "c", "d", "e")


@define(eq=False)
class CountingHub(LinkHub):
    """A hub that opens no link and records the peers that it should dial."""

    dialled: set = field(factory=set)
    alive: set = field(factory=set)

    def is_alive(self, node: str) -> bool:
        """Return whether the test set the peer alive."""
        return node in self.alive

    def keep_link(self, node: str, address: str, until_ms: float) -> None:
        """Record the peer."""
        self.dialled.add(node)


@define(eq=False)
class InstantProbe(IndirectProbe):
    """A probe that ends at once; peers reply if ``peers_reply``."""

    peers_reply: bool = False

    def run(self, owners: set[str], peers: list[Member]) -> None:
        """Dial the peers."""
        for peer in peers:
            self.hub.keep_link(peer.node, peer.address, 0)
            if self.peers_reply:
                self.responding_peers.add(peer.node)


def make_takeover(own_number: int) -> Takeover:
    """Return the takeover of one of 20 daemons in zone "a"; "a0" to "e0" are owners."""
    members = {
        f"{zone}{number}": Member(f"{zone}{number}", zone, "", 1, 1.0 - number / 100)
        for zone in ZONES
        for number in range(PER_ZONE)
    }
    own = members[f"a{own_number}"]
    view = OwnerView(own, lambda: None)
    view.members.update(members)
    view.apply_owners([ZoneOwner(zone, f"{zone}0", 1) for zone in ZONES])
    clock = FakeClock()
    hub = CountingHub(
        Hello(own.node, "a", "", 1), "127.0.0.1:9", clock, None, None, None
    )
    confirmation = OwnerConfirmation(clock, hub, view)
    probe = InstantProbe(clock, hub, confirmation)
    return Takeover(
        ZONES, clock, hub, view, confirmation, probe, None, None, lambda: True
    )


def test_only_the_first_candidates_probe_at_once():
    due = []
    for number in range(1, PER_ZONE):
        takeover = make_takeover(number)
        takeover._needs_owner("a")
        takeover.clock.ms += LOST_AFTER_MS + 1
        due.append(takeover._needs_owner("a"))
    assert due == [True] * PROBING_CANDIDATES + [False] * (len(due) - sum(due))


def test_every_candidate_probes_in_the_end():
    for number in range(1, PER_ZONE):
        takeover = make_takeover(number)
        takeover._needs_owner("a")
        groups = PER_ZONE // PROBING_CANDIDATES
        takeover.clock.ms += LOST_AFTER_MS + groups * PROBING_DELAY_MS + 1
        assert takeover._needs_owner("a")


def test_owner_is_probed_through_its_zone_and_the_other_owners_first():
    takeover = make_takeover(1)
    peers = [m for n, m in takeover.view.members.items() if n not in ("a0", "a1")]
    takeover.indirect_probe.peers_reply = True
    takeover._probe({"a": "a0"}, peers)
    in_zone = {f"a{number}" for number in range(2, PER_ZONE)}
    assert takeover.hub.dialled == in_zone | {"b0", "c0", "d0", "e0"}


def test_all_daemons_are_probed_without_a_majority_in_the_zone():
    takeover = make_takeover(1)
    peers = [m for n, m in takeover.view.members.items() if n not in ("a0", "a1")]
    takeover._probe({"a": "a0"}, peers)
    assert len(takeover.hub.dialled) == len(peers)


def test_takeover_is_settled_only_while_the_zones_owner_is_alive():
    takeover = make_takeover(1)
    assert not takeover.is_settled()
    takeover.hub.alive.add("a0")
    assert takeover.is_settled()
    del takeover.view.owners["a"]
    assert not takeover.is_settled()


@define(eq=False)
class OvertakenProbe(InstantProbe):
    """A probe during which another daemon takes zone "a" over from its lost owner."""

    view: OwnerView | None = None

    def run(self, owners: set[str], peers: list[Member]) -> None:
        """Let all peers reply; the zone then has a new owner."""
        super().run(owners, peers)
        self.view.apply_owners([ZoneOwner("a", "a2", 2)])


@define(eq=False)
class RecordingAcquirer:
    """Records the zones that it should acquire."""

    acquired: list = field(factory=list)

    def acquire_or_claim(self, zones: list[str], reason: str) -> None:
        """Record the zones."""
        self.acquired += zones


def test_zone_that_got_a_new_owner_during_the_probe_is_not_taken_from_it():
    takeover = make_takeover(1)
    takeover.acquirer = RecordingAcquirer()
    takeover.indirect_probe = OvertakenProbe(
        takeover.clock,
        takeover.hub,
        takeover.confirmation,
        peers_reply=True,
        view=takeover.view,
    )
    takeover._run_takeover(["a"])
    assert takeover.acquirer.acquired == []


def test_zone_of_a_lost_owner_is_taken_after_the_probe():
    takeover = make_takeover(1)
    takeover.acquirer = RecordingAcquirer()
    takeover.indirect_probe.peers_reply = True
    takeover._run_takeover(["a"])
    assert takeover.acquirer.acquired == ["a"]
