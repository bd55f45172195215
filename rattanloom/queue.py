"""A task that waits for a slot, and the slots that a host can use."""

from attrs import define, frozen

from rattanloom.job import Job, Task


@frozen
class Capacity:
    """The slots on the workers that this host can use, as last reported.

    ``share_slots`` is this host's even share of its zone's slots;
    ``largest_slots`` is the size of the largest worker.
    """

    total_slots: int
    share_slots: int
    free_slots: int
    largest_slots: int
    has_accelerator: bool = False


@define(eq=False)
class QueuedTask:
    """One task waiting for a slot; ``number`` is that of its attempt, from 1."""

    job: Job
    index: int
    deadline_at_ms: float
    queued_at_ms: float
    number: int = 1

    @property
    def task(self) -> Task:
        """Return the task, looked up in its job by ``index``."""
        return self.job.tasks[self.index]
