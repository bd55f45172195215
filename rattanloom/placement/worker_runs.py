"""The runs on one worker, and the room that they leave."""

from collections import Counter

from attrs import define, field

from rattanloom.placement.runs import PlacedTask, Run, RunPhase
from rattanloom.placement.workers import Resources

# Need assumed of runs whose job is not known.
UNKNOWN_NEED = Resources(1_000)


@define(eq=False, repr=False)
class WorkerRuns:
    """Runs by task and attempt; ``free`` is the capacity that none of them uses.

    ``active`` counts the runs of each task on all workers. ``inherited_count`` counts
    the runs here whose job is not known.
    """

    capacity: Resources
    active: Counter[str]
    free: Resources = field(init=False)
    inherited_count: int = 0
    _runs: dict[tuple[str, int], Run] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.free = self.capacity

    def __len__(self) -> int:
        """Return how many runs there are."""
        return len(self._runs)

    def __contains__(self, key: tuple[str, int]) -> bool:
        """Return whether there is a run of a task's attempt."""
        return key in self._runs

    def all(self) -> list[Run]:
        """Return all runs."""
        return list(self._runs.values())

    def get(self, key: tuple[str, int]) -> Run | None:
        """Return the run of a task's attempt."""
        return self._runs.get(key)

    def add(self, run: Run) -> None:
        """Take a run's room."""
        self._runs[run.key] = run
        self.active[run.name] += 1
        self.inherited_count += run.task is None
        self.free = self.free.minus(_need(run))

    def remove(self, run: Run) -> bool:
        """Give a run's room back; False says that it is not here any more."""
        if self._runs.get(run.key) is not run:
            return False
        del self._runs[run.key]
        self.active[run.name] -= 1
        if not self.active[run.name]:
            del self.active[run.name]
        self.inherited_count -= run.task is None
        self.free = self.free.plus(_need(run))
        return True

    def claim(self, run: Run, task: PlacedTask, now_ms: float) -> None:
        """Give a run without a job to the task that it belongs to."""
        self.remove(run)
        run.task, run.step = task, task.step
        run.phase = RunPhase.RUNNING
        run.confirmed_ms = now_ms
        self.add(run)

    def set_capacity(self, capacity: Resources) -> None:
        """Take another capacity of the worker."""
        self.free = self.free.plus(capacity.minus(self.capacity))
        self.capacity = capacity


def _need(run: Run) -> Resources:
    return UNKNOWN_NEED if run.step is None else run.step.need
