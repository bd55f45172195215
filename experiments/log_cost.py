"""Measures processor time per decision log line: ``python -m experiments.log_cost``.

The decision log belongs to the daemon on the platform. Prints one JSON object.
"""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import os  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402
from fire import Fire  # noqa: E402

from rattanloom.clock import SystemClock  # noqa: E402
from rattanloom.decision_log import (  # noqa: E402
    LINES_PER_EVENT_PER_S,
    DecisionLog,
    logging_decisions,
)

log = DecisionLog("placement")
ROUNDS = 20  # each logs an event of its own, since the rate limit is per event


def measure(lines: int) -> float:
    """Return the processor time in microseconds to log and write one line."""
    read_end, write_end = os.pipe()
    reader = gevent.spawn(_discard_output, read_end)
    with logging_decisions("edge-1", SystemClock(), write_end, "INFO"):
        cpu_s = 0.0
        for number in range(ROUNDS):
            started_s = time.process_time()
            for index in range(lines // ROUNDS):
                log.info(
                    f"task_ordered_{number}",
                    task=f"5c0e7a21d94b36f8.0.0.{index}",
                    attempt=1,
                    worker="i-04ac11534d",
                    token=3298534883328,
                    lease_until_ms=1_328_711,
                    answer="started",
                )
            gevent.sleep(0.2)
            cpu_s += time.process_time() - started_s
    reader.kill()
    return 1e6 * cpu_s / lines


def _discard_output(descriptor: int) -> None:
    while True:
        gevent.os.tp_read(descriptor, 65_536)


def main() -> None:
    """Log one line less per event than the rate limit allows; print the cost."""
    lines = ROUNDS * (LINES_PER_EVENT_PER_S - 1)
    row = {"lines": lines, "cpu_us_per_line": round(measure(lines), 1)}
    print(json.dumps({"log_cost": row}))


if __name__ == "__main__":
    Fire(main)
