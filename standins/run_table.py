"""What one worker stand-in runs: its fencing token, its lease, its runs and ends."""

import json
from collections.abc import Callable

import gevent
from attrs import define, field, frozen
from gevent.event import Event

from rattanloom.clock import MS_PER_S, Clock

LEASE_MAX_MS = 1_000
PROGRESS_TICK_MS = 20


@frozen
class WorkerSettings:
    """One worker: its names, its room, and how far its clock is off.

    ``listen`` is served; ``advertised`` is registered, and may be a relay.
    """

    worker_id: str
    zone: str
    listen: str
    advertised: str
    cpu_millicores: int = 32_000
    memory_mb: int = 65_536
    clock_offset_ms: float = 0.0
    clock_rate: float = 1.0


@frozen
class WorkerSwitches:
    """The faults of a worker.

    ``late_orders`` starts get no answer and are carried out ``late_ms`` later;
    ``speed`` 0 lets runs stand still; ``failing`` ends all that starts as failed.
    """

    speed: float = 1.0
    failing: bool = False
    late_orders: int = 0
    late_ms: float = 1_500.0
    draining: bool = False
    stop_ms: float = 10.0


@define(eq=False)
class Run:
    """One run; ``spec`` tells its length in ms and its need."""

    task: str
    attempt: int
    length_ms: float
    cpu_millicores: int
    memory_mb: int
    progress_ms: float = 0.0

    @property
    def percent(self) -> int:
        """Return how much of the work is done."""
        return min(99, int(100 * self.progress_ms / self.length_ms))


@define(eq=False)
class RunTable:
    """One life of a worker; ``record`` is told of each start and end."""

    worker_settings: WorkerSettings
    clock: Clock
    record: Callable[..., None]
    start_wall_ms: int
    switches: WorkerSwitches = field(factory=WorkerSwitches)
    fencing_token: int = 0
    lease_until_ms: float = 0.0
    runs: dict[tuple[str, int], Run] = field(factory=dict)
    finished_runs: list[list] = field(factory=list)
    finished_count: int = 0
    run_finished: Event = field(factory=Event)
    _newest_finished: dict[str, int] = field(factory=dict)

    def clock_ms(self) -> int:
        """Return the time on the worker's own clock."""
        worker_settings = self.worker_settings
        return int(
            self.clock.now_ms() * worker_settings.clock_rate
            + worker_settings.clock_offset_ms
        )

    def accept_token(self, token: int) -> bool:
        """Return whether an order under ``token`` is to be obeyed."""
        if token < self.fencing_token:
            return False
        self.fencing_token = token
        return True

    def extend_lease(self, until_ms: float | None) -> None:
        """Extend the lease of all that runs; it is never shortened."""
        if until_ms is not None:
            longest_ms = self.clock_ms() + LEASE_MAX_MS
            self.lease_until_ms = max(self.lease_until_ms, min(until_ms, longest_ms))

    def start(self, order: dict) -> str | None:
        """Carry out a start; return the reason of a refusal."""
        self.enforce_lease()
        key = (order["task"], order["attempt"])
        if not self.accept_token(order["fencing_token"]):
            return "fence"
        if order["until_ms"] <= self.clock_ms():
            return "late"
        self.extend_lease(order["until_ms"])
        if key in self.runs:
            return None
        if order["attempt"] <= self._newest_finished.get(order["task"], 0):
            return "old"
        spec = json.loads(order["spec"])
        run = Run(*key, spec["ms"], spec["cpu"], spec["mem_mb"])
        if not self._has_capacity(run):
            return "room"
        self.runs[key] = run
        self.record("start", task=run.task, attempt=run.attempt, spec=order["spec"])
        gevent.spawn(self._execute, run)
        return None

    def stop(self, task: str, attempt: int) -> None:
        """Stop a run; one that is not there is refused from now on."""
        newest = max(attempt, self._newest_finished.get(task, 0))
        self._newest_finished[task] = newest
        run = self.runs.get((task, attempt))
        if run is not None:
            gevent.spawn_later(
                self.switches.stop_ms / MS_PER_S, self._finish, run, "stopped"
            )

    def discard_acknowledged(self, last_seen: int) -> None:
        """Forget the ends that were taken note of."""
        self.finished_runs = [end for end in self.finished_runs if end[0] > last_seen]

    def enforce_lease(self) -> None:
        """Kill everything once the lease is over."""
        if self.clock_ms() > self.lease_until_ms:
            self.finish_all("lapsed")

    def finish_all(self, how: str) -> None:
        """End every run."""
        for run in list(self.runs.values()):
            self._finish(run, how)

    def _has_capacity(self, run: Run) -> bool:
        runs = [*self.runs.values(), run]
        cpu_millicores = sum(other.cpu_millicores for other in runs)
        memory_mb = sum(other.memory_mb for other in runs)
        return (
            cpu_millicores <= self.worker_settings.cpu_millicores
            and memory_mb <= self.worker_settings.memory_mb
        )

    def _execute(self, run: Run) -> None:
        while run.progress_ms < run.length_ms:
            before_ms = self.clock.now_ms()
            left_ms = run.length_ms - run.progress_ms
            gevent.sleep(min(PROGRESS_TICK_MS, left_ms) / MS_PER_S)
            self.enforce_lease()
            if (run.task, run.attempt) not in self.runs:
                return
            run.progress_ms += (self.clock.now_ms() - before_ms) * self.switches.speed
        self._finish(run, "failed" if self.switches.failing else "done")

    def _finish(self, run: Run, how: str) -> None:
        if self.runs.pop((run.task, run.attempt), None) is None:
            return
        newest = max(run.attempt, self._newest_finished.get(run.task, 0))
        self._newest_finished[run.task] = newest
        self.finished_count += 1
        self.finished_runs.append([self.finished_count, run.task, run.attempt, how, ""])
        self.record("end", task=run.task, attempt=run.attempt, how=how)
        self.run_finished.set()
        self.run_finished.clear()
