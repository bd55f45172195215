"""Stops runs that won't end before their workers leave; they start again elsewhere."""

from collections.abc import Collection

from rattanloom.decision_log import DecisionLog
from rattanloom.metrics import Metrics
from rattanloom.placement.job_endings import capacity_millicores
from rattanloom.placement.pooled_worker import PooledWorker
from rattanloom.placement.runs import PlacedTask, Run, RunPhase
from rattanloom.placement.worker_events import WorkerState
from rattanloom.scheduling.leaving import LeavingRun, should_stop
from rattanloom.scheduling.waiting import WaitingTasks
from rattanloom.scheduling.worker_choice import matches

log = DecisionLog("placement")


def stop_leaving_runs(
    workers: Collection[PooledWorker],
    waiting: WaitingTasks,
    metrics: Metrics,
    now_ms: float,
) -> int:
    """Stop runs on leaving workers if their jobs end sooner; return how many.

    A task starts again only once a report shows that its run has ended, as after any
    other stop. Runs that are uncertain, isolated or without a job go on.
    """
    leaving = [
        (worker, run)
        for worker in workers
        if worker.entry.leaves_at_ms is not None
        and not worker.entry.accepting
        and worker.state is WorkerState.READY
        for run in worker.runs.all()
        if run.phase is RunPhase.RUNNING
        and run.task is not None
        and not run.task.job.ended
        and not run.isolated
    ]
    if not leaving:
        return 0
    work = sum(task.step.counted_work_millicore_ms for task in waiting)
    capacity = max(1, capacity_millicores(workers, now_ms))
    stopped = 0
    for worker, run in leaving:
        wait_ms = work / capacity
        state = _leaving_run(run, worker.entry.leaves_at_ms - now_ms, wait_ms, now_ms)
        if should_stop(state) and _has_other_worker(run.task, workers):
            log.info(
                "leaving_run_stopped",
                task=run.name,
                worker=worker.worker_id,
                left_ms=round(state.left_ms),
                leaves_in_ms=round(state.leaves_in_ms),
                percent=run.percent,
            )
            worker.stop(run)
            metrics.count("runs_stopped_leaving")
            # The stopped tasks will wait, too, before those of the next runs.
            work += run.step.counted_work_millicore_ms
            stopped += 1
    return stopped


def _leaving_run(
    run: Run, leaves_in_ms: float, wait_ms: float, now_ms: float
) -> LeavingRun:
    job = run.task.job
    late_limit_ms = job.arrived_ms + job.submitted.late_limit_ms
    return LeavingRun(
        now_ms - (run.confirmed_ms or run.ordered_ms),
        run.step.estimate_ms,
        run.percent,
        leaves_in_ms,
        min(job.deadline_ms, late_limit_ms) - now_ms,
        wait_ms,
    )


def _has_other_worker(task: PlacedTask, workers: Collection[PooledWorker]) -> bool:
    """Return whether a worker that accepts tasks is large enough for the task."""
    return any(
        worker.entry.accepting
        and worker.state is WorkerState.READY
        and worker.runs.capacity.fits(task.step.need)
        and matches(task, worker)
        for worker in workers
    )
