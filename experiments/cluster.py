"""Starts clusters of the stand-alone version: entry hosts, workers and a platform.

Each entry host and each stand-in is a separate process. Only demonstrations, benchmarks
and failure histories use them: the product's programs never start each other.
"""

import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator, Sequence
from contextlib import ExitStack, contextmanager
from pathlib import Path
from tempfile import TemporaryDirectory

from attrs import define, evolve, field, frozen
from urllib3 import HTTPResponse, PoolManager, Retry, Timeout
from urllib3.exceptions import HTTPError

LOOPBACK = "127.0.0.1"
TICKET_KEY = "a key for demonstrations only"
# Longest wait for a process to respond or a version to become active.
READY_WITHIN_S = 20.0
POLL_S = 0.05
HTTP_TIMEOUT_S = 5.0
# Time after SIGTERM until a process is killed.
STOP_WITHIN_S = 3.0

STUDIO_ZONES = ("Adum", "Bantama", "Asokwa")
COOP_ZONES = ("HuronShore", "SuperiorNorth", "MichiganWest")


@frozen
class ClusterLayout:
    """The zones of a cluster, and the entry hosts and workers in each zone.

    Each worker has ``slots`` for tasks and accepts up to ``connections`` connections.
    ``host_settings`` are extra fields for every entry host's settings file,
    ``worker_options`` extra options for every worker stand-in.
    """

    zones: tuple[str, ...] = STUDIO_ZONES
    hosts: int = 2
    workers: int = 2
    slots: int = 8
    connections: int = 64
    host_settings: dict = field(factory=dict)
    worker_options: tuple[str, ...] = ()


@define(eq=False)
class Process:
    """One process of a cluster; signals go only to its process id."""

    name: str
    zone: str
    command: list[str]
    address: str
    log_path: Path
    peer_address: str = ""
    popen: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process with the environment variables of this one."""
        self.launch(dict(os.environ))

    def launch(self, environment: dict[str, str]) -> None:
        """Start the process; append its output to the log file."""
        with self.log_path.open("ab") as output:
            self.popen = subprocess.Popen(
                self.command, stdout=output, stderr=output, env=environment
            )

    @property
    def is_running(self) -> bool:
        """Return whether the process was started and has not exited."""
        return self.popen is not None and self.popen.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has exited."""
        if self.is_running:
            self.popen.send_signal(number)

    def kill(self) -> None:
        """Send SIGKILL and wait until the process has exited."""
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def pause(self) -> None:
        """Pause the process with SIGSTOP until ``resume``."""
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue the paused process."""
        self.signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Request a graceful stop with SIGTERM."""
        self.signal(signal.SIGTERM)

    def wait(self, within_s: float) -> int:
        """Wait up to ``within_s`` for the process to exit; return its exit status."""
        return self.popen.wait(within_s)


@define(eq=False)
class Cluster:
    """A running cluster: the platform stand-in, entry hosts and workers."""

    layout: ClusterLayout
    folder: Path
    platform: Process
    hosts: dict[str, Process]
    workers: dict[str, Process]
    http: PoolManager

    def request(
        self, address: str, method: str, path: str, document: object = None
    ) -> HTTPResponse:
        """Send one JSON request to a process's address."""
        body = None if document is None else json.dumps(document).encode()
        return self.http.request(
            method,
            f"http://{address}{path}",
            body=body,
            headers={"Content-Type": "application/json"},
        )

    def get_json(self, address: str, path: str) -> dict:
        """Return the JSON body of the response to a GET request."""
        return json.loads(self.request(address, "GET", path).data)

    def set_target_list(self, leaving: Sequence[str] = ()) -> None:
        """Replace the platform's list of targets by all workers; mark those leaving."""
        document = [
            {
                "name": worker.name,
                "zone": worker.zone,
                "address": worker.address,
                "slots": self.layout.slots,
                "connections": self.layout.connections,
                "leaving": worker.name in leaving,
            }
            for worker in self.workers.values()
        ]
        self.request(self.platform.address, "PUT", "/hosts", document)

    def switch_platform(self, **switches: object) -> None:
        """Set fault switches of the platform stand-in."""
        self.request(self.platform.address, "POST", "/switches", switches)

    def switch_worker(self, name: str, **switches: object) -> None:
        """Set fault switches of one worker stand-in."""
        self.request(self.workers[name].address, "POST", "/switches", switches)

    def publish(self, folder: Path, message: str = "set up") -> str:
        """Publish a folder of rules with the operators' client; return its output."""
        return self.run_operator_command("publish", str(folder), "--message", message)

    def run_operator_command(self, *arguments: str) -> str:
        """Run one command of the operators' client; return its output.

        Raises RuntimeError if the command fails.
        """
        command = python_command("rattanloom.operators", *arguments)
        settings = self.folder / "operator.json"
        done = subprocess.run(
            [*command, "--settings", str(settings)],
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        if done.returncode != 0:
            raise RuntimeError(
                f"operator {arguments} failed: {done.stdout}{done.stderr}"
            )
        return done.stdout

    def isolate_zone(self, zone: str, platform_too: bool = False) -> None:
        """Block traffic between a zone and the others, at the entry hosts.

        With ``platform_too``, the zone's hosts cannot reach the platform either.
        """
        machines = [*self.hosts.values(), *self.workers.values()]
        for host in self.hosts.values():
            blocked = [
                machine.peer_address or machine.address
                for machine in machines
                if (machine.zone == zone) != (host.zone == zone)
            ]
            if platform_too and host.zone == zone:
                blocked.append(self.platform.address)
            self._block(host, blocked)

    def reconnect_zones(self) -> None:
        """Remove all blocks set by ``isolate_zone``."""
        for host in self.hosts.values():
            self._block(host, [])

    def _block(self, host: Process, addresses: list[str]) -> None:
        if host.is_running:
            document = {"addresses": addresses}
            self.request(host.address, "POST", "/v1/test/blocked", document)

    def await_ready(self, within_s: float = READY_WITHIN_S) -> None:
        """Wait until every running entry host reports itself healthy."""
        running = [host for host in self.hosts.values() if host.is_running]
        for host in running:
            await_page(self.http, host, "/health", within_s)

    def await_version(self, version: int, within_s: float = READY_WITHIN_S) -> float:
        """Wait until a version is active on all running hosts; return the wait in s."""
        started_s = time.monotonic()
        for host in self.hosts.values():
            while host.is_running and self._version_of(host) < version:
                if time.monotonic() - started_s > within_s:
                    raise TimeoutError(
                        f"{host.name} did not activate version {version}"
                    )
                time.sleep(POLL_S)
        return time.monotonic() - started_s

    def _version_of(self, host: Process) -> int:
        return self.get_json(host.address, "/v1/status")["config_version"]

    def processes(self) -> list[Process]:
        """Return all processes, entry hosts last."""
        return [self.platform, *self.workers.values(), *self.hosts.values()]


@contextmanager
def running_cluster(layout: ClusterLayout) -> Iterator[Cluster]:
    """Start a cluster; stop all its processes at the end of the block."""
    with ExitStack() as stack:
        folder = Path(stack.enter_context(TemporaryDirectory(prefix="rattanloom-")))
        cluster = _build_cluster(layout, folder)
        stack.callback(stop_processes, cluster.processes())
        for process in cluster.processes()[: -1 * len(cluster.hosts)]:
            process.start()
        await_page(cluster.http, cluster.platform, "/counts", READY_WITHIN_S)
        for worker in cluster.workers.values():
            await_page(cluster.http, worker, "/v1/worker", READY_WITHIN_S)
        cluster.set_target_list()
        for host in cluster.hosts.values():
            host.start()
        yield cluster


def python_command(module: str, *arguments: str) -> list[str]:
    """Return the command that runs a module with this interpreter."""
    return [sys.executable, "-m", module, *arguments]


def await_page(http: PoolManager, process: Process, path: str, within_s: float) -> None:
    """Wait until a process responds to a GET request with status 200."""
    give_up_s = time.monotonic() + within_s
    while time.monotonic() < give_up_s:
        try:
            url = f"http://{process.address}{path}"
            if http.request("GET", url).status == 200:
                return
        except HTTPError:
            pass
        if not process.is_running:
            break
        time.sleep(POLL_S)
    raise TimeoutError(
        f"{process.name} did not serve {path}; its log: "
        f"{process.log_path.read_text()[-2000:]}"
    )


def free_addresses(count: int) -> list[str]:
    """Return loopback addresses whose ports are free for both TCP and UDP."""
    with ExitStack() as stack:
        addresses = []
        while len(addresses) < count:
            tcp = stack.enter_context(socket.socket())
            udp = stack.enter_context(socket.socket(type=socket.SOCK_DGRAM))
            tcp.bind((LOOPBACK, 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind((LOOPBACK, port))
            except OSError:
                continue
            addresses.append(f"{LOOPBACK}:{port}")
        return addresses


def _build_cluster(layout: ClusterLayout, folder: Path) -> Cluster:
    host_names = _process_names(layout.zones, "entry", layout.hosts)
    worker_names = _process_names(layout.zones, "worker", layout.workers)
    addresses = iter(free_addresses(1 + 2 * len(host_names) + len(worker_names)))
    platform_address = next(addresses)
    platform = Process(
        "platform",
        "",
        python_command("standins.platform", "--address", platform_address),
        platform_address,
        folder / "platform.log",
    )
    workers = {
        name: _make_worker(layout, folder, name, zone, next(addresses))
        for name, zone in worker_names
    }
    hosts = {
        name: _make_host(folder, name, zone, next(addresses), next(addresses))
        for name, zone in host_names
    }
    for host in hosts.values():
        _write_host_settings(layout, folder, host, hosts, platform_address)
    _write_operator_settings(folder, platform_address, hosts)
    http = PoolManager(
        retries=Retry(0, read=False, redirect=False),
        timeout=Timeout(HTTP_TIMEOUT_S),
        maxsize=16,
    )
    return Cluster(layout, folder, platform, hosts, workers, http)


def _process_names(
    zones: Sequence[str], role: str, count: int
) -> list[tuple[str, str]]:
    return [
        (f"{zone.lower()}-{role}-{number}", zone)
        for zone in zones
        for number in range(1, count + 1)
    ]


def _make_worker(
    layout: ClusterLayout, folder: Path, name: str, zone: str, address: str
) -> Process:
    command = python_command(
        "standins.worker",
        "--name",
        name,
        "--zone",
        zone,
        "--address",
        address,
        "--slots",
        str(layout.slots),
        "--connections",
        str(layout.connections),
        *layout.worker_options,
    )
    return Process(name, zone, command, address, folder / f"{name}.log")


def _make_host(
    folder: Path, name: str, zone: str, address: str, peer_address: str
) -> Process:
    command = python_command("rattanloom", str(folder / f"{name}.json"))
    log_path = folder / f"{name}.log"
    return Process(name, zone, command, address, log_path, peer_address)


def _write_host_settings(
    layout: ClusterLayout,
    folder: Path,
    host: Process,
    hosts: dict[str, Process],
    platform_address: str,
) -> None:
    seeds = [
        {"host": other.name, "zone": other.zone, "address": other.peer_address}
        for other in hosts.values()
        if other is not host
    ]
    document = {
        "host": host.name,
        "zone": host.zone,
        "http_address": host.address,
        "peer_address": host.peer_address,
        "platform_address": platform_address,
        "ticket_key": TICKET_KEY,
        "seeds": seeds,
        "test_aids": True,
        **layout.host_settings,
    }
    (folder / f"{host.name}.json").write_text(json.dumps(document, indent=1))


def _write_operator_settings(
    folder: Path, platform_address: str, hosts: dict[str, Process]
) -> None:
    document = {
        "operator": "demo",
        "platform_address": platform_address,
        "entry_addresses": {name: host.address for name, host in hosts.items()},
    }
    (folder / "operator.json").write_text(json.dumps(document, indent=1))


def stop_processes(processes: Sequence[Process]) -> None:
    """Stop all running processes; kill those still running after STOP_WITHIN_S."""
    started = [process for process in processes if process.is_running]
    for process in started:
        process.resume()
        process.terminate()
    give_up_s = time.monotonic() + STOP_WITHIN_S
    for process in started:
        try:
            process.wait(max(0.0, give_up_s - time.monotonic()))
        except subprocess.TimeoutExpired:
            process.kill()


def with_host_settings(layout: ClusterLayout, **settings: object) -> ClusterLayout:
    """Return a copy of the layout with extra fields in the hosts' settings."""
    return evolve(layout, host_settings={**layout.host_settings, **settings})
