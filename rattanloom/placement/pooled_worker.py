"""One worker in a placer's pool: its lease, its runs, and the orders to it."""

from collections import Counter

import gevent
from attrs import define, field

from rattanloom.background import spawn_restarting
from rattanloom.clock import MS_PER_S, Clock
from rattanloom.decision_log import DecisionLog
from rattanloom.errors import ErrorKind, Failure
from rattanloom.placement.runs import PlacedTask, Run, RunPhase
from rattanloom.placement.worker_events import WorkerEvents, WorkerState
from rattanloom.placement.worker_lease import WorkerLease
from rattanloom.placement.worker_runs import WorkerRuns
from rattanloom.placement.workers import (
    FinishedRun,
    NotStarted,
    Renewal,
    RunStatus,
    Started,
    StartOrder,
    StartRefusal,
    WorkerEntry,
    WorkerOrders,
    WorkerReport,
)

log = DecisionLog("placement")

# A busy worker's lease is renewed after a third of its duration.
BUSY_WAIT_MS = 300
# An idle worker is asked seldom: only to see that it is alive.
IDLE_WAIT_MS = 1_500
# Pause between looks at a worker that does not answer.
SILENT_PAUSE_MS = 100
SILENT_PAUSE_MAX_MS = 1_000
ATTEMPT_TRIES = 5
STOP_AGAIN_MS = 150
# Time for the next placer to fence a worker after it was recorded as owner.
NEXT_PLACER_MS = 150


@define(eq=False, repr=False)
class PooledWorker:
    """One incarnation of a worker under this placer's fencing token."""

    entry: WorkerEntry
    orders: WorkerOrders
    events: WorkerEvents
    clock: Clock
    lease: WorkerLease
    fencing_token: int
    active: Counter[str]
    state: WorkerState = WorkerState.SYNCING
    runs: WorkerRuns = field(init=False)
    last_finished_number: int = 0
    incarnation_ms: int = 0
    reported_clock_ms: int = 0
    missed_replies: int = 0
    paused_until_ms: float = 0
    failure_score: float = 0
    quarantines: int = 0
    speed: float = 1.0
    closed: bool = False
    _idle_wait: bool = False
    _bridging: bool = False

    @property
    def worker_id(self) -> str:
        """Return the worker's id."""
        return self.entry.worker_id

    def __attrs_post_init__(self) -> None:
        self.runs = WorkerRuns(self.entry.capacity, self.active)

    def apply_entry(self, entry: WorkerEntry) -> None:
        """Take what the worker registers of itself by now."""
        self.entry = entry
        self.runs.set_capacity(entry.capacity)

    def open(self) -> None:
        """Start watching the worker."""
        spawn_restarting(self._watch_all)

    def raise_token(self, fencing_token: int) -> None:
        """Go on under the token of a newer epoch; runs are kept."""
        if fencing_token > self.fencing_token:
            self.fencing_token = fencing_token
            if self.state is WorkerState.UNRESPONSIVE:
                self.state = WorkerState.SYNCING
            self.request_report()

    def abandon(self) -> None:
        """Leave the worker to its next placer, and stop what that one missed.

        The next placer fences this one off first, so that the stops reach only
        workers that it has not taken.
        """
        if not self.closed:
            self.closed = True
            gevent.spawn(self._stop_missed)

    def _stop_missed(self) -> None:
        gevent.sleep(NEXT_PLACER_MS / MS_PER_S)
        if self.state is WorkerState.READY:
            for run in self.runs.all():
                self._stop(run)
        self.orders.close()

    def start_run(self, task: PlacedTask) -> Run:
        """Take room for a task and send its start."""
        task.attempt += 1
        now_ms = self.clock.now_ms()
        run = Run(task.name, task.attempt, task, task.step, RunPhase.STARTING, now_ms)
        self.runs.add(run)
        gevent.spawn(self._start, run)
        return run

    def stop(self, run: Run) -> None:
        """Stop a run; its room is free once its end is listed."""
        run.phase = RunPhase.STOPPING
        run.stop_sent_ms = self.clock.now_ms()
        gevent.spawn(self._stop, run)

    def adopt(self, run: Run, task: PlacedTask) -> None:
        """Give a foreign run to the task that it belongs to."""
        self.runs.claim(run, task, self.clock.now_ms())
        task.attempt = max(task.attempt, run.attempt)

    def _start(self, run: Run) -> None:
        for _ in range(ATTEMPT_TRIES):
            token = self.fencing_token
            order = StartOrder(
                run.name,
                run.attempt,
                run.task.job.work.spec,
                self.lease.extend(),
                token,
            )
            reply = self.orders.start(order)
            log.info(
                "task_ordered",
                task=run.name,
                attempt=run.attempt,
                worker=self.worker_id,
                token=token,
                lease_until_ms=order.lease_until_ms,
                answer=_word(reply),
            )
            if self.closed or self.runs.get(run.key) is not run:
                return
            if not self._is_to_repeat(run, reply, token):
                break
        self._take_start_reply(run, reply)

    def _is_to_repeat(self, run: Run, reply: object, token: int) -> bool:
        if not isinstance(reply, NotStarted):
            return False
        if reply.refusal is StartRefusal.ATTEMPT_TOO_OLD:
            self.runs.remove(run)
            run.attempt += 1
            run.task.attempt = run.attempt
            self.runs.add(run)
            return True
        return reply.refusal is StartRefusal.FENCED and token < self.fencing_token

    def _take_start_reply(
        self, run: Run, reply: Started | NotStarted | Failure
    ) -> None:
        if isinstance(reply, Started):
            self.lease.record_worker_clock(reply.clock_ms)
            if run.phase is RunPhase.STARTING:
                run.phase = RunPhase.RUNNING
            run.confirmed_ms = self.clock.now_ms()
            self._renew_while_idle_wait()
        elif isinstance(reply, NotStarted):
            self._take_refusal(run, reply)
        elif reply.kind is ErrorKind.PLATFORM_UNREACHABLE:
            self._miss(reply)
            self._give_back(run, None)
        else:
            self._resolve_lost_start(run, reply)

    def _take_refusal(self, run: Run, reply: NotStarted) -> None:
        if reply.clock_ms:
            self.lease.record_worker_clock(reply.clock_ms)
        if reply.refusal is StartRefusal.FENCED:
            self._fenced()
        self._give_back(run, reply.refusal)

    def _give_back(self, run: Run, refusal: StartRefusal | None) -> None:
        if self.runs.remove(run):
            self.events.on_run_not_started(self, run, refusal)

    def _resolve_lost_start(self, run: Run, failure: Failure) -> None:
        """Fence the lost order off with a higher token, then look what runs."""
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
        run.uncertain_token = self.fencing_token
        self.request_report()

    def _stop(self, run: Run) -> None:
        reply = self.orders.stop(run.name, run.attempt, self.fencing_token)
        if isinstance(reply, Failure):
            log.warning(
                "stop_unanswered",
                task=run.name,
                worker=self.worker_id,
                reason=reply.reason,
            )

    def request_report(self) -> None:
        """Ask for a report now, beside the one that is waited for."""
        gevent.spawn(self._renew, 0)

    def _watch_all(self) -> None:
        while not self.closed:
            if self.state is WorkerState.FENCED:
                return
            if self.missed_replies:
                pause_ms = min(
                    SILENT_PAUSE_MS * self.missed_replies, SILENT_PAUSE_MAX_MS
                )
                gevent.sleep((pause_ms if self.missed_replies > 1 else 0) / MS_PER_S)
                self._renew(0)
                self._drop_lapsed()
                continue
            self._idle_wait = not self.runs
            self._renew(IDLE_WAIT_MS if self._idle_wait else BUSY_WAIT_MS)

    def _renew(self, wait_ms: int) -> None:
        sent_ms = self.clock.now_ms()
        token = self.fencing_token
        synced = self.state is not WorkerState.SYNCING
        has_own_runs = len(self.runs) > self.runs.inherited_count
        leasing = synced and has_own_runs and self.missed_replies < 2
        lease_until_ms = self.lease.extend() if leasing else None
        if self.state is WorkerState.SYNCING:
            wait_ms = 0
        reply = self.orders.renew(
            Renewal(token, self.last_finished_number, lease_until_ms, wait_ms)
        )
        if self.closed:
            return
        if isinstance(reply, WorkerReport):
            self._take_report(reply, sent_ms, token)
        elif isinstance(reply, NotStarted):
            self._take_renewal_refusal(reply, token)
        else:
            self._miss(reply)

    def _renew_while_idle_wait(self) -> None:
        """Keep the lease while the watch waits as for an idle worker."""
        if self._idle_wait and not self._bridging:
            self._bridging = True
            gevent.spawn(self._bridge_idle_wait)

    def _bridge_idle_wait(self) -> None:
        gevent.sleep(BUSY_WAIT_MS / MS_PER_S)
        while (
            self._idle_wait
            and self.runs
            and not self.closed
            and not self.missed_replies
        ):
            self._renew(BUSY_WAIT_MS)
        self._bridging = False

    def _take_renewal_refusal(self, reply: NotStarted, token: int) -> None:
        if reply.refusal is StartRefusal.FENCED:
            if token >= self.fencing_token:
                self._fenced()
        else:
            self._miss(Failure(ErrorKind.REPLY_LOST, reply.refusal.value))

    def _fenced(self) -> None:
        if self.state is not WorkerState.FENCED:
            log.warning(
                "worker_fenced", worker=self.worker_id, own_token=self.fencing_token
            )
            self.state = WorkerState.FENCED
            self.events.on_worker_changed(self)

    def _miss(self, failure: Failure) -> None:
        self.missed_replies += 1
        if self.missed_replies == 2 and self.state is WorkerState.READY:
            log.warning("worker_silent", worker=self.worker_id, reason=failure.reason)
            self.state = WorkerState.UNRESPONSIVE
            self.events.on_worker_changed(self)

    def _drop_lapsed(self) -> None:
        """Give up the runs of a silent worker once its lease is over."""
        if self.missed_replies and self.lease.is_expired():
            for run in self.runs.all():
                self.runs.remove(run)
                self.events.on_run_lost(self, run, "the lease on the worker is over")

    def _take_report(self, report: WorkerReport, sent_ms: float, token: int) -> None:
        self.lease.record_worker_clock(report.clock_ms)
        if report.incarnation_ms != self.incarnation_ms:
            self._begin_incarnation(report.incarnation_ms)
        # Answers on two connections overtake each other: an older one may still
        # list runs whose end is noted.
        is_newer = report.clock_ms > self.reported_clock_ms
        self.reported_clock_ms = max(report.clock_ms, self.reported_clock_ms)
        self.missed_replies = 0
        for end in report.ended:
            self._take_end(end)
        listed = {(row.task, row.attempt): row for row in report.running}
        for row in report.running:
            if is_newer or (row.task, row.attempt) in self.runs:
                self._take_running(row)
        for run in self.runs.all():
            if run.key not in listed:
                self._check_missing(run, sent_ms, token)
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
        """Forget what one life of the worker counted.

        Its runs go as the new life does not list them; those that were started
        in the new life stay.
        """
        if self.incarnation_ms:
            log.warning(
                "worker_started_anew",
                worker=self.worker_id,
                incarnation_ms=incarnation_ms,
                runs=len(self.runs),
            )
        self.last_finished_number = 0
        self.reported_clock_ms = 0
        self.incarnation_ms = incarnation_ms

    def _take_end(self, end: FinishedRun) -> None:
        if end.number <= self.last_finished_number:
            return
        self.last_finished_number = end.number
        run = self.runs.get((end.task, end.attempt))
        if run is None:
            self.events.on_inherited_run_finished(self, end)
        elif self.runs.remove(run):
            self.events.on_run_finished(self, run, end)

    def _take_running(self, row: RunStatus) -> None:
        run = self.runs.get((row.task, row.attempt))
        now_ms = self.clock.now_ms()
        if run is None:
            run = Run(row.task, row.attempt, None, None, RunPhase.INHERITED, now_ms)
            self.runs.add(run)
            self.events.on_inherited_run(self, run)
        elif run.phase in (RunPhase.STARTING, RunPhase.UNCERTAIN):
            run.phase = RunPhase.RUNNING
            run.confirmed_ms = now_ms
        if row.percent != run.percent or not run.last_listed_ms:
            run.percent, run.last_progress_ms = row.percent, now_ms
        run.last_listed_ms = now_ms
        is_stop_due = now_ms > run.stop_sent_ms + STOP_AGAIN_MS
        if run.phase is RunPhase.STOPPING and is_stop_due:
            self.stop(run)

    def _check_missing(self, run: Run, sent_ms: float, token: int) -> None:
        if run.uncertain_token and run.confirmed_ms is None:
            if token >= run.uncertain_token:
                self._give_back(run, None)
        elif _was_listed(run, sent_ms):
            self.runs.remove(run)
            self.events.on_run_lost(self, run, "the worker does not list it")


def _was_listed(run: Run, report_asked_ms: float) -> bool:
    """Return whether a report asked for then would list the run if it ran."""
    seen_ms = run.ordered_ms if run.task is None else run.confirmed_ms
    return seen_ms is not None and seen_ms < report_asked_ms


def _word(reply: Started | NotStarted | Failure) -> str:
    if isinstance(reply, Started):
        return "started"
    if isinstance(reply, NotStarted):
        return reply.refusal.value
    return reply.kind.value
