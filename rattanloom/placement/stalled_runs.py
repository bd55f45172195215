"""Stops runs that make no progress, so that their tasks start again elsewhere."""

from collections.abc import Mapping

from rattanloom.decision_log import DecisionLog
from rattanloom.placement.job_runs import worker_of
from rattanloom.placement.pooled_worker import PooledWorker
from rattanloom.placement.runs import PlacedJob
from rattanloom.placement.worker_health import WorkerHealth

log = DecisionLog("placement")


def stop_stalled_runs(
    jobs: Mapping[str, PlacedJob],
    workers: Mapping[str, PooledWorker],
    worker_health: WorkerHealth,
    now_ms: float,
) -> None:
    """Stop stalled runs; their tasks start again, on other workers if possible.

    Call it only while any worker has free capacity.
    """
    stalled = [
        run
        for job in jobs.values()
        for run in job.runs
        if worker_health.is_stalled(run)
    ]
    for run in stalled:
        worker = worker_of(run, workers)
        if worker is None:
            continue
        log.warning(
            "task_stuck",
            task=run.name,
            worker=worker.worker_id,
            stalled_ms=round(run.last_listed_ms - run.last_progress_ms),
            percent=run.percent,
        )
        run.task.avoided_workers.add(worker.worker_id)
        worker_health.record_failure(worker, workers.values(), now_ms)
        worker.stop(run)
