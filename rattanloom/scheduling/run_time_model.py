"""Learned run times: the ratio of actual to estimated run time of each kind of job.

A kind is a queue. The speed of the worker is factored out, so that a kind whose
estimates are too low does not make its workers look slow, and vice versa.
"""

from math import exp, log

from attrs import define, field
from hdrh.histogram import HdrHistogram

from rattanloom.kind_table import KindTable, gain

# Smallest weight of a run in the average; a kind has some 10 to 300 runs a second.
GAIN_MIN = 0.02
# Runs assumed to take as long as estimated before the first one.
PRIOR_RUNS = 4
# Ratios are stored in hundredths, with two significant digits and within these limits.
SCALE = 100
RATIO_MIN, RATIO_MAX = 0.05, 50.0
# Quantiles are of the last 256 to 512 runs, and the estimate below the second number.
WINDOW_RUNS = 256
QUANTILE_RUNS_MIN = 32
# A quantile is computed again after this many runs, as that takes some 0.1 ms.
QUANTILE_AGE_RUNS = 32


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(1, int(RATIO_MAX * SCALE), 2)


@define(eq=False, repr=False)
class KindRatios:
    """The ratios of actual to estimated run times of one kind.

    ``mean`` is their geometric mean. ``_recent`` has up to ``WINDOW_RUNS`` ratios,
    ``_former`` the ones before; ``_quantiles`` has values computed from both.
    """

    mean: float = 1.0
    runs: int = PRIOR_RUNS
    _recent: HdrHistogram = field(factory=_new_histogram)
    _former: HdrHistogram = field(factory=_new_histogram)
    _quantiles: dict[float, tuple[float, int]] = field(factory=dict)

    def learn(self, ratio: float) -> None:
        """Record the ratio of one run."""
        ratio = min(max(ratio, RATIO_MIN), RATIO_MAX)
        self.runs += 1
        self.mean *= exp(gain(self.runs, GAIN_MIN) * log(ratio / self.mean))
        if self._recent.get_total_count() >= WINDOW_RUNS:
            self._former, self._recent = self._recent, _new_histogram()
        self._recent.record_value(round(ratio * SCALE))

    def quantile(self, quantile: float) -> float:
        """Return a quantile of the ratios, 1 while few are known."""
        if self.runs < PRIOR_RUNS + QUANTILE_RUNS_MIN:
            return 1.0
        value, computed_at = self._quantiles.get(quantile, (1.0, -QUANTILE_AGE_RUNS))
        if self.runs - computed_at >= QUANTILE_AGE_RUNS:
            both = _new_histogram()
            both.add(self._former)
            both.add(self._recent)
            value = both.get_value_at_percentile(100 * quantile) / SCALE
            self._quantiles[quantile] = value, self.runs
        return value


@define(eq=False, repr=False)
class RunTimeModel:
    """Predicts run times from estimates by what was learned of each queue."""

    _kinds: KindTable[KindRatios] = field(factory=KindTable)

    def expected_ms(self, queue: str, estimate_ms: float, speed: float = 1.0) -> float:
        """Return the expected run time on a worker of ``speed``, 1 for a normal one."""
        kind = self._kinds.get(queue)
        return estimate_ms * (kind.mean if kind else 1.0) / speed

    def quantile_ms(self, queue: str, estimate_ms: float, quantile: float) -> float:
        """Return the run time that a share ``quantile`` of the runs do not exceed.

        Applies to a worker of normal speed; the estimate while few runs are known.
        """
        kind = self._kinds.get(queue)
        return estimate_ms * (kind.quantile(quantile) if kind else 1.0)

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
