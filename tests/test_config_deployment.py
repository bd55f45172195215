"""Four hosts in two zones: no version in force ever goes back, all get the newest."""

from functools import partial

import gevent
from attrs import evolve
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from rattanloom.configuration import Configuration
from rattanloom.peers.protocol import Member, MemberState
from rattanloom.settings import EntrySettings, Seed
from rattanloom.timeline import TimeLine
from tests.config_fakes import FakePeers, FakePlatform, ManualTimers, make_environment

ZONES = {"a1": "A", "a2": "A", "b1": "B", "b2": "B"}
SEEDS = tuple(Seed(host, zone, "x:1") for host, zone in ZONES.items())
SETTINGS = EntrySettings("a1", "A", "x:1", "x:2", "x:3", "0123456789abcdef", SEEDS)
BEAT_MS = SETTINGS.heartbeat_ms
POLL_BEATS = SETTINGS.config_poll_ms // BEAT_MS
SILENT_BEATS = 5
IN_FORCE_WITHIN_BEATS = 4_000 // BEAT_MS


class Deployment:
    """Hosts whose heartbeats, polls and cuts are stepped by hand."""

    def __init__(self):
        self.platform = FakePlatform(call_ms=0)
        self.hosts = {}
        self.peers = {}
        self.timers = {}
        self.cut_beats = None
        self.beats = 0
        self.newest_seen = dict.fromkeys(ZONES, 0)
        self.accepted = 0
        for host in ZONES:
            self.start(host)

    def start(self, host):
        """Start a host, or a new process in its place, that remembers nothing."""
        own = evolve(SETTINGS, host=host, zone=ZONES[host])
        clock = self.platform.clock
        self.peers[host] = FakePeers()
        self.timers[host] = ManualTimers()
        self.hosts[host] = Configuration(
            own,
            make_environment(clock),
            self.timers[host],
            TimeLine(host, clock),
            self.platform,
            self.platform,
        )
        self.peers[host].fetch_config = partial(self._fetch, host)
        self.hosts[host].start(self.peers[host])
        gevent.sleep(0)

    def publish(self):
        self.accepted += 1
        self.platform.accept(self.accepted)

    def beat(self):
        self.beats += 1
        self.platform.clock.ms += BEAT_MS
        if self.cut_beats is not None:
            self.cut_beats += 1
        for number, host in enumerate(ZONES):
            self._hear(host)
            if (self.beats + number) % POLL_BEATS == 0:
                self.hosts[host].poll()
            self.timers[host].tick("config hold check")
            self._check(host)

    def connected(self, host, other):
        return self.cut_beats is None or ZONES[host] == ZONES[other]

    def _hear(self, host):
        others = [other for other in ZONES if other != host]
        known = {member.host: member for member in self.peers[host].known}
        self.peers[host].known = tuple(
            self._member(host, other, known.get(other)) for other in others
        )
        for other in others:
            told = self.hosts[other].held_version()
            if self.connected(host, other) and told > self.hosts[host].held_version():
                self.peers[host].callbacks[0](other, told)
                gevent.sleep(0)

    def _member(self, host, other, before):
        told = 0 if before is None else before.config_version
        if self.connected(host, other):
            told = self.hosts[other].held_version()
        gone = not self.connected(host, other) and self.cut_beats > SILENT_BEATS
        state = MemberState.CUT_OFF if gone else MemberState.LIVE
        return Member(other, ZONES[other], "x:1", "aa", 0, state, told)

    def _fetch(self, host, other, version):
        if not self.connected(host, other):
            return FakePeers().fetch_config(other, version)
        return self.hosts[other].document(version)

    def _check(self, host):
        version = self.hosts[host].version()
        assert version <= self.accepted
        if version:
            assert version >= self.newest_seen[host], f"{host} went back"
            self.newest_seen[host] = version


class ChangingDeployment(RuleBasedStateMachine):
    """Publications, outages, cuts and restarts, in any order."""

    def __init__(self):
        super().__init__()
        self.deployment = Deployment()

    @rule()
    def publish(self):
        if not self.deployment.platform.down:
            self.deployment.publish()

    @rule(down=st.booleans())
    def switch_platform(self, down):
        self.deployment.platform.down = down

    @rule(cut=st.booleans())
    def cut_zones(self, cut):
        if cut and self.deployment.cut_beats is None:
            self.deployment.cut_beats = 0
        if not cut:
            self.deployment.cut_beats = None

    @rule(beats=st.integers(1, 12))
    def time_passes(self, beats):
        for _ in range(beats):
            self.deployment.beat()

    @precondition(lambda self: self.all_configured())
    @rule(host=st.sampled_from(sorted(ZONES)))
    def restart(self, host):
        self.deployment.start(host)

    @rule()
    def mended_everywhere_the_newest_is_in_force(self):
        self.deployment.platform.down = False
        self.deployment.cut_beats = None
        for _ in range(IN_FORCE_WITHIN_BEATS):
            self.deployment.beat()
        versions = {host.version() for host in self.deployment.hosts.values()}
        assert versions == {self.deployment.accepted}

    def all_configured(self):
        return all(host.version() for host in self.deployment.hosts.values())


TestChangingDeployment = ChangingDeployment.TestCase
TestChangingDeployment.settings = settings(max_examples=60, stateful_step_count=20)


def test_whole_zone_replaced_in_an_outage_gets_back_what_it_had_in_force():
    deployment = Deployment()
    deployment.publish()
    for _ in range(IN_FORCE_WITHIN_BEATS):
        deployment.beat()
    deployment.publish()
    while max(deployment.hosts[host].version() for host in ("a1", "a2")) < 2:
        deployment.beat()
    deployment.platform.down = True
    deployment.start("a1")
    deployment.start("a2")
    for _ in range(IN_FORCE_WITHIN_BEATS):
        deployment.beat()
    assert {host.version() for host in deployment.hosts.values()} == {2}
