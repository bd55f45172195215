"""A placer starts nothing for jobs, and on workers, of a former ownership."""

from math import inf
from types import SimpleNamespace

import gevent
import pytest

from rattanloom.ingress.job_router import REJECTED_PAUSE_MS
from rattanloom.links.link import Link
from rattanloom.links.messages import Hello, LeaseProbeReply
from rattanloom.ownership.records import ZoneOwner
from rattanloom.peer_receiver import PeerOutcomeReceiver
from rattanloom.placement.inherited_work import INHERITED_RUN_MAX_MS
from rattanloom.placement.job_lease import START_MAX_MS
from rattanloom.placement.worker_events import WorkerState
from standins.store import Store, StoreSwitches
from tests.dispatcher_fakes import (
    CLOCK,
    FakeReceiver,
    FakeWorker,
    make_submitted_job,
    wait_for,
)
from tests.test_complete_jobs import TASK
from tests.test_configuration_delay import daemon_with
from tests.test_job_router import FakeHub, FakeOwnership, make_router
from tests.test_placer import TOKEN, all_ready, running_placer

LONGER_THAN_A_TICK_S = 0.2


def expire_lease(placer, worker_id: str) -> None:
    """Let the lease of a worker end, as after a freeze of this process."""
    placer.workers[worker_id].lease.expires_ms = 0


def test_task_lost_with_a_zone_is_not_started_for_a_daemon_that_disconnected():
    # The owner froze, and the daemon sent the job to the next owner meanwhile.
    lost, kept = FakeWorker("w1"), FakeWorker("w2", zone="b")
    with running_placer(lost) as placer:
        receiver = FakeReceiver()
        placer.submit(receiver, make_submitted_job(), ())
        assert wait_for(lambda: lost.running)
        placer.connect = lambda entry: kept
        placer.add_worker(kept.entry(), TOKEN)
        assert wait_for(lambda: all_ready(placer))
        receiver.disconnect()
        expire_lease(placer, "w1")
        placer.remove_worker("w1", "it is no longer registered")
        gevent.sleep(LONGER_THAN_A_TICK_S)
        assert not kept.starts


@pytest.mark.parametrize("how", ["taken over", "fenced"])
def test_run_counts_as_active_until_the_next_owner_of_its_worker_has_stopped_it(how):
    # The next owner may have extended the worker's lease for other runs.
    lost, kept = FakeWorker("w1"), FakeWorker("w2", zone="b")
    with running_placer(lost) as placer:
        placer.submit(FakeReceiver(), make_submitted_job(), ())
        assert wait_for(lambda: lost.running)
        placer.connect = lambda entry: kept
        placer.add_worker(kept.entry(), TOKEN)
        assert wait_for(lambda: all_ready(placer))
        worker = placer.workers["w1"]
        expire_lease(placer, "w1")
        if how == "fenced":
            worker.state = WorkerState.FENCED
            placer.on_worker_changed(worker)
        else:
            placer.release_worker("w1")
        lease_end_ms = worker.lease.expires_ms
        assert lease_end_ms > CLOCK.now_ms() + 900 + INHERITED_RUN_MAX_MS
        assert placer.active_runs[TASK] == 1
        assert wait_for(lambda: kept.starts, within_s=3)
        assert CLOCK.now_ms() >= lease_end_ms


def test_task_of_a_job_that_its_daemon_sent_elsewhere_is_not_started():
    worker, receiver = FakeWorker("w1"), FakeReceiver()
    with running_placer() as placer:
        placer.submit(receiver, make_submitted_job(), ())
        receiver.waiting = False
        placer.connect = lambda entry: worker
        placer.add_worker(worker.entry(), TOKEN)
        assert wait_for(lambda: all_ready(placer))
        gevent.sleep(LONGER_THAN_A_TICK_S)
        assert not worker.starts


def test_task_is_not_started_after_the_deadline_of_its_job():
    worker = FakeWorker("w1")
    with running_placer(worker) as placer:
        assert wait_for(lambda: all_ready(placer))
        placer.submit(FakeReceiver(), make_submitted_job(remaining_ms=-1), ())
        assert not placer.active_runs
        gevent.sleep(LONGER_THAN_A_TICK_S)
        assert not worker.starts


def test_start_that_was_not_sent_before_its_worker_was_removed_is_not_sent():
    worker = FakeWorker("w1")
    with running_placer(worker) as placer:
        assert wait_for(lambda: all_ready(placer))
        placer.submit(FakeReceiver(), make_submitted_job(), ())
        assert placer.active_runs[TASK] == 1
        placer.release_worker("w1")
        gevent.sleep(LONGER_THAN_A_TICK_S)
        assert not worker.starts
        assert not placer.active_runs[TASK]


def test_lease_of_a_job_is_renewed_only_on_the_link_on_which_it_was_submitted():
    # The daemon may have submitted the job elsewhere before it opened another link.
    links = [Link(None, CLOCK, None, None, Hello("n2", "b", "", 1)) for _ in range(2)]
    first, reopened = (PeerOutcomeReceiver(link, hub=None) for link in links)
    links[1]._record_reply(LeaseProbeReply(CLOCK.now_ms()))
    assert first.renewed_ms("job") == 0
    assert reopened.renewed_ms("job") == links[1]._answered_ms
    links[1].closed_ms = links[1]._answered_ms
    assert reopened.renewed_ms("job") + START_MAX_MS <= CLOCK.now_ms()


def test_leases_of_own_jobs_are_renewed_only_while_this_daemon_is_their_placer():
    ownership = FakeOwnership("n0")
    router = make_router(ownership, FakeHub("p2"))
    withdrawn = []
    router.placer = SimpleNamespace(
        submit=lambda *arguments: None,
        withdraw=lambda *arguments: withdrawn.append(arguments),
    )
    job = router.submit(make_submitted_job())
    job_id = job.submitted.job_id
    assert router.renewed_ms(job_id) == router.clock.now_ms()
    ownership.owner = "p2"
    router.on_placers_changed()
    assert router.renewed_ms(job_id) == -inf
    assert withdrawn == [(job_id, router, True, job.submission)]


def test_jobs_are_dropped_with_the_last_zone_also_if_no_worker_is_left():
    # All workers had refused the token before the owners were read.
    store = Store(switches=StoreSwitches(latency_ms=0))
    with daemon_with(store) as daemon:
        daemon.ownership.acquirer.acquire(["a"], "test")
        placer, router = daemon.placer, daemon.job_router
        job = router.submit(make_submitted_job())
        assert job.placer == "d1"
        assert job.submitted.job_id in placer.jobs
        daemon.ownership.view.apply_owners([ZoneOwner("a", "d2", 2)])
        assert not placer.jobs
        assert job.placer is None
        assert job.former_placers == ("d1",)


def test_own_job_is_submitted_again_after_its_zone_was_lost_and_regained():
    store = Store(switches=StoreSwitches(latency_ms=0))
    with daemon_with(store) as daemon:
        daemon.ownership.acquirer.acquire(["a"], "test")
        job = daemon.job_router.submit(make_submitted_job())
        daemon.ownership.view.apply_owners([ZoneOwner("a", "d2", 2)])
        daemon.ownership.acquirer.acquire(["a"], "test")
        gevent.sleep(REJECTED_PAUSE_MS / 1_000)
        daemon.job_router.tick()
        assert job.placer == "d1"
        assert daemon.placer.jobs[job.submitted.job_id].former_placers == ("d1",)
