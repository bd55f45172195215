"""Measures the processor time of the calls to a worker: HTTP and JSON together.

The worker stand-in runs in another process.
``python -m experiments.worker_call_cost``; the last line is one JSON object.
"""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
from collections.abc import Callable  # noqa: E402
from time import process_time  # noqa: E402

import gevent  # noqa: E402
from fire import Fire  # noqa: E402

from experiments.placer_cost import running_workers  # noqa: E402
from rattanloom.errors import Failure  # noqa: E402
from rattanloom.placement.workers import Renewal  # noqa: E402
from rattanloom.platform.workers import WorkerClient  # noqa: E402

FENCING_TOKEN = 1 << 40
ROUNDS = 5
WARM_UP_CALLS = 200
START_TIMEOUT_S = 20  # of the worker stand-in


def measure(call: Callable[[], object], calls: int) -> float:
    """Return the processor time of a call in microseconds, of the cheapest round."""
    costs_us = []
    for round_calls in (WARM_UP_CALLS, *[calls] * ROUNDS):
        started_s = process_time()
        for _ in range(round_calls):
            reply = call()
            if isinstance(reply, Failure):
                raise RuntimeError(reply.reason)
        costs_us.append(1e6 * (process_time() - started_s) / round_calls)
    return round(min(costs_us[1:]), 1)


def main(calls: int = 2_000) -> None:
    """Measure a renewal, which returns a report, and a stop of an unknown run."""
    with running_workers(1) as (settings,):
        worker = WorkerClient(settings.worker_id, settings.listen)
        renewal = Renewal(FENCING_TOKEN, 0)
        with gevent.Timeout(START_TIMEOUT_S):
            while isinstance(worker.renew(renewal), Failure):
                gevent.sleep(0.1)
        row = {
            "renewal_us": measure(lambda: worker.renew(renewal), calls),
            "stop_us": measure(lambda: worker.stop("a.0.0", 1, FENCING_TOKEN), calls),
        }
    print(json.dumps({"worker_call_cost": row}))


if __name__ == "__main__":
    Fire(main)
