"""Clocks: elapsed time for durations, wall time for events shown to people."""

from time import CLOCK_BOOTTIME, clock_gettime, time
from typing import Protocol

MS_PER_S = 1000


class Clock(Protocol):
    """A source of time; tests pass one that they move by hand."""

    def now_ms(self) -> float:
        """Return monotonic milliseconds; never jumps back."""

    def wall_ms(self) -> float:
        """Return milliseconds since the epoch; may jump."""


class SystemClock:
    """The machine's own clocks."""

    def now_ms(self) -> float:
        """Return monotonic milliseconds, including time spent suspended."""
        return clock_gettime(CLOCK_BOOTTIME) * MS_PER_S

    def wall_ms(self) -> float:
        """Return wall-clock milliseconds since the epoch."""
        return time() * MS_PER_S
