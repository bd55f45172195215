"""Times at which the clients of refused jobs are told to return."""

from collections import deque
from zlib import crc32

from attrs import define, field

from rattanloom.placement.jobs import RETRY_AFTER_MS

# Clients are told to return after at most this time.
RETRY_AFTER_MAX_MS = 5_000
# Share of the capacity that counts as available to returning jobs while more work
# arrives than workers can do.
SPARE_SHARE_MIN = 0.1
# A job counts as returned until this long after its time: the header has whole
# seconds, and the request itself takes a while.
RETURN_GRACE_MS = 5_000
# Refused jobs remembered at most, about 40 s of the highest rate of refusals; more are
# treated as new ones when they return.
REMEMBERED_MAX = 4_096


@define(eq=False, repr=False)
class ReturnTimes:
    """Gives the clients of refused jobs return times, and remembers them.

    The work of the jobs that will return counts as waiting work until then, so that
    the clients of later refusals return after it. ``_returns`` has the time and work
    of each, ``_refused`` the time and job in the order in which they were refused.
    """

    _returns: dict[str, tuple[float, float]] = field(factory=dict)
    _refused: deque[tuple[float, str]] = field(factory=deque)
    _promised_work: float = 0

    def add(
        self,
        job_id: str,
        work: float,
        waiting_work: float,
        spare_millicores: float,
        now_ms: float,
    ) -> int:
        """Return when the client of a job that is refused now should return."""
        self.remove_expired(now_ms)
        after_ms = retry_after_ms(
            job_id, waiting_work + self._promised_work, spare_millicores
        )
        self.take(job_id)
        self._returns[job_id] = now_ms + after_ms, work
        self._refused.append((now_ms + after_ms, job_id))
        self._promised_work += work
        return after_ms

    def take(self, job_id: str) -> bool:
        """Return whether a job was refused lately, and so returns now."""
        found = self._returns.pop(job_id, None)
        if found is not None:
            self._promised_work -= found[1]
        return found is not None

    def remove_expired(self, now_ms: float) -> None:
        """Remove the jobs that did not return, and the oldest ones beyond the limit."""
        while self._refused and (
            len(self._refused) >= REMEMBERED_MAX
            or self._refused[0][0] + RETURN_GRACE_MS < now_ms
        ):
            return_ms, job_id = self._refused.popleft()
            if self._returns.get(job_id, (None,))[0] == return_ms:
                self.take(job_id)


def spare_millicores(capacity: float, arriving: float) -> float:
    """Return the capacity that arriving work leaves to waiting and returning jobs."""
    return max(capacity - arriving, SPARE_SHARE_MIN * capacity)


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
