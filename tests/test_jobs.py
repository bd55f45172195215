"""Jobs run once, at their ticket's issuer; every caller gets the right result."""

import gevent
import pytest
from attrs import evolve

from rattanloom.errors import ErrorKind, Failure, Ran
from rattanloom.job import ResultKind
from rattanloom.job_digest import digest_of
from rattanloom.keys import Keyring
from rattanloom.rules import DeploymentRule, Rules
from rattanloom.ticket import TicketIssuer
from tests.fakes_jobs import (
    EPOCH_MS,
    OVERLOADED,
    FakeCluster,
    make_job,
    settle,
    with_deadline,
)
from tests.utils import FakeClock


@pytest.fixture
def cluster():
    cluster = FakeCluster()
    cluster.start("a")
    cluster.start("b")
    return cluster


def ticket_of(cluster, host):
    return cluster.hosts[host].issue_tickets(1)[0]


def summary(result):
    return (result.outcome, result.failure.kind, result.failure.effective_ran)


def test_a_resubmission_to_another_host_gets_the_first_result(cluster):
    job = make_job(ticket_of(cluster, "a"), tasks=3)
    result = cluster.hosts["a"].submit(job)
    assert result.outputs == ("out:p/0", "out:p/1", "out:p/2")
    assert cluster.hosts["b"].submit(job) == result
    assert cluster.hosts["b"].ask(job.job_id, 0) == result
    assert len(cluster.starts()) == 1


def test_a_resubmission_joins_the_running_job_and_its_caller_may_leave(cluster):
    a, b = cluster.hosts["a"], cluster.hosts["b"]
    a.dispatcher.hold = True
    job = make_job(ticket_of(cluster, "a"))
    leaver = gevent.spawn(a.submit, job)
    settle()
    joined = gevent.spawn(b.submit, job)
    settle()
    leaver.kill()
    assert b.ask(job.job_id, 0).outcome is ResultKind.PENDING
    a.dispatcher.released.set()
    assert joined.get().outcome is ResultKind.COMPLETE
    assert len(cluster.starts()) == 1


def test_concurrent_submissions_get_their_own_results(cluster):
    cluster.hosts["a"].dispatcher.hold = True
    jobs = [make_job(ticket_of(cluster, "a"), payload=f"c{n}") for n in range(20)]
    waiting = [
        gevent.spawn(cluster.hosts["ab"[n % 2]].submit, job)
        for n, job in enumerate(jobs)
    ]
    settle()
    cluster.hosts["a"].dispatcher.released.set()
    results = [each.get() for each in waiting]
    assert [each.outputs for each in results] == [(f"out:c{n}/0",) for n in range(20)]
    assert [each.job_id for each in results] == [job.job_id for job in jobs]


def test_the_same_ticket_with_other_content_is_refused(cluster):
    job = make_job(ticket_of(cluster, "a"))
    cluster.hosts["a"].submit(job)
    other = make_job(job.job_id, payload="other")
    refused = (ResultKind.REFUSED, ErrorKind.KEY_REUSED, Ran.NOT_RUN)
    assert summary(cluster.hosts["b"].submit(other)) == refused
    later = with_deadline(job, 9_000)
    assert cluster.hosts["b"].submit(later).outcome is ResultKind.COMPLETE


@pytest.mark.parametrize(
    "corrupt", [lambda t: t[:-1], lambda t: "x", lambda t: "é" + t]
)
def test_malformed_and_foreign_tickets_are_refused(cluster, corrupt):
    foreign = TicketIssuer(
        "z1", "a", "i1", Keyring(b"another deployment"), FakeClock(), EPOCH_MS
    )
    for text in (corrupt(ticket_of(cluster, "a")), foreign.issue(), "\ud800~~~~~"):
        for request in (
            lambda text=text: cluster.hosts["a"].submit(make_job(text)),
            lambda text=text: cluster.hosts["a"].ask(text, 0),
            lambda text=text: cluster.hosts["a"].cancel(text),
        ):
            expected = (ResultKind.REFUSED, ErrorKind.BAD_TICKET, Ran.NOT_RUN)
            assert summary(request()) == expected
    assert cluster.starts() == []


def test_a_ticket_whose_issuer_is_gone_never_runs_elsewhere(cluster):
    ticket = ticket_of(cluster, "a")
    cluster.start("a")
    for host in ("a", "b"):
        result = cluster.hosts[host].submit(make_job(ticket))
        expected = (ResultKind.UNKNOWN, ErrorKind.HOME_GONE, Ran.MAY_HAVE_RUN)
        assert summary(result) == expected
    assert cluster.starts() == []


def test_an_unsent_forward_reports_that_an_earlier_one_may_have_run(cluster):
    job = make_job(ticket_of(cluster, "a"))
    cluster.hosts["a"].submit(job)
    cluster.partitions.add(frozenset("ab"))
    result = cluster.hosts["b"].submit(job)
    expected = (ResultKind.UNKNOWN, ErrorKind.HOME_UNREACHABLE, Ran.MAY_HAVE_RUN)
    assert summary(result) == expected
    assert result.failure.effective_retry_after_ms > 0


def test_a_cut_off_host_without_platform_serves_its_own_tickets(cluster):
    cluster.table.down = True
    cluster.partitions.add(frozenset("ab"))
    result = cluster.hosts["b"].submit(make_job(ticket_of(cluster, "b")))
    assert result.outcome is ResultKind.COMPLETE


def test_a_refused_ticket_may_be_admitted_later(cluster):
    a = cluster.hosts["a"]
    job = make_job(ticket_of(cluster, "a"))
    a.admission.failure = OVERLOADED
    assert summary(a.submit(job))[2] is Ran.NOT_RUN
    a.admission.failure = None
    a.dispatcher.refuse = OVERLOADED
    assert summary(a.submit(job))[2] is Ran.NOT_RUN
    a.dispatcher.refuse = None
    assert a.submit(job).outcome is ResultKind.COMPLETE
    assert len(cluster.starts()) == 1


def test_an_outcome_that_may_have_run_never_starts_again(cluster):
    a = cluster.hosts["a"]
    a.dispatcher.refuse = Failure(ErrorKind.OUTCOME_UNKNOWN, "silent worker")
    job = make_job(ticket_of(cluster, "a"))
    first = a.submit(job)
    a.dispatcher.refuse = None
    assert a.submit(job) == first
    assert cluster.starts() == []


def test_a_dispatch_that_raises_gives_a_result_and_is_never_repeated(cluster):
    a = cluster.hosts["a"]
    job = make_job(ticket_of(cluster, "a"))
    working, a.dispatcher = a.dispatcher, None
    expected = (ResultKind.UNKNOWN, ErrorKind.INTERNAL, Ran.MAY_HAVE_RUN)
    assert summary(a.submit(job)) == expected
    a.dispatcher = working
    assert summary(a.submit(job)) == expected
    assert cluster.starts() == []


def test_a_ticket_cancelled_before_its_submission_never_starts(cluster):
    ticket = ticket_of(cluster, "a")
    expected = (ResultKind.REFUSED, ErrorKind.CANCELLED, Ran.NOT_RUN)
    assert summary(cluster.hosts["b"].cancel(ticket)) == expected
    refused = cluster.hosts["b"].submit(make_job(ticket))
    assert summary(refused)[2] is Ran.NOT_RUN
    assert cluster.starts() == []


def test_many_concurrent_cancellations_all_get_a_result(cluster):
    a, b = cluster.hosts["a"], cluster.hosts["b"]
    a.dispatcher.hold = True
    jobs = [make_job(ticket_of(cluster, "a"), payload=str(n)) for n in range(50)]
    waiting = [gevent.spawn(a.submit, job) for job in jobs]
    settle()
    wave = [gevent.spawn(b.cancel, job.job_id) for job in jobs]
    again = [gevent.spawn(b.submit, job) for job in jobs]
    kinds = {summary(each.get())[1] for each in (*waiting, *wave, *again)}
    assert kinds == {ErrorKind.CANCELLED}
    assert len(cluster.starts()) == 50
    assert a.ledger.running == {}


def test_a_process_pause_past_the_deadline_starts_no_job(cluster):
    a = cluster.hosts["a"]
    job = make_job(ticket_of(cluster, "a"), deadline_ms=1_000)
    caller = gevent.spawn(a.submit, job)
    a.admission.frozen_until_ms = 5_000
    expected = (ResultKind.REFUSED, ErrorKind.DEADLINE_PASSED, Ran.NOT_RUN)
    assert summary(caller.get()) == expected
    assert cluster.starts() == []


def test_a_jump_of_the_wall_clock_changes_nothing(cluster, monkeypatch):
    job = make_job(ticket_of(cluster, "a"))
    cluster.hosts["a"].submit(job)
    monkeypatch.setattr(FakeClock, "wall_ms", lambda _: -1e12)
    assert cluster.hosts["b"].submit(job).outcome is ResultKind.COMPLETE
    assert len(cluster.starts()) == 1


def test_a_ticket_is_valid_in_its_epoch_and_the_next_only(cluster):
    used, next_epoch, late = cluster.hosts["a"].issue_tickets(3)
    cluster.hosts["a"].submit(make_job(used))
    cluster.clock.ms = 1.5 * EPOCH_MS
    complete = cluster.hosts["b"].submit(make_job(next_epoch))
    assert complete.outcome is ResultKind.COMPLETE
    cluster.clock.ms = 2 * EPOCH_MS
    for ticket in (used, late):
        result = cluster.hosts["b"].submit(make_job(ticket))
        expected = (ResultKind.UNKNOWN, ErrorKind.TICKET_EXPIRED, Ran.MAY_HAVE_RUN)
        assert summary(result) == expected
    assert cluster.hosts["b"].submit(make_job(next_epoch)) == complete
    assert len(cluster.starts()) == 2


def test_a_running_job_outlives_its_epoch(cluster):
    a = cluster.hosts["a"]
    a.dispatcher.hold = True
    job = make_job(ticket_of(cluster, "a"))
    first = gevent.spawn(a.submit, job)
    settle()
    cluster.clock.ms = 5 * EPOCH_MS
    joined = gevent.spawn(cluster.hosts["b"].submit, job)
    settle()
    a.dispatcher.released.set()
    assert first.get() == joined.get() == a.ask(job.job_id, 0)
    cluster.clock.ms = 7 * EPOCH_MS
    assert summary(a.submit(job))[1] is ErrorKind.TICKET_EXPIRED
    assert len(cluster.starts()) == 1


def test_a_job_with_a_dropped_result_is_reported_as_run_and_never_rerun(cluster):
    cluster.rules = Rules(deployment=DeploymentRule(answer_keep_bytes=0))
    job = make_job(ticket_of(cluster, "a"))
    assert cluster.hosts["a"].submit(job).outcome is ResultKind.COMPLETE
    expected = (ResultKind.UNKNOWN, ErrorKind.TICKET_EXPIRED, Ran.RAN)
    assert summary(cluster.hosts["b"].submit(job)) == expected
    assert len(cluster.starts()) == 1


def test_a_draining_host_finishes_its_jobs_and_refuses_new_ones(cluster):
    a, b = cluster.hosts["a"], cluster.hosts["b"]
    a.dispatcher.hold = True
    job, unused = (make_job(ticket) for ticket in a.issue_tickets(2))
    first = gevent.spawn(a.submit, job)
    settle()
    drained = gevent.spawn(a.drain, 5_000)
    settle()
    expected = (ResultKind.REFUSED, ErrorKind.LEAVING, Ran.NOT_RUN)
    assert summary(b.submit(unused)) == expected
    joined = gevent.spawn(b.submit, job)
    settle()
    a.dispatcher.released.set()
    assert first.get() == joined.get()
    assert drained.get() is True
    assert a.issue_tickets(1) == ()


def test_a_drain_that_times_out_returns_false_and_cancels_its_jobs(cluster):
    a = cluster.hosts["a"]
    a.dispatcher.hold = True
    caller = gevent.spawn(a.submit, make_job(ticket_of(cluster, "a")))
    settle()
    assert a.drain(0) is False
    assert summary(caller.get())[2] is Ran.MAY_HAVE_RUN


def test_a_deadline_before_the_end_of_the_job_gives_outcome_unknown(cluster):
    a = cluster.hosts["a"]
    a.dispatcher.hold = True
    job = make_job(ticket_of(cluster, "a"))
    gevent.spawn(a.submit, job)
    settle()
    result = a.submit(with_deadline(job, 1))
    expected = (ResultKind.UNKNOWN, ErrorKind.OUTCOME_UNKNOWN, Ran.MAY_HAVE_RUN)
    assert summary(result) == expected
    a.dispatcher.released.set()
    assert a.ask(job.job_id, 5_000).outcome is ResultKind.COMPLETE


def test_jobs_differ_in_every_part_of_their_content(cluster):
    job = make_job(ticket_of(cluster, "a"), tasks=2)
    cluster.hosts["a"].submit(job)
    task = job.tasks[0]
    for other in (
        evolve(job, team="co-op"),
        evolve(job, idempotent=False),
        evolve(job, tasks=job.tasks[:1]),
        evolve(job, tasks=(evolve(task, size_slots=2), job.tasks[1])),
        evolve(job, tasks=(evolve(task, kind="p", payload="roofp/0"), job.tasks[1])),
    ):
        result = cluster.hosts["a"].submit(other)
        assert summary(result)[1] is ErrorKind.KEY_REUSED


def test_a_drain_waits_for_the_requests_it_forwarded(cluster):
    a, b = cluster.hosts["a"], cluster.hosts["b"]
    a.dispatcher.hold = True
    caller = gevent.spawn(b.submit, make_job(ticket_of(cluster, "a")))
    settle()
    drained = gevent.spawn(b.drain, 5_000)
    gevent.sleep(0.05)
    assert not drained.ready()
    a.dispatcher.released.set()
    assert caller.get().outcome is ResultKind.COMPLETE
    assert drained.get() is True


def test_a_drain_that_times_out_ends_its_forwarded_requests(cluster):
    a, b = cluster.hosts["a"], cluster.hosts["b"]
    a.dispatcher.hold = True
    caller = gevent.spawn(b.submit, make_job(ticket_of(cluster, "a")))
    settle()
    assert b.drain(0) is False
    expected = (ResultKind.UNKNOWN, ErrorKind.LEAVING, Ran.MAY_HAVE_RUN)
    assert summary(caller.get(timeout=1)) == expected


def test_a_drain_does_not_wait_for_forwarded_queries(cluster):
    a, b = cluster.hosts["a"], cluster.hosts["b"]
    a.dispatcher.hold = True
    job = make_job(ticket_of(cluster, "a"))
    gevent.spawn(a.submit, job)
    settle()
    asking = gevent.spawn(b.ask, job.job_id, 60_000)
    settle()
    assert b.drain(1_000) is True
    assert summary(asking.get(timeout=1))[2] is Ran.MAY_HAVE_RUN
    assert len(cluster.starts()) == 1


def test_the_sealed_ledger_of_a_stopped_host_gives_its_results(cluster):
    job, unused = make_job(ticket_of(cluster, "a")), make_job(ticket_of(cluster, "a"))
    result = cluster.hosts["a"].submit(job)
    cluster.stop("a")
    assert cluster.hosts["b"].submit(job) == result
    assert cluster.hosts["b"].ask(job.job_id, 0) == result
    refusal = cluster.hosts["b"].submit(unused)
    assert summary(refusal) == (ResultKind.REFUSED, ErrorKind.HOME_GONE, Ran.NOT_RUN)
    assert len(cluster.starts()) == 1


@pytest.mark.parametrize("lost_replies", [0, 1])
def test_a_key_whose_host_stopped_before_the_start_runs_once(cluster, lost_replies):
    a, b = cluster.hosts["a"], cluster.hosts["b"]
    a.admission.failure = OVERLOADED
    assert a.submit(make_job(key="k")).outcome is ResultKind.REFUSED
    cluster.start("c")
    cluster.hosts["c"].claims.claim(
        "studio", "k", digest_of(make_job(key="k")), "", 5_000
    )
    cluster.stop("a")
    cluster.table.lose = lost_replies
    racing = [
        gevent.spawn(host.submit, make_job(key="k"))
        for host in (b, cluster.hosts["c"], b)
    ]
    results = {each.get() for each in racing}
    assert {result.outcome for result in results} == {ResultKind.COMPLETE}
    assert len({result.job_id for result in results}) == 1
    assert len(cluster.starts()) == 1


def test_a_key_rebound_after_its_deadline_does_not_start(cluster, monkeypatch):
    a, b = cluster.hosts["a"], cluster.hosts["b"]
    a.admission.failure = OVERLOADED
    assert a.submit(make_job(key="k")).outcome is ResultKind.REFUSED
    cluster.stop("a")
    read = cluster.objects.get

    def read_slowly(name):
        cluster.clock.ms += 10_000
        return read(name)

    monkeypatch.setattr(cluster.objects, "get", read_slowly)
    late = b.submit(make_job(key="k", deadline_ms=5_000))
    assert late.failure.kind is ErrorKind.DEADLINE_PASSED
    assert cluster.starts() == []


def test_a_key_refused_long_before_its_host_stopped_still_runs_once(cluster):
    a, b = cluster.hosts["a"], cluster.hosts["b"]
    a.admission.failure = OVERLOADED
    assert a.submit(make_job(key="k")).outcome is ResultKind.REFUSED
    cluster.clock.ms += 3 * EPOCH_MS
    cluster.stop("a")
    assert b.submit(make_job(key="k")).outcome is ResultKind.COMPLETE
    assert len(cluster.starts()) == 1


def test_a_key_rebound_by_a_late_write_runs_once(cluster):
    a, b = cluster.hosts["a"], cluster.hosts["b"]
    a.admission.failure = OVERLOADED
    assert a.submit(make_job(key="k")).outcome is ResultKind.REFUSED
    cluster.stop("a")
    cluster.table.delay_effect = True
    assert b.submit(make_job(key="k")).outcome is not ResultKind.COMPLETE
    cluster.table.delay_effect = False
    cluster.clock.ms += 3 * EPOCH_MS
    cluster.table.release_late_writes()
    cluster.start("c")
    result = cluster.hosts["c"].submit(make_job(key="k"))
    assert result.outcome is ResultKind.COMPLETE
    assert b.submit(make_job(key="k")) == result
    assert len(cluster.starts()) == 1
