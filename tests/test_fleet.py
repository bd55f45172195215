"""A host sends no tasks to workers whose owner is overloaded."""

from attrs import define, field

from rattanloom.peers.protocol import HostLoad, Member, MemberState
from rattanloom.platform.protocol import ListedTarget
from rattanloom.targets.fleet import Fleet
from rattanloom.targets.state import TargetState

WORKERS = 4


@define
class OnePeer:
    """Peers with one other live host, whose load the test sets."""

    load: HostLoad = field(factory=HostLoad)

    def members(self):
        return (Member("b", "Adum", "127.0.0.1:2", "i", 1, MemberState.LIVE),)

    def loads(self):
        return {"b": self.load}


class NoClient:
    """A worker's client that no test sends requests with."""

    def close(self):
        pass


def left_to_owner(fleet):
    return {state.name for state in fleet.targets.values() if state.owner_overloaded}


def test_workers_are_left_to_their_owner_while_it_is_overloaded():
    peers = OnePeer()
    fleet = Fleet("a", "Adum", peers)
    for number in range(WORKERS):
        listed = ListedTarget(f"w{number}", "Adum", "127.0.0.1:3", 8, 64)
        fleet.add(TargetState(listed, NoClient()))
    fleet.refresh()
    of_peer = {state.name for state in fleet.targets.values() if not state.owned}
    assert len(of_peer) == WORKERS / 2
    assert left_to_owner(fleet) == set()
    peers.load = HostLoad(queued_slots=20, running_slots=16)
    fleet.update_peer_loads()
    assert left_to_owner(fleet) == of_peer
    peers.load = HostLoad(queued_slots=0, running_slots=16)
    fleet.update_peer_loads()
    assert left_to_owner(fleet) == set()
