"""A small deployment on loopback: the project's daemons and stand-ins around them.

The store, the workers and the clients are asyncio tasks of this process and speak the
users' pages. The daemons are processes, started with the command of the deploy file.
Needs nothing but the standard library.
"""

import asyncio
import base64
import json
import os
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
from contextlib import suppress
from http import HTTPStatus
from pathlib import Path

from relay import Cuts, Relay

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("adum", "bantama", "asokwa")
SERVICE = "commissions-desk"
HOST = "desk.example"
PREFIX = "/jobs/"
FRONT_PORT, READY_PORT, PEER_PORT, STORE_PORT = 8161, 8167, 7720, 8169
LOCK_PORT = 8170
HEARTBEAT_MS = 1_500
STORE_LATENCY_S = 0.004
HOLD_MAX_MS = 1_000
STOP_S = 0.02
READY_TIMEOUT_S = 30


def now_ms() -> float:
    """Return the steady clock of this process in ms."""
    return time.monotonic() * 1_000


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, path: Path):
        self._file = path.open("w")
        self._started_ms = now_ms()

    def write(self, text: str) -> None:
        """Write a line with the time since the start."""
        line = f"{(now_ms() - self._started_ms) / 1_000:8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers of a message; their names in lower case."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = dict(line.split(":", 1) for line in lines[1:] if ":" in line)
    return lines[0], {name.lower(): value.strip() for name, value in headers.items()}


class HttpServer:
    """Serves HTTP/1.1 with keep-alive; ``handle`` returns status and document.

    A handler that returns None leaves the request without a response and closes the
    connection.
    """

    server: asyncio.Server | None = None

    async def listen(self, address: str) -> None:
        """Listen on ``host:port``."""
        host, port = address.split(":")
        self.server = await asyncio.start_server(self._serve, host, int(port))
        self.writers: set[asyncio.StreamWriter] = set()

    async def handle(
        self, peer: str, method: str, target: str, headers: dict, body: bytes
    ) -> tuple[int, dict] | None:
        """Serve one request of the IP address ``peer``."""
        raise NotImplementedError

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        peer = writer.get_extra_info("peername")[0]
        try:
            while True:
                line, headers = await read_head(reader)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                method, target, _ = line.split(" ")
                reply = await self.handle(peer, method, target, headers, body)
                if reply is None:
                    return
                status, document = reply
                content = json.dumps(document).encode()
                head = (
                    f"HTTP/1.1 {status} {HTTPStatus(status).phrase}\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(content)}\r\n\r\n"
                )
                writer.write(head.encode() + content)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self.writers):
            with suppress(OSError):
                writer.transport.abort()


class Store(HttpServer):
    """The platform's store: versioned rows, transactions, reads and the feed."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], tuple[int, str | None]] = {}
        self.version = 0
        self.down_for: set[str] = set()
        self.changed = asyncio.Event()

    def write(self, table: str, key: str, document: dict | None) -> None:
        """Write or remove a row as the platform or the operator."""
        value = None
        if document is not None:
            value = base64.b64encode(json.dumps(document).encode()).decode()
        self._apply([(table, key, value)])

    def _apply(self, changes: list[tuple[str, str, str | None]]) -> None:
        self.version += 1
        for table, key, value in changes:
            self.rows[table, key] = (self.version, value)
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(
        self, peer: str, method: str, target: str, headers: dict, body: bytes
    ) -> tuple[int, dict] | None:
        """Serve a call; a daemon that the store turns away gets 503."""
        await asyncio.sleep(STORE_LATENCY_S)
        if peer in self.down_for:
            return 503, {}
        path, _, query = target.partition("?")
        fields = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        if path == "/rows-tx":
            return self._transact(json.loads(body))
        if path == "/rows-get":
            return 200, self._document(fields["table"], 0, deleted=False)
        if path == "/rows-feed":
            return await self._feed(peer, fields)
        return 404, {}

    def _transact(self, call: dict) -> tuple[int, dict]:
        differing = []
        for row in call.get("expected_rev", ()):
            version, value = self.rows.get((row["table"], row["key"]), (0, None))
            if row["row_version"] != (0 if value is None else version):
                differing.append((row["table"], row["key"]))
        if differing:
            rows = [self._row(ref) for ref in differing if self.rows.get(ref)]
            return 412, {"rows": rows, "row_version": self.version}
        writes = [(r["table"], r["key"], r["value"]) for r in call.get("writes", ())]
        writes += [(r["table"], r["key"], None) for r in call.get("remove", ())]
        self._apply(writes)
        return 200, {"row_version": self.version, "now_ms": int(now_ms())}

    async def _feed(self, peer: str, fields: dict) -> tuple[int, dict]:
        after, table = int(fields["after"]), fields["table"]
        until_ms = now_ms() + int(fields.get("wait_ms", 0))
        while True:
            document = self._document(table, after, deleted=True)
            left_s = (until_ms - now_ms()) / 1_000
            if peer in self.down_for:
                return 503, {}
            if document["rows"] or left_s <= 0:
                return 200, document
            with suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left_s)

    def _document(self, table: str, after: int, deleted: bool) -> dict:
        refs = [
            ref
            for ref, (version, value) in self.rows.items()
            if ref[0] == table and version > after and (deleted or value is not None)
        ]
        refs.sort(key=lambda ref: self.rows[ref][0] if deleted else ref[1])
        return {
            "rows": [self._row(ref) for ref in refs],
            "row_version": self.version,
            "now_ms": int(now_ms()),
            "has_more": False,
        }

    def _row(self, ref: tuple[str, str]) -> dict:
        version, value = self.rows[ref]
        row = {"table": ref[0], "part": "", "key": ref[1], "row_version": version}
        return row | ({"deleted": True} if value is None else {"value": value})


class Run:
    """A run on a worker; its length is in the ``spec``."""

    def __init__(self, task: str, attempt: int, spec: str):
        self.task, self.attempt, self.spec = task, attempt, spec
        self.length_ms = json.loads(spec)["ms"]
        self.cpu = json.loads(spec).get("cpu", 1_000)
        self.started_ms = now_ms()

    @property
    def percent(self) -> int:
        """Return the progress."""
        done = (now_ms() - self.started_ms) / self.length_ms
        return min(99, int(100 * done))


class Worker(HttpServer):
    """One worker that guards its capacity, with lease, fencing and list of ends."""

    def __init__(self, name: str, zone: str, address: str, record: Record, cpu: int):
        self.name, self.zone, self.address, self.record = name, zone, address, record
        self.cpu = cpu
        self.history: list[dict] = []
        self.begin()

    def begin(self) -> None:
        """Begin a life that knows nothing of the one before."""
        self.born = int(time.time() * 1_000)
        self.token = 0
        self.lease_until_ms = 0.0
        self.runs: dict[tuple[str, int], Run] = {}
        self.ends: list[list] = []
        self.last_number = 0
        self.stopped: dict[str, int] = {}
        self.ended = asyncio.Event()

    def clock_ms(self) -> int:
        """Return the worker's own clock."""
        return int(now_ms())

    def entry(self) -> dict:
        """Return the entry in the table ``servers``."""
        return {
            "service": SERVICE,
            "addr": self.address,
            "zone": self.zone,
            "version": "1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "born": self.born,
            "capacity": {"cpu": self.cpu, "mem_mb": 65_536},
            "labels": ["a", f"r-{self.zone}"],
        }

    async def handle(
        self, peer: str, method: str, target: str, headers: dict, body: bytes
    ) -> tuple[int, dict] | None:
        """Serve an order."""
        if headers.get("expect-instance", self.name) != self.name:
            return 421, self._say()
        order = json.loads(body)
        if order.get("fencing_token", 0) < self.token:
            return 409, self._say(reason="fence")
        self.token = order.get("fencing_token", 0)
        if target == "/run-start":
            reason = self.start(order, peer)
            return (409, self._say(reason=reason)) if reason else (200, self._say())
        if target == "/run-stop":
            self.stop(order["task"], order["attempt"])
            return 200, self._say()
        return await self._hold(order)

    def start(self, order: dict, peer: str) -> str:
        """Start a run; return the reason if it is rejected."""
        self.check_lease()
        task, attempt = order["task"], order["attempt"]
        if order["until_ms"] <= self.clock_ms():
            return "late"
        self._extend(order["until_ms"])
        if (task, attempt) in self.runs:
            return ""
        if attempt <= self.stopped.get(task, 0):
            return "old"
        run = Run(task, attempt, order["spec"])
        if run.cpu + sum(other.cpu for other in self.runs.values()) > self.cpu:
            return "room"
        self.runs[task, attempt] = run
        self._note("start", run, by=peer)
        asyncio.get_running_loop().call_later(
            run.length_ms / 1_000, self._finish, run, "done"
        )
        return ""

    def stop(self, task: str, attempt: int) -> None:
        """Stop a run, and reject attempts that are not higher."""
        self.stopped[task] = max(attempt, self.stopped.get(task, 0))
        run = self.runs.get((task, attempt))
        if run is not None:
            asyncio.get_running_loop().call_later(STOP_S, self._finish, run, "stopped")

    async def _hold(self, order: dict) -> tuple[int, dict]:
        self.check_lease()
        if "until_ms" in order:
            self._extend(order["until_ms"])
        self.ends = [end for end in self.ends if end[0] > order["last_seen"]]
        wait_ms = min(order.get("wait_ms", 0), 2_000)
        until_ms = now_ms() + wait_ms
        while not self.ends and now_ms() < until_ms:
            with suppress(TimeoutError):
                left_s = (until_ms - now_ms()) / 1_000
                await asyncio.wait_for(self.ended.wait(), left_s)
            self.check_lease()
        running = [
            [run.task, run.attempt, "", run.percent, run.cpu]
            for run in self.runs.values()
        ]
        return 200, self._say(running=running, finished=self.ends[:500])

    def _extend(self, until_ms: float) -> None:
        longest_ms = self.clock_ms() + HOLD_MAX_MS
        self.lease_until_ms = max(self.lease_until_ms, min(until_ms, longest_ms))

    def check_lease(self) -> None:
        """End everything once the lease has expired."""
        if self.clock_ms() > self.lease_until_ms:
            for run in list(self.runs.values()):
                self._finish(run, "lapsed")

    async def watch_lease(self) -> None:
        """Check the lease forever."""
        while True:
            self.check_lease()
            await asyncio.sleep(0.01)

    def crash(self) -> None:
        """End the life: runs and lists are lost, connections are reset."""
        for run in list(self.runs.values()):
            del self.runs[run.task, run.attempt]
            self._note("end", run, how="crashed")
        self.begin()
        self.reset()

    def _finish(self, run: Run, how: str) -> None:
        if self.runs.get((run.task, run.attempt)) is not run:
            return
        del self.runs[run.task, run.attempt]
        self.stopped[run.task] = max(run.attempt, self.stopped.get(run.task, 0))
        self.last_number += 1
        self.ends.append([self.last_number, run.task, run.attempt, how, ""])
        self._note("end", run, how=how)
        self.ended.set()
        self.ended = asyncio.Event()

    def _note(self, event: str, run: Run, **fields: str) -> None:
        entry = {"event": event, "at_ms": now_ms(), "worker": self.name}
        entry |= {"task": run.task, "attempt": run.attempt, "spec": run.spec, **fields}
        self.history.append(entry)
        extra = " ".join(f"{name}={value}" for name, value in fields.items())
        self.record.write(
            f"worker {self.name} {event} {run.task} run {run.attempt} {extra}"
        )

    def _say(self, **fields: object) -> dict:
        return {"clock_ms": self.clock_ms(), "born": self.born, **fields}


class Daemon:
    """A process of the project, with its settings file."""

    def __init__(self, name: str, zone: str, ip: str, folder: Path, store: str):
        self.name, self.zone, self.ip = name, zone, ip
        self.path, self.log = folder / f"{name}.json", folder / f"{name}.log"
        self.settings = {
            "node_name": name,
            "role": "dispatcher",
            "machine_class": "edge",
            "serves": ["edge"],
            "ip": ip,
            "zone": zone,
            "region": "ashanti",
            "zones": dict.fromkeys(ZONES, "ashanti"),
            "listen": {"front": f"{ip}:{FRONT_PORT}", "ready": f"{ip}:{READY_PORT}"},
            "internal_ports": [PEER_PORT, PEER_PORT + 15],
            "limits": {
                "cpu_share": 0.537,
                "cores": 2,
                "memory_mb": 300,
                "max_fds": 4100,
            },
            "heartbeat_ms": HEARTBEAT_MS,
            "bounds": {
                "contact_ms": 3000,
                "hold_max_ms": HOLD_MAX_MS,
                "grace_s": 6,
                "config_apply_ms": 2000,
                "max_skew_ms": 5000,
                "remote_factor": 3,
                "resend_ms": 1300,
            },
            "platform": {"addr": store, "form": "table", "tx_ms": 4.0},
        }
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        self.path.write_text(json.dumps(self.settings))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["dispatcher"]["run"])
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["RATTANLOOM_SETTINGS"] = str(self.path)
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """End the process at once."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def is_ready(self) -> bool:
        """Return whether the readiness check succeeds."""
        reply = await call(f"{self.ip}:{READY_PORT}", "GET", "/readyz", timeout_s=0.5)
        return reply[0] == 200


async def call(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = 10,
) -> tuple[int, bytes]:
    """Send a request on a new connection; status 0 stands for no response."""
    host, port = address.split(":")
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                lines = {"Host": HOST, "Content-Type": "application/json"}
                lines |= {"Content-Length": str(len(body)), **(headers or {})}
                head = "".join(f"{name}: {lines[name]}\r\n" for name in lines)
                writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body)
                line, received = await read_head(reader)
                length = int(received.get("content-length", 0))
                return int(line.split(" ")[1]), await reader.readexactly(length)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, b""


class Deployment:
    """Three zones with daemons and workers, and the store."""

    def __init__(self, record: Record, daemons: int = 1, workers: int = 2, cpu=32_000):
        self.record, self.folder = record, Path(tempfile.mkdtemp(prefix="review-"))
        self.network, self._lock = _reserve_network()
        self.store = Store()
        self.store_address = f"{self.network}.254.1:{STORE_PORT}"
        self.daemons = {
            f"edge-{zone}-{number}": Daemon(
                f"edge-{zone}-{number}",
                zone,
                f"{self.network}.{index}.{number}",
                self.folder,
                self.store_address,
            )
            for index, zone in enumerate(ZONES)
            for number in range(1, daemons + 1)
        }
        self.workers = {
            f"i-{zone}-{number}": Worker(
                f"i-{zone}-{number}",
                zone,
                f"{self.network}.{200 + index}.1:{9_000 + number}",
                record,
                cpu,
            )
            for index, zone in enumerate(ZONES)
            for number in range(1, workers + 1)
        }
        self.registered = set(self.workers)
        self.cuts = Cuts()
        self.relays = [
            relay for daemon in self.daemons.values() for relay in self._relays(daemon)
        ]
        self.config_version = 0
        self._tasks: list[asyncio.Task] = []

    def _relays(self, daemon: Daemon) -> list[Relay]:
        """Put a relay before a daemon's links and one before its calls to the store."""
        zone, number = daemon.ip.split(".")[2:]
        outer = f"{self.network}.{100 + int(zone)}.{number}"
        listen = f"{daemon.ip}:{PEER_PORT}"
        daemon.settings["advertised_peer"] = f"{outer}:{PEER_PORT}"
        daemon.settings["platform"]["addr"] = f"{outer}:{STORE_PORT}"
        return [
            Relay(f"{outer}:{PEER_PORT}", listen, daemon.ip, self.cuts),
            Relay(f"{outer}:{STORE_PORT}", self.store_address, "store", self.cuts),
        ]

    async def start(self) -> None:
        """Start everything and wait until all daemons are ready."""
        await self.store.listen(self.store_address)
        for relay in self.relays:
            await relay.start()
        self.configure()
        for worker in self.workers.values():
            await worker.listen(worker.address)
            self._tasks.append(asyncio.create_task(worker.watch_lease()))
        self.register()
        self._tasks.append(asyncio.create_task(self._heartbeat()))
        await asyncio.gather(*(daemon.start() for daemon in self.daemons.values()))
        await self.until_ready()

    def configure(self, prefixes: tuple[str, ...] = (PREFIX,), **policy: object) -> int:
        """Write the next version of the config."""
        self.config_version += 1
        routes = [
            {
                "name": f"q{number}",
                "host": HOST,
                "path_prefix": prefix,
                "service": SERVICE,
                "priority": 1,
                "max_attempts": 3,
                "slack_factor": 1.6,
                "target_latency_ms": 60,
                "timeout_ms": 1500,
                **policy,
            }
            for number, prefix in enumerate(prefixes)
        ]
        document = {
            "version": self.config_version,
            "routes": routes,
            "services": [{"name": SERVICE, "admission_control": True}],
            "limits": {},
        }
        self.store.write("op", "config", document)
        return self.config_version

    def register(self) -> None:
        """Write the entries of all workers that are registered."""
        for name in sorted(self.registered):
            self.store.write("servers", name, self.workers[name].entry())

    async def _heartbeat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_MS / 1_000)
            self.register()

    async def until_ready(self) -> None:
        """Wait until all daemons are ready; raise ``TimeoutError`` if one is not."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            for daemon in self.daemons.values():
                while not await daemon.is_ready():
                    await asyncio.sleep(0.05)

    def owner(self, zone: str = ZONES[0]) -> Daemon:
        """Return the daemon that the store names as the owner of a zone."""
        _, value = self.store.rows["rattanloom", f"zone/{zone}"]
        return self.daemons[json.loads(base64.b64decode(value))["owner"]]

    def started_wall_ms(self) -> dict[str, int]:
        """Return when the registered daemons started, by name."""
        members = {
            key: json.loads(base64.b64decode(value))
            for (table, key), (_, value) in self.store.rows.items()
            if table == "rattanloom" and key.startswith("member/") and value
        }
        return {row["node"]: row["started_wall_ms"] for row in members.values()}

    def history(self) -> list[dict]:
        """Return the starts and ends of runs on all workers, by time."""
        events = [event for w in self.workers.values() for event in w.history]
        return sorted(events, key=lambda event: event["at_ms"])

    async def post(
        self,
        daemon: Daemon,
        job_id: str,
        job: dict,
        deadline_ms: int = 1_500,
        prefix: str = PREFIX,
    ) -> tuple[int, bytes]:
        """Post a job as a client; wait until its deadline."""
        body = json.dumps(job).encode()
        self.record.write(f"client POST {job_id} to {daemon.name}")
        headers = {"Deadline-Ms": str(deadline_ms)}
        reply = await call(
            f"{daemon.ip}:{FRONT_PORT}",
            "POST",
            prefix + job_id,
            body,
            headers,
            deadline_ms / 1_000,
        )
        self.record.write(f"client of {job_id} got {reply[0]} {reply[1][:200]!r}")
        return reply

    async def stop(self) -> None:
        """End all processes and servers."""
        for task in self._tasks:
            task.cancel()
        for daemon in self.daemons.values():
            daemon.signal(signal.SIGCONT)
            await daemon.kill()
        for server in (self.store, *self.workers.values(), *self.relays):
            if server.server is not None:
                server.server.close()
        for server in (self.store, *self.workers.values()):
            if server.server is not None:
                server.reset()


def _reserve_network() -> tuple[str, socket.socket]:
    """Reserve a loopback network ``127.N``, in the way in which the soak does."""
    for number in range(20, 250):
        lock = socket.socket()
        try:
            lock.bind((f"127.{number}.255.1", LOCK_PORT))
        except OSError:
            lock.close()
            continue
        return f"127.{number}", lock
    raise RuntimeError("no free loopback network")


def has_trouble() -> bool:
    """Return whether the disruption takes place."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(case, folder: Path, **size: int) -> None:
    """Run ``case(deployment, record)`` and exit: 1 if it returns a broken rule.

    Exits with 2 if it could not run.
    """

    async def main() -> int:
        record = Record(folder / "record.txt")
        record.write(f"disruption: {'yes' if has_trouble() else 'no'}")
        deployment = Deployment(record, **size)
        try:
            await deployment.start()
            record.write("all daemons are ready")
            broken = await case(deployment, record)
        except Exception as error:
            record.write(f"could not run: {type(error).__name__}: {error}")
            return 2
        finally:
            await deployment.stop()
        for line in broken:
            record.write(f"BROKEN {line}")
            print(line)
        record.write(f"result: {'broken' if broken else 'held'}")
        return 1 if broken else 0

    sys.exit(asyncio.run(main()))
