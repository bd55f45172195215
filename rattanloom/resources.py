"""Resource usage of this process."""

import resource
from pathlib import Path

from attrs import frozen

PAGE_BYTES = resource.getpagesize()


@frozen
class Usage:
    """Processor time since the process started, and current resident memory."""

    processor_s: float
    memory_bytes: int


def own_usage() -> Usage:
    """Return the usage of this process, from getrusage and /proc."""
    times = resource.getrusage(resource.RUSAGE_SELF)
    resident_pages = int(Path("/proc/self/statm").read_text().split()[1])
    return Usage(times.ru_utime + times.ru_stime, resident_pages * PAGE_BYTES)
