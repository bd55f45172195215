"""Stand-in for a worker that gets its orders by calls (``invocation``)."""

import json
import time
from weakref import WeakKeyDictionary

import gevent
from gevent.event import Event

LEASE_MAX_MS = 1_000
STOP_MS = 20
TICK_S = 0.04
LOST_S = 5.0


class Worker:
    """One worker; a restart begins another boot under the same id.

    The ``spec`` of a task is a JSON object: ``ms`` is its work. The needs of a task are
    looked up by ``need_of``, which knows what the clients sent. ``record`` is called
    with each start and end. While ``is_dark``, nothing is answered.
    """

    def __init__(self, worker_id, zone, address, clock_ms, need_of, record, **options):
        """``options`` are ``cpu``, ``labels``, ``guards`` and ``service``."""
        self.worker_id, self.zone, self.address = worker_id, zone, address
        self._steady_ms, self.need_of, self.record = clock_ms, need_of, record
        self.options = {"cpu": 32_000, "labels": ["a", f"r-{zone}"], "guards": True}
        self.options |= {"service": "desk"} | options
        self.is_dark = False
        self._connections = WeakKeyDictionary()
        self.boot()

    def boot(self, **options):
        """Begin a boot: nothing runs, and nothing is known of before."""
        self.options |= options
        self.began_ms = self._steady_ms()
        self.born = int(time.time() * 1_000)
        self.token, self.until_ms, self.number = 0, 0, 0
        self.runs, self.finished, self.newest = {}, [], {}
        self.ended = Event()
        self.boots = getattr(self, "boots", 0) + 1

    def crash(self):
        """End all runs, without an entry in a list."""
        for name, attempt in list(self.runs):
            self.record("end", task=name, attempt=attempt, how="crashed", **self._who())
        self.runs.clear()

    def clock_ms(self):
        """Return the worker's own clock, which starts with the boot."""
        return int(self._steady_ms() - self.began_ms)

    def entry(self):
        """Return the entry in the store."""
        options = self.options
        return {
            "service": options["service"],
            "addr": self.address,
            "zone": self.zone,
            "version": "1",
            "slots": 8,
            "state": "ready",
            "born": self.born,
            "seq": int(self._steady_ms()),
            "capacity": {"cpu": options["cpu"], "mem_mb": 65_536},
            "labels": options["labels"],
        }

    def handle(self, method, path, headers, body):
        """Return status and document of the response; None if there is none."""
        boot = self.boots
        if self.is_dark:
            return self._lose()
        if self._connections.setdefault(headers["socket"], boot) != boot:
            # A machine that has lost power resets the connections of before.
            return None
        if headers.get("expect-instance") != self.worker_id:
            return 421, {"born": self.born}
        order = json.loads(body)
        if order.get("fencing_token", 0) < self.token:
            return self._answer(409, reason="fence")
        self.token = order.get("fencing_token", 0)
        self._enforce_lease()
        if path == "/run-start":
            return self._start(order)
        if path == "/run-stop":
            return self._stop(order)
        if path == "/hold":
            return self._hold(order, boot)
        return 404, {}

    def _lose(self):
        """Leave a call without an answer for longer than any caller waits."""
        gevent.sleep(LOST_S)

    def _answer(self, status, **fields):
        return status, {"clock_ms": self.clock_ms(), "born": self.born, **fields}

    def _who(self):
        return {"worker": self.worker_id, "boot": self.boots}

    def _extend(self, until_ms):
        if until_ms is not None:
            longest_ms = self.clock_ms() + LEASE_MAX_MS
            self.until_ms = max(self.until_ms, min(until_ms, longest_ms))

    def _enforce_lease(self):
        if self.clock_ms() > self.until_ms:
            for key in list(self.runs):
                self._finish(key, "lapsed")

    def _used(self):
        return sum(self.need_of(name) for name, _ in self.runs)

    def _start(self, order):
        name, key = order["task"], (order["task"], order["attempt"])
        if order["until_ms"] <= self.clock_ms():
            return self._answer(409, reason="late")
        self._extend(order["until_ms"])
        if key in self.runs:
            return self._answer(200)
        if order["attempt"] <= self.newest.get(name, 0):
            return self._answer(409, reason="old")
        used = self._used() + self.need_of(name)
        if self.options["guards"] and used > self.options["cpu"]:
            return self._answer(409, reason="room")
        self.runs[key] = {"done_ms": 0.0, "ms": json.loads(order["spec"])["ms"]}
        self.record(
            "start",
            task=name,
            attempt=order["attempt"],
            token=order["fencing_token"],
            used=used,
            cpu=self.options["cpu"],
            **self._who(),
        )
        gevent.spawn(self._work, key, self.runs[key])
        return self._answer(200)

    def _work(self, key, run):
        while run["done_ms"] < run["ms"]:
            before_ms = self._steady_ms()
            gevent.sleep(min(TICK_S, (run["ms"] - run["done_ms"]) / 1_000))
            if self.runs.get(key) is not run:
                return
            self._enforce_lease()
            run["done_ms"] += self._steady_ms() - before_ms
        if self.runs.get(key) is run:
            self._finish(key, "done")

    def _stop(self, order):
        name, attempt = order["task"], order["attempt"]
        self.newest[name] = max(attempt, self.newest.get(name, 0))
        gevent.spawn_later(STOP_MS / 1_000, self._finish, (name, attempt), "stopped")
        return self._answer(200)

    def _finish(self, key, how):
        if self.runs.pop(key, None) is None:
            return
        name, attempt = key
        self.newest[name] = max(attempt, self.newest.get(name, 0))
        self.number += 1
        self.finished.append([self.number, name, attempt, how, ""])
        self.record("end", task=name, attempt=attempt, how=how, **self._who())
        self.ended.set()
        self.ended.clear()

    def _hold(self, order, boot):
        self._extend(order.get("until_ms"))
        self.finished = [end for end in self.finished if end[0] > order["last_seen"]]
        wait_ms = min(order.get("wait_ms", 0), 2_000)
        if wait_ms and not self.finished:
            self.ended.wait(wait_ms / 1_000)
        if boot != self.boots or self.is_dark:
            return self._lose()
        self._enforce_lease()
        running = [
            [*key, "", min(99, int(100 * run["done_ms"] / run["ms"])), 0]
            for key, run in self.runs.items()
        ]
        return self._answer(200, running=running, finished=self.finished[:500])
