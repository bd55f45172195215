"""Load shedding: the measured service rate, and retry hints for refused jobs.

Admission predicts the wait of a job from the queued work and the slots that serve it,
which the service rate gives. The retry hints spread the retries of refused jobs over
a period in which these slots can do the refused work.
"""

from math import exp
from random import Random

from attrs import define

# Time constant of the moving average of the service rate.
RATE_WINDOW_MS = 500.0
BACKLOG_MIN_MS = 500.0
# Half-life of the refused work over which retries are spread.
REFUSED_HALF_LIFE_MS = 1_000.0
RETRY_AFTER_MIN_MS = 100.0
RETRY_AFTER_MAX_MS = 30_000.0


@define(eq=False)
class ServiceRate:
    """Measures how much work this host completes, as a number of busy slots.

    ``useful_slots`` is the moving average of the work of tasks that ran to their end,
    divided by the time. Slots occupied by attempts that a worker refused, or that
    wait for a retry, do not count.
    """

    useful_slots: float = 0.0
    _done_slot_ms: float = 0.0
    _sampled_at_ms: float | None = None
    _backlog_since_ms: float | None = None

    def record_work(self, work_slot_ms: float) -> None:
        """Record the work of a task that ran to its end."""
        self._done_slot_ms += work_slot_ms

    def sample(self, now_ms: float, tasks_wait: bool) -> None:
        """Update the rate with the work recorded since the last sample."""
        if not tasks_wait:
            self._backlog_since_ms = None
        elif self._backlog_since_ms is None:
            self._backlog_since_ms = now_ms
        if self._sampled_at_ms is not None and now_ms > self._sampled_at_ms:
            self._update(now_ms - self._sampled_at_ms)
        self._sampled_at_ms = now_ms

    def slots(self, share_slots: int, now_ms: float) -> float:
        """Return how many slots serve the queue: the measured or the nominal number.

        ``share_slots`` is the nominal number, this host's share of its zone's slots.
        A lower measured one counts only once tasks have waited for
        ``BACKLOG_MIN_MS``: before, slots may have been idle for lack of tasks.
        """
        since_ms = self._backlog_since_ms
        if since_ms is not None and now_ms - since_ms >= BACKLOG_MIN_MS:
            return max(1.0, self.useful_slots)
        return max(1.0, float(share_slots), self.useful_slots)

    def _update(self, passed_ms: float) -> None:
        recent_slots = self._done_slot_ms / passed_ms
        weight = 1 - exp(-passed_ms / RATE_WINDOW_MS)
        self.useful_slots += weight * (recent_slots - self.useful_slots)
        self._done_slot_ms = 0.0


@define(eq=False)
class RetryHints:
    """Chooses when refused jobs should be retried."""

    random: Random
    _refused_slot_ms: float = 0.0
    _updated_at_ms: float = 0.0

    def hint_ms(
        self, work_slot_ms: float, wait_ms: float, slots: float, now_ms: float
    ) -> int:
        """Return after how many milliseconds a refused job should be retried.

        ``work_slot_ms`` is the job's work, ``wait_ms`` the time that the current queue
        needs. The hint is drawn uniformly from a period after ``wait_ms`` in which
        ``slots`` can do all recently refused work, so that the retried jobs fit the
        capacity.
        """
        age_ms = max(0.0, now_ms - self._updated_at_ms)
        self._updated_at_ms = now_ms
        self._refused_slot_ms *= 0.5 ** (age_ms / REFUSED_HALF_LIFE_MS)
        self._refused_slot_ms += work_slot_ms
        spread_ms = max(RETRY_AFTER_MIN_MS, self._refused_slot_ms / max(slots, 1.0))
        earliest_ms = max(RETRY_AFTER_MIN_MS, min(wait_ms, RETRY_AFTER_MAX_MS / 2))
        latest_ms = min(RETRY_AFTER_MAX_MS, earliest_ms + spread_ms)
        return int(self.random.uniform(earliest_ms, latest_ms))
