"""Configures and starts the processes of a soak: daemons, workers and the store.

Each soak has its own loopback network 127.N. With Z for the index of a zone, its
addresses are:

- 127.N.Z.M: daemon M of the zone; 127.N.(100 + Z).M: the relays to its peer port
  and from it to the store,
- 127.N.(200 + Z).1: the zone's workers and their control interface;
  127.N.(210 + Z).1: the relays to the workers,
- 127.N.254.1: the store.
"""

import json
import os
import socket
import sys
import time
from base64 import b64encode
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory

from attrs import asdict, define, field, frozen
from urllib3 import PoolManager
from urllib3.exceptions import HTTPError

from experiments.cluster import Process, python_command, stop_processes
from rattanloom.clock import Clock, SystemClock
from rattanloom.platform.deployment import SETTINGS_VARIABLE
from soak.history import ConfigurationChange
from soak.relay import NetworkConditions, Relay, serving_all
from standins.pool import PoolSettings
from standins.run_table import WorkerSettings

ZONES = ("adum", "bantama", "asokwa")
SERVICE = "commissions-desk"
# The Host header and path prefix by which a daemon chooses the clients' queue.
ROUTE_HOST = "desk.example"
PATH_PREFIX = "/jobs/"
# Path prefixes of the queues that a change of the configuration adds.
OTHER_PREFIXES = ("/other-a/", "/other-b/")
# The platform's evacuate_ms.
EVACUATION_DELAY_MAX_MS = 5_000
# All ports are outside the kernel's range of ephemeral ports.
CLIENTS_PORT = 8161
READY_PORT = 8167
PEER_PORT = 7720
STORE_PORT = 8169
CONTROL_PORT = 8170
WORKER_PORT = 9000
READY_TIMEOUT_S = 30.0
POLL_S = 0.05
# Values of N for the networks 127.N of concurrent soaks.
NETWORK_NUMBERS = range(20, 250)
DISPATCHER = Path(__file__).parent.parent / "dispatcher.py"
ROUTE_POLICY = {"slack_factor": 1.6, "target_latency_ms": 60, "max_attempts": 3}


@frozen
class DeploymentSize:
    """The number of daemons and workers in each zone."""

    daemons: int = 2
    workers: int = 3


@define(eq=False)
class Daemon(Process):
    """A daemon's process; ``settings`` is the content of its settings file.

    ``variables`` are added to the environment of this process.
    """

    settings: dict = field(factory=dict)
    settings_path: Path = Path()
    variables: dict[str, str] = field(factory=dict)

    def start(self) -> None:
        """Write the settings file and start the process with it."""
        self.write_settings()
        settings = {SETTINGS_VARIABLE: str(self.settings_path)}
        self.launch(dict(os.environ) | settings | self.variables)

    def write_settings(self) -> None:
        """Replace the settings file atomically."""
        temporary = self.settings_path.with_suffix(".new")
        temporary.write_text(json.dumps(self.settings))
        temporary.replace(self.settings_path)


@define(eq=False)
class Deployment:
    """Processes and their relays; ``pools`` has one process of workers per zone.

    ``configurations`` has the confirmed configurations, in order.
    """

    folder: Path
    store: Process
    daemons: dict[str, Daemon]
    pools: dict[str, Process]
    workers: dict[str, WorkerSettings]
    relays: dict[str, Relay]
    conditions: NetworkConditions
    clock: Clock = field(factory=SystemClock)
    http: PoolManager = field(factory=lambda: PoolManager(retries=False, timeout=2.0))
    config_version: int = 0
    configurations: list[ConfigurationChange] = field(factory=list)

    def post(self, address: str, path: str, document: object) -> bytes:
        """Send a JSON request to a stand-in and return the body of the response.

        Raises RuntimeError for any status but 200.
        """
        headers = {"Content-Type": "application/json"}
        url = f"http://{address}{path}"
        response = self.http.request(
            "POST", url, body=json.dumps(document), headers=headers
        )
        if response.status != 200:
            raise RuntimeError(f"{url} returned status {response.status}")
        return response.data

    def switch_store(self, **switches: object) -> None:
        """Set fault switches of the store."""
        self.post(self.store.address, "/standin/switches", switches)

    def switch_worker(self, worker_id: str, **switches: object) -> None:
        """Set fault switches of one worker."""
        self._call_worker(worker_id, "switches", switches)

    def crash_worker(self, worker_id: str) -> None:
        """Make one worker drop its runs and start a new incarnation."""
        self._call_worker(worker_id, "crash", {})

    def _call_worker(self, worker_id: str, call: str, document: dict) -> None:
        pool = self.pools[self.workers[worker_id].zone]
        self.post(pool.address, f"/workers/{worker_id}/{call}", document)

    def configure(self, prefixes: tuple[str, ...] = (PATH_PREFIX,)) -> None:
        """Store a new configuration version, with one queue for each path prefix.

        A further queue, whose prefix names the version, tells whether it is in force.
        """
        self.config_version += 1
        version = self.config_version
        prefixes = (*prefixes, f"/version-{version}/")
        routes = [
            {
                "name": f"queue-{number}",
                "host": ROUTE_HOST,
                "path_prefix": prefix,
                "service": SERVICE,
                "priority": 1,
                **ROUTE_POLICY,
            }
            for number, prefix in enumerate(prefixes)
        ]
        # Only every second worker guards its capacity.
        services = [{"name": SERVICE, "admission_control": False}]
        document = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {},
        }
        value = b64encode(json.dumps(document).encode()).decode()
        row = {"table": "op", "key": "config", "value": value}
        sent_ms = self.clock.now_ms()
        self.post(self.store.address, "/standin/rows", [row])
        confirmed_ms = self.clock.now_ms()
        self.configurations.append(
            ConfigurationChange(version, prefixes, sent_ms, confirmed_ms)
        )

    def set_evacuated(self, zone: str, evacuated: bool) -> None:
        """Write or remove the operator's row that evacuates a zone."""
        value = b64encode(b"{}").decode() if evacuated else None
        row = {"table": "op", "key": f"evacuate/{zone}", "value": value}
        self.post(self.store.address, "/standin/rows", [row])

    def is_ready(self, daemon: Process) -> bool:
        """Return whether a daemon's readiness check succeeds."""
        address = f"{daemon.address.rpartition(':')[0]}:{READY_PORT}"
        try:
            return self.http.request("GET", f"http://{address}/readyz").status == 200
        except HTTPError:
            return False

    def await_ready(self) -> None:
        """Wait until every daemon is ready.

        Raises TimeoutError after ``READY_TIMEOUT_S``, or if a daemon exits.
        """
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        for daemon in self.daemons.values():
            while not self.is_ready(daemon):
                if time.monotonic() > deadline_s or not daemon.is_running:
                    log = daemon.log_path.read_text()[-2000:]
                    raise TimeoutError(f"{daemon.name} is not ready; its log: {log}")
                time.sleep(POLL_S)

    def split_by_zone(self, zone: str) -> tuple[set[str], set[str]]:
        """Return the names of a zone's daemons and workers, and all other names."""
        inside, outside = set(), {"store"}
        for name, member in (self.daemons | self.workers).items():
            (inside if member.zone == zone else outside).add(name)
        return inside, outside

    def processes(self) -> list[Process]:
        """Return every process of the deployment, the store first."""
        return [self.store, *self.pools.values(), *self.daemons.values()]


@contextmanager
def running_deployment(
    size: DeploymentSize,
    random: Random,
    prepare: Callable[[Daemon], None] = lambda daemon: None,
    fill_store: Callable[[Deployment], None] = lambda deployment: None,
) -> Iterator[Deployment]:
    """Start a deployment, and stop all its processes at the end of the block.

    ``prepare`` is called with each daemon before it is started, ``fill_store`` once
    the store runs.
    """
    with ExitStack() as stack:
        folder = Path(stack.enter_context(TemporaryDirectory(prefix="soak-")))
        network = stack.enter_context(reserved_network())
        deployment = build_deployment(size, folder, network, random)
        stack.enter_context(serving_all(list(deployment.relays.values())))
        stack.callback(stop_processes, deployment.processes())
        deployment.store.start()
        _await_store(deployment)
        deployment.configure()
        fill_store(deployment)
        for daemon in deployment.daemons.values():
            prepare(daemon)
        for process in deployment.processes()[1:]:
            process.start()
        deployment.await_ready()
        yield deployment


@contextmanager
def reserved_network() -> Iterator[str]:
    """Reserve a loopback network ``127.N`` by a bound socket until the block ends."""
    for number in NETWORK_NUMBERS:
        with socket.socket() as lock:
            try:
                lock.bind((f"127.{number}.255.1", CONTROL_PORT))
            except OSError:
                continue
            yield f"127.{number}"
            return
    raise RuntimeError("all loopback networks for soaks are in use")


def build_deployment(
    size: DeploymentSize, folder: Path, network: str, random: Random
) -> Deployment:
    """Return a deployment without starting its processes."""
    conditions = NetworkConditions()
    store = _make_store(folder, network)
    workers = _make_workers(size, network, random)
    daemons = _make_daemons(size, folder, network)
    names_by_ip = {daemon.settings["ip"]: name for name, daemon in daemons.items()}
    relays = {}
    for name, daemon in daemons.items():
        settings = daemon.settings
        listen = f"{settings['ip']}:{PEER_PORT}"
        relays[name] = Relay(
            name, settings["advertised_peer"], listen, names_by_ip, conditions
        )
        relays[f"store of {name}"] = Relay(
            "store",
            settings["platform"]["addr"],
            store.address,
            names_by_ip,
            conditions,
        )
    for name, worker in workers.items():
        relays[name] = Relay(
            name, worker.advertised, worker.listen, names_by_ip, conditions
        )
    pools = {
        zone: _make_pool(folder, network, number, zone, workers, store.address)
        for number, zone in enumerate(ZONES)
    }
    return Deployment(folder, store, daemons, pools, workers, relays, conditions)


def _make_daemons(
    size: DeploymentSize, folder: Path, network: str
) -> dict[str, Daemon]:
    daemons = {}
    for zone_number, zone in enumerate(ZONES):
        for number in range(1, size.daemons + 1):
            name = f"edge-{zone}-{number}"
            ip = f"{network}.{zone_number}.{number}"
            daemons[name] = _make_daemon(folder, name, zone, ip)
    return daemons


def _relay_ip(ip: str) -> str:
    """Return the IP address on which the relays of a daemon listen."""
    network, zone_number, number = ip.rsplit(".", 2)
    return f"{network}.{int(zone_number) + 100}.{number}"


def _make_store(folder: Path, network: str) -> Process:
    address = f"{network}.254.1:{STORE_PORT}"
    command = python_command("standins.store", "--address", address)
    return Process("store", "", command, address, folder / "store.log")


def _make_workers(
    size: DeploymentSize, network: str, random: Random
) -> dict[str, WorkerSettings]:
    workers = {}
    # Clocks of workers start at 0, as those of their machines.
    offset_min_ms = -SystemClock().now_ms() / 2
    for zone_number, zone in enumerate(ZONES):
        for number in range(size.workers):
            # Listens on the first address and registers the second, its relay's.
            worker = WorkerSettings(
                f"worker-{zone}-{number + 1}",
                zone,
                f"{network}.{200 + zone_number}.1:{WORKER_PORT + number}",
                f"{network}.{210 + zone_number}.1:{WORKER_PORT + number}",
                clock_offset_ms=max(offset_min_ms, random.uniform(-1e6, 1e6)),
                clock_rate=random.uniform(0.98, 1.02),
                guards_capacity=number % 2 == 0,
                renamed_by_crash=number % 3 == 0,
            )
            workers[worker.worker_id] = worker
    return workers


def _make_pool(
    folder: Path,
    network: str,
    zone_number: int,
    zone: str,
    workers: dict[str, WorkerSettings],
    store_address: str,
) -> Process:
    control = f"{network}.{200 + zone_number}.1:{CONTROL_PORT}"
    members = tuple(worker for worker in workers.values() if worker.zone == zone)
    history = str(folder / f"{zone}.history")
    settings = PoolSettings(control, store_address, SERVICE, history, members)
    path = folder / f"{zone}.pool.json"
    path.write_text(json.dumps(asdict(settings)))
    command = python_command("standins.pool", str(path))
    name = f"workers-{zone}"
    return Process(name, zone, command, control, folder / f"{name}.log")


def _make_daemon(folder: Path, name: str, zone: str, ip: str) -> Daemon:
    relay = _relay_ip(ip)
    settings = {
        "node_name": name,
        "ip": ip,
        "zone": zone,
        "zones": dict.fromkeys(ZONES, "ashanti"),
        "listen": {"front": f"{ip}:{CLIENTS_PORT}", "ready": f"{ip}:{READY_PORT}"},
        "internal_ports": [PEER_PORT, PEER_PORT + 15],
        "advertised_peer": f"{relay}:{PEER_PORT}",
        "platform": {"addr": f"{relay}:{STORE_PORT}"},
        "bounds": {
            "hold_max_ms": 1000,
            "grace_s": 6,
            "evacuate_ms": EVACUATION_DELAY_MAX_MS,
        },
    }
    return Daemon(
        name,
        zone,
        [sys.executable, str(DISPATCHER)],
        f"{ip}:{CLIENTS_PORT}",
        folder / f"{name}.log",
        settings=settings,
        settings_path=folder / f"{name}.json",
    )


def _await_store(deployment: Deployment) -> None:
    deadline_s = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline_s:
        try:
            deployment.switch_store()
            return
        except HTTPError:
            time.sleep(POLL_S)
    raise TimeoutError(
        f"store is not ready; its log: {deployment.store.log_path.read_text()[-2000:]}"
    )
