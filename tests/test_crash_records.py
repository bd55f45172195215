"""Tests of the records of runs that were lost with their workers."""

from attrs import evolve

from rattanloom.placement.crash_records import (
    RECORD_KEPT_MS,
    CrashRecords,
    LossState,
    RunLoss,
    TaskRisk,
)
from standins.store import Store, StoreSwitches
from tests.dispatcher_fakes import wait_for
from tests.store_rows import write_worker
from tests.test_configuration_delay import daemon_with

TASK = "00000000000000aa.0.0.0"
LOSS = RunLoss(TASK, "w1", 1, True, LossState.OPEN)


def test_worker_that_was_cut_off_counts_if_it_crashes_under_the_task_later():
    records = CrashRecords()
    records.record(LOSS, 0)
    records.resolve_worker("w1", 1, 1)
    assert records.risk(TASK) is TaskRisk.NONE
    records.record(LOSS, 2)
    assert records.risk(TASK) is TaskRisk.SUSPECT
    records.resolve_worker("w1", 2, 3)
    assert [loss.state for loss in records.losses()] == [LossState.CRASHED]


def test_loss_that_a_peer_announces_late_does_not_undo_a_decision():
    records = CrashRecords()
    records.record(LOSS, 0)
    records.resolve_worker("w1", 1, 1)
    assert not records.add(LOSS, 2)
    assert records.risk(TASK) is TaskRisk.NONE
    assert records.add(evolve(LOSS, state=LossState.CRASHED), 3)


def test_three_losses_that_were_shared_do_not_make_a_task_guilty():
    records = CrashRecords()
    for number in range(3):
        shared = evolve(LOSS, worker_id=f"w{number}", alone=False)
        records.record(evolve(shared, state=LossState.CRASHED), 0)
    assert records.risk(TASK) is TaskRisk.SUSPECT


def test_records_expire():
    records = CrashRecords()
    records.record(LOSS, 0)
    records.remove_expired(RECORD_KEPT_MS)
    assert records.losses()
    records.remove_expired(RECORD_KEPT_MS + 1)
    assert not records.losses()


def test_daemon_does_not_take_a_worker_for_gone_by_an_old_list_of_workers():
    store = Store(switches=StoreSwitches(latency_ms=0))
    with daemon_with(store) as daemon:
        assert daemon.workers_follower.read_now() is None
        daemon.registry._first_read_ms -= 10_000
        records = daemon.placer.crash_policy.records
        records.record(LOSS, 0)
        write_worker(store, "w1")
        daemon.workers_follower._confirmed_ms -= 10_000
        daemon.ownership.acquirer.acquire(["a"], "test")
        assert wait_for(lambda: "w1" in daemon.registry.entries)
        for worker in daemon.placer.workers.values():
            worker.closed = True
        assert [loss.state for loss in records.losses()] == [LossState.OPEN]


def test_new_owner_takes_a_worker_for_gone_that_its_first_list_lacks():
    store = Store(switches=StoreSwitches(latency_ms=0))
    with daemon_with(store) as daemon:
        assert daemon.workers_follower.read_now() is None
        daemon.registry._first_read_ms -= 10_000
        daemon.workers_follower._confirmed_ms -= 10_000
        records = daemon.placer.crash_policy.records
        records.record(LOSS, 0)
        daemon.ownership.acquirer.acquire(["a"], "test")
        assert wait_for(
            lambda: [loss.state for loss in records.losses()] == [LossState.CRASHED]
        )
