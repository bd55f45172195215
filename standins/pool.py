"""Stand-ins for the workers of the daemons' platform, many in one process.

Started by ``python -m standins.pool SETTINGS.json``. Each worker serves the platform's
worker protocol on its own address and is registered in the store. A test harness
injects faults with ``/workers/ID/switches`` and ``/workers/ID/crash`` on the control
address. Each start and end of a run is appended to the history file.
"""

if __name__ == "__main__":
    from gevent import monkey

    monkey.patch_all()

import json
from base64 import b64encode
from contextlib import ExitStack
from pathlib import Path
from typing import TextIO

import gevent
from attrs import asdict, define, evolve, field, frozen
from bottle import Bottle, HTTPResponse, request
from cattrs import Converter
from fire import Fire
from urllib3 import PoolManager
from urllib3.exceptions import HTTPError

from rattanloom.clock import MS_PER_S, Clock, SystemClock
from standins.handler import drop_connection, serving_at
from standins.run_table import RunTable, WorkerSettings, WorkerSwitches

HEARTBEAT_MS = 500
# A worker's entry in the store expires if it is not renewed for three heartbeats.
ENTRY_TTL_MS = 3 * HEARTBEAT_MS
# Longest wait of a lease renewal for a run to finish.
RENEWAL_WAIT_MAX_MS = 2_000
FINISHED_RUNS_MAX = 500


@frozen
class PoolSettings:
    """Settings of one process.

    ``control`` and ``store`` are addresses, ``service`` is the service named in the
    workers' entries, and ``history`` is the path of the history file.
    """

    control: str
    store: str
    service: str
    history: str
    workers: tuple[WorkerSettings, ...]


@define(eq=False)
class StandinWorker:
    """HTTP interface of one worker; ``table`` holds the runs of its incarnation.

    ``registered_id`` is the id of its current registration. While ``is_down``, requests
    get no response. ``crashes`` counts the crashes by tasks.
    """

    worker_settings: WorkerSettings
    clock: Clock
    history: TextIO
    table: RunTable | None = None
    registered_id: str = field(init=False)
    is_down: bool = False
    crashes: int = 0

    def __attrs_post_init__(self) -> None:
        self.registered_id = self.worker_settings.worker_id
        self.start_incarnation(WorkerSwitches())

    def start_incarnation(self, switches: WorkerSwitches) -> None:
        """Start a new incarnation, without the state of the previous one."""
        start_wall_ms = int(self.clock.wall_ms())
        former_shares = self.table.former_shares if self.table else []
        self.table = RunTable(
            self.worker_settings,
            self.clock,
            self._write_history,
            start_wall_ms,
            switches,
            self.crash_by_task,
            former_shares=former_shares,
        )

    def crash(self) -> None:
        """Drop all runs without reporting them to placers; start a new incarnation."""
        self.table.finish_all("crashed")
        self.start_incarnation(self.table.switches)

    def crash_by_task(self) -> None:
        """Crash as a task does: the worker is down for ``crash_down_ms``."""
        self.crashes += 1
        self.is_down = True
        self.table.finish_all("crashed")
        down_s = self.worker_settings.crash_down_ms / MS_PER_S
        gevent.spawn_later(down_s, self._return_from_crash)

    def _return_from_crash(self) -> None:
        if self.worker_settings.renamed_by_crash:
            self.registered_id = f"{self.worker_settings.worker_id}-{self.crashes}"
        self.start_incarnation(self.table.switches)
        self.is_down = False

    @property
    def is_registered(self) -> bool:
        """Return whether the worker's entry in the store is renewed."""
        return not self.is_down and not self.table.switches.unregistered

    def application(self) -> Bottle:
        """Return the worker's HTTP interface."""
        app = Bottle()
        app.post("/run-start", callback=self._start)
        app.post("/run-stop", callback=self._stop)
        app.post("/hold", callback=self._renew)
        return app

    def entry(self, service: str) -> dict:
        """Return the worker's entry in the store's table ``servers``."""
        settings, table = self.worker_settings, self.table
        return {
            "service": service,
            "addr": settings.advertised,
            "zone": settings.zone,
            "version": "1",
            "slots": 8,
            "state": "draining" if table.switches.draining else "ready",
            "born": table.start_wall_ms,
            "capacity": {"cpu": table.cpu_millicores(), "mem_mb": settings.memory_mb},
            "labels": ["a", f"rack-{settings.zone}"],
        }

    def _write_history(self, event: str, **fields: object) -> None:
        line = {
            "event": event,
            "at_ms": self.clock.now_ms(),
            "worker": self.worker_settings.worker_id,
            **fields,
        }
        self.history.write(json.dumps(line) + "\n")
        self.history.flush()

    def _start(self) -> HTTPResponse:
        table, order = self.table, request.json
        if self._is_misdirected():
            return self._response(421)
        if table.switches.late_orders:
            remaining = table.switches.late_orders - 1
            table.switches = evolve(table.switches, late_orders=remaining)
            delay_s = table.switches.late_ms / MS_PER_S
            gevent.spawn_later(delay_s, table.start, order)
            gevent.sleep(delay_s)
            drop_connection()
        reason = table.start(order)
        return self._response(409, reason=reason) if reason else self._response(200)

    def _stop(self) -> HTTPResponse:
        if self._is_misdirected():
            return self._response(421)
        table, order = self.table, request.json
        if table.switches.lost_stops:
            remaining = table.switches.lost_stops - 1
            table.switches = evolve(table.switches, lost_stops=remaining)
            drop_connection()
        if not self.table.accept_token(order["fencing_token"]):
            return self._response(409, reason="fence")
        self.table.stop(order["task"], order["attempt"])
        return self._response(200)

    def _renew(self) -> HTTPResponse:
        table, order = self.table, request.json
        if self._is_misdirected():
            return self._response(421)
        if not table.accept_token(order["fencing_token"]):
            return self._response(409, reason="fence")
        table.enforce_lease()
        table.extend_lease(order.get("until_ms"))
        table.discard_acknowledged(order["last_seen"])
        wait_ms = min(order.get("wait_ms", 0), RENEWAL_WAIT_MAX_MS)
        if wait_ms and not table.finished_runs:
            table.run_finished.wait(wait_ms / MS_PER_S)
        if table is not self.table or self.is_down:
            drop_connection()
        table.enforce_lease()
        running = [
            [run.task, run.attempt, "", run.percent] for run in table.runs.values()
        ]
        finished = table.finished_runs[:FINISHED_RUNS_MAX]
        return self._response(200, running=running, finished=finished)

    def _is_misdirected(self) -> bool:
        """Return whether a request is for another incarnation; drop it while down."""
        if self.is_down:
            drop_connection()
        return request.get_header("Expect-Instance") != self.registered_id

    def _response(self, status: int, **fields: object) -> HTTPResponse:
        table = self.table
        document = {"clock_ms": table.clock_ms(), "born": table.start_wall_ms, **fields}
        headers = {"Content-Type": "application/json"}
        return HTTPResponse(json.dumps(document), status, headers=headers)


@define(eq=False)
class Pool:
    """All workers of one process."""

    settings: PoolSettings
    workers_by_id: dict[str, StandinWorker]

    def control_application(self) -> Bottle:
        """Return the HTTP interface for the test harness, on the control address."""
        app = Bottle()
        app.post("/workers/<worker_id>/switches", callback=self._set_switches)
        app.post("/workers/<worker_id>/crash", callback=self._crash)
        return app

    def register(self) -> None:
        """Write the workers' entries to the store at each heartbeat; never returns."""
        http = PoolManager(retries=False, timeout=1.0)
        url = f"http://{self.settings.store}/standin/rows"
        headers = {"Content-Type": "application/json"}
        while True:
            rows = [
                self._row(worker)
                for worker in self.workers_by_id.values()
                if worker.is_registered
            ]
            try:
                http.request("POST", url, body=json.dumps(rows), headers=headers)
            except HTTPError as error:
                print(f"could not register workers: {error}", flush=True)
            gevent.sleep(HEARTBEAT_MS / MS_PER_S)

    def _row(self, worker: StandinWorker) -> dict:
        entry = json.dumps(worker.entry(self.settings.service))
        return {
            "table": "servers",
            "key": worker.registered_id,
            "value": b64encode(entry.encode()).decode(),
            "ttl_ms": ENTRY_TTL_MS,
        }

    def _set_switches(self, worker_id: str) -> dict:
        table = self.workers_by_id[worker_id].table
        table.set_switches(evolve(table.switches, **request.json))
        return asdict(table.switches)

    def _crash(self, worker_id: str) -> dict:
        self.workers_by_id[worker_id].crash()
        return {}


def run(settings: str) -> None:
    """Run worker stand-ins until terminated.

    Args:
        settings: a JSON file with the fields of ``PoolSettings``.
    """
    pool_settings = Converter().structure(
        json.loads(Path(settings).read_text()), PoolSettings
    )
    clock = SystemClock()
    with ExitStack() as stack:
        history = stack.enter_context(Path(pool_settings.history).open("a"))
        workers_by_id = {
            worker_settings.worker_id: StandinWorker(worker_settings, clock, history)
            for worker_settings in pool_settings.workers
        }
        pool = Pool(pool_settings, workers_by_id)
        for worker in workers_by_id.values():
            listen = worker.worker_settings.listen
            stack.enter_context(serving_at(listen, worker.application()))
        stack.enter_context(
            serving_at(pool_settings.control, pool.control_application())
        )
        pool.register()


if __name__ == "__main__":
    Fire(run)
