"""The runs on one worker, and its free capacity."""

from collections import Counter
from collections.abc import Callable

from attrs import define, field

from rattanloom.placement.runs import PlacedTask, Run, RunPhase
from rattanloom.placement.workers import Resources

# Need assumed for a run whose job is unknown.
UNKNOWN_NEED = Resources(1_000)


@define(eq=False, repr=False)
class WorkerRuns:
    """Runs by task name and attempt; ``free`` is the capacity that they leave.

    ``active_runs`` is shared by all workers and counts the runs of each task.
    ``inherited_count`` counts the inherited runs that no job has adopted,
    ``isolated_count`` those beside which no other run may start. ``on_change`` is
    called after each change of the runs or the capacity.
    """

    capacity: Resources
    active_runs: Counter[str]
    worker_id: str = ""
    on_change: Callable[[], None] = lambda: None
    free: Resources = field(init=False)
    inherited_count: int = 0
    isolated_count: int = 0
    _runs: dict[tuple[str, int], Run] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.free = self.capacity

    def __len__(self) -> int:
        """Return the number of runs."""
        return len(self._runs)

    def __contains__(self, key: tuple[str, int]) -> bool:
        """Return whether a run with this task name and attempt exists."""
        return key in self._runs

    def all(self) -> list[Run]:
        """Return a copy of the runs, as they may change during an iteration."""
        return list(self._runs.values())

    def get(self, key: tuple[str, int]) -> Run | None:
        """Return the run with this task name and attempt, or None."""
        return self._runs.get(key)

    def add(self, run: Run) -> None:
        """Add a run and reserve its capacity."""
        self._runs[run.key] = run
        self.active_runs[run.name] += 1
        if run.task is not None:
            run.task.job.runs[run] = self.worker_id
        self.inherited_count += run.task is None
        self.isolated_count += run.isolated
        self.free = self.free.minus(_need(run))
        self.on_change()

    def remove(self, run: Run) -> bool:
        """Remove a run and free its capacity; return False if it is gone already."""
        if self._runs.get(run.key) is not run:
            return False
        del self._runs[run.key]
        self.active_runs[run.name] -= 1
        if not self.active_runs[run.name]:
            del self.active_runs[run.name]
        if run.task is not None:
            run.task.job.runs.pop(run, None)
        self.inherited_count -= run.task is None
        self.isolated_count -= run.isolated
        self.free = self.free.plus(_need(run))
        self.on_change()
        return True

    def count_other_jobs(self) -> None:
        """Set ``other_jobs`` of all runs, before the worker's runs are lost."""
        jobs = {run.job_id for run in self._runs.values()}
        for run in self._runs.values():
            run.other_jobs = len(jobs) - 1

    def adopt(
        self, run: Run, task: PlacedTask, now_ms: float, isolated: bool = False
    ) -> None:
        """Assign an inherited run to the task that it belongs to."""
        self.remove(run)
        run.isolated = isolated
        run.task, run.step = task, task.step
        run.phase = RunPhase.RUNNING
        run.confirmed_ms, run.adopted = now_ms, True
        run.fixed_lease_limit_ms = None
        self.add(run)

    def set_capacity(self, capacity: Resources) -> None:
        """Set a new total capacity of the worker."""
        self.free = self.free.plus(capacity.minus(self.capacity))
        self.capacity = capacity
        self.on_change()


def _need(run: Run) -> Resources:
    return UNKNOWN_NEED if run.step is None else run.step.need
