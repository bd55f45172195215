"""A task of an admitted job, and the slots that an entry host can use."""

from attrs import define, frozen

from rattanloom.job import Job, Task


@frozen
class Capacity:
    """The slots on the workers that this host can use, as last reported.

    ``total_slots`` and ``free_slots`` cover the workers that accept new tasks,
    ``largest_slots`` (the size of the largest worker) and ``has_accelerator`` all
    listed ones. ``share_slots`` is this host's even share of its zone's slots.
    """

    total_slots: int
    share_slots: int
    free_slots: int
    largest_slots: int
    has_accelerator: bool = False


@define(eq=False)
class QueuedTask:
    """One task of an admitted job, from its queueing until it has finished.

    ``index`` is its position in the job, ``number`` the number of its next or current
    attempt, from 1. ``queued_at_ms`` stays the same when it is queued again.
    """

    job: Job
    index: int
    deadline_at_ms: float
    queued_at_ms: float
    number: int = 1

    @property
    def task(self) -> Task:
        """Return the task, looked up in its job by ``index``."""
        return self.job.tasks[self.index]
