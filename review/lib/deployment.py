"""A small deployment: the project's daemons as processes, and stand-ins around them.

The daemons are started with the command of ``deploy/system.toml``. All addresses are
in one free loopback network 127.N.
"""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import tomllib
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

from http_io import serve
from platform_standins import Record, Store, Worker, is_ready
from relay import Cuts, Relay

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("adum", "bantama", "asokwa")
HOST, PREFIX = "desk.example", "/jobs/"
CLIENTS_PORT, READY_PORT, PEER_PORT = 8161, 8167, 7720
STORE_PORT, WORKER_PORT = 8169, 9000
# The project's soak reserves its networks by the same port.
LOCK_PORT = 8170
# The bounds of the site that the cases name.
CANCEL_MS, STOP_MS, CONTACT_MS, RESEND_MS = 3_000, 50, 3_000, 1_300
BOUNDS = {
    "contact_ms": CONTACT_MS,
    "drain_ms": 2_000,
    "grace_s": 6,
    "config_apply_ms": 2_000,
    "max_skew_ms": 5_000,
    "hold_max_ms": 1_000,
    "stop_ms": STOP_MS,
    "cancel_ms": CANCEL_MS,
    "remote_factor": 3,
    "resend_ms": RESEND_MS,
}
READY_TIMEOUT_S = 25
LENGTH_MAX_S = 115
# All daemons that were started, to be ended with this process.
STARTED: list = []


class NotRunError(Exception):
    """The case could not run."""


@dataclass
class Daemon:
    """One daemon of the project, as a process."""

    name: str
    zone: str
    ip: str
    folder: Path
    command: list[str]
    settings: dict
    process: subprocess.Popen | None = None
    logs: list[Path] = field(default_factory=list)

    @property
    def clients_address(self) -> str:
        """Return the address that clients connect to."""
        return f"{self.ip}:{CLIENTS_PORT}"

    @property
    def ready_address(self) -> str:
        """Return the address of the readiness check."""
        return f"{self.ip}:{READY_PORT}"

    def start(self) -> None:
        """Start the process with its settings file."""
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings))
        self.logs.append(self.folder / f"{self.name}.{len(self.logs)}.log")
        variables = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        variables["RATTANLOOM_SETTINGS"] = str(path)
        variables["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self.logs[-1].open("wb") as log:
            STARTED.append(self)
            self.process = subprocess.Popen(
                self.command, cwd=ROOT, env=variables, stdout=log, stderr=log
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process that was started here."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """End the process, if it was started."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


@dataclass
class Deployment:
    """The running processes and stand-ins."""

    network: str
    folder: Path
    record: Record
    store: Store
    daemons: list[Daemon]
    workers: list[Worker]
    cuts: Cuts = field(default_factory=Cuts)

    async def relay_peers(self) -> None:
        """Put a relay in front of each daemon's port for its peers."""
        for daemon in self.daemons:
            relay_ip = daemon.ip.replace(f"{self.network}.", f"{self.network}.10", 1)
            daemon.settings["advertised_peer"] = f"{relay_ip}:{PEER_PORT}"
            await Relay(relay_ip, daemon.ip, PEER_PORT, self.cuts).start()

    async def cut_off(self, daemon: Daemon, seconds: float) -> None:
        """Cut a daemon off from the other daemons and the store, silently."""
        self.record.add("cut_off", daemon=daemon.name)
        self.cuts.begin(daemon.ip)
        self.store.cut_off.add(daemon.ip)
        await asyncio.sleep(seconds)
        self.store.cut_off.clear()
        self.cuts.end()
        self.record.add("cut_ended", daemon=daemon.name)

    async def write_configuration(self, version: int, guards: bool = True) -> None:
        """Write the operator's configuration with one queue."""
        route = {
            "name": "queue",
            "host": HOST,
            "path_prefix": PREFIX,
            "service": "desk",
            "priority": 1,
            "max_attempts": 3,
            "slack_factor": 1.6,
            "target_latency_ms": 60,
            "timeout_ms": 10_000,
        }
        await self.store.write(
            "op",
            "config",
            {
                "version": version,
                "routes": [route],
                "services": [{"name": "desk", "admission_control": guards}],
                "limits": {},
            },
        )

    async def await_ready(self) -> None:
        """Wait until all daemons are ready."""
        for _ in range(READY_TIMEOUT_S * 10):
            if all([await is_ready(daemon.ready_address) for daemon in self.daemons]):
                return
            await asyncio.sleep(0.1)
        raise NotRunError("a daemon is not ready")

    async def restart(self, daemon: Daemon) -> None:
        """Restart a daemon as planned work, and wait until all are ready."""
        self.record.add("planned_restart", daemon=daemon.name)
        daemon.signal(signal.SIGTERM)
        for _ in range(BOUNDS["grace_s"] * 20):
            await asyncio.sleep(0.05)
            if daemon.process.poll() is not None:
                break
        daemon.end()
        daemon.start()
        await self.await_ready()

    def owner(self, zone: str = ZONES[0]) -> Daemon:
        """Return the daemon that the store names as the owner of a zone."""
        document = self.store.read("rattanloom", f"zone/{zone}") or {}
        found = [one for one in self.daemons if one.name == document.get("owner")]
        if not found:
            raise NotRunError("no owner is recorded")
        return found[0]


def run_command() -> list[str]:
    """Return the command of the deploy file; its interpreter is this one's version."""
    document = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return document["roles"]["dispatcher"]["run"].split(" ")


def reserve_network() -> tuple[str, socket.socket]:
    """Return a free loopback network 127.N, and the socket that reserves it."""
    for number in random.sample(range(20, 250), 200):
        lock = socket.socket()
        try:
            lock.bind((f"127.{number}.255.1", LOCK_PORT))
        except OSError:
            lock.close()
            continue
        return f"127.{number}", lock
    raise NotRunError("no loopback network is free")


@asynccontextmanager
async def running(
    record_path: Path,
    daemons_per_zone: tuple[int, ...] = (1, 1, 1),
    workers_per_zone: int = 2,
    cpu: int = 32_000,
    start: bool = True,
) -> AsyncIterator[Deployment]:
    """Run a deployment for the duration of the block."""
    if not (ROOT / "target" / "deps").is_dir():
        raise NotRunError("target/deps is missing: run the build of the deploy file")
    network, lock = reserve_network()
    record = Record(str(record_path))
    with tempfile.TemporaryDirectory(prefix="review-") as name:
        store = Store()
        await serve(f"{network}.254.1", STORE_PORT, store.handle)
        deployment = Deployment(
            network,
            Path(name),
            record,
            store,
            _make_daemons(network, Path(name), daemons_per_zone),
            _make_workers(network, store, record, workers_per_zone, cpu),
        )
        try:
            await deployment.write_configuration(1)
            await deployment.relay_peers()
            for worker in deployment.workers:
                await worker.start()
            if start:
                for daemon in deployment.daemons:
                    daemon.start()
                await deployment.await_ready()
            yield deployment
        finally:
            for daemon in deployment.daemons:
                daemon.end()
            lock.close()


def _make_workers(
    network: str, store: Store, record: Record, per_zone: int, cpu: int
) -> list[Worker]:
    return [
        Worker(
            f"i-{index}{number}",
            zone,
            f"{network}.{200 + index}.{number}",
            WORKER_PORT,
            store,
            record,
            cpu=cpu,
            labels=("a", f"r{index}"),
        )
        for index, zone in enumerate(ZONES)
        for number in range(1, per_zone + 1)
    ]


def _make_daemons(
    network: str, folder: Path, per_zone: tuple[int, ...]
) -> list[Daemon]:
    daemons = [
        _make_daemon(
            f"edge-{zone}-{number}", zone, f"{network}.{index}.{number}", folder
        )
        for index, zone in enumerate(ZONES)
        for number in range(1, per_zone[index] + 1)
    ]
    for daemon in daemons:
        daemon.settings["platform"] = {"addr": f"{network}.254.1:{STORE_PORT}"}
    return daemons


def _make_daemon(name: str, zone: str, ip: str, folder: Path) -> Daemon:
    settings = {
        "node_name": name,
        "role": "dispatcher",
        "machine_class": "edge",
        "serves": ["edge"],
        "ip": ip,
        "zone": zone,
        "region": "ashanti",
        "zones": dict.fromkeys(ZONES, "ashanti"),
        "listen": {"front": f"{ip}:{CLIENTS_PORT}", "ready": f"{ip}:{READY_PORT}"},
        "internal_ports": [PEER_PORT, PEER_PORT + 15],
        "limits": {"cpu_share": 0.537, "cores": 2, "memory_mb": 300, "max_fds": 4100},
        "heartbeat_ms": 1500,
        "bounds": BOUNDS,
        "control_mode": "invocation",
    }
    return Daemon(name, zone, ip, folder, run_command(), settings)


def job(steps: int, count: int, ms: int, cpu: int = 8_000, **step: object) -> dict:
    """Return a job that needn't be kept: a chain of steps of equal tasks."""
    spec = json.dumps({"ms": ms, "cpu": cpu})
    return {
        "spec": spec,
        "best_effort": True,
        "steps": [
            {"count": count, "cpu": cpu, "mem_mb": 64, "est_ms": ms, **step}
            | ({"after": [number - 1]} if number else {})
            for number in range(steps)
        ],
    }


def job_id() -> str:
    """Return a new job id."""
    return f"{random.getrandbits(64):016x}"


def finish(record: Record, broken: list[str]) -> int:
    """Print and record the verdict; return the exit status."""
    for reason in broken:
        print(f"broken: {reason}")
    record.add("verdict", broken=broken)
    if not broken:
        print("held")
    return 1 if broken else 0


def main(case: Callable[[], Awaitable[int]]) -> None:
    """Run a case, which returns the exit status, and exit."""
    watchdog = threading.Timer(LENGTH_MAX_S, exit_now, (2,))
    watchdog.daemon = True
    watchdog.start()

    async def run() -> None:
        try:
            status = await case()
        except Exception as error:  # only a verdict may exit with 1
            print(f"could not run: {type(error).__name__}: {error}")
            status = 2
        exit_now(status)

    asyncio.run(run())


def exit_now(status: int) -> None:
    """End all daemons and this process, without closing its open connections."""
    for daemon in STARTED:
        daemon.end()
    sys.stdout.flush()
    os._exit(status)
