"""Measures the memory of an entry host's ledger; see "At most once" in DESIGN.md.

For the stand-alone version. In the printed names, answers are the kept results of
jobs, and marks the status bytes of tickets.
"""

import gc
import json
import tracemalloc

from attrs import frozen
from fire import Fire

from rattanloom.job import JobResult, ResultKind
from rattanloom.ledger import Ledger
from rattanloom.ticket import Ticket

KEY_BYTES = 16
OUTPUT_CHARS = 20
UNLIMITED_BYTES = 1 << 40  # keeps the results of all jobs


@frozen
class MemoryUse:
    """The ledger's memory after ``jobs`` jobs: total, and per job."""

    jobs: int
    total_bytes: int
    per_job_bytes: float


def measure_ledger(
    jobs: int, keep_bytes: int, epochs: int = 1, tasks: int = 1
) -> MemoryUse:
    """Return the memory of a ledger after ``jobs`` jobs, spread over ``epochs``.

    It keeps up to ``keep_bytes`` of results. Each job has ``tasks`` outputs.
    """
    gc.collect()
    tracemalloc.start()
    ledger = Ledger()
    for number in range(jobs):
        epoch = number * epochs // jobs
        ticket_text = (
            f"Adum~adum-entry-1~0123456789ab~{epoch}~{number}~0123456789abcdef0123"
        )
        ticket = Ticket(
            "Adum", "adum-entry-1", "0123456789ab", epoch, number, ticket_text
        )
        running = ledger.start(ticket, number.to_bytes(KEY_BYTES, "big"))
        outputs = tuple(f"{number:0{OUTPUT_CHARS}d}" for _ in range(tasks))
        result = JobResult(ticket_text, ResultKind.COMPLETE, outputs)
        ledger.end(running, result, epoch, keep_bytes)
        ledger.drop_expired(epoch)
    del ticket, running, result
    gc.collect()
    total_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return MemoryUse(jobs, total_bytes, round(total_bytes / jobs, 2))


def main(jobs_per_s: int = 500, epoch_ms: int = 60_000) -> None:
    """Print one JSON line for each measurement.

    Args:
        jobs_per_s: jobs that one entry host admits per second.
        epoch_ms: length of an epoch.
    """
    per_epoch = jobs_per_s * epoch_ms // 1000
    measurements = {
        "kept answers, 1 task": measure_ledger(per_epoch, UNLIMITED_BYTES),
        "kept answers, 40 tasks": measure_ledger(
            per_epoch // 10, UNLIMITED_BYTES, tasks=40
        ),
        "marks of 2 epochs": measure_ledger(2 * per_epoch, 0, epochs=2),
        "marks after 20 epochs": measure_ledger(20 * per_epoch, 0, epochs=20),
        "8 MB of answers and marks of 2 epochs": measure_ledger(
            2 * per_epoch, 8_000_000, epochs=2
        ),
    }
    for name, memory in measurements.items():
        print(
            json.dumps(
                {
                    "what": name,
                    "jobs": memory.jobs,
                    "total_bytes": memory.total_bytes,
                    "per_job_bytes": memory.per_job_bytes,
                }
            )
        )


if __name__ == "__main__":
    Fire(main)
