"""Tells a worker that fails its tasks from tasks that fail everywhere."""

from collections import OrderedDict
from math import ceil, log

from attrs import define, field

KINDS_MAX = 256
TARGETS_PER_KIND_MAX = 8
GAIN = 0.2
HEALTHY_RATE_MIN = 0.5
FALSE_QUARANTINE_PROBABILITY = 1e-4
FAILED_JOBS_MIN = 3
SUCCESS_RATE_MAX = 0.99


@define(eq=False)
class SuccessRates:
    """The share of tasks that ended well, by kind and by worker used last."""

    _kinds: OrderedDict[str, OrderedDict[str, float]] = field(factory=OrderedDict)

    def record_outcome(self, kind: str, target: str, done: bool) -> None:
        """Take in the outcome of one task."""
        shares = self._kinds.setdefault(kind, OrderedDict())
        self._kinds.move_to_end(kind)
        if len(self._kinds) > KINDS_MAX:
            self._kinds.popitem(last=False)
        share = shares.get(target, float(done))
        shares[target] = share + GAIN * (done - share)
        shares.move_to_end(target)
        if len(shares) > TARGETS_PER_KIND_MAX:
            shares.popitem(last=False)

    def quarantine_threshold(self, kind: str, target: str) -> int | None:
        """Return how many jobs failing in a row speak against the worker.

        None: the kind fails on other workers too, or ran on no other.
        """
        shares = self._kinds.get(kind, {})
        others = [share for name, share in shares.items() if name != target]
        if not others:
            return None
        share = sum(others) / len(others)
        if share < HEALTHY_RATE_MIN:
            return None
        failing = 1 - min(share, SUCCESS_RATE_MAX)
        return max(
            FAILED_JOBS_MIN, ceil(log(FALSE_QUARANTINE_PROBABILITY) / log(failing))
        )
