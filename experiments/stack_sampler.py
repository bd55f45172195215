"""Runs a checkout's daemon and samples its stack by processor time, by part.

``python stack_sampler.py DISPATCHER OUTPUT``. Each SIGUSR1 writes the samples since
the last one to ``OUTPUT`` and starts anew. Imports nothing but the standard library
before the daemon, which patches it.
"""

import json
import os
import runpy
import signal
import sys
from collections import Counter
from time import thread_time

# Processor time between samples; the kernel's timer has 4 ms at best.
PERIOD_S = 0.004
NO_PART = "other"
# The parts of a path; the first frame from the innermost on that has one decides.
PARTS = (
    ("rattanloom/links/codec.py", "codec"),
    ("rattanloom/links/", "links"),
    ("rattanloom/placement/", "placement"),
    ("rattanloom/scheduling/", "scheduling"),
    ("rattanloom/ownership/", "ownership"),
    ("rattanloom/platform/http.py", "http"),
    ("rattanloom/platform/", "codec"),
    ("rattanloom/ingress/server.py", "http"),
    ("rattanloom/ingress/api.py", "http"),
    ("rattanloom/ingress/", "routing"),
    ("rattanloom/", "daemon"),
    ("/http/", "http"),
    ("/email/", "http"),
    ("/urllib3/", "http"),
    ("/bottle.py", "http"),
    ("/gevent/pywsgi.py", "http"),
    ("/json/", "codec"),
    ("/cattrs/", "codec"),
)
LOG_FILES = ("rattanloom/decision_log.py", "/logbook/")


def part_of_file(path: str) -> str | None:
    """Return the part that a source file belongs to; None for general libraries."""
    if path.startswith("<cattrs"):
        return "codec"
    return next((part for word, part in PARTS if word in path), None)


def part_of_stack(paths: list[str]) -> str:
    """Return the part of a stack of source files, the innermost first."""
    if any(word in path for path in paths for word in LOG_FILES):
        return "logs"
    return next((part for part in map(part_of_file, paths) if part), NO_PART)


class StackSampler:
    """Counts samples by part; ``own_s`` is the processor time of the sampling."""

    def __init__(self, output: str):
        self.output = output
        self.samples: Counter[str] = Counter()
        self.own_s = 0.0

    def start(self) -> None:
        """Sample from now on, and write at each SIGUSR1."""
        signal.signal(signal.SIGPROF, self._sample)
        signal.signal(signal.SIGUSR1, self._write)
        signal.setitimer(signal.ITIMER_PROF, PERIOD_S, PERIOD_S)

    def _sample(self, number: int, frame: object) -> None:
        began_s = thread_time()
        paths = []
        while frame is not None:
            paths.append(frame.f_code.co_filename)
            frame = frame.f_back
        self.samples[part_of_stack(paths)] += 1
        self.own_s += thread_time() - began_s

    def _write(self, number: int, frame: object) -> None:
        document = {"samples": dict(self.samples), "own_s": self.own_s}
        self.samples.clear()
        self.own_s = 0.0
        with open(f"{self.output}.new", "w") as file:
            json.dump(document, file)
        os.replace(f"{self.output}.new", self.output)


if __name__ == "__main__":
    dispatcher, output = sys.argv[1:]
    sys.argv, sys.path[0] = [dispatcher], os.path.dirname(dispatcher)
    StackSampler(output).start()
    runpy.run_path(dispatcher, run_name="__main__")
