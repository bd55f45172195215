"""The job service of an entry host: runs each job at most once, in one process.

Only the incarnation that issued a ticket may start its job; every other host
forwards requests to it. A caller's idempotency key is first bound to a ticket, see
``claims``. Which tickets were used is recorded in the ``ledger``.
"""

from collections.abc import Callable

import gevent
from attrs import define, evolve, field

from rattanloom.claims import Claims
from rattanloom.clock import MS_PER_S
from rattanloom.environment import Environment
from rattanloom.errors import ErrorKind, Failure, Ran
from rattanloom.job import Job, JobResult, ResultKind
from rattanloom.job_digest import digest_of
from rattanloom.job_protocols import JobAdmission, JobDispatcher
from rattanloom.job_requests import RequestsInFlight
from rattanloom.job_results import (
    cancelled_result,
    dispatch_failed_result,
    not_submitted_result,
    result_from_failure,
    still_running_result,
)
from rattanloom.ledger import Ledger, RunningJob
from rattanloom.logs import get_log
from rattanloom.metrics import Metrics
from rattanloom.peers.protocol import Peers
from rattanloom.remote_jobs import RemoteJobs
from rattanloom.rules import Rules
from rattanloom.sealed_ledger import NoLedgers, StoppedLedgers
from rattanloom.settings import EntrySettings
from rattanloom.ticket import Ticket, TicketIssuer, parse_ticket
from rattanloom.timeline import EventKind, Timeline
from rattanloom.timer import TimerService

log = get_log("jobs")

# How long the caller that started a job waits for its result after the deadline.
RESULT_GRACE_MS = 1_000
# How long a cancellation waits for the result of the job.
CANCEL_WAIT_MS = 2_000
# How long a drain that timed out waits for the results of the jobs that it cancelled.
CANCELLED_RESULTS_MS = 500


def no_rules() -> Rules | None:
    """Return None: no configuration is active yet."""
    return None


@define(eq=False)
class JobService:
    """Submits, queries and cancels jobs for callers and, as ``JobRequests``, for peers.

    The methods with the suffix ``_here`` serve peers and never forward.
    """

    settings: EntrySettings
    environment: Environment
    timeline: Timeline
    issuer: TicketIssuer
    dispatcher: JobDispatcher
    admission: JobAdmission
    peers: Peers
    claims: Claims
    metrics: Metrics
    rules: Callable[[], Rules | None] = no_rules
    stopped_ledgers: StoppedLedgers = field(factory=NoLedgers)
    ledger: Ledger = field(factory=Ledger)
    requests: RequestsInFlight = field(factory=RequestsInFlight)
    remote: RemoteJobs = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.remote = RemoteJobs(self.peers, self.stopped_ledgers, self.requests)

    def start(self, timers: TimerService) -> None:
        """Start the timer that removes expired claims from the table."""
        self.claims.start(timers, self._host_count)

    def issue_tickets(self, count: int) -> tuple[str, ...]:
        """Return ``count`` new tickets; none while this host is leaving."""
        if self.requests.leaving.is_set():
            return ()
        return tuple(self.issuer.issue() for _ in range(count))

    def submit(self, job: Job) -> JobResult:
        """Run the job, or join it if it runs already, at the issuer of its ticket.

        A job without a ticket gets a new one.
        """
        with self.requests.counted():
            return self._submit(job)

    def _submit(self, job: Job) -> JobResult:
        deadline_at_ms = self._now_ms() + job.deadline_ms
        if not job.job_id:
            job = evolve(job, job_id=self.issuer.issue())
        ticket = self._parse(job.job_id)
        if isinstance(ticket, Ticket) and job.key:
            ticket = self._claim(job, ticket)
        result = self._run_or_forward(job, ticket, deadline_at_ms)
        if job.key and _is_unused_ticket(result):
            ticket = self._rebind(job, result.job_id)
            return self._run_or_forward(job, ticket, deadline_at_ms)
        return result

    def _run_or_forward(
        self, job: Job, ticket: Ticket | Failure, deadline_at_ms: float
    ) -> JobResult:
        """Run or join the job here, or forward it to its ticket's issuer."""
        if isinstance(ticket, Failure):
            return self._record_result(result_from_failure(job.job_id, ticket))
        job = evolve(job, job_id=ticket.text)
        left_ms = deadline_at_ms - self._now_ms()
        if self.issuer.has_issued(ticket):
            return self._run_or_join(job, ticket, left_ms)
        return self._forward(job, ticket, left_ms)

    def _rebind(self, job: Job, old_ticket: str) -> Ticket | Failure:
        """Bind the job's key to a new ticket: the issuer of the old one has stopped.

        If the new ticket is not reported as bound, its write may still take effect
        later; the ticket is therefore kept valid.
        """
        fresh = self.issuer.issue()
        bound = self.claims.replace_ticket(
            job.team, job.key, digest_of(job), old_ticket, fresh
        )
        if bound != fresh:
            self.ledger.extend_ticket(self._parse(fresh), self.issuer.epoch())
        return bound if isinstance(bound, Failure) else self._parse(bound)

    def ask(self, job_id: str, wait_ms: float) -> JobResult:
        """Return the job's result; wait up to ``wait_ms`` for it to finish."""
        ticket = self._parse(job_id)
        if isinstance(ticket, Failure):
            return result_from_failure(job_id, ticket)
        with self.requests.counted():
            if self.issuer.has_issued(ticket):
                return self._ask(ticket, wait_ms)
            return self.remote.ask(ticket, wait_ms)

    def cancel(self, job_id: str) -> JobResult:
        """Cancel the job; if it has not started, it never starts."""
        ticket = self._parse(job_id)
        if isinstance(ticket, Failure):
            return result_from_failure(job_id, ticket)
        with self.requests.counted():
            if self.issuer.has_issued(ticket):
                return self._cancel(ticket)
            return self.remote.cancel(ticket)

    def submit_here(self, job: Job) -> JobResult:
        """Run or join a forwarded job; the peer has claimed its key, if any."""
        ticket = self._parse_own(job.job_id)
        if isinstance(ticket, Failure):
            return result_from_failure(job.job_id, ticket)
        with self.requests.counted():
            return self._run_or_join(job, ticket, job.deadline_ms)

    def ask_here(self, job_id: str, wait_ms: float) -> JobResult:
        """Return the result of a job to a peer that forwarded a query."""
        ticket = self._parse_own(job_id)
        if isinstance(ticket, Failure):
            return result_from_failure(job_id, ticket)
        with self.requests.counted():
            return self._ask(ticket, wait_ms)

    def cancel_here(self, job_id: str) -> JobResult:
        """Cancel a job for a peer that forwarded the cancellation."""
        ticket = self._parse_own(job_id)
        if isinstance(ticket, Failure):
            return result_from_failure(job_id, ticket)
        with self.requests.counted():
            return self._cancel(ticket)

    def drain(self, within_ms: float) -> bool:
        """Refuse new jobs and wait for every job and request in flight.

        Returns True if all finished within ``within_ms``. Otherwise cancels the
        remaining jobs, whose results then say that they may have run.
        """
        self.requests.leaving.set()
        finished = self.requests.await_idle(self._has_jobs, within_ms)
        if not finished:
            self.requests.overdue.set()
            for running in list(self.ledger.running.values()):
                running.cancelled.set()
            self.requests.await_idle(self._has_jobs, CANCELLED_RESULTS_MS)
        return finished

    def _has_jobs(self) -> bool:
        return bool(self.ledger.running)

    def seal(self) -> None | Failure:
        """Store the ledger for the other hosts; call it after ``drain``."""
        return self.stopped_ledgers.seal(self.ledger, self.issuer)

    def _run_or_join(self, job: Job, ticket: Ticket, left_ms: float) -> JobResult:
        """Run or join a job whose ticket this process issued, or return its result."""
        self.timeline.record(EventKind.JOB_RECEIVED, job.job_id)
        deadline_at_ms = self._now_ms() + left_ms
        digest = digest_of(job)
        known = self.ledger.admit(ticket, digest, self.issuer.epoch())
        if isinstance(known, Failure):
            return self._record_result(result_from_failure(job.job_id, known))
        if isinstance(known, JobResult):
            return known
        if known is not None:
            self.timeline.record(EventKind.JOB_JOINED, job.job_id)
            return self._wait(known, left_ms)
        running = self._start(job, ticket, digest, deadline_at_ms)
        if isinstance(running, Failure):
            if job.key:
                self.ledger.extend_ticket(ticket, self.issuer.epoch())
            return self._record_result(result_from_failure(job.job_id, running))
        return self._wait(running, left_ms + RESULT_GRACE_MS)

    def _start(
        self, job: Job, ticket: Ticket, digest: bytes, deadline_at_ms: float
    ) -> RunningJob | Failure:
        """Admit a job and spawn its run, or return why it is refused."""
        if self.requests.leaving.is_set():
            return Failure(
                ErrorKind.LEAVING,
                "this entry host is leaving; request a new ticket elsewhere",
            )
        if self._now_ms() >= deadline_at_ms:
            return _deadline_passed_failure()
        failure = self.admission.admit(job, deadline_at_ms)
        if failure is not None:
            return failure
        running = self.ledger.start(ticket, digest, bool(job.key))
        if isinstance(running, RunningJob):
            self.timeline.record(EventKind.JOB_ADMITTED, job.job_id)
            gevent.spawn(self._run, job, running, deadline_at_ms)
        return running

    def _run(self, job: Job, running: RunningJob, deadline_at_ms: float) -> None:
        result = dispatch_failed_result(job.job_id)
        try:
            result = self._dispatch(job, running, deadline_at_ms)
        finally:
            self._finish(running, result)

    def _dispatch(
        self, job: Job, running: RunningJob, deadline_at_ms: float
    ) -> JobResult:
        if running.cancelled.is_set():
            return cancelled_result(job.job_id)
        if self._now_ms() >= deadline_at_ms:
            return result_from_failure(job.job_id, _deadline_passed_failure())
        return self.dispatcher.run(job, deadline_at_ms, running.cancelled)

    def _finish(self, running: RunningJob, result: JobResult) -> None:
        """Record the result; a job that definitely did not run may start again."""
        if _is_retryable(result) and not running.cancelled.is_set():
            self.ledger.undo_start(running, result)
            if running.keyed:
                self.ledger.extend_ticket(running.ticket, self.issuer.epoch())
        else:
            self.ledger.end(
                running, result, self.issuer.epoch(), self._results_max_bytes()
            )
        self._record_result(result)

    def _wait(self, running: RunningJob, wait_ms: float) -> JobResult:
        running.done.wait(max(0.0, wait_ms) / MS_PER_S)
        return running.result or still_running_result(running.ticket.text)

    def _ask(self, ticket: Ticket, wait_ms: float) -> JobResult:
        running = self.ledger.running.get(ticket.number)
        if running is not None:
            running.done.wait(max(0.0, wait_ms) / MS_PER_S)
            return running.result or JobResult(ticket.text, ResultKind.PENDING)
        known = self.ledger.result(ticket, self.issuer.epoch())
        if isinstance(known, Failure):
            return result_from_failure(ticket.text, known)
        return known or not_submitted_result(ticket.text)

    def _cancel(self, ticket: Ticket) -> JobResult:
        self.timeline.record(EventKind.JOB_CANCELLED, ticket.text)
        running = self.ledger.running.get(ticket.number)
        if running is not None:
            running.cancelled.set()
            return self._ask(ticket, CANCEL_WAIT_MS)
        known = self.ledger.result(ticket, self.issuer.epoch())
        if isinstance(known, Failure):
            return result_from_failure(ticket.text, known)
        if known is None:
            self.ledger.fence(ticket)
            return cancelled_result(ticket.text)
        return known

    def _forward(self, job: Job, ticket: Ticket, left_ms: float) -> JobResult:
        if left_ms < 1:
            return self._record_result(still_running_result(job.job_id))
        self.timeline.record(EventKind.JOB_FORWARDED, job.job_id, target=ticket.host)
        self.metrics.count("jobs_forwarded")
        forwarded = evolve(job, deadline_ms=int(left_ms))
        return self._record_result(self.remote.submit(ticket, forwarded))

    def _claim(self, job: Job, proposed: Ticket) -> Ticket | Failure:
        """Return the ticket bound to the job's key; bind ``proposed`` if none is."""
        if self.requests.leaving.is_set():
            return Failure(
                ErrorKind.LEAVING,
                "this entry host is leaving and claims no keys; resubmit to another "
                "one with the same key",
                ran=Ran.MAY_HAVE_RUN,
            )
        bound = self.claims.claim(
            job.team, job.key, digest_of(job), proposed.text, job.deadline_ms
        )
        if not isinstance(bound, Failure):
            return self._parse(bound)
        if bound.kind is ErrorKind.PLATFORM_UNREACHABLE and self.issuer.has_issued(
            proposed
        ):
            self.ledger.extend_ticket(proposed, self.issuer.epoch())
        return bound

    def _parse(self, text: str) -> Ticket | Failure:
        return parse_ticket(text, self.issuer.keys)

    def _parse_own(self, text: str) -> Ticket | Failure:
        ticket = self._parse(text)
        if isinstance(ticket, Failure) or self.issuer.has_issued(ticket):
            return ticket
        return Failure(ErrorKind.HOME_GONE, "this process did not issue the ticket")

    def _record_result(self, result: JobResult) -> JobResult:
        kind = result.failure.kind.value if result.failure else ""
        self.timeline.record(
            EventKind.JOB_ANSWERED, result.job_id, detail=kind or result.outcome.value
        )
        self.metrics.count("jobs_answered", kind or result.outcome.value)
        return result

    def _results_max_bytes(self) -> int:
        rules = self.rules() or Rules()
        return rules.deployment.answer_keep_bytes

    def _host_count(self) -> int:
        return 1 + len(self.peers.members())

    def _now_ms(self) -> float:
        return self.environment.clock.now_ms()


def _is_retryable(result: JobResult) -> bool:
    return result.outcome is ResultKind.REFUSED and (
        result.failure is not None and result.failure.effective_ran is Ran.NOT_RUN
    )


def _is_unused_ticket(result: JobResult) -> bool:
    """Return whether the ticket's issuer has stopped without receiving the job."""
    return (
        result.outcome is ResultKind.REFUSED
        and result.failure is not None
        and result.failure.kind is ErrorKind.HOME_GONE
    )


def _deadline_passed_failure() -> Failure:
    return Failure(
        ErrorKind.DEADLINE_PASSED,
        "the deadline passed before any task started; resubmit with a later deadline",
        ran=Ran.NOT_RUN,
    )
