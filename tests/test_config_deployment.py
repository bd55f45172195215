"""Configuration of four hosts in two zones, under outages, partitions and restarts.

No host may activate a version older than one it had active before, and all hosts
must activate the newest version after the faults end.
"""

from functools import partial

import gevent
from attrs import evolve
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from rattanloom.configuration import Configuration
from rattanloom.peers.protocol import Member, MemberState
from rattanloom.settings import EntrySettings, Seed
from rattanloom.timeline import Timeline
from tests.config_fakes import FakePeers, FakePlatform, ManualTimers, make_environment

ZONES = {"a1": "A", "a2": "A", "b1": "B", "b2": "B"}
SEEDS = tuple(Seed(host, zone, "x:1") for host, zone in ZONES.items())
SETTINGS = EntrySettings(
    "a1", "A", "x:1", "x:2", "x:3", "0123456789abcdef", seeds=SEEDS
)
HEARTBEAT_MS = SETTINGS.heartbeat_ms
POLL_HEARTBEATS = SETTINGS.config_poll_ms // HEARTBEAT_MS
CUT_OFF_AFTER_HEARTBEATS = 5
CROSS_ZONE_HEARTBEATS = 4
ACTIVE_WITHIN_HEARTBEATS = 4_000 // HEARTBEAT_MS


class Deployment:
    """Hosts whose heartbeats, polls and partitions the test controls."""

    def __init__(self):
        self.platform = FakePlatform(call_ms=0)
        self.hosts = {}
        self.peers = {}
        self.timers = {}
        self.heartbeats_since_cut = None
        self.heartbeat_count = 0
        self.newest_seen = dict.fromkeys(ZONES, 0)
        self.accepted = 0
        for host in ZONES:
            self.start(host)

    def start(self, host):
        """Start a host, or restart it without any stored state."""
        host_settings = evolve(SETTINGS, host=host, zone=ZONES[host])
        clock = self.platform.clock
        self.peers[host] = FakePeers()
        self.timers[host] = ManualTimers()
        self.hosts[host] = Configuration(
            host_settings,
            make_environment(clock),
            self.timers[host],
            Timeline(host, clock),
            self.platform,
            self.platform,
        )
        self.peers[host].fetch_config = partial(self._fetch, host)
        self.hosts[host].start(self.peers[host])
        gevent.sleep(0)

    def publish(self):
        self.accepted += 1
        self.platform.publish_version(self.accepted)

    def heartbeat(self):
        self.heartbeat_count += 1
        self.platform.clock.ms += HEARTBEAT_MS
        if self.heartbeats_since_cut is not None:
            self.heartbeats_since_cut += 1
        reported = {
            host: configuration.held_version()
            for host, configuration in self.hosts.items()
        }
        for number, host in enumerate(ZONES):
            self._receive_heartbeats(host, reported)
            if (self.heartbeat_count + number) % POLL_HEARTBEATS == 0:
                self.hosts[host].poll()
            self.timers[host].tick("config hold check")
            self._check(host)

    def poll(self, host):
        self.hosts[host].poll()
        self.timers[host].tick("config hold check")
        self._check(host)

    def connected(self, host, other):
        return self.heartbeats_since_cut is None or ZONES[host] == ZONES[other]

    def _receive_heartbeats(self, host, reported):
        others = [other for other in ZONES if self._heartbeat_is_due(host, other)]
        known = {member.host: member for member in self.peers[host].known}
        for other in others:
            known[other] = self._member(host, other, known.get(other), reported[other])
        self.peers[host].known = tuple(known.values())
        held = self.hosts[host].held_version()
        for other in others:
            if self.connected(host, other) and reported[other] > held:
                self.peers[host].callbacks[0](other, reported[other])
                gevent.sleep(0)

    def _heartbeat_is_due(self, host, other):
        """Return whether a heartbeat is due; those between zones are less frequent."""
        same_zone = ZONES[host] == ZONES[other]
        return host != other and (
            same_zone or self.heartbeat_count % CROSS_ZONE_HEARTBEATS == 0
        )

    def _member(self, host, other, before, reported):
        if not self.connected(host, other):
            reported = 0 if before is None else before.config_version
        is_cut_off = (
            not self.connected(host, other)
            and self.heartbeats_since_cut > CUT_OFF_AFTER_HEARTBEATS
        )
        state = MemberState.CUT_OFF if is_cut_off else MemberState.LIVE
        return Member(other, ZONES[other], "x:1", "aa", 0, state, reported)

    def _fetch(self, host, other, version):
        if not self.connected(host, other):
            return FakePeers().fetch_config(other, version)
        return self.hosts[other].document(version)

    def _check(self, host):
        version = self.hosts[host].version()
        assert version <= self.accepted
        if version:
            assert version >= self.newest_seen[host], (
                f"{host} activated an older version"
            )
            self.newest_seen[host] = version


class ChangingDeployment(RuleBasedStateMachine):
    """Publications, outages, partitions and restarts, in any order."""

    def __init__(self):
        super().__init__()
        self.deployment = Deployment()

    @initialize()
    def first_version_is_active(self):
        self.deployment.publish()
        self.newest_is_active_everywhere_after_faults_end()

    @rule(
        first=st.sampled_from(sorted(ZONES)),
        others=st.sets(st.sampled_from(sorted(ZONES)), max_size=2),
        beats=st.integers(0, 3),
        outage=st.booleans(),
        restarts=st.booleans(),
    )
    def publish_and_some_learn(self, first, others, beats, outage, restarts):
        self.deployment.platform.down = False
        self.deployment.publish()
        for host in (first, *sorted(others)):
            self.deployment.poll(host)
        self.deployment.platform.down = outage
        self.pass_heartbeats(beats)
        if restarts and self.all_configured():
            self.deployment.start(first)
            self.pass_heartbeats(1 + beats)

    @precondition(lambda self: self.all_configured())
    @rule(
        host=st.sampled_from(sorted(ZONES)),
        down=st.booleans(),
        beats=st.integers(0, 8),
    )
    def restart(self, host, down, beats):
        self.deployment.platform.down = down
        self.deployment.start(host)
        self.pass_heartbeats(beats)

    @rule(cut=st.booleans(), beats=st.integers(0, 8))
    def cut_zones(self, cut, beats):
        if cut and self.deployment.heartbeats_since_cut is None:
            self.deployment.heartbeats_since_cut = 0
        if not cut:
            self.deployment.heartbeats_since_cut = None
        self.pass_heartbeats(beats)

    @rule()
    def newest_is_active_everywhere_after_faults_end(self):
        self.deployment.platform.down = False
        self.deployment.heartbeats_since_cut = None
        for _ in range(ACTIVE_WITHIN_HEARTBEATS):
            self.deployment.heartbeat()
        versions = {host.version() for host in self.deployment.hosts.values()}
        assert versions == {self.deployment.accepted}

    def pass_heartbeats(self, beats):
        for _ in range(beats):
            self.deployment.heartbeat()

    def all_configured(self):
        return all(host.version() for host in self.deployment.hosts.values())


TestChangingDeployment = ChangingDeployment.TestCase
TestChangingDeployment.settings = settings(max_examples=120, stateful_step_count=10)


def test_zone_replaced_in_an_outage_fetches_its_active_version_from_peers():
    deployment = Deployment()
    deployment.publish()
    for _ in range(ACTIVE_WITHIN_HEARTBEATS):
        deployment.heartbeat()
    deployment.publish()
    deployment.poll("a1")
    deployment.platform.down = True
    while max(deployment.hosts[host].version() for host in ("a1", "a2")) < 2:
        deployment.heartbeat()
    deployment.start("a1")
    deployment.start("a2")
    for _ in range(ACTIVE_WITHIN_HEARTBEATS):
        deployment.heartbeat()
    assert {host.version() for host in deployment.hosts.values()} == {2}
