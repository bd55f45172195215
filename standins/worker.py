"""Stand-in for a worker (target) of the stand-alone version.

``python -m standins.worker --help`` explains its use. Serves ``targets.protocol`` over
HTTP; ``POST /switches`` injects faults and ``GET /v1/starts`` returns the start log.
"""

if __name__ == "__main__":
    from gevent import monkey

    monkey.patch_all()

import json
import os
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from socket import SHUT_RDWR

import gevent
from attrs import asdict, define, evolve, field
from bottle import Bottle, HTTPError, request, response
from cattrs import Converter
from fire import Fire
from gevent.event import Event
from gevent.pool import Pool
from gevent.pywsgi import WSGIServer

from rattanloom.clock import MS_PER_S, Clock, SystemClock
from rattanloom.logs import get_log, logging_to
from rattanloom.status import ExitStatus
from rattanloom.targets.protocol import Attempt, AttemptReply
from standins.handler import NoDelayHandler
from standins.worker_attempts import AttemptSwitches, AttemptTable

log = get_log("worker")

# Key of the connection handler in the WSGI environment.
CONNECTION_KEY = "rattanloom.connection"
# Time for the response before the switch ``die`` ends the process.
EXIT_DELAY_MS = 5.0
CONVERTER = Converter()
STRICT_CONVERTER = Converter(forbid_extra_keys=True)


class ConnectionHandler(NoDelayHandler):
    """Serves one connection; its requests get no response once it is ``silent``."""

    silent: bool = False

    def get_environ(self) -> dict:
        """Return the WSGI environment with this handler added."""
        environ = super().get_environ()
        environ[CONNECTION_KEY] = self
        return environ

    def handle(self) -> None:
        """Serve the connection, listed in ``server.connections`` while it is open."""
        self.server.connections.add(self)
        try:
            super().handle()
        finally:
            self.server.connections.discard(self)


class WorkerServer(WSGIServer):
    """Keeps the set of its open connections."""

    handler_class = ConnectionHandler

    def __init__(self, *args: object, **options: object) -> None:
        """Pass all arguments on to ``WSGIServer``."""
        super().__init__(*args, **options)
        self.connections: set[ConnectionHandler] = set()


@define(eq=False)
class Worker:
    """One stand-in worker.

    The switch ``die`` calls ``exit_process``. ``_resumed`` is cleared while the switch
    ``stall`` is on.
    """

    name: str
    zone: str
    slots: int = 8
    connections_max: int = 64
    accelerator: bool = False
    clock: Clock = field(factory=SystemClock)
    exit_process: Callable[[], None] = lambda: None
    attempts: AttemptTable = field(init=False)
    server: WorkerServer | None = None
    _resumed: Event = field(factory=Event)

    def __attrs_post_init__(self) -> None:
        self.attempts = AttemptTable(self.clock, self.slots, self.accelerator)
        self._resumed.set()

    def application(self) -> Bottle:
        """Return the worker's HTTP interface."""
        app = Bottle()
        app.post("/v1/attempts/<attempt_id>", callback=self._start)
        app.get("/v1/attempts/<attempt_id>", callback=self._get_attempt)
        app.delete("/v1/attempts/<attempt_id>", callback=self._stop)
        app.get("/v1/worker", callback=self._probe)
        app.get("/v1/starts", callback=self._get_starts)
        app.get("/switches", callback=self._get_switches)
        app.post("/switches", callback=self._set_switches)
        return app

    def set_switches(self, document: dict) -> AttemptSwitches:
        """Set the given switches and keep the others; raise for unknown names.

        ``silent`` applies, permanently, only to the connections that are open now.
        """
        merged = {**asdict(self.attempts.switches), **document}
        switches = STRICT_CONVERTER.structure(merged, AttemptSwitches)
        self.attempts.switches = evolve(switches, silent=False)
        if switches.silent:
            self._silence_connections()
        if switches.stall:
            self._resumed.clear()
        else:
            self._resumed.set()
        if switches.die:
            gevent.spawn_later(EXIT_DELAY_MS / MS_PER_S, self.exit_process)
        return switches

    def _silence_connections(self) -> None:
        for connection in self.server.connections if self.server else ():
            connection.silent = True

    def _start(self, attempt_id: str) -> dict:
        received_ms = self.clock.now_ms()
        self._apply_request_faults()
        if self.attempts.switches.close_before:
            _close_connection()
            return {}
        attempt = CONVERTER.structure(request.json, Attempt)
        if attempt.attempt_id != attempt_id:
            raise HTTPError(400, "attempt_id differs between path and body")
        reply = self.attempts.start(attempt, received_ms)
        if self.attempts.switches.close_after:
            _close_connection()
        return self._response(reply)

    def _get_attempt(self, attempt_id: str) -> dict:
        self._apply_request_faults()
        wait_ms = float(request.query.get("wait_ms", "0"))
        return self._response(self.attempts.look_up(attempt_id, wait_ms))

    def _stop(self, attempt_id: str) -> dict:
        self._apply_request_faults()
        return self._response(self.attempts.stop(attempt_id))

    def _probe(self) -> dict:
        self._apply_request_faults()
        return self._response(self.attempts.probe())

    def _get_starts(self) -> str:
        response.content_type = "application/json"
        return json.dumps([asdict(start) for start in self.attempts.starts])

    def _get_switches(self) -> dict:
        return asdict(self.attempts.switches)

    def _set_switches(self) -> dict:
        try:
            return asdict(self.set_switches(request.json))
        except Exception as error:
            raise HTTPError(400, f"unknown or malformed switch: {error}") from error

    def _apply_request_faults(self) -> None:
        self._hang_if_silent()
        gevent.sleep(self.attempts.switches.latency_ms / MS_PER_S)
        self._resumed.wait()

    def _response(self, reply: AttemptReply) -> dict:
        self._resumed.wait()
        gevent.sleep(self.attempts.switches.latency_ms / MS_PER_S)
        self._hang_if_silent()
        return CONVERTER.unstructure(reply)

    def _hang_if_silent(self) -> None:
        """Never return if the connection of the current request is silent."""
        if request.environ[CONNECTION_KEY].silent:
            Event().wait()


def _close_connection() -> None:
    """Close the connection of the current request."""
    request.environ[CONNECTION_KEY].socket.shutdown(SHUT_RDWR)


@contextmanager
def serving(worker: Worker, address: str) -> Iterator[WorkerServer]:
    """Serve a worker on ``address`` (``host:port``) for the duration of the block."""
    host, _, port = address.rpartition(":")
    server = WorkerServer(
        (host, int(port)),
        worker.application(),
        spawn=Pool(worker.connections_max),
        log=None,
        error_log=None,
    )
    worker.server = server
    server.start()
    try:
        yield server
    finally:
        server.stop(timeout=0)
        worker.attempts.stop_all()


def run(
    name: str,
    zone: str,
    address: str,
    slots: int = 8,
    connections: int = 64,
    accelerator: bool = False,
) -> None:
    """Run one stand-in worker until it is terminated.

    Args:
        name: the worker's name, as in the platform's host list.
        zone: the worker's availability zone.
        address: the host:port to serve on.
        slots: how many tasks of size 1 the worker runs at once.
        connections: how many connections the worker accepts at once.
        accelerator: whether the worker has an accelerator.
    """
    worker = Worker(
        str(name),
        str(zone),
        slots,
        connections,
        accelerator,
        exit_process=lambda: os._exit(ExitStatus.ERROR),
    )
    with logging_to(), serving(worker, address):
        log.info("{} serves {} slots on {}", name, slots, address)
        Event().wait()


if __name__ == "__main__":
    Fire(run)
