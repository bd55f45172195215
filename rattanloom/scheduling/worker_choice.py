"""Selection of the worker for a task."""

from collections.abc import Collection, Iterable

from rattanloom.placement.pooled_worker import PooledWorker
from rattanloom.placement.runs import PlacedTask
from rattanloom.placement.worker_events import WorkerState
from rattanloom.placement.workers import Resources

# A worker with this failure score or more ranks behind all others except those that
# the task avoids.
UNRELIABLE_SCORE = 1.5
# Duration ratios are compared in steps of a quarter, as run time estimates are off
# by 40%.
DURATION_RATIO_STEP = 0.25


def choose_worker(
    task: PlacedTask, accepting: Iterable[PooledWorker]
) -> PooledWorker | None:
    """Return the best of the workers that accept tasks, or None if none can run it.

    Prefers, in this order, workers that the task does not avoid, reliable ones, fast
    ones, and those that the task leaves with little free processor.
    """
    need = task.step.need
    best, best_rank = None, None
    for worker in accepting:
        if not worker.runs.free.fits(need) or not matches(task, worker):
            continue
        rank = _rank(task, worker)
        if best_rank is None or rank < best_rank:
            best, best_rank = worker, rank
    return best


def accepts_tasks(worker: PooledWorker, now_ms: float) -> bool:
    """Return whether a worker accepts new tasks now.

    It does not while it has inherited runs: a start would extend their lease, which
    the placer that ordered them expects to expire. Nor does it beside an isolated run,
    or after a restart before its new entry was read.
    """
    return (
        worker.state is WorkerState.READY
        and worker.entry.accepting
        and worker.has_current_entry
        and worker.paused_until_ms <= now_ms
        and not worker.runs.inherited_count
        and not worker.runs.isolated_count
    )


def tasks_without_worker(
    tasks: Iterable[PlacedTask], workers: Collection[PooledWorker]
) -> list[PlacedTask]:
    """Return the tasks that are too large for all workers of their service and label.

    A task is not returned if there are no such workers.
    """
    sizes: dict[tuple[str, str], list[Resources]] = {}
    found = []
    for task in tasks:
        service, label = task.job.submitted.policy.service, task.step.required_label
        if (service, label) not in sizes:
            sizes[service, label] = [
                worker.runs.capacity
                for worker in workers
                if worker.entry.service == service
                and (not label or label in worker.entry.labels)
            ]
        known = sizes[service, label]
        if known and not any(size.fits(task.step.need) for size in known):
            found.append(task)
    return found


def matches(task: PlacedTask, worker: PooledWorker) -> bool:
    """Return whether a worker has the service and label that a task requires.

    False also if it runs as many tasks of the step as the step allows.
    """
    if worker.entry.service != task.job.submitted.policy.service:
        return False
    label = task.step.required_label
    if label and label not in worker.entry.labels:
        return False
    limit = task.step.per_worker_max
    return not limit or _siblings(task, worker) < limit


def _siblings(task: PlacedTask, worker: PooledWorker) -> int:
    return sum(
        run.task is not None
        and run.task.job is task.job
        and run.task.step_number == task.step_number
        for run in worker.runs.all()
    )


def _rank(task: PlacedTask, worker: PooledWorker) -> tuple:
    is_avoided = worker.worker_id in task.avoided_workers
    is_unreliable = worker.failure_score >= UNRELIABLE_SCORE
    slowness = int(worker.duration_ratio / DURATION_RATIO_STEP)
    leftover = worker.runs.free.cpu_millicores - task.step.need.cpu_millicores
    return is_avoided, is_unreliable, slowness, leftover
