"""Which workers accept tasks, and which can run a task."""

from rattanloom.placement.runs import PlacedTask
from rattanloom.placement.worker_events import WorkerState
from rattanloom.scheduling.worker_view import WorkerView


def accepts_tasks(worker: WorkerView, now_ms: float) -> bool:
    """Return whether a worker accepts new tasks now.

    It does not unless it is available, in an evacuated zone, or while it is cold and
    has had its share of the starts.
    """
    return is_available(worker, now_ms) and worker.limits.allows(worker)


def is_available(worker: WorkerView, now_ms: float) -> bool:
    """Return whether a worker accepts new tasks, except for the limits on starts.

    It does not while it has inherited runs, which limit its lease. Nor does it beside
    an isolated run, or after a restart before its new entry was read.
    """
    return (
        worker.state is WorkerState.READY
        and worker.entry.accepting
        and worker.has_current_entry
        and worker.paused_until_ms <= now_ms
        and worker.drains_until_ms <= now_ms
        and not worker.runs.inherited_count
        and not worker.runs.isolated_count
    )


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
