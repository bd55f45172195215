"""Gives waiting tasks to workers with room, first things first."""

from collections.abc import Callable, Collection

from attrs import define, field

from rattanloom.placement.choice import choose_worker
from rattanloom.placement.pooled_worker import PooledWorker
from rattanloom.placement.runs import PlacedTask
from rattanloom.placement.waiting import WaitingTasks

# Tasks tried beyond one that finds no room, so that smaller ones fill gaps.
PASSED_OVER_MAX = 24


@define(eq=False, repr=False)
class AssignmentPass:
    """One pass over the waiting tasks.

    ``may_start`` tells whether a task may have a new run at all, and ``start_run``
    starts it on a worker.
    """

    workers: Collection[PooledWorker]
    may_start: Callable[[PlacedTask], bool]
    start_run: Callable[[PlacedTask, PooledWorker], None]
    now_ms: float
    _no_room_millicores: dict[tuple[str, str, int, int], int] = field(factory=dict)

    def run(self, waiting: WaitingTasks) -> None:
        """Start what finds room; the rest waits on."""
        passed_over: list[PlacedTask] = []
        while len(passed_over) < PASSED_OVER_MAX:
            task = waiting.pop(self.now_ms)
            if task is None:
                break
            if not self._start(task):
                passed_over.append(task)
        for task in passed_over:
            waiting.put_back(task, self.now_ms)

    def _start(self, task: PlacedTask) -> bool:
        need = task.step.need
        service, label = task.job.work.policy.service, task.step.required_label
        kind = (service, label, need.memory_mb, need.gpus)
        need_millicores = need.cpu_millicores
        if need_millicores >= self._no_room_millicores.get(kind, need_millicores + 1):
            return False
        if not self.may_start(task):
            return False
        worker = choose_worker(task, self.workers, self.now_ms)
        if worker is None:
            # A step with a limit per worker may fail where others of its size fit.
            if not task.step.per_worker_max:
                self._no_room_millicores[kind] = need_millicores
            return False
        self.start_run(task, worker)
        return True
