"""Assignment of waiting tasks to workers with free capacity."""

from collections.abc import Callable, Collection

from attrs import define, field

from rattanloom.placement.pooled_worker import PooledWorker
from rattanloom.placement.runs import PlacedTask
from rattanloom.placement.waiting import WaitingTasks
from rattanloom.placement.worker_choice import accepts_tasks, choose_worker

# A pass ends after this many tasks without a suitable worker. They are skipped so
# that smaller ones behind them can use the remaining capacity.
SKIPPED_TASKS_MAX = 24


@define(eq=False, repr=False)
class AssignmentPass:
    """One pass over the waiting tasks.

    ``may_start`` returns whether a task may have a new run now, on any worker;
    ``start_run`` starts it. A task for which ``must_be_isolated`` returns true starts
    on a worker without other runs. ``_accepting`` has the workers that accept tasks
    during the pass. ``_unplaceable_millicores`` has, by service, label, memory and
    accelerators, the smallest processor need for which no worker was found.
    """

    workers: Collection[PooledWorker]
    may_start: Callable[[PlacedTask], bool]
    start_run: Callable[[PlacedTask, PooledWorker], None]
    now_ms: float
    must_be_isolated: Callable[[PlacedTask], bool] = lambda task: False
    _accepting: list[PooledWorker] = field(init=False)
    _unplaceable_millicores: dict[tuple[str, str, int, int], int] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self._accepting = [
            worker for worker in self.workers if accepts_tasks(worker, self.now_ms)
        ]

    def run(self, waiting: WaitingTasks) -> None:
        """Start the tasks for which a worker is found; put the others back."""
        skipped: list[PlacedTask] = []
        while len(skipped) < SKIPPED_TASKS_MAX:
            task = waiting.pop(self.now_ms)
            if task is None:
                break
            if not self._start(task):
                skipped.append(task)
        for task in skipped:
            waiting.put_back(task, self.now_ms)

    def _start(self, task: PlacedTask) -> bool:
        if self.must_be_isolated(task):
            return self._start_isolated(task)
        need = task.step.need
        service, label = task.job.submitted.policy.service, task.step.required_label
        kind = (service, label, need.memory_mb, need.gpus)
        need_millicores = need.cpu_millicores
        if need_millicores >= self._unplaceable_millicores.get(
            kind, need_millicores + 1
        ):
            return False
        if not self.may_start(task):
            return False
        worker = choose_worker(task, self._accepting)
        if worker is None:
            # A step with a limit per worker may be rejected where other tasks of
            # the same size fit.
            if not task.step.per_worker_max:
                self._unplaceable_millicores[kind] = need_millicores
            return False
        self.start_run(task, worker)
        return True

    def _start_isolated(self, task: PlacedTask) -> bool:
        if not self.may_start(task):
            return False
        idle = [worker for worker in self._accepting if not worker.runs]
        worker = choose_worker(task, idle)
        if worker is None:
            return False
        self._accepting.remove(worker)
        self.start_run(task, worker)
        return True
