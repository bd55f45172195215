"""What waits for a slot, and how many slots there are."""

from attrs import define, frozen

from rattanloom.job import Job, Task


@frozen
class Capacity:
    """The slots on workers usable from here, as now known.

    ``share_slots`` is this host's part of ``total_slots``; ``largest_slots``
    is the size of the largest worker.
    """

    total_slots: int
    share_slots: int
    free_slots: int
    largest_slots: int
    has_accelerator: bool = False


@define(eq=False)
class QueuedTask:
    """One task waiting for a slot; ``number`` counts its attempts from 1."""

    job: Job
    index: int
    deadline_at_ms: float
    queued_at_ms: float
    number: int = 1

    @property
    def task(self) -> Task:
        """Return the task itself."""
        return self.job.tasks[self.index]
