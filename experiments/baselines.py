"""Baseline of the bench: clients send tasks to random workers, with plain retries.

There are no entry hosts, which saves one hop, and no queue: if a worker is busy, the
client retries at a random worker after a fixed delay, until the job's deadline.
"""

import json
from random import Random
from time import monotonic
from uuid import uuid4

import gevent
from attrs import define, field
from urllib3 import HTTPConnectionPool, Timeout
from urllib3.exceptions import HTTPError

from experiments.mixes import DrawnJob, DrawnTask
from rattanloom.clock import MS_PER_S

CONNECTIONS_PER_TARGET = 64
RETRY_DELAY_MS = 20.0
START_WITHIN_MS = 0.0  # a busy worker refuses after its minimum hold time
TIMEOUT_SLACK_S = 2.0  # of a request, beyond the job's deadline
MESSAGES_PER_EXCHANGE = 2  # a request and its response
DONE = "done"
RETRYABLE_STATES = ("busy", "leaving", "never_started")


@define(eq=False)
class RandomRouting:
    """Sends tasks directly to random workers and counts the messages.

    ``wasted_messages`` are those of all but the first attempt of each task.
    """

    addresses: tuple[str, ...]
    random: Random
    messages: int = 0
    wasted_messages: int = 0
    _pools: dict[str, HTTPConnectionPool] = field(factory=dict)

    def run(self, job: DrawnJob) -> str:
        """Run all tasks concurrently; return the job's outcome as a label.

        After "failed:" it lists the final states of the tasks that are not done.
        """
        job_id = uuid4().hex
        deadline_at_s = monotonic() + job.deadline_ms / MS_PER_S
        greenlets = [
            gevent.spawn(self._run_task, job_id, index, task, deadline_at_s)
            for index, task in enumerate(job.tasks)
        ]
        gevent.joinall(greenlets)
        states = {greenlet.value for greenlet in greenlets}
        if states == {DONE}:
            return "complete"
        return "failed:" + ",".join(sorted(states - {DONE}))

    def _run_task(
        self, job_id: str, index: int, task: DrawnTask, deadline_at_s: float
    ) -> str:
        number = 0
        while monotonic() < deadline_at_s:
            number += 1
            if number > 1:
                self.wasted_messages += MESSAGES_PER_EXCHANGE
            state = self._send_attempt(
                f"{job_id}.{index}.{number}", task, deadline_at_s
            )
            if state not in RETRYABLE_STATES:
                return state
            gevent.sleep(RETRY_DELAY_MS / MS_PER_S)
        return "deadline"

    def _send_attempt(
        self, attempt_id: str, task: DrawnTask, deadline_at_s: float
    ) -> str:
        self.messages += MESSAGES_PER_EXCHANGE
        remaining_ms = max(1.0, (deadline_at_s - monotonic()) * MS_PER_S)
        job_id, index, number = attempt_id.split(".")
        document = {
            "attempt_id": attempt_id,
            "job_id": job_id,
            "task": int(index),
            "number": int(number),
            "kind": task.kind,
            "payload": json.dumps({"ms": task.true_ms}),
            "size_slots": 1,
            "run_ms": task.declared_ms,
            "start_within_ms": START_WITHIN_MS,
            "lease_ms": remaining_ms,
        }
        try:
            response = self._random_pool().urlopen(
                "POST",
                f"/v1/attempts/{attempt_id}",
                body=json.dumps(document).encode(),
                headers={"Content-Type": "application/json"},
                retries=False,
                timeout=Timeout(remaining_ms / MS_PER_S + TIMEOUT_SLACK_S),
            )
            return json.loads(response.data).get("state", "error")
        except (HTTPError, ValueError):
            return "lost"

    def _random_pool(self) -> HTTPConnectionPool:
        address = self.random.choice(self.addresses)
        pool = self._pools.get(address)
        if pool is None:
            host, _, port = address.rpartition(":")
            pool = HTTPConnectionPool(host, int(port), maxsize=CONNECTIONS_PER_TARGET)
            self._pools[address] = pool
        return pool
