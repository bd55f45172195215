"""Hosts find each other, detect stops and restarts, and exchange their loads."""

import pytest

from rattanloom.errors import ErrorKind, Failure, Ran
from rattanloom.job import Job, ResultKind, Task
from rattanloom.peers.protocol import HostLoad, MemberState, TargetLoad, TeamLoad
from tests.peer_hosts import running_hosts, wait_until


@pytest.fixture
def hosts():
    with running_hosts() as hosts:
        yield hosts


def make_job(job_id, team="desk", deadline_ms=5_000):
    return Job(job_id, team, (Task("crop"),), deadline_ms)


def test_hosts_find_hosts_that_are_not_among_their_seeds(hosts):
    first = hosts.start("a-0", "Adum")
    hosts.start("a-1", "Adum", [first])
    hosts.start("b-0", "Bantama", [first])
    hosts.start("b-1", "Bantama", [first])
    hosts.wait_all_live()


def test_a_stopped_host_becomes_silent_and_its_restart_live(hosts):
    one, two, three = hosts.start_zone("Adum", 3)
    hosts.wait_all_live()
    three.stop()
    wait_until(lambda: one.sees(three, MemberState.SILENT))
    restarted = hosts.start("Adum-2", "Adum", [one], three.seed.address)
    wait_until(lambda: one.sees(restarted) and two.sees(restarted))
    reply = one.service.ask(three.name, three.incarnation, "j", 0)
    assert reply.kind is ErrorKind.HOME_GONE


def test_a_restart_whose_clock_jumped_back_is_still_newer(hosts):
    one, two = hosts.start_zone("Adum", 2)
    hosts.wait_all_live()
    two.stop()
    restarted = hosts.start(
        "Adum-1", "Adum", [one], two.seed.address, ahead_ms=-3_600_000
    )
    wait_until(lambda: one.service.membership.is_former(two.name, two.incarnation))
    wait_until(lambda: one.sees(restarted))


def test_load_and_config_version_are_sent_with_heartbeats(hosts):
    one, two = hosts.start_zone("Adum", 2)
    far = hosts.start("b-0", "Bantama", [one])
    reported = []
    one.service.on_config_version(
        lambda host, version: reported.append((host, version))
    )
    load = HostLoad(
        7,
        9,
        (TeamLoad("desk", 2, 3),),
        tuple(TargetLoad(f"w{i}", i) for i in range(1, 99)),
    )
    two.load, two.version = load, 4

    def has_load(host):
        seen = host.service.loads().get(two.name, HostLoad())
        return sorted(seen.targets, key=lambda t: t.slots) == list(load.targets)

    wait_until(lambda: has_load(one) and has_load(far))
    assert one.service.loads()[two.name].teams == load.teams
    wait_until(lambda: reported)
    assert reported[0] == (two.name, 4)
    assert one.service.fetch_config(two.name, 4) == "document 4"


def test_requests_are_handled_by_the_issuer(hosts):
    one, two = hosts.start_zone("Adum", 2)
    hosts.wait_all_live()
    args = (two.name, two.incarnation)
    reply = one.service.submit(*args, make_job("j1"))
    assert (reply.outcome, reply.outputs) == (ResultKind.COMPLETE, ("j1",))
    assert one.service.ask(*args, "j1", 0).outcome is ResultKind.PENDING
    assert one.service.cancel(*args, "j1").failure.kind is ErrorKind.CANCELLED


def test_unknown_host_is_unreachable_and_not_run(hosts):
    one = hosts.start("a-0")
    reply = one.service.submit("nobody", "x", make_job("j"))
    assert isinstance(reply, Failure)
    assert (reply.kind, reply.ran) == (ErrorKind.HOME_UNREACHABLE, Ran.NOT_RUN)
