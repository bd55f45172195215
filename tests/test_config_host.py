"""A host's configuration: fetched from platform and peers, never downgraded."""

import gevent
import pytest
from attrs import evolve
from gevent.event import Event

from rattanloom.configuration import (
    FETCHES_PER_ROUND,
    SETTLE_HEARTBEATS,
    Configuration,
)
from rattanloom.configuration_document import VersionRecord, make_document
from rattanloom.errors import ErrorKind, Failure
from rattanloom.peers.protocol import Member, MemberState
from rattanloom.settings import EntrySettings, Seed
from rattanloom.timeline import EventKind, Timeline
from tests.config_fakes import FakePeers, FakePlatform, ManualTimers, make_environment

SETTINGS = EntrySettings(
    "adum-1",
    "Adum",
    "127.0.0.1:1",
    "127.0.0.1:2",
    "127.0.0.1:3",
    "0123456789abcdef",
    seeds=(Seed("adum-2", "Adum", "x:1"), Seed("asokwa-1", "Asokwa", "x:2")),
)
SETTLE_MS = SETTLE_HEARTBEATS * SETTINGS.heartbeat_ms


class Host:
    """A configuration with a fake platform, peers and timers."""

    def __init__(self, platform=None, settings=SETTINGS):
        self.platform = platform or FakePlatform()
        self.peers = FakePeers()
        self.timers = ManualTimers()
        clock = self.platform.clock
        self.timeline = Timeline("adum-1", clock)
        self.configuration = Configuration(
            settings,
            make_environment(clock),
            self.timers,
            self.timeline,
            self.platform,
            self.platform,
        )
        self.configuration.start(self.peers)
        gevent.sleep(0)

    def versions(self):
        return self.configuration.held_version(), self.configuration.version()

    def advance_ms(self, ms):
        self.platform.clock.ms += ms
        self.timers.tick("config hold check")

    def set_members(self, *members):
        self.peers.known = members
        self.timers.tick("config hold check")

    def poll(self):
        self.configuration.poll()


def member(host, version, zone="Adum", state=MemberState.LIVE):
    return Member(host, zone, "x:1", "aa", 0, state, version)


def document(version, sections=None):
    record = VersionRecord(version, version, f"id{version}", "ama", "why", 0.0)
    return make_document(record, sections or {}, {})


ZONE_PEER, OTHER_ZONE_PEER = member("adum-2", 5), member("asokwa-1", 5, "Asokwa")


def test_version_is_active_only_once_its_zone_and_another_zone_hold_it():
    host = Host()
    host.platform.publish_version(5, {"teams": {"clubs": {}}})
    host.set_members(member("adum-2", 4), member("asokwa-1", 4, "Asokwa"))
    host.poll()
    assert host.versions() == (5, 0)
    assert host.peers.announced == 1
    assert host.configuration.rules() is None
    host.set_members(ZONE_PEER, member("asokwa-1", 4, "Asokwa"))
    assert host.versions() == (5, 0)
    host.set_members(ZONE_PEER, OTHER_ZONE_PEER)
    assert host.versions() == (5, 5)
    assert list(host.configuration.rules().teams) == ["clubs"]
    events = host.timeline.events()
    assert [event.kind for event in events] == [EventKind.CONFIG_IN_FORCE]
    assert "version 5 by ama (why) from the platform" in events[0].detail


def test_peer_without_the_version_delays_activation_for_a_bounded_time():
    host = Host()
    host.platform.publish_version(5)
    host.set_members(member("adum-2", 4), OTHER_ZONE_PEER)
    host.poll()
    host.advance_ms(host.configuration.activation_wait_ms - 1)
    assert host.versions() == (5, 0)
    host.advance_ms(1)
    assert host.versions() == (5, 5)


def test_newer_versions_in_quick_succession_do_not_delay_the_earlier_one():
    host = Host()
    host.set_members(member("adum-2", 4), OTHER_ZONE_PEER)
    for version in (5, 6, 7):
        host.platform.publish_version(version)
        host.poll()
        host.advance_ms(host.configuration.activation_wait_ms / 2)
    assert host.versions() == (7, 6)
    host.set_members(member("adum-2", 7), member("asokwa-1", 7, "Asokwa"))
    assert host.versions() == (7, 7)


def test_change_is_fetched_from_a_peer_while_the_platform_is_down():
    host = Host()
    host.platform.publish_version(4)
    host.set_members(member("adum-2", 4), member("asokwa-1", 4, "Asokwa"))
    host.poll()
    host.platform.down = True
    host.peers.documents["adum-2"] = document(5).text
    host.set_members(ZONE_PEER, OTHER_ZONE_PEER)
    host.peers.callbacks[0]("adum-2", 5)
    gevent.sleep(0)
    assert host.versions() == (5, 5)
    assert "peer adum-2" in host.configuration.status().ground


def test_stalled_platform_does_not_delay_fetching_from_peers():
    host = Host()
    response = Event()
    host.platform.read = lambda keys: response.wait() and ()
    stalled = gevent.spawn(host.poll)
    gevent.sleep(0)
    host.peers.documents["adum-2"] = document(5).text
    host.set_members(ZONE_PEER, OTHER_ZONE_PEER)
    host.peers.callbacks[0]("adum-2", 5)
    gevent.sleep(0)
    assert host.versions() == (5, 5)
    response.set()
    stalled.join()


def test_older_version_is_never_activated():
    host = Host()
    host.platform.publish_version(5)
    host.set_members(ZONE_PEER, OTHER_ZONE_PEER)
    host.poll()
    host.platform.publish_version(3)
    host.peers.documents["adum-2"] = document(4).text
    host.set_members(member("adum-2", 6), OTHER_ZONE_PEER)
    host.poll()
    host.advance_ms(10 * host.configuration.activation_wait_ms)
    assert host.versions() == (5, 5)


def test_restart_in_an_outage_activates_the_newest_version_of_all_peers():
    host = Host(FakePlatform(down=True, call_ms=0))
    host.peers.documents = {
        "adum-2": document(4).text,
        "asokwa-1": document(5).text,
    }
    host.set_members(member("adum-2", 4))
    host.poll()
    host.advance_ms(SETTLE_MS / 2)
    assert host.versions() == (4, 0)
    host.set_members(member("adum-2", 4), OTHER_ZONE_PEER)
    host.poll()
    assert host.versions() == (5, 0)
    host.set_members(ZONE_PEER, OTHER_ZONE_PEER)
    assert host.versions() == (5, 5)
    assert "platform is unreachable" in host.configuration.status().ground


def test_restart_in_an_outage_with_one_reachable_peer_activates_its_version():
    host = Host(FakePlatform(down=True))
    host.peers.documents = {"adum-2": document(4).text}
    cut_off = member("asokwa-1", 5, "Asokwa", MemberState.CUT_OFF)
    host.set_members(member("adum-2", 4), cut_off)
    host.poll()
    assert host.versions() == (4, 0)
    host.advance_ms(SETTLE_MS)
    assert host.versions() == (4, 4)


def test_host_without_platform_and_peers_has_no_configuration():
    host = Host(FakePlatform(down=True))
    host.poll()
    host.advance_ms(60_000)
    host.poll()
    assert host.versions() == (0, 0)
    assert host.configuration.rules() is None
    missing = host.configuration.document(1)
    assert isinstance(missing, Failure)
    assert missing.kind is ErrorKind.NOT_FOUND


def test_only_host_activates_a_version_without_peers():
    host = Host(settings=evolve(SETTINGS, seeds=()))
    host.platform.publish_version(1)
    host.poll()
    assert host.versions() == (1, 1)


@pytest.mark.parametrize(
    "corrupt",
    [
        lambda content: content[:-1],
        lambda content: content.replace(b"why", b"WHY"),
        lambda content: b"",
        lambda content: b"\xff",
        lambda content: document(9, {"teams": {"clubs": {}}}).text.encode(),
    ],
)
def test_corrupt_object_is_never_active_and_a_peer_can_replace_it(corrupt):
    host = Host()
    good = host.platform.publish_version(5)
    objects = host.platform.objects
    for name in objects:
        objects[name] = corrupt(objects[name])
    host.set_members(member("adum-2", 4), OTHER_ZONE_PEER)
    host.poll()
    host.advance_ms(10 * host.configuration.activation_wait_ms)
    assert host.versions() == (0, 0)
    assert host.configuration.status().problem
    host.peers.documents["asokwa-1"] = good.text
    host.poll()
    host.set_members(ZONE_PEER, OTHER_ZONE_PEER)
    assert host.versions() == (5, 5)
    assert host.configuration.status().problem == ""


def test_invalid_document_from_a_peer_is_never_active():
    host = Host()
    host.platform.publish_version(5)
    host.set_members(ZONE_PEER, OTHER_ZONE_PEER)
    host.poll()
    newer = document(6).text
    unknown = newer.replace('"folder":{}', '"folder":{"colours":{}}')
    host.peers.documents = {"adum-2": unknown, "asokwa-1": unknown}
    host.set_members(member("adum-2", 6), member("asokwa-1", 6, "Asokwa"))
    host.poll()
    assert host.versions() == (5, 5)
    assert "version 6 from peer" in host.configuration.status().problem


def test_hints_cause_at_most_one_poll_in_each_interval():
    host = Host(settings=evolve(SETTINGS, seeds=()))
    reads = []
    host.platform.read = lambda keys: reads.append(keys) or ()
    for _ in range(50):
        host.configuration.poll_on_hint()
        gevent.sleep(0)
        host.advance_ms(SETTINGS.config_poll_ms / 10)
    assert len(reads) == 5


def test_invalid_document_is_fetched_again_only_after_a_poll_interval():
    host = Host()
    fetched = []
    host.peers.fetch_config = lambda name, version: fetched.append(name) or "{}"
    host.set_members(*(member(f"host-{number}", 6) for number in range(40)))
    for _ in range(100):
        host.peers.callbacks[0]("host-1", 6)
        gevent.sleep(0)
        host.advance_ms(SETTINGS.config_poll_ms / 50)
    assert len(fetched) == 2 * FETCHES_PER_ROUND
