"""Stops runs that make no progress, so that their tasks start again elsewhere."""

from collections.abc import Collection

from rattanloom.decision_log import DecisionLog
from rattanloom.placement.pooled_worker import PooledWorker
from rattanloom.placement.worker_health import WorkerHealth

log = DecisionLog("placement")


def stop_stalled_runs(
    workers: Collection[PooledWorker], worker_health: WorkerHealth, now_ms: float
) -> None:
    """Stop stalled runs; their tasks start again, on other workers if possible.

    Call it only while any worker has free capacity.
    """
    for worker in workers:
        for run in worker.runs.all():
            if run.task is None or run.task.job.ended:
                continue
            if worker_health.is_stalled(run):
                log.warning(
                    "task_stuck",
                    task=run.name,
                    worker=worker.worker_id,
                    stalled_ms=round(run.last_listed_ms - run.last_progress_ms),
                    percent=run.percent,
                )
                run.task.avoided_workers.add(worker.worker_id)
                worker_health.record_failure(worker, workers, now_ms)
                worker.stop(run)
