"""Decides by the records of crashes whether tasks and jobs may start."""

from collections.abc import Container

from attrs import define, field

from rattanloom.clock import Clock
from rattanloom.placement.crash_records import (
    CrashRecords,
    LossState,
    RunLoss,
    TaskRisk,
)
from rattanloom.placement.jobs import JobOutcome, OutcomeKind
from rattanloom.placement.pooled_worker import PooledWorker
from rattanloom.placement.runs import PlacedJob, PlacedTask, Run
from rattanloom.placement.worker_events import LossCause

# States of a loss by its cause; with another cause, the worker has not crashed.
LOSS_STATES = {
    LossCause.LEASE_EXPIRED: LossState.OPEN,
    LossCause.WORKER_RESTARTED: LossState.CRASHED,
}
# Workers that crash are back after some seconds, which then decides their losses.
UNDECIDED_RETRY_AFTER_MS = 3_000


@define(eq=False, repr=False)
class CrashPolicy:
    """Applies ``CrashRecords`` to the tasks, runs and workers of a placer."""

    clock: Clock
    records: CrashRecords = field(factory=CrashRecords)

    def must_be_isolated(self, task: PlacedTask) -> bool:
        """Return whether no other run may be on the worker that runs a task."""
        return self.records.risk(task.name) is not TaskRisk.NONE

    def may_start(self, task: PlacedTask) -> bool:
        """Return whether a task may be started, on some worker, now."""
        return self.records.risk(task.name).may_start

    def outcome_of(self, job: PlacedJob) -> JobOutcome | None:
        """Return the outcome of a job with a task that must not start, or None.

        The job has failed if the task crashed its workers. It is given up if that is
        not known yet.
        """
        for task in job.tasks:
            risk = self.records.risk(task.name)
            if risk.may_start:
                continue
            workers = ", ".join(self.records.workers_lost_under(task.name))
            if risk is TaskRisk.CRASHING:
                reason = f"task {task.name} crashed the workers {workers}"
                return JobOutcome(job.job_id, OutcomeKind.FAILED, reason)
            reason = f"task {task.name} was lost with the workers {workers}"
            return JobOutcome(
                job.job_id, OutcomeKind.GIVEN_UP, reason, UNDECIDED_RETRY_AFTER_MS
            )
        return None

    def record_loss(self, worker: PooledWorker, run: Run, cause: LossCause) -> None:
        """Record a run that was lost with its worker, unless the worker was leaving."""
        state = LOSS_STATES.get(cause)
        if state is None or not worker.entry.accepting:
            return
        is_alone = run.other_jobs == 0
        loss = RunLoss(run.name, worker.worker_id, run.incarnation_ms, is_alone, state)
        self.records.record(loss, self.clock.now_ms())

    def on_worker_responded(self, worker: PooledWorker) -> None:
        """Decide the losses with a worker that did not respond before."""
        self.records.resolve_worker(
            worker.worker_id, worker.incarnation_ms, self.clock.now_ms()
        )

    def on_worker_replaced(self, worker: PooledWorker) -> None:
        """Record that a worker is gone, since another one has its address."""
        self.records.confirm_gone([worker.worker_id], self.clock.now_ms())

    def on_workers_registered(self, worker_ids: Container[str]) -> None:
        """Record which of the lost workers are gone, as they are not registered."""
        gone = [
            worker_id
            for worker_id in self.records.undecided_workers()
            if worker_id not in worker_ids
        ]
        self.records.confirm_gone(gone, self.clock.now_ms())
