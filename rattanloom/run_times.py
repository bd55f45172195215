"""Predicts run times by task kind, from declared and measured ones.

The declared run time is the caller's estimate ``Task.run_ms``, which may be far off.
Each kind has two predictors: the mean of the measured times, and the declared time
scaled by a learned ratio. The one with the smaller mean error is used. Memory use is
one small record for each kind.
"""

from collections.abc import Iterable

from attrs import define, field

from rattanloom.job import Task
from rattanloom.kind_table import KindTable, gain

# Smallest weight of a new sample: means become moving averages after 50 samples.
GAIN_MIN = 0.02
# Samples are clipped to this factor above or below the prediction.
OUTLIER_FACTOR = 4.0
RUN_TIME_MIN_MS = 1.0


@define(eq=False)
class KindRunTime:
    """The two predictors of one kind, and the mean absolute error of each in ms.

    ``mean_ms`` is the mean measured run time, ``ratio`` the mean ratio of measured to
    declared time. The means are over all ``samples``, or moving averages after 50.
    """

    mean_ms: float
    ratio: float
    error_of_mean_ms: float = 0.0
    error_of_ratio_ms: float = 0.0
    samples: int = 1

    def estimate_ms(self, declared_ms: float) -> float:
        """Return the expected run time of a task, given its declared one."""
        if self.error_of_ratio_ms < self.error_of_mean_ms:
            return max(RUN_TIME_MIN_MS, declared_ms * self.ratio)
        return max(RUN_TIME_MIN_MS, self.mean_ms)

    def learn(self, declared_ms: float, measured_ms: float) -> None:
        """Update both predictors and their errors with one measurement.

        An outlier is clipped for the predictors, but not for the errors.
        """
        self.samples += 1
        weight = gain(self.samples, GAIN_MIN)
        by_ratio_ms = declared_ms * self.ratio
        error_of_mean_ms = abs(measured_ms - self.mean_ms)
        error_of_ratio_ms = abs(measured_ms - by_ratio_ms)
        self.error_of_mean_ms += weight * (error_of_mean_ms - self.error_of_mean_ms)
        self.error_of_ratio_ms += weight * (error_of_ratio_ms - self.error_of_ratio_ms)
        self.mean_ms += weight * (_clip(measured_ms, self.mean_ms) - self.mean_ms)
        clipped_ms = _clip(measured_ms, by_ratio_ms)
        self.ratio += weight * (clipped_ms / declared_ms - self.ratio)


def _clip(value: float, around: float) -> float:
    return min(max(value, around / OUTLIER_FACTOR), around * OUTLIER_FACTOR)


@define(eq=False)
class RunTimePredictor:
    """Predicts the run times of tasks by their kind."""

    _kinds: KindTable[KindRunTime] = field(factory=KindTable)

    def estimate_ms(self, task: Task) -> float:
        """Return the expected run time; the declared one for a kind never measured."""
        known = self._kinds.get(task.kind)
        declared_ms = max(RUN_TIME_MIN_MS, float(task.run_ms))
        return known.estimate_ms(declared_ms) if known else declared_ms

    def estimate_work(self, tasks: Iterable[Task]) -> tuple[float, float]:
        """Return the longest expected run time, and the total work in slot-ms."""
        longest_ms = work_slot_ms = 0.0
        for task in tasks:
            run_ms = self.estimate_ms(task)
            longest_ms = max(longest_ms, run_ms)
            work_slot_ms += run_ms * task.size_slots
        return longest_ms, work_slot_ms

    def learn(self, task: Task, measured_ms: float) -> None:
        """Record the run time of a task that ran to its end."""
        declared_ms = max(RUN_TIME_MIN_MS, float(task.run_ms))
        measured_ms = max(RUN_TIME_MIN_MS, measured_ms)
        known = self._kinds.get(task.kind)
        if known is None:
            known = KindRunTime(measured_ms, measured_ms / declared_ms)
        else:
            known.learn(declared_ms, measured_ms)
        self._kinds.store(task.kind, known)
