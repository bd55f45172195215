"""Detection of unhealthy workers and stalled runs, on workers that reply."""

from collections.abc import Collection

from attrs import define, field

from rattanloom.decision_log import DecisionLog
from rattanloom.placement.pooled_worker import PooledWorker
from rattanloom.placement.runs import Run, RunPhase
from rattanloom.scheduling.placement_model import PlacementModel

log = DecisionLog("placement")

# Failure score at which a worker is quarantined. Each failed or stalled run adds 1 to
# the score, each successful run halves it.
QUARANTINE_SCORE = 2
# Pause of a quarantined worker, doubled for each further quarantine before a run
# succeeds, up to the second value.
QUARANTINE_MIN_MS = 500
QUARANTINE_MAX_MS = 4_000
# No further worker is quarantined once this share of all workers is paused: with
# that many failures, the cause is in the tasks.
QUARANTINE_SHARE_MAX = 0.25
# A run without progress for this time is stalled. The longest tasks take 4 s, so a
# healthy run gains one percent at least every 40 ms.
STALLED_MS = 400


@define(eq=False, repr=False)
class WorkerHealth:
    """Rates workers by the outcomes and durations of their runs.

    ``placement`` learns the speeds of the workers from the durations.
    """

    placement: PlacementModel = field(factory=PlacementModel)

    def record_success(self, worker: PooledWorker, run: Run, now_ms: float) -> None:
        """Record a successful run: lower the score, learn from its duration."""
        worker.failure_score /= 2
        worker.quarantine_count = 0
        if run.confirmed_ms is not None and not run.adopted:
            run_ms = now_ms - run.confirmed_ms
            self.placement.learn(run.task, worker, run_ms, now_ms)

    def record_failure(
        self, worker: PooledWorker, workers: Collection[PooledWorker], now_ms: float
    ) -> None:
        """Record a failed or stalled run; repeated failures quarantine the worker.

        ``workers`` are all workers of the pool.
        """
        worker.failure_score += 1
        if worker.failure_score < QUARANTINE_SCORE:
            return
        paused = sum(other.paused_until_ms > now_ms for other in workers)
        if paused >= QUARANTINE_SHARE_MAX * len(workers):
            return
        pause_ms = min(
            QUARANTINE_MIN_MS * 2**worker.quarantine_count, QUARANTINE_MAX_MS
        )
        worker.quarantine_count += 1
        worker.failure_score = QUARANTINE_SCORE - 1
        worker.paused_until_ms = now_ms + pause_ms
        log.warning(
            "worker_quarantined", worker=worker.worker_id, pause_ms=round(pause_ms)
        )

    def is_stalled(self, run: Run) -> bool:
        """Return whether reports list a run without progress for ``STALLED_MS``."""
        return (
            run.last_listed_ms - run.last_progress_ms >= STALLED_MS
            and run.phase is RunPhase.RUNNING
        )
