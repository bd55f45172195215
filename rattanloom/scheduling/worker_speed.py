"""The learned speed of a worker, relative to that of others."""

from collections.abc import Callable
from math import exp, log

from attrs import define

from rattanloom.kind_table import gain

# Smallest weight of a run in the average. With the spread of 0.35 of a run time around
# the expected one, the average of equal workers then differs by some 8%.
GAIN_MIN = 0.1
# Runs assumed at normal speed before the first one, so that a single run says little.
PRIOR_RUNS = 3
# A worker that slows down by a factor of 5 is noticed after a few runs: from the second
# run in a row that differs by this factor in one direction, runs have more weight.
CHANGE_FACTOR = 2.5
CHANGE_GAIN = 0.3
RATIO_MAX = 10.0
# A slow worker gets few tasks, so that it would be avoided long after it recovered:
# without a finished run, what was learned is halved after each of these periods.
HALF_LIFE_MS = 4_000


@define(eq=False, repr=False)
class WorkerSpeed:
    """The average ratio of the durations of a worker's runs to the expected ones.

    ``duration_ratio`` is above 1 for a slow worker. The average is geometric, as run
    times are spread by factors. ``_changed`` is the direction in which the last run
    differed by ``CHANGE_FACTOR``, or 0. ``_updated_ms`` is the time of the last
    finished run, or of the last decay. ``on_change`` is called after each change of the
    average.
    """

    duration_ratio: float = 1.0
    runs: int = PRIOR_RUNS
    _changed: int = 0
    _updated_ms: float = 0
    on_change: Callable[[], None] = lambda: None

    @property
    def decays_at_ms(self) -> float:
        """Return when the average decays next unless a run finishes before."""
        return self._updated_ms + HALF_LIFE_MS

    def learn(self, ratio: float, now_ms: float) -> None:
        """Record the ratio of one run's duration to that on a worker of speed 1."""
        self._updated_ms = now_ms
        ratio = min(max(ratio, 1 / RATIO_MAX), RATIO_MAX)
        difference = log(ratio / self.duration_ratio)
        self.runs += 1
        weight = gain(self.runs, GAIN_MIN)
        changed = 0
        if abs(difference) > log(CHANGE_FACTOR):
            changed = 1 if difference > 0 else -1
        if changed and changed == self._changed:
            weight = max(weight, CHANGE_GAIN)
        self._changed = changed
        self.duration_ratio *= exp(weight * difference)
        self.on_change()

    def decay(self, now_ms: float) -> None:
        """Move the average towards normal speed if no run has finished lately."""
        periods = int((now_ms - self._updated_ms) / HALF_LIFE_MS)
        if periods > 0:
            self._updated_ms += periods * HALF_LIFE_MS
            self.duration_ratio **= 0.5**periods
            self.on_change()
