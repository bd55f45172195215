"""In-memory worker, table store and receiver of outcomes, for tests of the daemon.

Worker and store follow the platform's documentation.
"""

from collections import defaultdict
from math import inf

import gevent
from attrs import define, field
from gevent.event import Event

from rattanloom.clock import SystemClock
from rattanloom.errors import ErrorKind, Failure
from rattanloom.placement.job_lease import counted_renewal_ms
from rattanloom.placement.jobs import JobPolicy, Step, SubmittedJob
from rattanloom.placement.workers import (
    FinishedRun,
    RefusalReason,
    Refused,
    Renewal,
    Resources,
    RunOutcome,
    RunStatus,
    Started,
    StartOrder,
    WorkerEntry,
    WorkerReport,
)
from rattanloom.platform.rows import (
    ChangedRows,
    Committed,
    Condition,
    Conflicted,
    Row,
    RowRef,
    TableSnapshot,
)

CLOCK = SystemClock()
UNREACHABLE = Failure(ErrorKind.PLATFORM_UNREACHABLE, "cut off")
LOST = Failure(ErrorKind.REPLY_LOST, "no reply")


@define(eq=False)
class FakeWorker:
    """In-memory worker with a fencing token, a lease, running and finished runs.

    Its clock is 7 s ahead of the placer's. ``running`` has the progress of each run
    in percent, ``starts`` the start orders carried out. The next ``lose_starts``
    start orders get no reply, and are kept in ``late_orders`` for the test to carry
    out. A test changes ``incarnation_ms`` to restart the worker. The tasks named in
    ``crashing`` crash it; it is ``down`` for ``down_s`` and has a new incarnation then.
    """

    worker_id: str
    zone: str = "a"
    cut_off: bool = False
    lose_starts: int = 0
    token: int = 0
    incarnation_ms: int = 1
    lease_until_ms: float = 0
    running: dict[tuple[str, int], int] = field(factory=dict)
    finished: list[FinishedRun] = field(factory=list)
    ended_count: int = 0
    late_orders: list[StartOrder] = field(factory=list)
    starts: list[StartOrder] = field(factory=list)
    changed: Event = field(factory=Event)
    crashing: frozenset[str] = frozenset()
    down: bool = False
    down_s: float = 0.2

    def entry(self) -> WorkerEntry:
        """Return the entry that the worker registers."""
        return WorkerEntry(
            self.worker_id,
            1,
            "service",
            f"{self.worker_id}:1",
            self.zone,
            True,
            Resources(32_000, 64_000),
        )

    def start(self, order: StartOrder) -> Started | Refused | Failure:
        """Receive a start order: carry it out, lose it or fail to be reached."""
        gevent.sleep(0)
        if self.cut_off or self.down:
            return UNREACHABLE
        if self.lose_starts:
            self.lose_starts -= 1
            self.late_orders.append(order)
            return LOST
        return self.carry_out(order)

    def carry_out(self, order: StartOrder) -> Started | Refused:
        """Carry out a start order now; called by tests for orders that arrive late."""
        self._expire_runs()
        if order.fencing_token < self.token:
            return Refused(RefusalReason.FENCED, self._clock_ms())
        if order.lease_until_ms < self._clock_ms():
            return Refused(RefusalReason.LEASE_EXPIRED, self._clock_ms())
        self.token = order.fencing_token
        self.lease_until_ms = max(self.lease_until_ms, order.lease_until_ms)
        self.running[order.task, order.attempt] = 0
        self.starts.append(order)
        if order.task in self.crashing:
            gevent.spawn_later(0.01, self.crash)
        return Started(self._clock_ms())

    def crash(self) -> None:
        """Lose all state; return in a new incarnation after ``down_s``."""
        self.down = True
        self.running.clear()
        self.finished.clear()
        self.token, self.ended_count, self.lease_until_ms = 0, 0, 0
        self.changed.set()
        gevent.sleep(self.down_s)
        self.incarnation_ms += 1
        self.down = False

    def stop(self, task: str, attempt: int, fencing_token: int) -> bool | Failure:
        """Stop a run."""
        gevent.sleep(0)
        if self.cut_off or self.down:
            return UNREACHABLE
        if fencing_token < self.token:
            return False
        self.end(task, RunOutcome.STOPPED)
        return True

    def renew(self, renewal: Renewal) -> WorkerReport | Refused | Failure:
        """Extend the lease; report once a run has finished or the wait has ended."""
        gevent.sleep(0.001)
        if self.cut_off or self.down:
            return UNREACHABLE
        if renewal.fencing_token < self.token:
            return Refused(RefusalReason.FENCED, self._clock_ms())
        self.token = renewal.fencing_token
        self._expire_runs()
        self.finished = [
            end for end in self.finished if end.number > renewal.last_finished_number
        ]
        if renewal.lease_until_ms is not None:
            self.lease_until_ms = max(self.lease_until_ms, renewal.lease_until_ms)
        if renewal.wait_ms and not self.finished:
            self.changed.clear()
            self.changed.wait(renewal.wait_ms / 1000)
        if self.cut_off or self.down:
            return LOST
        self._expire_runs()
        running = tuple(
            RunStatus(task, attempt, "", percent)
            for (task, attempt), percent in self.running.items()
        )
        return WorkerReport(
            self._clock_ms(), self.incarnation_ms, running, tuple(self.finished)
        )

    def close(self) -> None:
        """Do nothing; there are no connections."""

    def end(self, task: str, outcome: RunOutcome = RunOutcome.DONE) -> None:
        """Finish the run of a task with an outcome."""
        for name, attempt in list(self.running):
            if name == task:
                del self.running[name, attempt]
                self.ended_count += 1
                self.finished.append(
                    FinishedRun(self.ended_count, name, attempt, outcome)
                )
        self.changed.set()

    def _clock_ms(self) -> int:
        return int(CLOCK.now_ms()) + 7_000

    def _expire_runs(self) -> None:
        if self._clock_ms() > self.lease_until_ms:
            for task, _ in list(self.running):
                self.end(task, RunOutcome.EXPIRED)


# As long as the adapter waits for the reply to a read or a write.
SILENCE_S = 1.0


@define(eq=False)
class FakeStore:
    """In-memory table store.

    ``down`` makes it unreachable; while it is ``silent``, calls fail after
    ``SILENCE_S`` without a reply; the replies to the next ``lose_replies`` writes
    are lost. The next ``delay_writes`` writes get no reply and take effect only with
    ``perform_delayed_writes``. Changes up to version ``history_from`` are no longer
    available. One read returns at most ``rows_per_read_max`` changed rows.
    """

    rows: dict[RowRef, Row] = field(factory=dict)
    version: int = 0
    down: bool = False
    silent: bool = False
    lose_replies: int = 0
    delay_writes: int = 0
    delayed_writes: list[tuple] = field(factory=list)
    history_from: int = 0
    rows_per_read_max: int = 1_000_000
    changed: list[Event] = field(factory=list)

    def read(self, table: str) -> TableSnapshot | Failure:
        """Return all rows of a table."""
        failure = self._fail()
        if failure is not None:
            return failure
        rows = tuple(
            row
            for row in self.rows.values()
            if row.ref.table == table and not row.deleted
        )
        return TableSnapshot(rows, self.version)

    def poll_changes(
        self, table: str, after_version: int, wait_ms: int
    ) -> ChangedRows | Failure:
        """Return the changed rows, waiting for a change if there is none."""
        failure = self._fail()
        if failure is not None:
            return failure
        if after_version < self.history_from:
            return Failure(ErrorKind.HISTORY_GONE, "dropped")
        if not self._changes(table, after_version) and wait_ms:
            event = Event()
            self.changed.append(event)
            event.wait(wait_ms / 1000)
        rows = self._changes(table, after_version)
        if len(rows) <= self.rows_per_read_max:
            return ChangedRows(rows, self.version)
        rows = rows[: self.rows_per_read_max]
        return ChangedRows(rows, rows[-1].version)

    def transact(
        self,
        conditions: list[Condition],
        writes: list[tuple[RowRef, bytes]],
        removals: list[RowRef] = (),
    ) -> Committed | Conflicted | Failure:
        """Apply all writes and removals if all conditions hold, otherwise none."""
        failure = self._fail()
        if failure is not None:
            return failure
        if self.delay_writes:
            self.delay_writes -= 1
            self.delayed_writes.append((conditions, writes, removals))
            return LOST
        return self._apply(conditions, writes, removals)

    def perform_delayed_writes(self) -> None:
        """Let the delayed writes take effect if their conditions hold now."""
        for conditions, writes, removals in self.delayed_writes:
            self._apply(conditions, writes, removals)
        self.delayed_writes.clear()

    def _apply(self, conditions, writes, removals) -> Committed | Conflicted | Failure:
        wrong = [
            self.rows.get(condition.ref, Row(condition.ref, 0, None))
            for condition in conditions
            if self._version(condition.ref) != condition.version
        ]
        if wrong:
            return Conflicted(tuple(wrong))
        self.version += 1
        for ref, value in writes:
            self.rows[ref] = Row(ref, self.version, value)
        for ref in removals:
            self.rows[ref] = Row(ref, self.version, None, deleted=True)
        for event in self.changed:
            event.set()
        self.changed.clear()
        if self.lose_replies:
            self.lose_replies -= 1
            return LOST
        return Committed(self.version)

    def _fail(self) -> Failure | None:
        gevent.sleep(0.001)
        if self.down:
            return UNREACHABLE
        if self.silent:
            gevent.sleep(SILENCE_S)
            return LOST
        return None

    def _version(self, ref: RowRef) -> int:
        row = self.rows.get(ref)
        return 0 if row is None or row.deleted else row.version

    def _changes(self, table: str, after_version: int) -> tuple[Row, ...]:
        rows = [
            row
            for row in self.rows.values()
            if row.ref.table == table and row.version > after_version
        ]
        return tuple(sorted(rows, key=lambda row: row.version))


@define(eq=False)
class FakeReceiver:
    """Receiver that collects the outcomes of jobs.

    If ``waiting``, it renews the leases of all jobs until ``last_renewal_ms``.
    """

    node: str = "entry-1"
    waiting: bool = True
    last_renewal_ms: float | None = None
    outcomes: list = field(factory=list)
    returned: list = field(factory=list)
    by_job: dict = field(factory=lambda: defaultdict(list))

    def disconnect(self) -> None:
        """Renew no lease from now on, as after the loss of the daemon's link."""
        self.last_renewal_ms = counted_renewal_ms(CLOCK.now_ms())

    def renewed_ms(self, job_id) -> float:
        """Return when the leases were last renewed."""
        if not self.waiting:
            return -inf
        return self.last_renewal_ms or CLOCK.now_ms()

    def deliver(self, outcome) -> None:
        """Record an outcome."""
        self.outcomes.append(outcome)
        self.by_job[outcome.job_id].append(outcome)

    def take_back(self, jobs) -> None:
        """Record jobs that were handed back."""
        self.returned += jobs


POLICY = JobPolicy("service", 0, 2, 1.6, 60)
NEED = Resources(14_000, 64)


def make_submitted_job(
    job_id: str = "00000000000000aa",
    count: int = 1,
    estimate_ms: float = 200,
    remaining_ms: float = 5_000,
    policy: JobPolicy = POLICY,
) -> SubmittedJob:
    """Return a job of one step with ``count`` tasks."""
    return SubmittedJob(
        job_id, "spec", (Step(count, NEED, estimate_ms),), policy, remaining_ms
    )


def wait_for(condition, within_s: float = 5.0) -> bool:
    """Wait until a condition holds; the limit is far above all timeouts used."""
    with gevent.Timeout(within_s, False):
        while not condition():
            gevent.sleep(0.005)
        return True
    return bool(condition())
