"""Hosts find each other and tell live, silent, cut off and restarted apart."""

import pytest

from rattanloom.errors import ErrorKind, Failure, Ran
from rattanloom.job import Job, ResultKind, Task
from rattanloom.peers.protocol import HostLoad, MemberState, TargetLoad, TeamLoad
from tests.peer_hosts import some_hosts, wait_until


@pytest.fixture
def hosts():
    with some_hosts() as hosts:
        yield hosts


def make_job(job_id, team="desk", deadline_ms=5_000):
    return Job(job_id, team, (Task("crop"),), deadline_ms)


def test_hosts_learn_of_hosts_that_are_not_among_their_seeds(hosts):
    first = hosts.start("a-0", "Adum")
    hosts.start("a-1", "Adum", [first])
    hosts.start("b-0", "Bantama", [first])
    hosts.start("b-1", "Bantama", [first])
    hosts.wait_all_live()


def test_a_killed_host_becomes_silent_and_its_restart_live(hosts):
    one, two, three = hosts.start_zone("Adum", 3)
    hosts.wait_all_live()
    three.stop()
    wait_until(lambda: one.sees(three, MemberState.SILENT))
    again = hosts.start("Adum-2", "Adum", [one], three.seed.address)
    wait_until(lambda: one.sees(again) and two.sees(again))
    answer = one.service.ask(three.name, three.incarnation, "j", 0)
    assert answer.kind is ErrorKind.HOME_GONE


def test_a_restart_whose_clock_jumped_back_is_still_taken_as_newer(hosts):
    one, two = hosts.start_zone("Adum", 2)
    hosts.wait_all_live()
    two.stop()
    again = hosts.start("Adum-1", "Adum", [one], two.seed.address, ahead_ms=-3_600_000)
    wait_until(lambda: one.service.membership.is_former(two.name, two.incarnation))
    wait_until(lambda: one.sees(again))


def test_load_and_config_version_ride_on_heartbeats(hosts):
    one, two = hosts.start_zone("Adum", 2)
    far = hosts.start("b-0", "Bantama", [one])
    told = []
    one.service.on_config_version(lambda host, version: told.append((host, version)))
    load = HostLoad(
        7,
        9,
        (TeamLoad("desk", 2, 3),),
        tuple(TargetLoad(f"w{i}", i) for i in range(1, 99)),
    )
    two.load, two.version = load, 4

    def same(host):
        seen = host.service.loads().get(two.name, HostLoad())
        return sorted(seen.targets, key=lambda t: t.slots) == list(load.targets)

    wait_until(lambda: same(one) and same(far))
    assert one.service.loads()[two.name].teams == load.teams
    wait_until(lambda: told)
    assert told[0] == (two.name, 4)
    assert one.service.fetch_config(two.name, 4) == "document 4"


def test_requests_are_answered_by_the_home(hosts):
    one, two = hosts.start_zone("Adum", 2)
    hosts.wait_all_live()
    args = (two.name, two.incarnation)
    answer = one.service.submit(*args, make_job("j1"))
    assert (answer.outcome, answer.outputs) == (ResultKind.COMPLETE, ("j1",))
    assert one.service.ask(*args, "j1", 0).outcome is ResultKind.PENDING
    assert one.service.cancel(*args, "j1").failure.kind is ErrorKind.CANCELLED


def test_unknown_and_refusing_hosts_are_unreachable_and_not_run(hosts):
    one = hosts.start("a-0")
    answer = one.service.submit("nobody", "x", make_job("j"))
    assert isinstance(answer, Failure)
    assert (answer.kind, answer.ran) == (ErrorKind.HOME_UNREACHABLE, Ran.NOT_RUN)
