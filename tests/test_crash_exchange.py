"""Tests that the crashes which one placer saw count at the next one."""

from contextlib import contextmanager

import gevent
from attrs import define, evolve

from rattanloom.crash_exchange import CrashExchange
from rattanloom.links.hub import LinkHub
from rattanloom.links.messages import Hello, RunLosses
from rattanloom.metrics import Metrics
from rattanloom.placement.crash_records import LossState, RunLoss, TaskRisk
from rattanloom.placement.jobs import OutcomeKind
from rattanloom.placement.placer import Placer
from tests.dispatcher_fakes import (
    CLOCK,
    FakeReceiver,
    make_submitted_job,
    wait_for,
)
from tests.peer_hosts import free_address
from tests.test_crashing_tasks import (
    CRASHING_JOB,
    CRASHING_TASK,
    count_starts,
    make_workers,
    send_until_final,
)
from tests.test_placer import TOKEN, all_ready, tick_all


@define(eq=False)
class Peer:
    """A daemon reduced to its placer and its links."""

    hub: LinkHub
    placer: Placer
    exchange: CrashExchange


@contextmanager
def running_peer(name: str, workers: list, protocol_version: int = 1):
    """Run a placer, whose fencing token is ``TOKEN``, on some workers."""
    by_id = {worker.worker_id: worker for worker in workers}
    placer = Placer(
        name,
        CLOCK,
        Metrics(),
        1_000,
        lambda entry: by_id[entry.worker_id],
        lambda worker: None,
        lambda: None,
    )
    address = free_address()
    parts = {}
    hub = LinkHub(
        Hello(name, "a", address, 1, protocol_version),
        address,
        CLOCK,
        lambda link, message: parts["exchange"].handle(message),
        lambda link: parts["exchange"].on_link_opened(link),
        lambda link: None,
    )
    exchange = parts["exchange"] = CrashExchange(hub, placer)
    placer.crash_policy.records.announce = exchange.announce
    for worker in workers:
        placer.add_worker(worker.entry(), TOKEN)
    ticking = gevent.spawn(tick_all, placer)
    try:
        with hub.serving():
            yield Peer(hub, placer, exchange)
    finally:
        ticking.kill()
        for pooled in placer.workers.values():
            pooled.closed = True


def connect(one: Peer, other: Peer) -> None:
    address = other.hub.own_hello.address
    one.hub.keep_link(other.placer.node, address, CLOCK.now_ms() + 60_000)
    assert wait_for(lambda: one.hub.link(other.placer.node))
    assert wait_for(lambda: other.hub.link(one.placer.node))


def test_new_placer_does_not_start_a_task_that_crashed_workers_of_the_former_one():
    workers = make_workers(4, down_s=0.2)
    with running_peer("n1", workers[:3]) as former, running_peer("n2", []) as heir:
        connect(heir, former)
        assert wait_for(lambda: all_ready(former.placer))
        send_until_final(former.placer, FakeReceiver())
        assert wait_for(
            lambda: (
                heir.placer.crash_policy.records.risk(CRASHING_TASK)
                is TaskRisk.CRASHING
            )
        )
        receiver = FakeReceiver()
        heir.placer.connect = lambda entry: workers[3]
        heir.placer.add_worker(workers[3].entry(), TOKEN)
        heir.placer.submit(receiver, make_submitted_job(CRASHING_JOB), ("n1",))
        assert wait_for(lambda: receiver.outcomes)
    assert receiver.outcomes[0].kind is OutcomeKind.FAILED
    assert count_starts(workers, CRASHING_TASK) == 2


def test_daemon_that_joins_later_gets_the_records_with_its_first_link():
    workers = make_workers(3, down_s=0.2)
    with running_peer("n1", workers) as former, running_peer("n2", []) as heir:
        assert wait_for(lambda: all_ready(former.placer))
        send_until_final(former.placer, FakeReceiver())
        connect(heir, former)
        assert wait_for(
            lambda: (
                heir.placer.crash_policy.records.risk(CRASHING_TASK)
                is TaskRisk.CRASHING
            )
        )


def test_peer_of_an_older_build_gets_no_records():
    workers = make_workers(3, down_s=0.2)
    with (
        running_peer("n1", workers) as former,
        running_peer("n2", [], protocol_version=0) as older,
    ):
        connect(older, former)
        assert wait_for(lambda: all_ready(former.placer))
        send_until_final(former.placer, FakeReceiver())
        gevent.sleep(0.05)
        assert not older.placer.crash_policy.records.losses()


def test_job_that_waits_ends_once_a_peer_announces_that_its_task_crashes_workers():
    loss = RunLoss(CRASHING_TASK, "w1", 1, True, LossState.CRASHED)
    receiver = FakeReceiver()
    with running_peer("n1", []) as peer:
        peer.placer.submit(receiver, make_submitted_job(CRASHING_JOB), ())
        peer.exchange.handle(RunLosses((loss, evolve(loss, worker_id="w2"))))
        assert wait_for(lambda: receiver.outcomes)
    assert receiver.outcomes[0].kind is OutcomeKind.FAILED
