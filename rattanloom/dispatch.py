"""Dispatches the tasks of jobs from one entry host to workers; collects the outputs."""

from collections.abc import Callable, Iterator
from itertools import count
from typing import Protocol

import gevent
from attrs import define, field
from gevent.event import Event

from rattanloom.clock import MS_PER_S
from rattanloom.dispatch_attempt import MESSAGES_PER_EXCHANGE, AttemptRunner
from rattanloom.dispatch_job import JobRun
from rattanloom.environment import Environment
from rattanloom.errors import ErrorKind, Failure
from rattanloom.job import Job, JobResult, ResultKind
from rattanloom.logs import get_log
from rattanloom.metrics import Metrics
from rattanloom.queue import QueuedTask
from rattanloom.retry import RetryBudget, retry_delay_ms
from rattanloom.routing import hold_ms
from rattanloom.rules import KindRule, Rules, TeamRule
from rattanloom.targets.directory import TargetDirectory
from rattanloom.targets.protocol import (
    NOT_STARTED_STATES,
    Attempt,
    AttemptReply,
    AttemptState,
    Target,
)
from rattanloom.targets.state import TargetState
from rattanloom.timeline import EventKind, Timeline

log = get_log("dispatch")

NO_RULES = Rules()
# Interval at which an exhausted retry budget is checked again.
BUDGET_PAUSE_MS = 250.0
# How soon tasks for which no worker was free are tried again.
START_RETRY_MS = 5.0


class TaskQueue(Protocol):
    """The part of ``Admission`` that the dispatcher uses."""

    def put(self, tasks: list[QueuedTask]) -> None:
        """Queue the tasks of an admitted job."""

    def requeue(self, task: QueuedTask) -> None:
        """Queue a taken task again that did not start."""

    def take(self, can_place: Callable[[QueuedTask], bool]) -> QueuedTask | None:
        """Remove and return the next task that can be placed, or None."""

    def finished(self, task: QueuedTask, run_ms: float | None) -> None:
        """Release a taken task's capacity; ``run_ms`` is None if it did not run."""

    def withdraw(self, job_id: str) -> list[QueuedTask]:
        """Remove a job's waiting tasks and return them."""

    def on_ready(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` whenever ``take`` may return another task."""

    def on_overdue(self, callback: Callable[[QueuedTask], None]) -> None:
        """Call ``callback`` with each task dropped as unable to finish in time."""


@define(eq=False)
class Dispatcher:
    """Assigns waiting tasks to workers, as late as possible.

    A task stays queued until a worker probably has free slots for it. ``_runs``
    holds the running jobs by job identifier.
    """

    environment: Environment
    timeline: Timeline
    admission: TaskQueue
    directory: TargetDirectory
    rules: Callable[[], Rules | None]
    metrics: Metrics
    budget: RetryBudget = field(factory=RetryBudget)
    _runner: AttemptRunner = field(init=False)
    _runs: dict[str, JobRun] = field(factory=dict)
    _run_numbers: Iterator[int] = field(factory=lambda: count(1))
    _is_starting: bool = False
    _retry_scheduled: bool = False

    def __attrs_post_init__(self) -> None:
        self._runner = AttemptRunner(
            self.environment, self.metrics, self.directory.record_unreachable
        )
        self.directory.on_change(self.start_ready_tasks)
        self.admission.on_ready(self.start_ready_tasks)
        self.admission.on_overdue(self._on_overdue)

    def run(self, job: Job, deadline_at_ms: float, cancelled: Event) -> JobResult:
        """Run an admitted job to its end, at most until its deadline."""
        run = JobRun(job, deadline_at_ms, self._now_ms(), next(self._run_numbers))
        if self._refuse_never_runnable(run):
            return run.result(self._now_ms())
        self._runs[job.job_id] = run
        try:
            self.admission.put(self._make_queued_tasks(run))
            self._wait(run, cancelled)
        finally:
            del self._runs[job.job_id]
            self.admission.withdraw(job.job_id)
            self._stop_in_flight(run)
        result = run.result(self._now_ms())
        self._record_times(run, result)
        return result

    def _record_times(self, run: JobRun, result: JobResult) -> None:
        """Record a complete job's run time, and its ratio to its longest task's."""
        if result.outcome is not ResultKind.COMPLETE:
            return
        self.metrics.observe("job_response", result.run_ms)
        if run.longest_run_ms > 0:
            ratio = result.run_ms / run.longest_run_ms
            self.metrics.observe_ratio("job_response_over_ideal", ratio)

    def _refuse_never_runnable(self, run: JobRun) -> bool:
        """Fail the job and return True if one of its tasks fits no worker."""
        requirements = {}
        for index, task in enumerate(run.job.tasks):
            requirements.setdefault(
                (task.kind, task.size_slots, task.accelerator), index
            )
        for index in requirements.values():
            failure = self.directory.check_runnable(run.job.tasks[index])
            if failure is not None:
                run.fail(failure, index)
                return True
        return False

    def start_ready_tasks(self) -> None:
        """Start every waiting task for which a worker probably has free slots."""
        if self._is_starting:
            return
        self._is_starting = True
        try:
            while self._start_next():
                pass
        finally:
            self._is_starting = False

    def _start_next(self) -> bool:
        """Start the next task that can be placed; return False if there is none."""
        places: dict[int, TargetState] = {}
        passed_over: list[QueuedTask] = []
        now_ms = self._now_ms()

        def can_place(queued: QueuedTask) -> bool:
            waited_ms = now_ms - queued.queued_at_ms
            target = self.directory.find(queued.task, waited_ms)
            if target is None:
                passed_over.append(queued)
                return False
            places[id(queued)] = target
            return True

        queued = self.admission.take(can_place)
        if queued is None:
            if passed_over:
                self._schedule_retry()
            return False
        target = places[id(queued)]
        self.directory.reserve(target, queued.task)
        run = self._runs.get(queued.job.job_id)
        gevent.spawn(self._run_attempt, run, queued, target)
        return True

    def _schedule_retry(self) -> None:
        """Try again soon: by then, waiting tasks may use workers of a further tier."""
        if self._retry_scheduled:
            return
        self._retry_scheduled = True
        gevent.spawn_later(START_RETRY_MS / MS_PER_S, self._retry_start)

    def _retry_start(self) -> None:
        self._retry_scheduled = False
        self.start_ready_tasks()

    def _make_queued_tasks(self, run: JobRun) -> list[QueuedTask]:
        now_ms = self._now_ms()
        return [
            QueuedTask(run.job, index, run.deadline_at_ms, now_ms)
            for index in range(len(run.job.tasks))
        ]

    def _wait(self, run: JobRun, cancelled: Event) -> None:
        """Wait until the job is settled, cancelled or past its deadline."""
        left_ms = max(0.0, run.deadline_at_ms - self._now_ms())
        gevent.wait([run.settled, cancelled], timeout=left_ms / MS_PER_S, count=1)
        if run.is_settled:
            return
        if cancelled.is_set():
            run.fail(Failure(ErrorKind.CANCELLED, "cancelled by the caller"))
            return
        run.fail(Failure(ErrorKind.DEADLINE_PASSED, "the job's deadline passed"))

    def _stop_in_flight(self, run: JobRun) -> None:
        for attempt, target in run.in_flight.values():
            gevent.spawn(self._stop, attempt, target)

    def _stop(self, attempt: Attempt, target: Target) -> None:
        self.metrics.count("messages", "stop", MESSAGES_PER_EXCHANGE)
        target.stop(attempt.attempt_id)
        self._record_event(EventKind.ATTEMPT_STOPPED, attempt, target)

    def _run_attempt(
        self, run: JobRun | None, queued: QueuedTask, target: Target
    ) -> None:
        """Run one attempt of a taken task and apply its outcome.

        ``run`` is the job's ``JobRun`` at the time when the task was taken; a job that
        was refused and admitted again since has another one.
        """
        if run is None or run.is_settled:
            self.directory.release(target, queued.task)
            self.admission.finished(queued, None)
            return
        attempt = self._new_attempt(run, queued)
        reply = self._send(run, queued, attempt, target)
        self.directory.release(target, queued.task)
        self.directory.record_outcome(target, queued.task, queued.job.job_id, reply)
        self._apply_reply(run, queued, reply)

    def _send(
        self, run: JobRun, queued: QueuedTask, attempt: Attempt, target: Target
    ) -> AttemptReply | Failure:
        run.in_flight[attempt.attempt_id] = (attempt, target)
        run.started_tasks.add(queued.index)
        if queued.number == 1:
            self._credit_retry_budget(queued)
        self._record_event(EventKind.ATTEMPT_SENT, attempt, target)
        upper_bound_ms = self.directory.estimates.upper_bound_ms(queued.task)
        try:
            reply = self._runner.run(target, attempt, upper_bound_ms)
        except Exception as error:
            log.error("Attempt {} failed: {!r}", attempt.attempt_id, error)
            reply = Failure(ErrorKind.INTERNAL, f"running the attempt raised {error!r}")
        finally:
            del run.in_flight[attempt.attempt_id]
        detail = reply.kind if isinstance(reply, Failure) else reply.state
        self._record_event(EventKind.ATTEMPT_ENDED, attempt, target, detail.value)
        return reply

    def _apply_reply(
        self,
        run: JobRun,
        queued: QueuedTask,
        reply: AttemptReply | Failure,
    ) -> None:
        """Requeue a task that did not start; otherwise complete it or fail its job."""
        if _is_known_not_started(reply):
            self.metrics.count("wasted_messages", "refused", MESSAGES_PER_EXCHANGE)
            run.started_tasks.discard(queued.index)
            self._requeue(run, queued, reply)
            return
        if isinstance(reply, Failure):
            self.admission.finished(queued, None)
            run.fail(reply, queued.index)
            return
        self.admission.finished(queued, reply.run_ms)
        if reply.state is AttemptState.DONE:
            run.complete_task(queued.index, reply.output, reply.run_ms)
            self.metrics.count("tasks_done")
            return
        reason = f"task {queued.index} {reply.state.value}: {reply.output}"
        run.fail(Failure(ErrorKind.TASK_FAILED, reason), queued.index)

    def _requeue(
        self, run: JobRun, queued: QueuedTask, reply: AttemptReply | Failure
    ) -> None:
        """Queue a task again after its backoff, once the team's retry budget allows it.

        Fails the job instead after ``retries_max`` retries.
        """
        rule = self._kind_rule(queued)
        if queued.number > rule.retries_max:
            reason = (
                f"task {queued.index} could not be started: {_refusal_reason(reply)}"
            )
            run.fail(Failure(ErrorKind.NO_TARGETS, reason), queued.index)
        else:
            gevent.sleep(retry_delay_ms(rule, queued.number) / MS_PER_S)
            self._await_budget(run, queued.job.team)
        if run.is_settled:
            self.admission.finished(queued, None)
            return
        queued.number += 1
        self.admission.requeue(queued)

    def _await_budget(self, run: JobRun, team: str) -> None:
        """Wait until the team's retry budget allows another attempt."""
        while not run.is_settled and not self.budget.try_withdraw(team, self._now_ms()):
            self.metrics.count("retries_held_back")
            gevent.sleep(BUDGET_PAUSE_MS / MS_PER_S)

    def _on_overdue(self, queued: QueuedTask) -> None:
        """Fail the job of a task that was dropped from the queue as overdue."""
        run = self._runs.get(queued.job.job_id)
        if run is not None:
            reason = f"task {queued.index} cannot finish before the deadline"
            run.fail(Failure(ErrorKind.DEADLINE_UNREACHABLE, reason), queued.index)

    def _new_attempt(self, run: JobRun, queued: QueuedTask) -> Attempt:
        task = queued.task
        left_ms = max(1.0, queued.deadline_at_ms - self._now_ms())
        return Attempt(
            attempt_id=run.attempt_id(queued.index, queued.number),
            job_id=queued.job.job_id,
            task=queued.index,
            number=queued.number,
            kind=task.kind,
            payload=task.payload,
            size_slots=task.size_slots,
            run_ms=task.run_ms,
            start_within_ms=min(hold_ms(self._active_rules().deployment), left_ms),
            lease_ms=left_ms,
            accelerator=task.accelerator,
            sender=self.timeline.process,
        )

    def _kind_rule(self, queued: QueuedTask) -> KindRule:
        return self._active_rules().kinds.get(queued.task.kind, KindRule())

    def _credit_retry_budget(self, queued: QueuedTask) -> None:
        team = queued.job.team
        rule = self._active_rules().teams.get(team, TeamRule())
        self.budget.deposit(team, rule, self._now_ms())

    def _active_rules(self) -> Rules:
        return self.rules() or NO_RULES

    def _record_event(
        self, kind: EventKind, attempt: Attempt, target: Target, detail: str = ""
    ) -> None:
        self.timeline.record(
            kind, attempt.job_id, attempt.task, attempt.number, target.name, detail
        )

    def _now_ms(self) -> float:
        return self.environment.clock.now_ms()


def _refusal_reason(reply: AttemptReply | Failure) -> str:
    return reply.reason if isinstance(reply, Failure) else reply.state.value


def _is_known_not_started(reply: AttemptReply | Failure) -> bool:
    if isinstance(reply, Failure):
        return reply.kind is ErrorKind.NO_TARGETS
    return reply.state in NOT_STARTED_STATES
