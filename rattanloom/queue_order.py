"""Computes due times, which order the tasks of a team; see ``fair_queue``."""

from collections.abc import Sequence

from rattanloom.fair_queue import QueueEntry
from rattanloom.queue import QueuedTask
from rattanloom.run_times import RunTimePredictor

# A task is due this multiple of its ideal completion time after it was queued.
STRETCH = 4.0
# Safety factor on the time for the remaining work of a job.
FOLLOWING_WORK_MARGIN = 2.0
# A task's latest start is this multiple of its expected run time before its deadline.
LATEST_START_FACTOR = 1.0


def make_entries(
    tasks: Sequence[QueuedTask], run_times: RunTimePredictor, slots: float
) -> list[QueueEntry]:
    """Return the queue entries of one job's tasks, in their order.

    A task is due after ``STRETCH`` times the ideal time in which ``slots`` slots run
    the job's tasks up to and including it. It is due earlier if the job's tasks from
    it on would otherwise miss the deadline.
    """
    entries = []
    cumulative_slot_ms = 0.0
    _, remaining_slot_ms = run_times.estimate_work(queued.task for queued in tasks)
    for queued in tasks:
        run_ms = run_times.estimate_ms(queued.task)
        after_ms = FOLLOWING_WORK_MARGIN * remaining_slot_ms / slots
        cumulative_slot_ms += run_ms * queued.task.size_slots
        remaining_slot_ms -= run_ms * queued.task.size_slots
        ideal_ms = max(run_ms, cumulative_slot_ms / slots)
        entry = make_entry(queued, run_ms, STRETCH * ideal_ms)
        entry.due_ms = min(entry.due_ms, entry.latest_start_ms - after_ms)
        entries.append(entry)
    return entries


def make_entry(queued: QueuedTask, run_ms: float, due_after_ms: float) -> QueueEntry:
    """Return the entry of a task with an expected run time of ``run_ms``.

    It is due ``due_after_ms`` after it was queued, but at least one run time before
    its latest start.
    """
    latest_ms = queued.deadline_at_ms - LATEST_START_FACTOR * run_ms
    due_ms = min(queued.queued_at_ms + due_after_ms, latest_ms - run_ms)
    return QueueEntry(queued, due_ms, run_ms * queued.task.size_slots, latest_ms)
