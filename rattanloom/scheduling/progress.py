"""Predicts when running tasks end, to give up jobs that can no longer be useful."""

from attrs import frozen

# Progress below this is too coarse for a prediction, as reports round it to percents.
PERCENT_MIN = 10
# A run may turn out this much faster than its progress so far predicts.
SPEEDUP_MAX = 1.15


@frozen
class RunProgress:
    """Progress of a run in the last report that listed it, in the placer's clock."""

    started_ms: float
    listed_ms: float
    percent: int


def earliest_end_ms(progress: RunProgress) -> float:
    """Return the earliest time at which a run may end, by its progress so far."""
    if progress.percent < PERCENT_MIN:
        return progress.listed_ms
    # The report may have rounded down.
    done = min(progress.percent + 1, 100)
    elapsed_ms = progress.listed_ms - progress.started_ms
    left_ms = elapsed_ms * (100 - done) / done
    return progress.listed_ms + left_ms / SPEEDUP_MAX


def is_useless(progress: RunProgress, useful_until_ms: float) -> bool:
    """Return whether a run must end after ``useful_until_ms``."""
    return earliest_end_ms(progress) > useful_until_ms
