"""The runs of a job on the workers of a placer's pool."""

from collections.abc import Iterator, Mapping

from rattanloom.placement.pooled_worker import PooledWorker
from rattanloom.placement.runs import PlacedJob, Run


def runs_in_pool(
    job: PlacedJob, workers: Mapping[str, PooledWorker]
) -> Iterator[tuple[PooledWorker, Run]]:
    """Yield the runs of a job, without those on workers that left the pool.

    Runs may begin and end during the iteration.
    """
    for run in list(job.runs):
        worker = worker_of(run, workers)
        if worker is not None:
            yield worker, run


def worker_of(run: Run, workers: Mapping[str, PooledWorker]) -> PooledWorker | None:
    """Return the worker of a run of a job; None if it left the pool or the run ended.

    A worker that left and came back under the same id has other runs.
    """
    worker = workers.get(run.task.job.runs.get(run, ""))
    if worker is not None and worker.runs.get(run.key) is run:
        return worker
    return None
