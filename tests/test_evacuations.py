"""Tests that no task starts in an evacuated zone, and where its jobs go instead."""

from contextlib import contextmanager
from math import inf

import gevent
import pytest
from attrs import define, field

from rattanloom.evacuations import EvacuationAgeGuard, Evacuations
from rattanloom.ingress.job_router import NO_PLACER_TIMEOUT_MS, JobRouter
from rattanloom.links.messages import Hello, JobsReturned, Outcome, Submit
from rattanloom.peer_receiver import PeerOutcomeReceiver
from rattanloom.placement.crash_records import LossState, RunLoss
from rattanloom.placement.jobs import JobPolicy, OutcomeKind, ReturnedJob
from rattanloom.placement.load_report import measure_load
from rattanloom.placement.workers import RefusalReason, Refused, StartOrder
from rattanloom.platform.deployment import Bounds
from rattanloom.platform.json_format import structure
from rattanloom.platform.rows import Row, RowRef
from rattanloom.scheduling.zone_choice import PlacerChoice
from standins.store import Store, StoreSwitches
from standins.table_rows import RowRef as StoreRowRef
from tests.dispatcher_fakes import (
    CLOCK,
    FakeReceiver,
    FakeWorker,
    make_submitted_job,
    wait_for,
)
from tests.store_rows import write_configuration, write_row
from tests.test_configuration_delay import (
    daemon_with,
    lose_one_request,
    ms_until,
    running,
)
from tests.test_entry_age import ticking, write_capacity
from tests.test_job_router import FakeHub, ManualClock
from tests.test_placer import all_ready, running_placer

JOB = "00000000000000aa"
EVACUATE_MS = 5_000
BOUNDS = Bounds(evacuation_delay_max_ms=EVACUATE_MS)


def evacuation(zone: str, version: int, deleted: bool = False) -> Row:
    value = None if deleted else b"{}"
    return Row(RowRef("op", "", f"evacuate/{zone}"), version, value, deleted)


def make_evacuations(*rows: Row) -> tuple[Evacuations, list]:
    changes = []
    evacuations = Evacuations(("a", "b"), lambda: changes.append(1))
    evacuations.apply_snapshot(rows)
    return evacuations, changes


# The evacuated zones, from the rows of the operator's table


def test_deleted_row_ends_an_evacuation_and_the_row_may_come_back():
    evacuations, changes = make_evacuations()
    evacuations.apply_rows([evacuation("a", 1)])
    evacuations.apply_rows([evacuation("a", 2, deleted=True)])
    assert not evacuations.in_force
    evacuations.apply_rows([evacuation("a", 3), evacuation("b", 4)])
    assert evacuations.in_force == {"a": 3, "b": 4}
    assert len(changes) == 3


def test_full_read_after_lost_history_ends_evacuations_whose_rows_it_lacks():
    evacuations, changes = make_evacuations(evacuation("a", 1), evacuation("b", 2))
    evacuations.apply_snapshot([evacuation("b", 2)])
    assert evacuations.in_force == {"b": 2}
    evacuations.apply_snapshot([evacuation("b", 2)])
    assert len(changes) == 2, "the same row again changes nothing"


def test_row_of_an_unknown_zone_and_other_rows_are_ignored():
    config = Row(RowRef("op", "", "config"), 2, b"{}")
    evacuations, changes = make_evacuations(evacuation("x", 1), config)
    assert not evacuations.in_force
    assert not changes


def test_unreadable_value_evacuates_the_zone_too():
    row = Row(RowRef("op", "", "evacuate/a"), 1, None)
    assert make_evacuations(row)[0].in_force


def test_bounds_are_optional_and_shorten_the_wait_of_polls():
    assert structure({}, Bounds) == Bounds()
    assert Bounds().operator_table_delay_max_ms == 2_000
    wire = {"evacuate_ms": 2_500, "max_skew_ms": 400, "cold_overshoot": 2}
    bounds = structure(wire | {"cold_slack": 7}, Bounds)
    assert (bounds.store_skew_max_ms, bounds.cold_overshoot) == (400, 2)
    assert bounds.cold_slack == 7
    assert bounds.operator_table_delay_max_ms == 1_500


@pytest.mark.parametrize(("lost_polls", "latency_ms"), [(0, 400), (3, 0)])
def test_evacuation_is_known_within_the_bound(lost_polls, latency_ms):
    store = Store(switches=StoreSwitches(latency_ms=latency_ms))
    with daemon_with(store, BOUNDS) as daemon, running(daemon.queue_follower):
        assert wait_for(lambda: daemon.evacuation_control.evacuations.is_known)
        for _ in range(lost_polls):
            lose_one_request(store)
        write_row(store, "op", "evacuate/a", {})
        in_force = daemon.evacuation_control.evacuations.in_force
        assert ms_until(lambda: in_force) < EVACUATE_MS - 1_000


def test_evacuation_that_ended_while_the_history_was_dropped_ends_at_the_daemon():
    store = Store(switches=StoreSwitches(latency_ms=0))
    write_row(store, "op", "evacuate/a", {})
    with daemon_with(store, BOUNDS) as daemon, running(daemon.queue_follower):
        in_force = daemon.evacuation_control.evacuations.in_force
        assert wait_for(lambda: in_force)
        store.set_switches(down=True)
        store.write([(StoreRowRef("op", "", "evacuate/a"), None)])
        store.rows.drop_history()
        store.set_switches(down=False)
        assert wait_for(lambda: not in_force)


def test_new_owner_starts_nothing_in_the_zone_until_the_evacuation_ends():
    store = Store(switches=StoreSwitches(latency_ms=0))
    write_row(store, "op", "evacuate/a", {})
    worker, receiver = FakeWorker("w1"), FakeReceiver()
    write_capacity(store, worker, 32_000)
    with daemon_with(store, BOUNDS) as daemon, ticking(daemon):
        daemon.placer.connect = lambda entry: worker
        assert daemon.workers_follower.read_now() is None
        daemon.ownership.acquirer.acquire(["a"], "test")
        assert wait_for(lambda: daemon.placer.workers)
        daemon.placer.submit(receiver, make_submitted_job(), ())
        gevent.sleep(0.1)
        assert not worker.starts, "the table was not read yet"
        with running(daemon.queue_follower):
            assert wait_for(lambda: receiver.returned)
            write_configuration(store, 1, ("/a/",))
            assert wait_for(lambda: daemon.queues.configuration)
            daemon.placer.submit(receiver, make_submitted_job(), ())
            assert len(receiver.returned) == 2
            store.write([(StoreRowRef("op", "", "evacuate/a"), None)])
            assert wait_for(lambda: not daemon.placer.start_limits.evacuated_zones)
            daemon.placer.submit(receiver, make_submitted_job(), ())
            assert wait_for(lambda: worker.starts)


# Old copies of the operator's table


def make_guard(evacuations: Evacuations, contact_age_ms: float = 0, **fields):
    ages = {"copy": 0.0, "contact": contact_age_ms, "refreshes": 0}
    guard = EvacuationAgeGuard(
        ManualClock(),
        evacuations,
        lambda: ages["copy"],
        lambda: ages["contact"],
        lambda: ages.update(refreshes=ages["refreshes"] + 1),
        **fields,
    )
    return guard, ages


def test_old_copy_holds_starts_back_while_the_store_is_reachable():
    guard, ages = make_guard(make_evacuations()[0], age_max_ms=4_000)
    assert guard.may_start()
    ages["copy"] = 4_001
    for _ in range(10):
        assert not guard.may_start()
        guard.clock.at_ms += 500
    assert ages["refreshes"] == 1
    ages["copy"] = 100
    assert guard.may_start()


def test_starts_go_on_by_an_old_copy_while_the_store_is_unreachable():
    guard, ages = make_guard(make_evacuations()[0], 3_000, age_max_ms=4_000)
    ages["copy"] = 5_000
    assert not guard.may_start(), "the read that was begun may succeed"
    guard.clock.at_ms += 300
    assert guard.may_start()


def test_restarted_daemon_starts_nothing_before_it_read_the_table():
    guard, ages = make_guard(Evacuations(("a",), lambda: None), age_max_ms=4_000)
    ages["contact"] = 60_000
    assert not guard.may_start()
    guard.clock.at_ms += 10_000
    assert not guard.may_start()


def test_deployment_without_evacuations_never_holds_starts_back():
    guard, ages = make_guard(Evacuations(("a",), lambda: None))
    ages["copy"] = 60_000
    assert guard.may_start()


# Starts


@contextmanager
def placer_of_two_zones(*evacuated: str):
    workers = FakeWorker("w1", "a"), FakeWorker("w2", "b")
    with running_placer(*workers) as placer:
        placer.start_limits.evacuated_zones = set(evacuated)
        assert wait_for(lambda: all_ready(placer))
        yield placer, *workers


def test_placer_of_all_zones_uses_the_workers_of_the_others():
    with placer_of_two_zones("a") as (placer, evacuated, other):
        receiver = FakeReceiver()
        placer.submit(receiver, make_submitted_job(count=3), ())
        assert wait_for(lambda: len(other.running) == 2)
        load = measure_load(placer, (), CLOCK.now_ms())
        assert load.free_millicores == 32_000 - 3 * 14_000
        assert load.capacity_millicores == 32_000, "that of zone a is announced"
        gevent.sleep(0.1)
        assert not evacuated.starts
        assert not receiver.returned
        assert not placer.metrics.counters["tasks_not_started", "no_answer"]
        placer.start_limits.evacuated_zones.clear()
        assert wait_for(lambda: evacuated.running), "the end of it frees the workers"


def test_running_task_of_an_evacuated_zone_may_end():
    with placer_of_two_zones("b") as (placer, worker, _):
        receiver = FakeReceiver()
        placer.submit(receiver, make_submitted_job(estimate_ms=2_000), ())
        assert wait_for(lambda: worker.running)
        placer.start_limits.evacuated_zones.add("a")
        gevent.sleep(1.1)
        worker.end(f"{JOB}.0.0.0")
        assert wait_for(lambda: receiver.outcomes)
        assert receiver.outcomes[0].kind is OutcomeKind.COMPLETE


def test_order_is_not_sent_if_the_zone_was_evacuated_after_its_worker_was_chosen():
    with placer_of_two_zones() as (placer, worker, other):
        receiver = FakeReceiver()
        placer.submit(receiver, make_submitted_job(count=2), ())
        placer.start_limits.evacuated_zones |= {"a", "b"}
        gevent.sleep(0.1)
        assert not worker.starts + other.starts
        assert [job.job_id for job in receiver.returned] == [JOB]


@define(eq=False)
class RefusingWorker(FakeWorker):
    """A worker that refuses each attempt, after its zone was evacuated."""

    evacuated_zones: set[str] = field(factory=set)
    orders_received: int = 0

    def start(self, order: StartOrder) -> Refused:
        self.orders_received += 1
        self.evacuated_zones.add(self.zone)
        return Refused(RefusalReason.ATTEMPT_TOO_OLD)


def test_order_is_not_sent_again_if_the_zone_was_evacuated_meanwhile():
    worker = RefusingWorker("w1")
    with running_placer(worker) as placer:
        assert wait_for(lambda: all_ready(placer))
        placer.start_limits.evacuated_zones = worker.evacuated_zones
        placer.submit(FakeReceiver(), make_submitted_job(), ())
        assert wait_for(lambda: not placer.jobs)
        assert worker.orders_received == 1


def test_isolated_task_does_not_start_in_an_evacuated_zone():
    with placer_of_two_zones("a") as (placer, evacuated, other):
        loss = RunLoss(f"{JOB}.0.0.0", "w0", 7, False, LossState.OPEN)
        placer.add_losses([loss])
        placer.submit(FakeReceiver(), make_submitted_job(), ())
        assert wait_for(lambda: other.running)
        gevent.sleep(0.1)
        assert not evacuated.starts
        assert not placer.metrics.counters["tasks_not_started", "no_answer"]


# Jobs that are handed back


def policy(priority: int) -> JobPolicy:
    return JobPolicy("service", priority, 2, 1.6, 60)


def test_waiting_jobs_are_handed_back_by_priority_and_deadline():
    with placer_of_two_zones() as (placer, *workers):
        receiver = FakeReceiver()
        placer.submit(receiver, make_submitted_job("00000000000000ff", 4), ())
        assert wait_for(lambda: sum(len(w.running) for w in workers) == 4)
        for job_id, priority, remaining_ms in (
            ("0000000000000001", 2, 3_000),
            ("0000000000000002", 1, 4_000),
            ("0000000000000003", 1, 3_000),
        ):
            job = make_submitted_job(
                job_id, remaining_ms=remaining_ms, policy=policy(priority)
            )
            placer.submit(receiver, job, ())
        placer.submit(receiver, make_submitted_job("0000000000000004"), ("p0",))
        placer.start_limits.evacuated_zones |= {"a", "b"}
        assert wait_for(lambda: receiver.returned)
        numbers = [int(job.job_id) for job in receiver.returned]
        assert numbers == [3, 2, 1]
        assert set(placer.jobs) == {"0000000000000004", "00000000000000ff"}
        assert not receiver.outcomes, "jobs that may have run stay"


def test_older_peer_gets_refusals_instead_of_returned_jobs():
    returned = ReturnedJob(JOB, 1, 1_500)
    hub = FakeHub("d0")
    for version, expected in (
        (2, JobsReturned((returned,))),
        (1, Outcome(returned.refusal)),
    ):
        link = hub.link("d0")
        link.peer = Hello("d0", "a", "", 0, version)
        PeerOutcomeReceiver(link, OneLink(link)).take_back((returned,))
        assert hub.sent["d0"].pop() == expected


class OneLink:
    """A hub whose links to all nodes are the same one."""

    def __init__(self, link):
        self.link = lambda node: link


def make_router(hub, evacuated: set[str], owners=None):
    owners = owners or {"a": "p1", "b": "p2"}
    reachable = {z: node for z, node in owners.items() if hub.link(node)}
    choice = PlacerChoice(
        ManualClock(), lambda: reachable, owners.get, evacuated, ("a", "b")
    )
    return JobRouter(
        "n0",
        ManualClock(),
        hub,
        None,
        choice,
        lambda node: node in owners.values(),
        lambda: None,
    )


def test_job_of_an_evacuated_zone_goes_directly_to_another_placer():
    hub, evacuated = FakeHub("p1", "p2"), {"a"}
    router = make_router(hub, evacuated)
    router.submit(make_submitted_job())
    assert isinstance(hub.sent["p2"][0], Submit)
    assert router.placer_choice.is_preferred_nearly_full(), "links must be kept"
    evacuated.clear()
    router.submit(make_submitted_job("00000000000000bb"))
    assert hub.sent["p1"]


def test_returned_job_goes_to_another_placer_as_one_that_never_ran():
    hub = FakeHub("p1", "p2")
    router = make_router(hub, set())
    job = router.submit(make_submitted_job())
    router.on_jobs_returned("p1", (ReturnedJob(JOB, 1, 1_000),))
    assert hub.sent["p2"][0].former_placers == ()
    router.on_jobs_returned("p2", (ReturnedJob(JOB, 1, 1_000),))
    outcome = job.result.get(timeout=0)
    assert outcome.kind is OutcomeKind.REFUSED
    assert outcome.retry_after_ms >= 1_000


def test_job_is_refused_if_a_partition_leaves_only_the_evacuated_zone():
    router = make_router(FakeHub("p1"), {"a"})
    job = router.submit(make_submitted_job())
    assert not job.result.ready()
    router.clock.at_ms += NO_PLACER_TIMEOUT_MS + 1
    router.tick()
    assert job.result.get(timeout=0).kind is OutcomeKind.REFUSED
    assert not router.hub.sent["p1"]


def test_returned_job_waits_for_a_link_to_another_placer():
    hub = FakeHub("p1")
    router = make_router(hub, set())
    job = router.submit(make_submitted_job())
    router.clock.at_ms += 2 * NO_PLACER_TIMEOUT_MS
    router.on_jobs_returned("p1", (ReturnedJob(JOB, 1, 1_000),))
    router.tick()
    assert not job.result.ready()
    router.clock.at_ms += NO_PLACER_TIMEOUT_MS + 1
    router.tick()
    assert job.result.get(timeout=0).kind is OutcomeKind.REFUSED


def test_return_is_ignored_if_the_placer_may_have_the_job_again():
    hub = FakeHub("p1", "p2")
    router = make_router(hub, set())
    job = router.submit(make_submitted_job())
    router.on_jobs_returned("p2", (ReturnedJob(JOB, 1, 1_000),))
    assert job.placer == "p1"
    router.on_placer_lost("p1")
    router.tick()
    router.on_jobs_returned("p1", (ReturnedJob(JOB, 1, 1_000),))
    assert job.former_placers == ("p1",)
    assert not hub.sent["p2"]


def test_jobs_are_refused_at_once_while_all_zones_are_evacuated():
    evacuated = {"a", "b"}
    router = make_router(FakeHub("p1", "p2"), evacuated)
    job = router.submit(make_submitted_job())
    assert job.result.get(timeout=0).kind is OutcomeKind.REFUSED
    assert job.result.get().retry_after_ms >= 1_000


# What callers gain


class NoReturns:
    """The former decision: jobs wait at the placer that has them."""

    def return_jobs(self, waiting) -> None:
        """Return no jobs."""


class LocalHub:
    """Links to placers in this process."""

    def __init__(self, router: list, placers: dict):
        self.links = {}
        for node, placer in placers.items():
            receiver = LocalReceiver(router, node)
            self.links[node] = LocalLink(placer, receiver)

    def link(self, node):
        return self.links.get(node)


class LocalLink:
    """Passes jobs to a placer."""

    def __init__(self, placer, receiver):
        self.send = lambda message: placer.submit(
            receiver, message.job, message.former_placers
        )


class LocalReceiver:
    """Passes outcomes and returned jobs from the placer ``node`` to a router."""

    node = "n0"
    renewed_ms = staticmethod(lambda job_id: inf)

    def __init__(self, router: list, node: str):
        self.deliver = lambda outcome: router[0].record_outcome(node, outcome)
        self.take_back = lambda jobs: router[0].on_jobs_returned(node, jobs)


@pytest.mark.parametrize(("moves_jobs", "completed"), [(False, 0), (True, 6)])
def test_callers_of_an_evacuated_zone_are_served_by_the_other_zone(
    moves_jobs, completed
):
    """Half of the jobs wait when the evacuation begins, the others come after it."""
    workers = FakeWorker("w1", "a"), FakeWorker("w2", "b")
    with running_placer(workers[0]) as one, running_placer(workers[1]) as two:
        assert wait_for(lambda: all_ready(one) and all_ready(two))
        known = set()
        router = []
        router.append(make_router(LocalHub(router, {"p1": one, "p2": two}), known))
        one.submit(FakeReceiver(), make_submitted_job("00000000000000ff", 2), ())
        assert wait_for(lambda: len(workers[0].running) == 2)
        jobs = [router[0].submit(make_job_number(number)) for number in range(3)]
        one.start_limits.evacuated_zones = {"a"}
        if moves_jobs:
            known.add("a")
        else:
            one.job_returns = NoReturns()
        jobs += [router[0].submit(make_job_number(number)) for number in range(3, 6)]
        ending = gevent.spawn(end_runs, workers[1])
        kinds = [job.result.get(timeout=5).kind for job in jobs]
        ending.kill()
    assert kinds.count(OutcomeKind.COMPLETE) == completed
    assert len(workers[0].starts) == 2


def make_job_number(number: int):
    return make_submitted_job(f"{number:016x}", estimate_ms=50, remaining_ms=1_500)


def end_runs(worker: FakeWorker) -> None:
    while True:
        gevent.sleep(0.03)
        for task, _ in list(worker.running):
            worker.end(task)
