"""Upper bounds of run times, from how far measured ones deviate from the expected.

The dispatcher uses the upper bound for reply time-outs; the directory of workers uses
the ratio of measured to expected time to detect slow workers. Admission, which
estimates waits from expected times, and the directory each have their own predictor.
"""

from attrs import define, field

from rattanloom.job import Task
from rattanloom.kind_table import KindTable
from rattanloom.run_times import RunTimePredictor

# Weight of the newest measurement in the moving average of the deviation.
DEVIATION_GAIN = 0.1
# Number of mean deviations between the expected run time and the upper bound.
UPPER_BOUND_DEVIATIONS = 4.0
# Relative deviation assumed until the second measurement of a kind.
UNKNOWN_KIND_DEVIATION = 0.5


@define(eq=False)
class RunTimeEstimates:
    """A ``RunTimePredictor`` with the mean relative deviation of each kind's times."""

    _run_times: RunTimePredictor = field(factory=RunTimePredictor)
    _deviations: KindTable[float] = field(factory=KindTable)

    def learn(self, task: Task, run_ms: float) -> float | None:
        """Record a measured run time.

        Returns its ratio to the expected run time, or None for the first
        measurement of a kind.
        """
        expected_ms = self._run_times.estimate_ms(task)
        self._run_times.learn(task, run_ms)
        if task.kind not in self._deviations:
            self._deviations.store(task.kind, UNKNOWN_KIND_DEVIATION)
            return None
        ratio = run_ms / expected_ms
        deviation = self._deviations.get(task.kind)
        self._deviations.store(
            task.kind, deviation + DEVIATION_GAIN * (abs(ratio - 1) - deviation)
        )
        return ratio

    def upper_bound_ms(self, task: Task) -> float:
        """Return a run time that the task is unlikely to exceed."""
        deviation = self._deviations.get(task.kind, UNKNOWN_KIND_DEVIATION)
        return self._run_times.estimate_ms(task) * (
            1 + UPPER_BOUND_DEVIATIONS * deviation
        )
