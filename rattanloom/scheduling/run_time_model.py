"""Learned run times: the ratio of actual to estimated run time of each kind of job.

A kind is a queue. The speed of the worker is factored out, so that a kind whose
estimates are too low does not make its workers look slow, and vice versa.
"""

from math import exp, log

from attrs import define, field

from rattanloom.kind_table import KindTable, gain

# Smallest weight of a run in the average; a kind has some 10 to 300 runs a second.
GAIN_MIN = 0.02
# Runs assumed to take as long as estimated before the first one.
PRIOR_RUNS = 4
# Limits of the ratio of one run.
RATIO_MIN, RATIO_MAX = 0.05, 50.0


@define(eq=False, repr=False)
class KindRatios:
    """The ratios of actual to estimated run times of one kind.

    ``mean`` is their geometric mean, which is their median if they are log-normal.
    """

    mean: float = 1.0
    runs: int = PRIOR_RUNS

    def learn(self, ratio: float) -> None:
        """Record the ratio of one run."""
        ratio = min(max(ratio, RATIO_MIN), RATIO_MAX)
        self.runs += 1
        self.mean *= exp(gain(self.runs, GAIN_MIN) * log(ratio / self.mean))


@define(eq=False, repr=False)
class RunTimeModel:
    """Predicts run times from estimates by what was learned of each queue."""

    _kinds: KindTable[KindRatios] = field(factory=KindTable)

    def expected_ms(self, queue: str, estimate_ms: float, speed: float = 1.0) -> float:
        """Return the expected run time on a worker of ``speed``, 1 for a normal one."""
        kind = self._kinds.get(queue)
        return estimate_ms * (kind.mean if kind else 1.0) / speed

    def learn(
        self, queue: str, estimate_ms: float, run_ms: float, speed: float
    ) -> None:
        """Record a run that ended as done, on a worker of ``speed``.

        Jobs that a daemon of an older build sent have no queue; they teach nothing.
        """
        if not queue or estimate_ms <= 0:
            return
        kind = self._kinds.get(queue) or KindRatios()
        kind.learn(run_ms * speed / estimate_ms)
        self._kinds.store(queue, kind)
