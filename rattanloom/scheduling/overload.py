"""Decides which late jobs to refuse while more work arrives than workers can do.

Load pattern: jobs of all kinds arrive faster than the workers finish them for some
seconds, or workers are taken away. Tasks that can be on time start first, so late jobs
get only the capacity that these leave; a job that will get none is refused at once.
"""

from collections import deque
from collections.abc import Iterable
from zlib import crc32

from attrs import define, field

from rattanloom.placement.jobs import RETRY_AFTER_MS
from rattanloom.placement.runs import PlacedJob

# Arrivals are averaged over this time: longer than the gaps between large jobs, shorter
# than a burst.
WINDOW_MS = 500
# Clients are told to return after at most this time.
RETRY_AFTER_MAX_MS = 5_000


@define(eq=False, repr=False)
class ArrivingWork:
    """Measures the processor that the jobs of the last ``WINDOW_MS`` need.

    Work is processor (thousandths of a core) times milliseconds. ``_arrivals`` has the
    time and the work of each job, ``_sum`` the sum of the work.
    """

    _arrivals: deque[tuple[float, float]] = field(factory=deque)
    _sum: float = 0

    def add(self, job: PlacedJob, now_ms: float) -> None:
        """Count a job that arrived at ``now_ms``."""
        work = job.submitted.work_millicore_ms
        self._arrivals.append((now_ms, work))
        self._sum += work

    def millicores(self, now_ms: float) -> float:
        """Return the processor that the arriving work needs on average."""
        while self._arrivals and self._arrivals[0][0] <= now_ms - WINDOW_MS:
            self._sum -= self._arrivals.popleft()[1]
        return self._sum / WINDOW_MS


def hopeless_jobs(
    late_jobs: Iterable[PlacedJob],
    capacity_millicores: float,
    arriving_millicores: float,
    now_ms: float,
) -> list[PlacedJob]:
    """Return the late jobs that will not be started in time.

    ``late_jobs`` wait, in the order in which they start, and none fits now.
    ``capacity_millicores`` is that of all workers that accept tasks or soon may again.
    Jobs that may have active runs are never returned, but their work goes before that
    of later jobs: their runs may still be found, or end.
    """
    spare_millicores = max(0.0, capacity_millicores - arriving_millicores)
    hopeless = []
    ahead = 0.0
    for job in late_jobs:
        work = job.remaining_work_millicore_ms
        left_ms = job.latest_useful_start_ms - now_ms + job.submitted.critical_path_ms
        if not job.may_have_active_runs and ahead + work > spare_millicores * left_ms:
            hopeless.append(job)
        else:
            ahead += work
    return hopeless


def retry_after_ms(
    job_id: str, waiting_millicore_ms: float, capacity_millicores: float
) -> int:
    """Return when the client of a refused job should return.

    That is once the waiting work is done, at least ``RETRY_AFTER_MS``. The times of
    different jobs are spread over as long again, so that clients don't return in one
    wave.
    """
    done_ms = waiting_millicore_ms / max(1.0, capacity_millicores)
    first_ms = max(RETRY_AFTER_MS, done_ms)
    spread = crc32(job_id.encode()) / 2**32
    return round(min(first_ms * (1 + spread), RETRY_AFTER_MAX_MS))
