"""Records of runs that were lost with their workers; limits how often tasks crash them.

A task may crash each worker that starts it, so it must not be started without limit.
All runs on a worker are lost with it, whichever of them was the cause. So a task that
was lost starts again only on a worker without other runs, and counts as the cause only
if a worker crashed while it was the only job there.
"""

from collections.abc import Callable, Iterable
from enum import Enum

from attrs import define, evolve, field, frozen

from rattanloom.decision_log import DecisionLog

log = DecisionLog("placement")

# A task is given up once this many workers have crashed under it, as the platform
# allows.
CRASHES_MAX = 2
# Many times the deadline of a job and the pause before it is sent again.
RECORD_KEPT_MS = 60_000
# Bounds the memory; the oldest records are dropped.
TASKS_MAX = 5_000


class LossState(Enum):
    """What became of the worker with which a run was lost.

    OPEN: it has not responded since; it may have crashed or be cut off. CRASHED: its
    incarnation is over. CLEARED: it responded again, so it did not crash.
    """

    OPEN = "open"
    CRASHED = "crashed"
    CLEARED = "cleared"


# States that are out of date, by the state that a loss has by now.
PRECEDING_STATES = {
    LossState.OPEN: (LossState.OPEN,),
    LossState.CLEARED: (LossState.OPEN, LossState.CLEARED),
    LossState.CRASHED: tuple(LossState),
}


@frozen
class RunLoss:
    """A run of ``task`` that was lost with one incarnation of a worker.

    ``alone`` tells that no other job had a run there.
    """

    task: str
    worker_id: str
    incarnation_ms: int
    alone: bool
    state: LossState

    @property
    def worker_key(self) -> tuple[str, int]:
        """Return what identifies the incarnation of the worker."""
        return self.worker_id, self.incarnation_ms


class TaskRisk(Enum):
    """Whether a task may be started again.

    SUSPECT: on a worker without other runs. UNDECIDED: not before it is known whether
    the workers that do not respond have crashed. CRASHING: never.
    """

    NONE = "none"
    SUSPECT = "suspect"
    UNDECIDED = "undecided"
    CRASHING = "crashing"

    @property
    def may_start(self) -> bool:
        """Return whether the task may be started, on some worker, now."""
        return self in (TaskRisk.NONE, TaskRisk.SUSPECT)


@define(eq=False, repr=False)
class CrashRecords:
    """Losses by task name and worker, across the sends of a job and its placers.

    ``announce`` is called with each loss that is new or newly decided here.
    ``_recorded_ms`` is when a task's last loss was recorded, the oldest first.
    """

    announce: Callable[[RunLoss], None] = lambda loss: None
    _losses: dict[str, dict[tuple[str, int], RunLoss]] = field(factory=dict)
    _recorded_ms: dict[str, float] = field(factory=dict)

    def record(self, loss: RunLoss, now_ms: float) -> None:
        """Record a lost run of this placer; a crash that was recorded stays one.

        A worker that was cut off before may be lost again in the same incarnation.
        """
        known = self._losses.get(loss.task, {}).get(loss.worker_key)
        if known is not None and known.state is LossState.CLEARED:
            del self._losses[loss.task][loss.worker_key]
        if self.add(loss, now_ms):
            self.announce(loss)

    def add(self, loss: RunLoss, now_ms: float) -> bool:
        """Add a loss, which a peer may have recorded; return whether it is new."""
        losses = self._losses.setdefault(loss.task, {})
        known = losses.get(loss.worker_key)
        if known is not None and loss.state in PRECEDING_STATES[known.state]:
            return False
        losses[loss.worker_key] = loss
        self._recorded_ms.pop(loss.task, None)
        self._recorded_ms[loss.task] = now_ms
        if len(self._recorded_ms) > TASKS_MAX:
            oldest = next(iter(self._recorded_ms))
            log.warning("crash_record_dropped", task=oldest)
            self._forget(oldest)
        return True

    def losses(self) -> tuple[RunLoss, ...]:
        """Return all losses."""
        return tuple(
            loss for losses in self._losses.values() for loss in losses.values()
        )

    def resolve_worker(
        self, worker_id: str, incarnation_ms: int, now_ms: float
    ) -> None:
        """Decide the open losses of a worker that responds in an incarnation."""
        for loss in self._open_losses(worker_id):
            state = LossState.CRASHED
            if loss.incarnation_ms == incarnation_ms:
                state = LossState.CLEARED
            self._decide(loss, state, now_ms)

    def confirm_gone(self, worker_ids: Iterable[str], now_ms: float) -> None:
        """Decide the open losses of workers that will not respond any more."""
        for worker_id in worker_ids:
            for loss in self._open_losses(worker_id):
                self._decide(loss, LossState.CRASHED, now_ms)

    def undecided_workers(self) -> set[str]:
        """Return the ids of the workers with open losses."""
        return {
            loss.worker_id for loss in self.losses() if loss.state is LossState.OPEN
        }

    def risk(self, task: str) -> TaskRisk:
        """Return whether a task may be started again."""
        losses = [
            loss
            for loss in self._losses.get(task, {}).values()
            if loss.state is not LossState.CLEARED
        ]
        if not losses:
            return TaskRisk.NONE
        if len(losses) < CRASHES_MAX or not any(loss.alone for loss in losses):
            return TaskRisk.SUSPECT
        crashes = [loss for loss in losses if loss.state is LossState.CRASHED]
        is_cause = any(loss.alone for loss in crashes)
        if len(crashes) >= CRASHES_MAX and is_cause:
            return TaskRisk.CRASHING
        return TaskRisk.UNDECIDED

    def workers_lost_under(self, task: str) -> list[str]:
        """Return the ids of the workers that were lost with runs of a task."""
        return [
            loss.worker_id
            for loss in self._losses.get(task, {}).values()
            if loss.state is not LossState.CLEARED
        ]

    def remove_expired(self, now_ms: float) -> None:
        """Remove the records of tasks without a new loss for ``RECORD_KEPT_MS``."""
        for task, recorded_ms in list(self._recorded_ms.items()):
            if now_ms <= recorded_ms + RECORD_KEPT_MS:
                return
            self._forget(task)

    def _open_losses(self, worker_id: str) -> list[RunLoss]:
        return [
            loss
            for loss in self.losses()
            if loss.worker_id == worker_id and loss.state is LossState.OPEN
        ]

    def _decide(self, loss: RunLoss, state: LossState, now_ms: float) -> None:
        self.record(evolve(loss, state=state), now_ms)
        log.info(
            "task_loss_decided",
            task=loss.task,
            worker=loss.worker_id,
            state=state.value,
            alone=loss.alone,
            risk=self.risk(loss.task).value,
        )

    def _forget(self, task: str) -> None:
        del self._losses[task]
        del self._recorded_ms[task]
