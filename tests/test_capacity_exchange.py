"""Announced loads by version of the peer, and the loss of a placer after a move."""

from math import inf, nan
from types import SimpleNamespace

import pytest

from rattanloom.capacity_exchange import CapacityExchange
from rattanloom.ingress.job_router import JobRouter
from rattanloom.links.codec import decode_message, encode_message
from rattanloom.links.messages import AnnouncedLoad, FreeCapacity, Submit
from rattanloom.metrics import Metrics
from rattanloom.placement.jobs import COUNTED_ESTIMATE_MAX_MS, OutcomeKind
from rattanloom.placement.load_report import measure_load
from rattanloom.scheduling.zone_choice import PlacerChoice
from rattanloom.scheduling.zone_load import PriorityLoad, ZoneLoad
from standins.store import Store, StoreSwitches
from tests.dispatcher_fakes import (
    CLOCK,
    FakeReceiver,
    FakeWorker,
    make_submitted_job,
    wait_for,
)
from tests.test_configuration_delay import daemon_with
from tests.test_job_router import FakeHub
from tests.test_placer import TOKEN, all_ready, running_placer


@pytest.mark.parametrize(("version", "kind"), [(1, FreeCapacity), (2, AnnouncedLoad)])
def test_load_is_announced_in_the_form_that_the_peer_knows(version, kind):
    sent = []
    peer = SimpleNamespace(node="n2", protocol_version=version)
    link = SimpleNamespace(
        peer=peer, send_frame=lambda message, frame: sent.append(message)
    )
    zones = {"entry-1": "a", "n2": "b"}
    members = {
        node: SimpleNamespace(node=node, zone=zone) for node, zone in zones.items()
    }
    ownership = SimpleNamespace(
        owned=lambda: {"a": None},
        is_large_deployment=lambda: True,
        own_member=SimpleNamespace(node="n1"),
        view=SimpleNamespace(members=members),
    )
    hub = SimpleNamespace(nodes=lambda: ("n2",), link=lambda node: link)
    choice = PlacerChoice(CLOCK, dict, lambda zone: None)
    with running_placer(FakeWorker("w1")) as placer:
        assert wait_for(lambda: all_ready(placer))
        for number, node in enumerate(("entry-1", "n2")):
            job = make_submitted_job(f"{number:016x}", count=3)
            placer.submit(FakeReceiver(node), job, ())
        CapacityExchange(
            CLOCK, hub, ownership, placer, choice, Metrics()
        ).announce_if_due()
    (message,) = sent
    assert isinstance(message, kind)
    # Two of six tasks of 14 cores run on 32 cores; each has work for 200 ms.
    load = choice.free_capacity["n1"].load
    assert load.free_millicores == 4_000 - 4 * 14_000
    assert load.capacity_millicores == 32_000
    arriving = 6 * 14_000 * 200 / 500
    assert load.own_arriving_millicores == pytest.approx(arriving / 2)
    (priority_load,) = load.priorities
    assert priority_load.waiting_millicore_ms == 4 * 14_000 * 200
    assert priority_load.arriving_millicores == pytest.approx(arriving)


def test_daemon_records_its_own_and_announced_loads_and_counts_moves():
    store = Store(switches=StoreSwitches(latency_ms=0))
    with daemon_with(store) as daemon:
        daemon.ownership.acquirer.acquire(["a"], "test")
        entry = FakeWorker("w1").entry()
        daemon.registry.entries.update({f"w{number}": entry for number in range(65)})
        daemon.capacity_exchange.announce_if_due()
        load = ZoneLoad(90_000, 90_000)
        link = SimpleNamespace(peer=SimpleNamespace(node="n2"))
        daemon.peer_messages.on_message(link, AnnouncedLoad(load))
        choice = daemon.placer_choice
        assert set(choice.free_capacity) == {daemon.deployment.node, "n2"}
        assert choice.free_capacity["n2"].load == load
        choice.reachable_owners = lambda: {"a": daemon.deployment.node, "b": "n2"}
        choice.record_free_capacity(daemon.deployment.node, -1)
        assert choice.choose(make_submitted_job()).zone == "b"
        assert daemon.metrics.counters["jobs_moved", "b/free_only"] == 1


@pytest.mark.parametrize(
    "load",
    [
        ZoneLoad(1, 1, inf),
        ZoneLoad(1, 1, 0, (PriorityLoad(0, nan),)),
        ZoneLoad(1, 1, 0, (PriorityLoad(0, 0, -inf),)),
    ],
)
def test_load_that_is_not_finite_is_ignored_and_the_link_stays(load):
    # Decoding failed, which closed the link to a placer.
    message = decode_message(encode_message(AnnouncedLoad(load)))
    choice, metrics = PlacerChoice(CLOCK, dict, lambda zone: None), Metrics()
    exchange = CapacityExchange(CLOCK, None, None, None, choice, metrics)
    exchange.handle(SimpleNamespace(peer=SimpleNamespace(node="n2")), message)
    assert not choice.free_capacity
    assert metrics.counters["loads_ignored", ""] == 1


def test_wrong_estimate_counts_as_the_longest_estimate_in_the_load():
    with running_placer() as placer:
        job = make_submitted_job(count=2, estimate_ms=1e300, remaining_ms=1e300)
        placer.submit(FakeReceiver("n1"), job, ())
        load = measure_load(placer, {"n1"}, CLOCK.now_ms())
    work = 2 * 14_000 * COUNTED_ESTIMATE_MAX_MS
    assert load.own_arriving_millicores == work / 500
    assert load.priorities[0].waiting_millicore_ms == work


class PlacerHub(FakeHub):
    """Delivers submitted jobs to placers in this process, by node."""

    def __init__(self, **placers):
        super().__init__(*placers)
        self.placers = placers
        self.router = None

    def link(self, node):
        """Return the link to a placer."""
        return SimpleNamespace(
            peer=SimpleNamespace(node=node),
            has_job_leases=True,
            send=lambda message: self.deliver_to(node, message),
        )

    def deliver_to(self, node, message):
        """Pass a job to a placer and its outcome to the router."""
        self.sent[node].append(message)
        if not isinstance(message, Submit):
            return
        receiver = SimpleNamespace(
            node="n0",
            renewed_ms=lambda job_id: inf,
            deliver=lambda outcome: self.router.record_outcome(node, outcome),
        )
        self.placers[node].submit(receiver, message.job, message.former_placers)


def test_moved_job_is_neither_lost_nor_started_twice_if_its_placer_fails():
    owners = {"a": "p1", "b": "p2"}
    choice = PlacerChoice(CLOCK, lambda: owners, owners.get)
    full = ZoneLoad(-90_000, 90_000, 0, (PriorityLoad(0, 9_000_000),))
    for node, load in (("p1", full), ("p2", ZoneLoad(90_000, 90_000))):
        choice.record_load(node, load)
    choice.free_capacity["p2"].budget_millicores = 90_000
    worker = FakeWorker("w1", zone="b")
    with (
        running_placer(node="p1") as home,
        running_placer(worker, node="p2") as failing,
        running_placer(node="p3") as successor,
    ):
        assert wait_for(lambda: all_ready(failing))
        hub = PlacerHub(p1=home, p2=failing, p3=successor)
        router = hub.router = JobRouter(
            "n0", CLOCK, hub, None, choice, owners.__contains__, lambda: None
        )
        job = router.submit(make_submitted_job())
        assert job.placer == "p2"
        assert wait_for(lambda: worker.running)
        failing.workers["w1"].closed = True
        owners["b"] = "p3"
        successor.connect = lambda entry: worker
        successor.add_worker(worker.entry(), TOKEN + (1 << 40))
        router.on_placer_lost("p2")
        router.tick()
        assert hub.sent["p3"][0].former_placers == ("p2",)
        assert wait_for(lambda: all_ready(successor))
        worker.end("00000000000000aa.0.0.0")
        assert job.result.get(timeout=5).kind is OutcomeKind.COMPLETE
    assert len(worker.starts) == 1
    assert not hub.sent["p1"]
