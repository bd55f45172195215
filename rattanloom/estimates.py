"""Learned run times per kind, and how slow each worker is against them."""

from collections import OrderedDict

from attrs import define, field

from rattanloom.job import Task

KINDS_MAX = 1_000
MEAN_GAIN = 0.1
DEVIATION_GAIN = 0.1
DEVIATIONS = 4.0
UNKNOWN_KIND_FACTOR = 2.0


@define
class KindEstimate:
    """The running mean and mean deviation of one kind's run time."""

    mean_ms: float
    deviation_ms: float

    def learn(self, run_ms: float) -> None:
        """Take in one measured run time."""
        error_ms = run_ms - self.mean_ms
        self.mean_ms += MEAN_GAIN * error_ms
        self.deviation_ms += DEVIATION_GAIN * (abs(error_ms) - self.deviation_ms)

    @property
    def high_ms(self) -> float:
        """Return a run time that few tasks of the kind exceed."""
        return self.mean_ms + DEVIATIONS * self.deviation_ms


@define(eq=False)
class RunTimeEstimates:
    """The estimates of the kinds seen last, bounded in number."""

    _kinds: OrderedDict[str, KindEstimate] = field(factory=OrderedDict)

    def learn(self, kind: str, run_ms: float) -> None:
        """Take in one measured run time of a kind."""
        estimate = self._kinds.get(kind)
        if estimate is None:
            self._kinds[kind] = KindEstimate(run_ms, run_ms / 2)
        else:
            estimate.learn(run_ms)
        self._kinds.move_to_end(kind)
        if len(self._kinds) > KINDS_MAX:
            self._kinds.popitem(last=False)

    def mean_ms(self, task: Task) -> float:
        """Return the expected run time: learned, or else as declared."""
        estimate = self._kinds.get(task.kind)
        return float(task.run_ms) if estimate is None else estimate.mean_ms

    def high_ms(self, task: Task) -> float:
        """Return a run time that the task hardly exceeds."""
        estimate = self._kinds.get(task.kind)
        if estimate is None:
            return task.run_ms * UNKNOWN_KIND_FACTOR
        return estimate.high_ms
