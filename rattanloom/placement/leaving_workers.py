"""Stops runs that won't end before their workers leave; they start again elsewhere."""

from rattanloom.decision_log import DecisionLog
from rattanloom.metrics import Metrics
from rattanloom.placement.runs import Run, RunPhase
from rattanloom.placement.worker_events import WorkerState
from rattanloom.scheduling.leaving import LeavingRun, should_stop
from rattanloom.scheduling.waiting import WaitingTasks
from rattanloom.scheduling.worker_index import WorkerIndex

log = DecisionLog("placement")


def stop_leaving_runs(
    index: WorkerIndex,
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
        for worker in index.leaving(now_ms)
        if worker.state is WorkerState.READY
        for run in worker.runs.all()
        if run.phase is RunPhase.RUNNING
        and run.task is not None
        and not run.task.job.ended
        and not run.isolated
    ]
    if not leaving:
        return 0
    work = sum(task.step.counted_work_millicore_ms for task in waiting)
    capacity = max(1, index.usable_millicores(now_ms))
    stopped = 0
    for worker, run in leaving:
        wait_ms = work / capacity
        state = _leaving_run(run, worker.entry.leaves_at_ms - now_ms, wait_ms, now_ms)
        if should_stop(state) and index.is_any_large_enough(run.task, now_ms):
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
