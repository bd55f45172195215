"""Holds starts back while the entries of the workers may be out of date.

A worker's capacity and state may have changed since its entry was read, for example
before a takeover or while this process was suspended. Workers that guard their capacity
refuse what does not fit; the others are used by recent entries only.
"""

from collections.abc import Callable

from attrs import define

from rattanloom.clock import Clock
from rattanloom.decision_log import DecisionLog

log = DecisionLog("placement")

# An owner reads the entries every 400 ms. The platform requires that a smaller capacity
# is respected after 3 s or more, and a leaving worker after 2 s.
ENTRY_AGE_MAX_MS = 1_500
# Longest wait for a read; then the store counts as down, and old entries are used for
# workers that guard their capacity.
READ_WAIT_MAX_MS = 250


@define(eq=False, repr=False)
class EntryAgeGuard:
    """Decides whether the entries are recent enough to start tasks by them.

    ``entry_age_ms`` returns for how long changes of entries may have been missed.
    ``_held_since_ms`` is when starts were first held back for the current entries.
    """

    clock: Clock
    entry_age_ms: Callable[[], float]
    _held_since_ms: float | None = None

    def is_recent(self) -> bool:
        """Return whether the entries show the current capacity of all workers."""
        return self.entry_age_ms() <= ENTRY_AGE_MAX_MS

    def may_start(self) -> bool:
        """Return whether tasks may be started now, on workers that guard it."""
        if self.is_recent():
            self._held_since_ms = None
            return True
        now_ms = self.clock.now_ms()
        if self._held_since_ms is None:
            self._held_since_ms = now_ms
            log.info("starts_held", entry_age_ms=round(self.entry_age_ms()))
        return now_ms > self._held_since_ms + READ_WAIT_MAX_MS
