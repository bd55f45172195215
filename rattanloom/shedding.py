"""Shedding: predicts whether a job can end in time, and spreads the return.

The wait is predicted from the work queued and the slots that serve it. Jobs
refused while others wait are told to come back over a period long enough for
the refused work to fit in what the slots can do.
"""

from random import Random

from attrs import define

SAFETY_FACTOR = 1.25
SATURATION_GAIN = 0.05
REFUSED_HALF_LIFE_MS = 1_000.0
RETURN_LEAST_MS = 100.0
RETURN_MOST_MS = 30_000.0


@define(eq=False)
class ServiceRate:
    """How many slots this host really keeps busy while tasks wait."""

    measured_slots: float = 0.0

    def sample(self, running_slots: int, queued_slots: int) -> None:
        """Take in one regular sample; without a queue it says nothing."""
        if not queued_slots:
            self.measured_slots = 0.0
            return
        if not self.measured_slots:
            self.measured_slots = float(running_slots)
            return
        step_slots = SATURATION_GAIN * (running_slots - self.measured_slots)
        self.measured_slots += step_slots

    def slots(self, share_slots: int) -> float:
        """Return the slots to count on, given this host's part of all slots."""
        return max(1.0, self.measured_slots or float(share_slots))


def drain_ms(work_slot_ms: float, slots: float) -> float:
    """Return how long ``slots`` slots need for the work, with a margin."""
    return SAFETY_FACTOR * work_slot_ms / max(slots, 0.001)


@define(eq=False)
class ReturnHints:
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
        spread_ms = max(RETURN_LEAST_MS, self._refused_slot_ms / max(slots, 1.0))
        earliest_ms = max(RETURN_LEAST_MS, min(wait_ms, RETURN_MOST_MS / 2))
        latest_ms = min(RETURN_MOST_MS, earliest_ms + spread_ms)
        return int(self.random.uniform(earliest_ms, latest_ms))
