"""No task overflows to a worker whose owner is overloaded.

Such a worker has no slot to spare, even if loads reported earlier show free ones.
"""

import pytest

from rattanloom.peers.protocol import HostLoad, Member, MemberState
from rattanloom.platform.protocol import ListedTarget
from rattanloom.targets.client import TargetClient
from rattanloom.targets.fleet import Fleet
from rattanloom.targets.state import TargetState
from tests.admission_utils import FakePeers

WORKERS = 4


def make_fleet(load):
    peers = FakePeers()
    peers.known_members = (Member("b", "z", "", "i", 0, MemberState.LIVE),)
    peers.reported_loads = {"b": load}
    fleet = Fleet("a", "z", peers)
    for number in range(WORKERS):
        listed = ListedTarget(f"w{number}", "z", "127.0.0.1:1", 8, 64)
        fleet.add(TargetState(listed, TargetClient(listed.name, listed.address, 8)))
    fleet.refresh()
    return fleet


@pytest.mark.parametrize(
    ("load", "usable_workers"),
    [
        (HostLoad(), WORKERS),
        (HostLoad(queued_slots=2, running_slots=16), WORKERS),
        (HostLoad(queued_slots=16, running_slots=16), WORKERS // 2),
    ],
)
def test_overflows_only_to_workers_of_owners_that_are_not_overloaded(
    load, usable_workers
):
    fleet = make_fleet(load)
    usable = [state for state in fleet.targets.values() if state.usable(0.0)]
    assert len(usable) == usable_workers
    assert all(state.owned for state in usable) or usable_workers == WORKERS
