"""A caller's key starts at most one job, also when the table fails or is slow."""

import gevent
import pytest

from rattanloom.claim_expiry import GENERATION_MS, INDEX_PREFIX, KEPT_GENERATIONS
from rattanloom.claims import KEY_PREFIX
from rattanloom.errors import ErrorKind, Ran
from rattanloom.job import ResultKind
from rattanloom.job_digest import digest_of
from tests.fakes_jobs import EPOCH_MS, OVERLOADED, FakeCluster, make_job, settle


@pytest.fixture
def cluster():
    cluster = FakeCluster()
    cluster.start("a")
    cluster.start("b")
    return cluster


def rows(cluster, prefix):
    return [name for name in cluster.table.rows if name.startswith(prefix)]


def test_two_hosts_that_claim_one_key_start_it_once(cluster):
    submissions = [
        gevent.spawn(cluster.hosts[host].submit, make_job(key="k")) for host in "abab"
    ]
    results = [each.get() for each in submissions]
    assert {result.outcome for result in results} == {ResultKind.COMPLETE}
    assert len({result.job_id for result in results}) == 1
    assert len(cluster.starts()) == 1


def test_teams_do_not_share_keys_and_content_is_compared(cluster):
    cluster.hosts["a"].submit(make_job(key="k"))
    other = cluster.hosts["b"].submit(make_job(key="k", payload="other"))
    assert other.failure.kind is ErrorKind.KEY_REUSED
    assert other.failure.effective_ran is Ran.NOT_RUN
    assert len(cluster.starts()) == 1


def test_claims_of_one_host_share_a_write(cluster):
    callers = [
        gevent.spawn(cluster.hosts["a"].submit, make_job(key=f"k{n}", payload=f"{n}"))
        for n in range(80)
    ]
    assert {each.get().outcome for each in callers} == {ResultKind.COMPLETE}
    assert len(rows(cluster, KEY_PREFIX)) == 80
    assert cluster.table.writes <= 2


def test_a_lost_reply_is_resolved_by_reading_back(cluster):
    cluster.table.lose = 1
    result = cluster.hosts["a"].submit(make_job(key="k"))
    assert result.outcome is ResultKind.COMPLETE
    assert cluster.hosts["b"].submit(make_job(key="k")) == result
    assert len(cluster.starts()) == 1


def test_a_late_write_neither_repeats_nor_blocks_the_job(cluster):
    cluster.table.delay_effect = True
    refusal = cluster.hosts["a"].submit(make_job(key="k"))
    assert refusal.failure.kind is ErrorKind.PLATFORM_UNREACHABLE
    assert cluster.starts() == []
    cluster.table.delay_effect = False
    cluster.table.release_late_writes()
    cluster.clock.ms = 20 * EPOCH_MS
    result = cluster.hosts["b"].submit(make_job(key="k"))
    assert result.outcome is ResultKind.COMPLETE
    assert cluster.hosts["a"].submit(make_job(key="k")) == result
    assert len(cluster.starts()) == 1


def test_an_unreachable_table_starts_nothing_and_reports_may_have_run(cluster):
    cluster.hosts["a"].submit(make_job(key="k"))
    cluster.table.down = True
    result = cluster.hosts["b"].submit(make_job(key="k"))
    assert result.failure.kind is ErrorKind.PLATFORM_UNREACHABLE
    assert result.failure.effective_ran is Ran.MAY_HAVE_RUN
    assert result.failure.effective_retry_after_ms > 0
    cached = cluster.hosts["a"].submit(make_job(key="k"))
    assert cached.outcome is ResultKind.COMPLETE
    assert len(cluster.starts()) == 1


def test_a_hung_table_delays_no_caller_past_its_deadline(cluster):
    cluster.table.gate.clear()
    job = make_job(key="k", deadline_ms=20)
    result = cluster.hosts["a"].submit(job)
    assert result.failure.kind is ErrorKind.PLATFORM_UNREACHABLE
    cluster.table.gate.set()
    settle()
    assert cluster.starts() == []
    resubmitted = cluster.hosts["b"].submit(make_job(key="k"))
    assert resubmitted.outcome is ResultKind.COMPLETE


def test_a_keyed_job_refused_as_not_run_stays_runnable_after_its_epochs(cluster):
    a = cluster.hosts["a"]
    a.admission.failure = OVERLOADED
    assert a.submit(make_job(key="k")).failure.effective_ran is Ran.NOT_RUN
    a.admission.failure = None
    a.dispatcher.refuse = OVERLOADED
    cluster.clock.ms = 10 * EPOCH_MS
    assert a.submit(make_job(key="k")).failure.effective_ran is Ran.NOT_RUN
    a.dispatcher.refuse = None
    cluster.clock.ms = 20 * EPOCH_MS
    result = cluster.hosts["b"].submit(make_job(key="k"))
    assert result.outcome is ResultKind.COMPLETE
    cluster.clock.ms = 30 * EPOCH_MS
    late = cluster.hosts["b"].submit(make_job(key="k"))
    assert late.failure.kind is ErrorKind.TICKET_EXPIRED
    assert len(cluster.starts()) == 1


def test_a_key_whose_issuer_crashed_never_starts_again(cluster):
    cluster.hosts["a"].submit(make_job(key="k"))
    cluster.start("a")
    for host in "ab":
        result = cluster.hosts[host].submit(make_job(key="k"))
        assert result.failure.kind is ErrorKind.HOME_GONE
        assert result.failure.effective_ran is Ran.MAY_HAVE_RUN
    assert len(cluster.starts()) == 1


def test_claims_expire_by_observed_generations_only(cluster, monkeypatch):
    a, b = cluster.hosts["a"], cluster.hosts["b"]
    a.submit(make_job(key="old"))
    monkeypatch.setattr(type(cluster.clock), "wall_ms", lambda _: 1e15)
    expiry = b.claims.expiry
    for generation in range(KEPT_GENERATIONS + 1):
        expiry.poll()
        assert rows(cluster, KEY_PREFIX), generation
        cluster.clock.ms += GENERATION_MS
        expiry.poll()
    a.submit(make_job(key="new", payload="new"))
    b.claims.expiry.poll()
    assert len(rows(cluster, KEY_PREFIX)) == 1
    assert len(rows(cluster, INDEX_PREFIX)) == 1
    assert len(cluster.starts()) == 2


def test_a_late_deletion_keeps_a_newer_claim(cluster):
    a, b = cluster.hosts["a"], cluster.hosts["b"]
    a.submit(make_job(key="k"))
    table = cluster.table
    index_row = table.scan(INDEX_PREFIX, 1)[0]
    table.delay_effect = True
    b.claims.expiry._delete(index_row)
    table.delay_effect = False
    b.claims.expiry._delete(index_row)
    assert rows(cluster, KEY_PREFIX) == []
    cluster.clock.ms = 2 * GENERATION_MS
    a.submit(make_job(key="k"))
    table.release_late_writes()
    assert len(rows(cluster, KEY_PREFIX)) == 1


def test_a_rebound_key_expires_by_its_new_binding(cluster):
    a = cluster.hosts["a"]
    a.submit(make_job(key="k"))
    a.submit(make_job(key="other", payload="other"))
    digest = digest_of(make_job(key="k"))
    old = a.claims.claim("studio", "k", digest, "unused", 1_000)
    expiry = a.claims.expiry
    for _ in range(KEPT_GENERATIONS):
        expiry.poll()
        cluster.clock.ms += GENERATION_MS
        expiry.poll()
    ticket = a.issue_tickets(1)[0]
    assert a.claims.replace_ticket("studio", "k", digest, old, ticket) == ticket
    for kept in (1, 0):
        expiry.poll()
        cluster.clock.ms += GENERATION_MS
        expiry.poll()
        expiry.poll()
        assert len(rows(cluster, KEY_PREFIX)) == 1, kept
    for _ in range(KEPT_GENERATIONS):
        expiry.poll()
        cluster.clock.ms += GENERATION_MS
        expiry.poll()
    expiry.poll()
    assert rows(cluster, KEY_PREFIX) == []
    assert rows(cluster, INDEX_PREFIX) == []
