"""Success rates by kind and worker, to tell faulty workers from failing tasks."""

from collections import OrderedDict
from math import ceil, log

from attrs import define, field

KINDS_MAX = 256
TARGETS_PER_KIND_MAX = 8
GAIN = 0.2  # weight of a new outcome in the moving rate
HEALTHY_RATE_MIN = 0.5
FALSE_QUARANTINE_PROBABILITY = 1e-4
FAILED_JOBS_MIN = 3
SUCCESS_RATE_MAX = 0.99


@define(eq=False)
class SuccessRates:
    """Moving success rates of tasks, by kind and by worker.

    Only the most recently updated kinds, and workers of a kind, are kept.
    """

    _rates: OrderedDict[str, OrderedDict[str, float]] = field(factory=OrderedDict)

    def record_outcome(self, kind: str, target: str, done: bool) -> None:
        """Update the rate of a kind on a worker with the outcome of one task."""
        rates = self._rates.setdefault(kind, OrderedDict())
        self._rates.move_to_end(kind)
        if len(self._rates) > KINDS_MAX:
            self._rates.popitem(last=False)
        rate = rates.get(target, float(done))
        rates[target] = rate + GAIN * (done - rate)
        rates.move_to_end(target)
        if len(rates) > TARGETS_PER_KIND_MAX:
            rates.popitem(last=False)

    def quarantine_threshold(self, kind: str, target: str) -> int | None:
        """Return after how many failed jobs in a row the worker is quarantined.

        None if the kind often fails on other workers too, or ran on no other. A
        worker as good as the others fails that many in a row with a probability of
        at most ``FALSE_QUARANTINE_PROBABILITY``.
        """
        rates = self._rates.get(kind, {})
        others = [rate for name, rate in rates.items() if name != target]
        if not others:
            return None
        rate = sum(others) / len(others)
        if rate < HEALTHY_RATE_MIN:
            return None
        failure_rate = 1 - min(rate, SUCCESS_RATE_MAX)
        return max(
            FAILED_JOBS_MIN, ceil(log(FALSE_QUARANTINE_PROBABILITY) / log(failure_rate))
        )
