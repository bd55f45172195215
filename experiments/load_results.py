"""Results of load generators, and their sum."""

from collections import Counter

from attrs import define, field
from hdrh.histogram import HdrHistogram

RATIO_SCALE = 1000  # histograms hold integers, so ratios are in thousandths
RATIO_MAX = 10_000 * RATIO_SCALE
SIGNIFICANT_DIGITS = 3  # of the values in histograms
LATENCY_US_MAX = 600_000_000
US_PER_MS = 1000


@define(eq=False)
class LoadResult:
    """What one or more generators measured.

    Three fields are encoded histograms: ``ratios`` of the complete jobs' response
    time over ideal (in thousandths), ``refusals_us`` of the response time of
    refusals without the clients' latency, and ``lags_us`` of the delay with which
    the generators sent the jobs. ``good_slot_ms`` is the goodput: the true work of
    jobs completed within their deadline and within the measured window of
    ``window_ms``. ``offered_slot_ms`` is the true work of the jobs that arrived in
    it. ``outcomes`` counts jobs by outcome, and also resubmissions and lost requests.
    ``jobs`` counts all jobs, ``tasks`` those of complete jobs, ``late`` the jobs
    completed after their deadline. Only the baseline counts messages here.
    """

    ratios: str = ""
    refusals_us: str = ""
    lags_us: str = ""
    outcomes: dict[str, int] = field(factory=Counter)
    good_slot_ms: float = 0.0
    offered_slot_ms: float = 0.0
    window_ms: float = 0.0
    jobs: int = 0
    tasks: int = 0
    late: int = 0
    messages: int = 0
    wasted_messages: int = 0


def add_results(results: list[LoadResult]) -> LoadResult:
    """Return the sum of several generators' results."""
    total = LoadResult(window_ms=results[0].window_ms)
    ratios = HdrHistogram(1, RATIO_MAX, SIGNIFICANT_DIGITS)
    refusals = HdrHistogram(1, LATENCY_US_MAX, SIGNIFICANT_DIGITS)
    lags = HdrHistogram(1, LATENCY_US_MAX, SIGNIFICANT_DIGITS)
    for result in results:
        ratios.decode_and_add(result.ratios)
        refusals.decode_and_add(result.refusals_us)
        lags.decode_and_add(result.lags_us)
        total.outcomes = dict(Counter(total.outcomes) + Counter(result.outcomes))
        total.good_slot_ms += result.good_slot_ms
        total.offered_slot_ms += result.offered_slot_ms
        total.jobs += result.jobs
        total.tasks += result.tasks
        total.late += result.late
        total.messages += result.messages
        total.wasted_messages += result.wasted_messages
    total.ratios = ratios.encode().decode()
    total.refusals_us = refusals.encode().decode()
    total.lags_us = lags.encode().decode()
    return total


def percentile(encoded: str, percent: float) -> float:
    """Return a percentile of an encoded histogram, in the histogram's unit."""
    return HdrHistogram.decode(encoded).get_value_at_percentile(percent)
