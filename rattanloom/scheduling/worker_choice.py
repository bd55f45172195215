"""Which workers accept tasks, and which can run a task."""

from collections.abc import Collection, Iterable

from rattanloom.placement.runs import PlacedTask
from rattanloom.placement.worker_events import WorkerState
from rattanloom.placement.workers import Resources
from rattanloom.scheduling.worker_view import WorkerView


def accepts_tasks(worker: WorkerView, now_ms: float) -> bool:
    """Return whether a worker accepts new tasks now.

    It does not while it has inherited runs: a start would extend their lease, which
    the placer that ordered them expects to expire. Nor does it beside an isolated run,
    after a restart before its new entry was read, in an evacuated zone, or while it is
    cold and has had its share of the starts.
    """
    return (
        worker.state is WorkerState.READY
        and worker.entry.accepting
        and worker.has_current_entry
        and worker.paused_until_ms <= now_ms
        and worker.drains_until_ms <= now_ms
        and not worker.runs.inherited_count
        and not worker.runs.isolated_count
        and worker.limits.allows(worker)
    )


def has_free_capacity(workers: Iterable[WorkerView], now_ms: float) -> bool:
    """Return whether any worker accepts a task now."""
    return any(
        worker.runs.free.cpu_millicores > 0 and accepts_tasks(worker, now_ms)
        for worker in workers
    )


def free_millicores(
    workers: Iterable[WorkerView], waiting: Iterable[PlacedTask], now_ms: float
) -> int:
    """Return the free processor less the waiting tasks' need; may be below 0."""
    free = sum(
        max(0, worker.runs.free.cpu_millicores)
        for worker in workers
        if accepts_tasks(worker, now_ms)
    )
    return free - sum(task.step.need.cpu_millicores for task in waiting)


def tasks_without_worker(
    tasks: Iterable[PlacedTask], workers: Collection[WorkerView]
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


def matches(task: PlacedTask, worker: WorkerView) -> bool:
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


def _siblings(task: PlacedTask, worker: WorkerView) -> int:
    return sum(
        run.task is not None
        and run.task.job is task.job
        and run.task.step_number == task.step_number
        for run in worker.runs.all()
    )
