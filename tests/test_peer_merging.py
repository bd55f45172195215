"""Merged membership and load do not depend on message order or repetition.

UDP loses, reorders and duplicates heartbeats. Guards against a dead host listed
as live, a live one listed as silent and a wrong load as a consequence.
"""

from random import Random

from attrs import define, field
from hypothesis import given, settings
from hypothesis import strategies as st

from rattanloom.keys import Keyring
from rattanloom.peers.gossip import Gossip
from rattanloom.peers.heartbeat_codec import encode_heartbeat
from rattanloom.peers.load_exchange import LoadReporter, PeerLoad
from rattanloom.peers.membership import Membership
from rattanloom.peers.messages import Heartbeat, MemberRecord, RelayedHeartbeat
from rattanloom.peers.protocol import HostLoad, MemberState, TargetLoad, TeamLoad

OWN = MemberRecord("own", "Adum", "127.0.0.1:1", "own-1", 100)
HEARTBEAT_MS = 100
ETHERNET_PAYLOAD_BYTES = 1_472
PROPERTY_SETTINGS = settings(deadline=None, derandomize=True, max_examples=200)


def record(host, number, zone="Adum"):
    address = f"127.0.0.1:{1000 + number}"
    return MemberRecord(host, zone, address, f"{host}-{number}", 100 + number)


def new_membership(changes=None):
    def record_change(member, change):
        if changes is not None:
            changes.append((member.record.host, change))

    return Membership(OWN, HEARTBEAT_MS, record_change)


def receive(membership, sender, sequence, now_ms, told=()):
    membership.merge_record(sender, now_ms)
    membership.merge_heartbeat(
        Heartbeat(sender.key, sequence, HEARTBEAT_MS, told=told), now_ms
    )


MESSAGES = [
    (record(host, number), sequence)
    for host in ("a", "b")
    for number in (1, 2)
    for sequence in (1, 2, 3)
]


@given(st.permutations(MESSAGES), st.lists(st.sampled_from(MESSAGES), max_size=6))
@PROPERTY_SETTINGS
def test_order_and_repetition_of_heartbeats_do_not_matter(order, again):
    membership = new_membership()
    for sender, sequence in [*order, *again]:
        receive(membership, sender, sequence, now_ms=0)
    membership.update_states(0)
    seen = {m.record.host: m for m in membership.confirmed_members()}
    assert {host: m.record.incarnation for host, m in seen.items()} == {
        "a": "a-2",
        "b": "b-2",
    }
    assert all(m.state is MemberState.LIVE for m in seen.values())
    assert all(m.direct_sequence == 3 for m in seen.values())


@given(st.lists(st.sampled_from(MESSAGES[:3]), max_size=8))
@PROPERTY_SETTINGS
def test_old_heartbeats_do_not_keep_a_silent_host_alive(old):
    membership = new_membership()
    for sequence in (1, 2, 3):
        receive(membership, MESSAGES[0][0], sequence, now_ms=0)
    late_ms = 6 * HEARTBEAT_MS
    for sender, sequence in old:
        receive(membership, sender, sequence, late_ms)
    membership.update_states(late_ms)
    assert membership.get("a").state is MemberState.SILENT


def test_introduced_host_is_confirmed_only_once_its_sequence_number_grows():
    membership = new_membership()
    far = record("b", 1, "Bantama")
    membership.merge_record(far, 0)
    near = record("a", 1)
    receive(membership, near, 1, 0, (RelayedHeartbeat(far.key, 50),))
    assert [m.record.host for m in membership.confirmed_members()] == ["a"]
    receive(membership, near, 2, 0, (RelayedHeartbeat(far.key, 51),))
    assert len(membership.confirmed_members()) == 2


def test_zone_that_only_others_receive_is_cut_off_before_the_direct_timeouts():
    membership = new_membership()
    third = record("c", 9, "Asokwa")
    far = [record(f"b{number}", number, "Bantama") for number in range(6)]
    for sender in far:
        membership.merge_record(sender, 0)
        membership.merge_heartbeat(Heartbeat(sender.key, 1, 100 * HEARTBEAT_MS), 0)
    for sequence in range(1, 30):
        told = tuple(RelayedHeartbeat(sender.key, sequence) for sender in far)
        receive(membership, third, sequence, sequence * HEARTBEAT_MS, told)
        membership.update_states(sequence * HEARTBEAT_MS)
    assert {membership.get(b.host).state for b in far} == {MemberState.LIVE}
    for sequence in range(30, 90):
        told = tuple(RelayedHeartbeat(sender.key, sequence) for sender in far)
        receive(membership, third, sequence, sequence * HEARTBEAT_MS, told)
        membership.update_states(sequence * HEARTBEAT_MS)
    assert {membership.get(b.host).state for b in far} == {MemberState.CUT_OFF}
    assert membership.get("c").state is MemberState.LIVE


def test_relayed_heartbeat_does_not_make_an_incarnation_former():
    membership = new_membership()
    old, new, other = record("a", 1), record("a", 2), record("b", 1)
    receive(membership, old, 1, 0)
    membership.merge_record(new, 0)
    assert membership.get("a").record is old
    receive(membership, other, 1, 0, (RelayedHeartbeat(new.key, 1),))
    receive(membership, other, 2, 0, (RelayedHeartbeat(new.key, 2),))
    assert membership.get("a").record is new
    assert not membership.is_former("a", old.incarnation)
    receive(membership, new, 3, 0)
    assert membership.is_former("a", old.incarnation)


def test_restarted_host_whose_clock_jumped_back_outranks_earlier_ones():
    membership = new_membership()
    earlier = MemberRecord("own", "Adum", "127.0.0.1:1", "own-0", 9_000)
    membership.merge_record(earlier, 0)
    assert membership.own.rank > earlier.rank
    assert membership.own.incarnation == OWN.incarnation


def test_two_live_processes_of_one_name_stop_outranking_each_other():
    first, second = new_membership(), new_membership()
    second.own = MemberRecord("own", "Adum", "127.0.0.1:2", "own-2", 200)
    ranks = []
    for _ in range(20):
        first.merge_record(second.own, 0)
        second.merge_record(first.own, 0)
        ranks.append((first.own.rank, second.own.rank))
    assert ranks[-1] == ranks[-2]
    assert second.own.rank > first.own.rank


def test_pause_of_this_process_expires_no_host_and_extends_no_timeout():
    changes = []
    membership = new_membership(changes)
    sender = record("a", 1)
    receive(membership, sender, 1, 0)
    membership.update_states(0)
    membership.exclude_pause(60_000, 60_000)
    membership.update_states(60_000)
    assert changes == [("a", "live")]
    receive(membership, sender, 2, 60_000)
    membership.exclude_pause(60_000, 60_000)
    membership.update_states(60_000 + 6 * HEARTBEAT_MS)
    assert changes[-1] == ("a", "silent")


@define(eq=False, slots=False)
class MemoryHost:
    """One host's membership and gossip, without sockets."""

    record: MemberRecord
    changes: list = field(factory=list)

    def __attrs_post_init__(self):
        self.membership = Membership(self.record, HEARTBEAT_MS, self.record_change)
        self.gossip = Gossip(self.membership, LoadReporter(HostLoad), Random(1))

    def record_change(self, member, change):
        self.changes.append((member.record.host, change))

    def step(self, sequence, now_ms):
        self.membership.update_states(now_ms)
        self.gossip.refresh()
        return self.gossip.for_local(Heartbeat(self.record.key, sequence, HEARTBEAT_MS))


def exchange_heartbeats(hosts, sequences, lost_share, random):
    """Exchange heartbeats within one zone, dropping a share of them at random."""
    for sequence in sequences:
        now_ms = sequence * HEARTBEAT_MS
        heartbeats = [host.step(sequence, now_ms) for host in hosts]
        for sender, heartbeat in zip(hosts, heartbeats, strict=True):
            for host in hosts:
                if host is not sender and random.random() >= lost_share:
                    host.membership.merge_record(sender.record, now_ms)
                    host.membership.merge_heartbeat(heartbeat, now_ms)


def test_hosts_that_lose_a_fifth_of_their_datagrams_stay_live():
    hosts = [MemoryHost(record(f"h{number}", number)) for number in range(5)]
    exchange_heartbeats(hosts, range(1, 10), 0.0, Random(1))
    before = [list(host.changes) for host in hosts]
    exchange_heartbeats(hosts, range(10, 1_000), 0.2, Random(1))
    assert [host.changes for host in hosts] == before
    exchange_heartbeats(hosts[1:], range(1_000, 1_020), 0.2, Random(1))
    assert all(host.changes[-1] == ("h0", "silent") for host in hosts[1:])


LOADS = st.builds(
    lambda teams, targets: HostLoad(
        sum(teams),
        sum(targets),
        tuple(TeamLoad(f"team-{i}", n, 1) for i, n in enumerate(teams) if n),
        tuple(TargetLoad(f"worker-{i}", n) for i, n in enumerate(targets) if n),
    ),
    st.lists(st.integers(0, 9), max_size=30),
    st.lists(st.integers(0, 9), max_size=30),
)


@given(st.lists(st.tuples(LOADS, st.booleans(), st.booleans()), min_size=1))
@PROPERTY_SETTINGS
def test_load_is_complete_again_after_losses_and_repetition(steps):
    now = {"load": HostLoad()}
    load_reporter, peer_load = LoadReporter(lambda: now["load"]), PeerLoad()
    updates = []
    for sequence, (load, lost, repeated) in enumerate(steps):
        now["load"] = load
        load_reporter.refresh()
        updates.append((sequence, load_reporter.changes(10)))
        if not lost:
            peer_load.merge(*updates[-1])
        if repeated:
            peer_load.merge(*updates[sequence // 2])
    sequence = len(steps)
    for update in load_reporter.name_updates():
        peer_load.merge(sequence, update)
    for step in range(12):
        load_reporter.refresh()
        peer_load.merge(sequence + step, load_reporter.changes(10))
    seen = peer_load.to_load()
    assert set(seen.teams) == set(now["load"].teams)
    assert set(seen.targets) == set(now["load"].targets)
    assert seen.queued_slots == now["load"].queued_slots


def test_every_receiver_in_another_zone_gets_every_host_in_time():
    host = MemoryHost(OWN)
    members = [record("mate", 1)]
    members += [record(f"b{number}", number, "Bantama") for number in range(4)]
    for member in members:
        receive(host.membership, member, 1, 0)
    received = [set() for _ in range(4)]
    for sequence in range(60):
        host.step(sequence, 0)
        for receiver in range(2 * (sequence % 2), 2 * (sequence % 2) + 2):
            heartbeat = host.gossip.for_remote(Heartbeat(OWN.key, sequence, 40), 0)
            received[receiver] |= {entry.key for entry in heartbeat.told}
    assert received == [{member.key for member in members}] * 4


def test_load_names_are_bounded_and_numbered_again(monkeypatch):
    monkeypatch.setattr("rattanloom.peers.load_exchange.NAMES_MAX", 8)
    loads = [HostLoad(targets=(TargetLoad(f"w{i}", 1),)) for i in range(20)]
    peer_load = PeerLoad()
    load_reporter = LoadReporter(HostLoad)
    for sequence, load in enumerate(loads):
        load_reporter.load = lambda load=load: load
        load_reporter.refresh()
        for update in load_reporter.name_updates():
            peer_load.merge(sequence, update)
        assert load_reporter.name_count <= 8
        assert peer_load.to_load() == load


def test_names_of_any_length_fit_a_datagram():
    longest = "x" * 59
    teams = tuple(TeamLoad(f"{longest}{i:04}", 9, 9) for i in range(300))
    load_reporter = LoadReporter(lambda: HostLoad(teams=teams))
    load_reporter.refresh()
    peer_load = PeerLoad()
    for sequence, update in enumerate(load_reporter.name_updates()):
        heartbeat = Heartbeat(2**48 - 1, sequence, HEARTBEAT_MS, load=update)
        assert (
            len(encode_heartbeat(Keyring(b"key"), heartbeat)) <= ETHERNET_PAYLOAD_BYTES
        )
        peer_load.merge(sequence, update)
    assert set(peer_load.to_load().teams) == set(teams)
