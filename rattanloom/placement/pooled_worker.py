"""One worker in a placer's pool: its lease, its runs and the requests sent to it.

One request renews the lease and returns a report; the worker holds it until a run
finishes or the requested wait ends.
"""

from collections import Counter
from collections.abc import Callable
from math import inf

import gevent
from attrs import Attribute, Factory, define, field

from rattanloom.background import spawn_restarting
from rattanloom.clock import MS_PER_S, Clock
from rattanloom.decision_log import DecisionLog
from rattanloom.errors import ErrorKind, Failure
from rattanloom.placement.job_lease import (
    INHERITED_LEASE_MAX_MS,
    START_LEASE_MIN_MS,
    TAKEOVER_LEASE_MAX_MS,
)
from rattanloom.placement.runs import PlacedTask, Run, RunPhase
from rattanloom.placement.start_evidence import (
    NoEffect,
    evidence_in_absence,
    evidence_in_reply,
)
from rattanloom.placement.start_limits import DRAINING_PAUSE_MS, StartLimits
from rattanloom.placement.worker_events import LossCause, WorkerEvents, WorkerState
from rattanloom.placement.worker_lease import WorkerLease
from rattanloom.placement.worker_runs import WorkerRuns
from rattanloom.placement.workers import (
    FinishedRun,
    RefusalReason,
    Refused,
    Renewal,
    RunStatus,
    Started,
    StartOrder,
    WorkerClientProtocol,
    WorkerEntry,
    WorkerReport,
    reply_label,
)
from rattanloom.scheduling.worker_speed import WorkerSpeed

log = DecisionLog("placement")

# Longest wait for the report of a worker with runs: a third of the duration of the
# lease, which the next request renews.
BUSY_WAIT_MS = 300
# Longest wait for the report of an idle worker, which only shows that it is alive.
IDLE_WAIT_MS = 1_500
# Pause between requests to a worker that does not reply, multiplied by the number of
# missed replies, up to the second value. After one missed reply, there is no pause.
RETRY_PAUSE_MS = 100
RETRY_PAUSE_MAX_MS = 1_000
# Start orders sent for one run, each with a newer attempt number or fencing token.
START_TRIES_MAX = 5
# A stop is sent again if a report lists the run this long after the last stop.
STOP_RETRY_MS = 150
# A task that relies on a worker's entry starts only if the worker reported within this
# time: it may restart as another kind while the report of an idle one is waited for.
ENTRY_REPORT_AGE_MAX_MS = 100
# Pause between reports that are requested for jobs of former placers: several daemons
# send theirs shortly after each other.
ASK_INTERVAL_MS = 150
# Time for the next placer, once recorded as the owner, to send its fencing token to
# the worker.
FENCING_DELAY_MS = 150


def _mark(worker: "PooledWorker", attribute: Attribute, value: object) -> object:
    """Tell that an attribute changes on which the choice of workers depends."""
    worker.on_change(worker)
    return value


@define(eq=False, repr=False)
class PooledWorker:
    """One worker of a placer's pool, controlled under ``fencing_token``.

    ``events`` is the placer. ``reported_clock_ms`` is the worker's clock in the newest
    report, ``last_finished_number`` the number of its last processed finished run.
    ``missed_replies`` counts requests in a row without a reply. The worker gets no
    tasks until ``paused_until_ms``, nor until ``drains_until_ms`` after a report that
    it drains. ``failure_score``, ``quarantine_count`` and ``speed`` belong to
    ``WorkerHealth``. ``_idle_wait`` is set while a
    request to an idle worker is pending, which does not extend the lease.
    ``_reported_ms`` is when the last report arrived, ``_incarnation_seen_ms`` when the
    first one of the current incarnation did. ``_known_ms`` is when the last report of
    all runs was requested, ``_asked_ms`` when ``request_report_soon`` last did so.
    ``_takeover_lease_limit_ms`` limits the
    leases while there are inherited runs. ``limits``
    are shared by the workers of the placer. ``on_change`` is called with each change
    that matters to the choice of workers, just before or after it.
    """

    entry: WorkerEntry = field(on_setattr=_mark)
    client: WorkerClientProtocol
    events: "WorkerEvents[PooledWorker]"
    clock: Clock
    lease: WorkerLease
    fencing_token: int
    active_runs: Counter[str]
    limits: StartLimits = Factory(lambda self: StartLimits(self.clock), takes_self=True)
    on_change: "Callable[[PooledWorker], None]" = lambda worker: None
    state: WorkerState = field(default=WorkerState.SYNCING, on_setattr=_mark)
    runs: WorkerRuns = field(init=False)
    last_finished_number: int = 0
    incarnation_ms: int = field(default=0, on_setattr=_mark)
    reported_clock_ms: float = -inf
    missed_replies: int = 0
    paused_until_ms: float = field(default=0, on_setattr=_mark)
    drains_until_ms: float = field(default=0, on_setattr=_mark)
    failure_score: float = field(default=0, on_setattr=_mark)
    quarantine_count: int = 0
    speed: WorkerSpeed = field(factory=WorkerSpeed)
    closed: bool = False
    _reported_ms: float = -inf
    _known_ms: float = -inf
    _asked_ms: float = -inf
    _incarnation_seen_ms: float = -inf
    _idle_wait: bool = False
    _bridging_idle_wait: bool = False
    _takeover_lease_limit_ms: float = field(init=False)

    @property
    def worker_id(self) -> str:
        """Return the id under which the worker registered."""
        return self.entry.worker_id

    @property
    def duration_ratio(self) -> float:
        """Return how long its runs take compared to those of other workers."""
        return self.speed.duration_ratio

    def __attrs_post_init__(self) -> None:
        self._takeover_lease_limit_ms = self.clock.now_ms() + TAKEOVER_LEASE_MAX_MS

        def on_change() -> None:
            self.on_change(self)

        self.runs = WorkerRuns(
            self.entry.capacity, self.active_runs, self.worker_id, on_change
        )
        self.speed.on_change = on_change

    @property
    def known_since_ms(self) -> float:
        """Return when the last report of all runs was requested that has arrived.

        Placers that controlled the worker before that have lower fencing tokens, and
        can start no other runs on it. Minus infinity without a report.
        """
        return -inf if self.state is WorkerState.SYNCING else self._known_ms

    def request_report_soon(self) -> None:
        """Request a report, unless one was requested here just before."""
        now_ms = self.clock.now_ms()
        if now_ms >= self._asked_ms + ASK_INTERVAL_MS:
            self._asked_ms = now_ms
            self.request_report()

    @property
    def has_current_entry(self) -> bool:
        """Return whether the entry is of the incarnation that responds, or newer.

        A restarted worker may have another capacity, other labels and another service.
        """
        entry_ms = self.entry.incarnation_ms
        return not entry_ms or entry_ms >= self.incarnation_ms

    def apply_entry(self, entry: WorkerEntry) -> None:
        """Apply the worker's current entry in the registry."""
        if entry.capacity != self.entry.capacity:
            log.info(
                "worker_capacity_changed",
                worker=self.worker_id,
                cpu_millicores=entry.capacity.cpu_millicores,
                memory_mb=entry.capacity.memory_mb,
                gpus=entry.capacity.gpus,
                free_cpu_millicores=self.runs.free.cpu_millicores,
            )
        self.entry = entry
        self.runs.set_capacity(entry.capacity)

    def open(self) -> None:
        """Start requesting reports from the worker, in the background."""
        spawn_restarting(self._watch_all)

    def raise_fencing_token(self, fencing_token: int) -> None:
        """Continue under the token of a newer epoch, if it is higher; runs are kept."""
        if fencing_token > self.fencing_token:
            self.fencing_token = fencing_token
            if self.state is WorkerState.UNRESPONSIVE:
                self.state = WorkerState.SYNCING
            self.request_report()

    def abandon(self) -> None:
        """Stop controlling the worker; stop its runs unless another placer took over.

        The stops are sent after ``FENCING_DELAY_MS``, so that a worker that was taken
        over refuses them.
        """
        if not self.closed:
            self.closed = True
            gevent.spawn(self._stop_remaining_runs)

    def _stop_remaining_runs(self) -> None:
        gevent.sleep(FENCING_DELAY_MS / MS_PER_S)
        if self.state is WorkerState.READY:
            for run in self.runs.all():
                self._stop(run)
        self.client.close()

    def start_run(self, task: PlacedTask, isolated: bool = False) -> Run:
        """Reserve capacity for a new run of a task and send the start order."""
        task.attempt += 1
        run = Run(
            task.name,
            task.attempt,
            task,
            task.step,
            RunPhase.STARTING,
            self.clock.now_ms(),
            incarnation_ms=self.incarnation_ms,
            isolated=isolated,
        )
        self.runs.add(run)
        gevent.spawn(self._start, run)
        return run

    def stop(self, run: Run, delay_ms: float = 0) -> None:
        """Stop a run; its capacity is free once a report shows that it has finished.

        With a delay, a placer that takes the worker over may keep the run.
        """
        if run.fixed_lease_limit_ms is None:
            run.fixed_lease_limit_ms = run.lease_limit_ms
        run.phase = RunPhase.STOPPING
        run.stop_sent_ms = self.clock.now_ms() + delay_ms
        gevent.spawn_later(delay_ms / MS_PER_S, self._stop, run)

    def adopt(self, run: Run, task: PlacedTask, isolated: bool = False) -> None:
        """Assign an inherited run to the task that it belongs to."""
        self.runs.adopt(run, task, self.clock.now_ms(), isolated)
        task.attempt = max(task.attempt, run.attempt)

    def _start(self, run: Run) -> None:
        if _relies_on_entry(run) and not self._confirm_entry(run.step.required_label):
            self._drop_unstarted(run, NoEffect.NOT_SENT)
            return
        for _ in range(START_TRIES_MAX):
            if not self._may_send_start(run):
                # The worker has refused any earlier order.
                self._drop_unstarted(run, NoEffect.NOT_SENT)
                return
            run.order_token = token = self.fencing_token
            order = StartOrder(
                run.name,
                run.attempt,
                run.task.job.submitted.spec,
                self.lease.extend(self._lease_limit_ms()),
                token,
            )
            log.info(
                "task_start_sent",
                task=run.name,
                attempt=run.attempt,
                worker=self.worker_id,
                zone=self.entry.zone,
                token=token,
                entries=run.task.job.entries,
                submission=run.task.job.submission,
                former_placers=run.task.job.former_placers,
                former_runs=run.task.job.former_runs.value,
            )
            reply = self.client.start(order)
            log.info(
                "task_ordered",
                task=run.name,
                attempt=run.attempt,
                worker=self.worker_id,
                token=token,
                lease_until_ms=order.lease_until_ms,
                answer=reply_label(reply),
            )
            if self.closed or self.runs.get(run.key) is not run:
                return
            if not self._should_retry(run, reply, token):
                break
        self._handle_start_reply(run, reply)

    def _confirm_entry(self, label: str) -> bool:
        """Return whether a recent report is of the entry's incarnation.

        The entry must have the label, if there is one.
        """
        if self.clock.now_ms() >= self._reported_ms + ENTRY_REPORT_AGE_MAX_MS:
            self._renew(0)
        return (
            self.has_current_entry
            and (not label or label in self.entry.labels)
            and not self.missed_replies
        )

    def _lease_limit_ms(self) -> float:
        """Return until when the lease may last; see ``job_lease``."""
        return min((run.lease_limit_ms for run in self.runs.all()), default=inf)

    def _may_send_start(self, run: Run) -> bool:
        """Return whether a start order may be sent; checked before each send."""
        lease_min_ms = self.clock.now_ms() + START_LEASE_MIN_MS
        return (
            not self.closed
            and self.runs.get(run.key) is run
            and self._lease_limit_ms() >= lease_min_ms
            and self.events.may_send_start(run)
            and self.limits.may_send(self)
        )

    def _should_retry(self, run: Run, reply: object, token: int) -> bool:
        """Return whether to send the start order again; may raise the attempt.

        ``token`` is the one of the order, which may have been raised since.
        """
        if not isinstance(reply, Refused):
            return False
        if reply.refusal is RefusalReason.ATTEMPT_TOO_OLD:
            self.events.on_earlier_run(run.name)
            self.runs.remove(run)
            run.attempt += 1
            run.task.attempt = run.attempt
            self.runs.add(run)
            return True
        return reply.refusal is RefusalReason.FENCED and token < self.fencing_token

    def _handle_start_reply(self, run: Run, reply: Started | Refused | Failure) -> None:
        evidence = evidence_in_reply(reply)
        if isinstance(reply, Started):
            self.lease.record_worker_clock(reply.clock_ms)
            if run.phase is RunPhase.STARTING:
                run.phase = RunPhase.RUNNING
            run.confirmed_ms = self.clock.now_ms()
            self._renew_while_idle_wait()
        elif isinstance(reply, Refused):
            self._handle_start_refusal(reply)
            self._drop_unstarted(run, evidence, reply.refusal)
        elif evidence is not None:
            self._record_missed_reply(reply)
            self._drop_unstarted(run, evidence)
        else:
            self._handle_lost_start_reply(run, reply)

    def _handle_start_refusal(self, reply: Refused) -> None:
        if reply.clock_ms:
            self.lease.record_worker_clock(reply.clock_ms)
        if reply.refusal is RefusalReason.FENCED:
            self._set_fenced()

    def _drop_unstarted(
        self, run: Run, evidence: NoEffect, refusal: RefusalReason | None = None
    ) -> None:
        """Remove a run whose start order definitely had no effect."""
        if self.runs.remove(run):
            self.events.on_run_not_started(self, run, evidence, refusal)

    def _handle_lost_start_reply(self, run: Run, failure: Failure) -> None:
        """Request a report under a higher token, which fences off the start order.

        The report shows whether the run was started, see ``evidence_in_absence``; a
        start order that arrives later is refused.
        """
        log.warning(
            "start_unanswered",
            task=run.name,
            attempt=run.attempt,
            worker=self.worker_id,
            reason=failure.reason,
            new_token=self.fencing_token + 1,
        )
        if run.phase is RunPhase.STARTING:
            run.phase = RunPhase.UNCERTAIN
        self.fencing_token += 1
        run.start_fence_token = self.fencing_token
        self.request_report()

    def _stop(self, run: Run) -> None:
        """Send a stop; request a report if none shows the end of the run in time.

        The lease of the worker is not extended for long before that.
        """
        gevent.spawn_later((STOP_RETRY_MS + 1) / MS_PER_S, self._check_stopped, run)
        reply = self.client.stop(run.name, run.attempt, self.fencing_token)
        if isinstance(reply, Failure):
            log.warning(
                "stop_unanswered",
                task=run.name,
                worker=self.worker_id,
                reason=reply.reason,
            )

    def _check_stopped(self, run: Run) -> None:
        if not self.closed and self.runs.get(run.key) is run:
            self._renew(0)

    def request_report(self) -> None:
        """Request a report without a wait, besides the pending request."""
        gevent.spawn(self._renew, 0)

    def _watch_all(self) -> None:
        """Request one report after another until the worker is closed or fenced."""
        while not self.closed:
            if self.state is WorkerState.FENCED:
                return
            if self.missed_replies:
                pause_ms = min(RETRY_PAUSE_MS * self.missed_replies, RETRY_PAUSE_MAX_MS)
                gevent.sleep((pause_ms if self.missed_replies > 1 else 0) / MS_PER_S)
                self._renew(0)
                self._drop_expired_runs()
                continue
            self._idle_wait = not self.runs
            self._renew(IDLE_WAIT_MS if self._idle_wait else BUSY_WAIT_MS)

    def _renew(self, wait_ms: int) -> None:
        """Request a report; renew the lease if this placer has runs on the worker."""
        sent_ms = self.clock.now_ms()
        token = self.fencing_token
        is_synced = self.state is not WorkerState.SYNCING
        has_own_runs = any(
            run.task is not None and run.phase is not RunPhase.STOPPING
            for run in self.runs.all()
        )
        is_leasing = (
            is_synced
            and has_own_runs
            and self.missed_replies < 2
            and self.events.may_give_orders()
        )
        limit_ms = self._lease_limit_ms()
        lease_until_ms = None
        if is_leasing and limit_ms > sent_ms:
            lease_until_ms = self.lease.extend(limit_ms)
        if self.state is WorkerState.SYNCING:
            wait_ms = 0
        reply = self.client.renew(
            Renewal(token, self.last_finished_number, lease_until_ms, wait_ms)
        )
        if self.closed:
            return
        if isinstance(reply, WorkerReport):
            self._apply_report(reply, sent_ms, token)
        elif isinstance(reply, Refused):
            self._handle_renewal_refusal(reply, token)
        else:
            self._record_missed_reply(reply)

    def _renew_while_idle_wait(self) -> None:
        """Renew the lease of a run that starts while the idle wait is pending."""
        if self._idle_wait and not self._bridging_idle_wait:
            self._bridging_idle_wait = True
            gevent.spawn(self._bridge_idle_wait)

    def _bridge_idle_wait(self) -> None:
        """Renew while the idle wait is pending and a run is ``BUSY_WAIT_MS`` old.

        Until then, the order of the run has extended the lease.
        """
        while (
            self._idle_wait
            and self.runs
            and not self.closed
            and not self.missed_replies
        ):
            oldest_ms = min(run.ordered_ms for run in self.runs.all())
            fresh_ms = oldest_ms + BUSY_WAIT_MS - self.clock.now_ms()
            if fresh_ms > 0:
                gevent.sleep(fresh_ms / MS_PER_S)
            else:
                self._renew(BUSY_WAIT_MS)
        self._bridging_idle_wait = False

    def _handle_renewal_refusal(self, reply: Refused, token: int) -> None:
        if reply.refusal is RefusalReason.FENCED:
            if token >= self.fencing_token:
                self._set_fenced()
        else:
            if reply.refusal is RefusalReason.OTHER_WORKER:
                self.events.on_worker_replaced(self)
            self._record_missed_reply(
                Failure(ErrorKind.REPLY_LOST, reply.refusal.value)
            )

    def _set_fenced(self) -> None:
        if self.state is not WorkerState.FENCED:
            log.warning(
                "worker_fenced", worker=self.worker_id, own_token=self.fencing_token
            )
            self.state = WorkerState.FENCED
            self.events.on_worker_changed(self)

    def _record_missed_reply(self, failure: Failure) -> None:
        self.missed_replies += 1
        if self.missed_replies == 2 and self.state is WorkerState.READY:
            log.warning("worker_silent", worker=self.worker_id, reason=failure.reason)
            self.state = WorkerState.UNRESPONSIVE
            self.events.on_worker_changed(self)

    def _drop_expired_runs(self) -> None:
        """Remove the runs of an unresponsive worker once its lease has expired."""
        if self.missed_replies and self.lease.is_expired():
            self.runs.count_other_jobs()
            for run in self.runs.all():
                if run.phase is RunPhase.STARTING and not run.order_token:
                    self._drop_unstarted(run, NoEffect.NOT_SENT)
                    continue
                self.runs.remove(run)
                self.events.on_run_lost(self, run, LossCause.LEASE_EXPIRED)

    def _apply_report(self, report: WorkerReport, sent_ms: float, token: int) -> None:
        if report.incarnation_ms != self.incarnation_ms:
            if sent_ms < self._incarnation_seen_ms:
                log.info("old_report_ignored", worker=self.worker_id)
                return
            self._begin_incarnation(report.incarnation_ms)
        self._reported_ms = self.clock.now_ms()
        self.lease.record_worker_clock(report.clock_ms)
        # Replies on two connections can overtake each other: an older one may still
        # list runs that are recorded as finished.
        is_newer = report.clock_ms > self.reported_clock_ms
        self.reported_clock_ms = max(report.clock_ms, self.reported_clock_ms)
        self.missed_replies = 0
        if report.remaining_ms is not None:
            self.drains_until_ms = self.clock.now_ms() + DRAINING_PAUSE_MS
        for finished in report.ended:
            self._apply_finished_run(finished)
        for row in report.running:
            if is_newer or (row.task, row.attempt) in self.runs:
                self._apply_run_status(row)
        if not report.lists_all_ends:
            self.request_report()
            return
        self._check_unlisted(report, sent_ms, token)
        self._known_ms = max(self._known_ms, sent_ms)
        if self.state in (WorkerState.SYNCING, WorkerState.UNRESPONSIVE):
            log.info(
                "worker_answers",
                worker=self.worker_id,
                before=self.state.value,
                running=len(report.running),
                token=token,
            )
            self.state = WorkerState.READY
            self.events.on_worker_changed(self)

    def _begin_incarnation(self, incarnation_ms: int) -> None:
        """Reset the counters that belong to one incarnation of the worker.

        Runs of the earlier incarnation are removed because the report does not list
        them; runs started in the new one stay.
        """
        if self.incarnation_ms:
            log.warning(
                "worker_started_anew",
                worker=self.worker_id,
                incarnation_ms=incarnation_ms,
                runs=len(self.runs),
            )
            self.runs.count_other_jobs()
            for run in self.runs.all():
                run.worker_restarted = True
        self.last_finished_number = 0
        self.reported_clock_ms = -inf
        self.drains_until_ms = 0
        self.incarnation_ms = incarnation_ms
        self._incarnation_seen_ms = self.clock.now_ms()

    def _apply_finished_run(self, finished: FinishedRun) -> None:
        if finished.number <= self.last_finished_number:
            return
        self.last_finished_number = finished.number
        run = self.runs.get((finished.task, finished.attempt))
        if run is None:
            self.events.on_inherited_run_finished(self, finished)
        elif self.runs.remove(run):
            self.events.on_run_finished(self, run, finished)

    def _apply_run_status(self, row: RunStatus) -> None:
        run = self.runs.get((row.task, row.attempt))
        now_ms = self.clock.now_ms()
        if run is None:
            run = Run(
                row.task,
                row.attempt,
                None,
                None,
                RunPhase.INHERITED,
                now_ms,
                incarnation_ms=self.incarnation_ms,
                fixed_lease_limit_ms=min(
                    now_ms + INHERITED_LEASE_MAX_MS, self._takeover_lease_limit_ms
                ),
            )
            # The former placer may just have extended the lease.
            self.lease.record_grant(now_ms)
            self.runs.add(run)
            self.events.on_inherited_run(self, run)
        elif run.phase in (RunPhase.STARTING, RunPhase.UNCERTAIN):
            run.phase = RunPhase.RUNNING
            run.confirmed_ms = now_ms
        if row.percent != run.percent or not run.last_listed_ms:
            run.percent, run.last_progress_ms = row.percent, now_ms
        run.last_listed_ms = now_ms
        is_stop_due = now_ms > run.stop_sent_ms + STOP_RETRY_MS
        if run.phase is RunPhase.STOPPING and is_stop_due:
            self.stop(run)

    def _check_unlisted(self, report: WorkerReport, sent_ms: float, token: int) -> None:
        """Check the runs that a report lists neither as running nor as finished."""
        listed = {(row.task, row.attempt) for row in report.running}
        for run in self.runs.all():
            if run.key not in listed:
                self._check_missing(run, sent_ms, token)

    def _check_missing(self, run: Run, sent_ms: float, token: int) -> None:
        """Remove a run that a report does not list, if it definitely does not run.

        ``sent_ms`` and ``token`` are those of the request for the report.
        """
        if run.start_fence_token and run.confirmed_ms is None:
            if token < run.start_fence_token:
                return
            evidence = evidence_in_absence(run, token)
            if evidence is None:
                self._drop_missing(run)
            else:
                self._drop_unstarted(run, evidence)
        elif run.must_be_listed(sent_ms):
            self._drop_missing(run)

    def _drop_missing(self, run: Run) -> None:
        """Remove a run that has stopped, and report why."""
        cause = LossCause.NOT_LISTED
        if run.worker_restarted:
            cause = LossCause.WORKER_RESTARTED
        self.runs.remove(run)
        self.events.on_run_lost(self, run, cause)


def _relies_on_entry(run: Run) -> bool:
    """Return whether a worker would start a run that its entry does not allow."""
    guards_capacity = run.task.job.submitted.policy.guards_capacity
    return bool(run.step.required_label) or not guards_capacity
