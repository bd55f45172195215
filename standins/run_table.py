"""Runs, lease and fencing token of a worker stand-in in ``standins.pool``.

When the lease expires, all runs finish as lapsed. Orders with an older fencing token
are refused.
"""

import json
from collections.abc import Callable

import gevent
from attrs import define, field, frozen
from gevent.event import Event

from rattanloom.clock import MS_PER_S, Clock

LEASE_MAX_MS = 1_000
# Longest time between two updates of a run's progress.
PROGRESS_TICK_MS = 20
# A task that crashes its worker does so this long after its start.
CRASH_DELAY_MS = 10
# A placer must know a smaller capacity after this time: the platform's contact_ms and
# one heartbeat of a worker.
CAPACITY_NOTICE_MS = 3_000 + 500


@frozen
class WorkerSettings:
    """Identity, addresses, capacity and clock error of one worker.

    The worker serves on ``listen`` and registers ``advertised``, which may be the
    address of a relay. Its clock runs ``clock_rate`` times as fast as the machine's.
    Unless it ``guards_capacity``, it starts whatever it is ordered to. After a crash by
    a task, it is down for ``crash_down_ms``, and ``renamed_by_crash`` tells whether it
    returns under a new id.
    """

    worker_id: str
    zone: str
    listen: str
    advertised: str
    cpu_millicores: int = 32_000
    memory_mb: int = 65_536
    clock_offset_ms: float = 0.0
    clock_rate: float = 1.0
    guards_capacity: bool = True
    crash_down_ms: float = 2_000.0
    renamed_by_crash: bool = False


@frozen
class WorkerSwitches:
    """Faults of a worker.

    The next ``late_orders`` starts are carried out ``late_ms`` late and get no
    response. ``speed`` is the progress of runs per unit of time; with 0 they stall.
    With ``failing`` they finish as failed. A ``draining`` worker is registered as
    draining. A stop takes ``stop_ms``. The next ``lost_stops`` stops have no effect and
    get no response. ``capacity_share`` is the share of its capacity that the worker has
    now. An ``unregistered`` worker serves, but does not renew its entry in the store.
    """

    speed: float = 1.0
    failing: bool = False
    late_orders: int = 0
    late_ms: float = 1_500.0
    draining: bool = False
    stop_ms: float = 10.0
    lost_stops: int = 0
    capacity_share: float = 1.0
    unregistered: bool = False


@define(eq=False)
class Run:
    """One run; its length and resources are in the ``spec`` of its start order.

    With ``crashes``, it crashes the worker.
    """

    task: str
    attempt: int
    length_ms: float
    cpu_millicores: int
    memory_mb: int
    crashes: bool = False
    progress_ms: float = 0.0

    @property
    def percent(self) -> int:
        """Return the progress in percent; at most 99 before the run is finished."""
        return min(99, int(100 * self.progress_ms / self.length_ms))


@define(eq=False)
class RunTable:
    """Runs of one incarnation of a worker.

    ``record_event`` is called when a run starts or finishes, ``crash`` when a run
    crashes the worker. ``lease_until_ms`` is a time of the worker's own clock.
    ``finished_runs`` holds the reports of finished runs, numbered from 1, until the
    placer acknowledges them. A task's attempts up to the one in
    ``_newest_finished_attempts`` are never started. ``former_shares`` are the shares
    of its capacity that the worker had before, each with the time of the change.
    """

    worker_settings: WorkerSettings
    clock: Clock
    record_event: Callable[..., None]
    start_wall_ms: int
    switches: WorkerSwitches = field(factory=WorkerSwitches)
    crash: Callable[[], None] = lambda: None
    fencing_token: int = 0
    lease_until_ms: float = 0.0
    runs: dict[tuple[str, int], Run] = field(factory=dict)
    finished_runs: list[list] = field(factory=list)
    last_finished_number: int = 0
    run_finished: Event = field(factory=Event)
    _newest_finished_attempts: dict[str, int] = field(factory=dict)
    former_shares: list[tuple[float, float]] = field(factory=list)

    def set_switches(self, switches: WorkerSwitches) -> None:
        """Set the faults of the worker, and record a change of its capacity."""
        if switches.capacity_share != self.switches.capacity_share:
            former = (self.switches.capacity_share, self.clock.now_ms())
            self.former_shares.append(former)
        self.switches = switches

    def cpu_millicores(self) -> int:
        """Return the capacity that the worker has now."""
        share = self.switches.capacity_share
        return int(share * self.worker_settings.cpu_millicores)

    def clock_ms(self) -> int:
        """Return the time of the worker's own clock."""
        settings = self.worker_settings
        return int(self.clock.now_ms() * settings.clock_rate + settings.clock_offset_ms)

    def accept_token(self, token: int) -> bool:
        """Record a fencing token; return False if a newer one was recorded before."""
        if token < self.fencing_token:
            return False
        self.fencing_token = token
        return True

    def extend_lease(self, until_ms: float | None) -> None:
        """Extend the lease to at most ``LEASE_MAX_MS`` from now; never shorten it."""
        if until_ms is not None:
            longest_ms = self.clock_ms() + LEASE_MAX_MS
            self.lease_until_ms = max(self.lease_until_ms, min(until_ms, longest_ms))

    def start(self, order: dict) -> str | None:
        """Start a run as ordered; return the reason if refused, None otherwise."""
        self.enforce_lease()
        key = (order["task"], order["attempt"])
        if not self.accept_token(order["fencing_token"]):
            return "fence"
        if order["until_ms"] <= self.clock_ms():
            return "late"
        self.extend_lease(order["until_ms"])
        if key in self.runs:
            return None
        if order["attempt"] <= self._newest_finished_attempts.get(order["task"], 0):
            return "old"
        spec = json.loads(order["spec"])
        crashes = str(spec.get("crash_index")) == run_index(order["task"])
        run = Run(*key, spec["ms"], spec["cpu"], spec["mem_mb"], crashes)
        if self.worker_settings.guards_capacity and not self._has_capacity(run):
            return "room"
        self.runs[key] = run
        self.record_event(
            "start",
            task=run.task,
            attempt=run.attempt,
            spec=order["spec"],
            used_millicores=sum(one.cpu_millicores for one in self.runs.values()),
            allowed_millicores=self._allowed_millicores(),
        )
        gevent.spawn(self._execute, run)
        return None

    def stop(self, task: str, attempt: int) -> None:
        """Stop a run, if any, and refuse later starts of this attempt or older ones."""
        newest = max(attempt, self._newest_finished_attempts.get(task, 0))
        self._newest_finished_attempts[task] = newest
        run = self.runs.get((task, attempt))
        if run is not None:
            gevent.spawn_later(
                self.switches.stop_ms / MS_PER_S, self._finish, run, "stopped"
            )

    def discard_acknowledged(self, last_seen: int) -> None:
        """Discard the reports of finished runs up to number ``last_seen``."""
        self.finished_runs = [run for run in self.finished_runs if run[0] > last_seen]

    def enforce_lease(self) -> None:
        """Finish all runs if the lease has expired."""
        if self.clock_ms() > self.lease_until_ms:
            self.finish_all("lapsed")

    def finish_all(self, outcome: str) -> None:
        """Finish all runs; ``outcome`` is reported."""
        for run in list(self.runs.values()):
            self._finish(run, outcome)

    def _has_capacity(self, run: Run) -> bool:
        runs = [*self.runs.values(), run]
        cpu_millicores = sum(other.cpu_millicores for other in runs)
        memory_mb = sum(other.memory_mb for other in runs)
        return (
            cpu_millicores <= self.cpu_millicores()
            and memory_mb <= self.worker_settings.memory_mb
        )

    def _allowed_millicores(self) -> int:
        """Return the processor that runs may use, as far as a placer must know it."""
        notice_from_ms = self.clock.now_ms() - CAPACITY_NOTICE_MS
        recent = [
            share for share, to_ms in self.former_shares if to_ms > notice_from_ms
        ]
        share = max(self.switches.capacity_share, *recent, 0.0)
        return int(share * self.worker_settings.cpu_millicores)

    def _execute(self, run: Run) -> None:
        if run.crashes:
            gevent.sleep(CRASH_DELAY_MS / MS_PER_S)
            if (run.task, run.attempt) in self.runs:
                self.crash()
            return
        while run.progress_ms < run.length_ms:
            before_ms = self.clock.now_ms()
            left_ms = run.length_ms - run.progress_ms
            gevent.sleep(min(PROGRESS_TICK_MS, left_ms) / MS_PER_S)
            self.enforce_lease()
            if (run.task, run.attempt) not in self.runs:
                return
            run.progress_ms += (self.clock.now_ms() - before_ms) * self.switches.speed
        self._finish(run, "failed" if self.switches.failing else "done")

    def _finish(self, run: Run, outcome: str) -> None:
        if self.runs.pop((run.task, run.attempt), None) is None:
            return
        newest = max(run.attempt, self._newest_finished_attempts.get(run.task, 0))
        self._newest_finished_attempts[run.task] = newest
        self.last_finished_number += 1
        self.finished_runs.append(
            [self.last_finished_number, run.task, run.attempt, outcome, ""]
        )
        self.record_event("end", task=run.task, attempt=run.attempt, how=outcome)
        self.run_finished.set()
        self.run_finished.clear()


def run_index(task: str) -> str:
    """Return the index of a task in its step, the last part of its name."""
    return task.rpartition(".")[2]
