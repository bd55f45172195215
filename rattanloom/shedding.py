"""Shedding: predicts whether a job can end in time, and spreads the return.

The wait is predicted from the work queued and the slots that serve it. Jobs
refused while others wait are told to come back over a period long enough for
the refused work to fit in what the slots can do.
"""

from math import exp
from random import Random

from attrs import define

RATE_WINDOW_MS = 500.0
BACKLOG_MIN_MS = 500.0
REFUSED_HALF_LIFE_MS = 1_000.0
RETRY_AFTER_MIN_MS = 100.0
RETRY_AFTER_MAX_MS = 30_000.0


@define(eq=False)
class ServiceRate:
    """How much work this host really gets done while tasks wait.

    ``useful_slots`` is the mean number of slots whose work ended well. Slots
    held by attempts that were turned away, or that wait to be sent again, do
    not count.
    """

    useful_slots: float = 0.0
    _done_slot_ms: float = 0.0
    _sampled_ms: float | None = None
    _backlog_since_ms: float | None = None

    def record_work(self, work_slot_ms: float) -> None:
        """Take in the work of a task that ended well."""
        self._done_slot_ms += work_slot_ms

    def sample(self, now_ms: float, tasks_wait: bool) -> None:
        """Take in the time since the last sample."""
        if not tasks_wait:
            self._backlog_since_ms = None
        elif self._backlog_since_ms is None:
            self._backlog_since_ms = now_ms
        if self._sampled_ms is not None and now_ms > self._sampled_ms:
            self._update(now_ms - self._sampled_ms)
        self._sampled_ms = now_ms

    def slots(self, share_slots: int, now_ms: float) -> float:
        """Return the slots to count on, given this host's part of all slots.

        What was measured counts only once tasks have waited for a while:
        before, slots may have been idle for want of tasks.
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
    """Chooses when refused jobs should come back."""

    random: Random
    _refused_slot_ms: float = 0.0
    _at_ms: float = 0.0

    def hint_ms(
        self, work_slot_ms: float, wait_ms: float, slots: float, now_ms: float
    ) -> int:
        """Return a retry hint for one refused job.

        ``wait_ms`` is how long the present queue needs. The hint is drawn
        evenly from a period after it in which ``slots`` could do all the work
        refused of late, so that the returning work fits the capacity.
        """
        age_ms = max(0.0, now_ms - self._at_ms)
        self._at_ms = now_ms
        self._refused_slot_ms *= 0.5 ** (age_ms / REFUSED_HALF_LIFE_MS)
        self._refused_slot_ms += work_slot_ms
        spread_ms = max(RETRY_AFTER_MIN_MS, self._refused_slot_ms / max(slots, 1.0))
        earliest_ms = max(RETRY_AFTER_MIN_MS, min(wait_ms, RETRY_AFTER_MAX_MS / 2))
        latest_ms = min(RETRY_AFTER_MAX_MS, earliest_ms + spread_ms)
        return int(self.random.uniform(earliest_ms, latest_ms))
