"""Decides whether to stop a run on a worker that leaves before the run ends."""

from attrs import frozen

# Shortest notice that a worker gives before it leaves; assumed if it names no time.
NOTICE_MIN_MS = 2_000
# A stop takes up to this time.
STOP_MS = 50
# Estimates have an error of 0.4: a run that could end in time with this share of the
# time that it is expected to need goes on.
OPTIMISTIC_SHARE = 0.6
# Progress below this is too coarse to extrapolate the run time from it.
PERCENT_MIN = 10


@frozen
class LeavingRun:
    """A run on a worker that leaves in ``leaves_in_ms`` at the earliest.

    ``percent`` is its reported progress, 0 if it reports none. ``useful_for_ms`` is the
    time until its job is of no use. ``wait_ms`` is the expected wait for a start on
    another worker.
    """

    elapsed_ms: float
    estimate_ms: float
    percent: int
    leaves_in_ms: float
    useful_for_ms: float
    wait_ms: float

    @property
    def left_ms(self) -> float:
        """Return the time that the run is expected to need still."""
        if self.percent >= PERCENT_MIN:
            return self.elapsed_ms * (100 - self.percent) / self.percent
        return max(0.0, self.estimate_ms - self.elapsed_ms)


def should_stop(run: LeavingRun) -> bool:
    """Return whether the job ends sooner if the run is stopped and started elsewhere.

    A run that is lost with its worker starts again only once the lease is over, 920 ms
    after the worker left; a stopped one after 50 ms. So stopping it ends the job sooner
    unless the run may end in time. The run also goes on if its job is of no use once
    another run could end, and on a worker that stays longer than announced.
    """
    if run.leaves_in_ms <= 0 or OPTIMISTIC_SHARE * run.left_ms <= run.leaves_in_ms:
        return False
    again_ms = run.wait_ms + max(run.estimate_ms, run.elapsed_ms + run.left_ms)
    return STOP_MS + again_ms <= run.useful_for_ms
