"""Clocks: monotonic time for durations, wall time for timestamps."""

from time import CLOCK_BOOTTIME, clock_gettime, time
from typing import Protocol

MS_PER_S = 1000


class Clock(Protocol):
    """A source of time; tests pass one that they advance themselves."""

    def now_ms(self) -> float:
        """Return milliseconds from an arbitrary start; never goes backwards."""

    def wall_ms(self) -> float:
        """Return milliseconds since the Unix epoch; may jump when the clock is set."""


class SystemClock:
    """The clocks of the operating system."""

    def now_ms(self) -> float:
        """Return monotonic milliseconds, including time spent suspended."""
        return clock_gettime(CLOCK_BOOTTIME) * MS_PER_S

    def wall_ms(self) -> float:
        """Return wall-clock milliseconds since the Unix epoch."""
        return time() * MS_PER_S
