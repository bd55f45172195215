"""Starts a small deployment: the daemons as processes, all else as stand-ins.

The stand-ins run in the process of the case. Each daemon is started with the command
of the deploy file, with settings as on the users' pages, on its own loopback address.
"""

import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import traceback
from base64 import b64decode
from contextlib import contextmanager, suppress
from http.client import HTTPConnection, HTTPException
from pathlib import Path

import gevent
from serving import Network, serve
from store import Store
from worker import Worker

ROOT = Path(__file__).resolve().parents[2]
FRONT, READY, CONTROL, PEER, STORE, WORKER = 8161, 8167, 8166, 7720, 8169, 9000
HOST, PREFIX, SERVICE = "desk.example", "/jobs/", "desk"
HEARTBEAT_S = 1.5
START_GAP_S = 0.04
LOCK_PORT = 8170
# A case that takes longer is ended, with all its processes.
RUN_MAX_S = 116
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000,
    "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200,
    "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_skew_ms": 5000,
    "recover_s": 12, "hold_max_ms": 1000, "stop_ms": 50, "gang_ms": 3000,
    "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14,
    "status_s": 120, "remote_factor": 3, "save_s": 0.5, "restore_ms": 250,
    "notice_ms": 4500, "move_s": 1.5, "upkeep_s": 2, "fencing_enforced": False,
    "lease_ms": 3000, "thaw_ms": 300, "pace_ms": 100, "harm_ms": 4000,
    "resend_ms": 1300,
}  # fmt: skip


def now_ms():
    """Return the steady clock of the machine."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1_000


class CannotRunError(Exception):
    """The case could not run."""


class Record:
    """Writes what happened to a file and keeps it; times are since the start."""

    def __init__(self, path):
        """Begin a new record."""
        self.began_ms = now_ms()
        self.path = Path(path)
        self.path.write_text("")
        self.events = []

    def __call__(self, event, **fields):
        """Record an event."""
        at_ms = round(now_ms() - self.began_ms, 1)
        row = {"at_ms": at_ms, "event": event, **fields}
        self.events.append(row)
        with self.path.open("a") as file:
            file.write(json.dumps(row) + "\n")
        return at_ms

    def of(self, event, **fields):
        """Return the events of a kind with these fields."""
        return [
            row
            for row in self.events
            if row["event"] == event
            and all(row.get(name) == value for name, value in fields.items())
        ]


class Daemon:
    """A daemon's process."""

    def __init__(self, name, settings, folder):
        """Prepare the settings; ``start`` starts it."""
        self.name, self.settings = name, settings
        self.path = folder / f"{name}.json"
        self.log = folder / f"{name}.log"
        self.process = None

    def start(self):
        """Start it with the command of the deploy file."""
        self.path.write_text(json.dumps(self.settings))
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "RATTANLOOM_SETTINGS": str(self.path),
        }
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                next(iter(role.values()))["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def send(self, number):
        """Send a signal."""
        self.process.send_signal(number)

    def end(self):
        """Kill it, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def is_ready(self):
        """Return whether its readiness check succeeds."""
        with suppress(OSError, HTTPException):
            connection = HTTPConnection(self.settings["ip"], READY, timeout=1)
            connection.request("GET", "/readyz")
            return connection.getresponse().status == 200
        return False

    def log_events(self, event):
        """Return the lines of its log with an event."""
        rows = []
        for line in self.log.read_text(errors="replace").splitlines():
            with suppress(ValueError):
                row = json.loads(line)
                if isinstance(row, dict) and row.get("event") == event:
                    rows.append(row)
        return rows


class Cluster:
    """Daemons, workers and the store; ``needs`` has the need of each step by job."""

    def __init__(self, record, zones, daemons, workers, worker_options):
        """Build everything on a free loopback network; nothing is started."""
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.net, self.lock = _reserve_network()
        self.store = Store(now_ms)
        self.network = Network()
        self.needs = {}
        self.config_version = 0
        self.guards = worker_options.get("guards", True)
        self.servers, self.greenlets = [], []
        self.daemons = {}
        for z, zone in enumerate(zones):
            for number in range(1, daemons + 1):
                name = f"edge-{zone}-{number}"
                ip = f"{self.net}.{z}.{number}"
                relay = f"{self.net}.{100 + z}.{number}"
                self.network.name_by_ip[ip] = name
                self.network.zones[name] = zone
                settings = self._settings(name, ip, relay, zone, zones)
                self.daemons[name] = Daemon(name, settings, self.folder)
        self.workers = {}
        for z, zone in enumerate(zones):
            for number in range(1, workers + 1):
                worker_id = f"w-{zone}-{number}"
                self.network.zones[worker_id] = zone
                self.workers[worker_id] = Worker(
                    worker_id,
                    zone,
                    f"{self.net}.{150 + z}.{number}:{WORKER}",
                    now_ms,
                    self.need_of,
                    record,
                    service=SERVICE,
                    **worker_options,
                )

    def _settings(self, name, ip, relay, zone, zones):
        limits = {"cpu_share": 0.537, "cores": 2, "memory_mb": 300, "max_fds": 4100}
        return {
            "node_name": name, "role": "dispatcher", "machine_class": "edge",
            "serves": ["edge"], "ip": ip, "zone": zone, "region": "ashanti",
            "zones": dict.fromkeys(zones, "ashanti"),
            "listen": {"front": f"{ip}:{FRONT}", "ready": f"{ip}:{READY}"},
            "internal_ports": [PEER, PEER + 15], "seeds": [], "bootstrap": True,
            "advertised_peer": f"{relay}:{PEER}",
            "limits": limits, "data_dir": None, "discovery": "platform",
            "entry": "vip", "heartbeat_ms": 1500, "bounds": BOUNDS,
            "control_mode": "invocation",
            "platform": {"addr": f"{relay}:{STORE}", "form": "table"},
        }  # fmt: skip

    def need_of(self, task):
        """Return the need of a task in thousandths of a core."""
        job, _, step, _ = task.split(".")
        return self.needs[job][int(step)]

    def start(self):
        """Start the stand-ins and all daemons, and wait until these are ready."""
        address = (f"{self.net}.254.1", STORE)
        self.servers.append(
            serve(address, lambda m, p, q, h, b: self.store.handle(m, p, q, b))
        )
        self.configure()
        for worker in self.workers.values():
            self._serve_worker(worker)
        self.greenlets.append(gevent.spawn(self._heartbeats))
        for daemon in self.daemons.values():
            ip, relay = daemon.settings["ip"], daemon.settings["advertised_peer"]
            listen = (relay.partition(":")[0], PEER)
            self.servers += [
                self.network.relay(listen, (ip, PEER), daemon.name),
                self.network.relay((listen[0], STORE), address, "store"),
            ]
            daemon.start()
            # The last one is the first candidate for the zones.
            gevent.sleep(START_GAP_S)
        self.await_ready(*self.daemons)

    def _serve_worker(self, worker):
        """Serve a worker behind a relay, whose address it registers."""
        host = worker.address.partition(":")[0]
        net, zone, number = host.rsplit(".", 2)
        inner = (f"{net}.{int(zone) + 50}.{number}", WORKER)
        self.servers.append(
            serve(inner, lambda m, p, q, h, b: worker.handle(m, p, h, b))
        )
        relay = self.network.relay((host, WORKER), inner, worker.worker_id)
        self.servers.append(relay)

    def _heartbeats(self):
        while True:
            for worker in self.workers.values():
                is_cut = (worker.worker_id, "store") in self.network.blocked
                if not worker.is_dark and not is_cut:
                    self.register(worker)
            gevent.sleep(HEARTBEAT_S)

    def register(self, worker):
        """Write the entry of a worker."""
        self.store.put("servers", worker.worker_id, worker.entry())

    def configure(self, **route):
        """Write a new version of the config with one route."""
        self.config_version += 1
        routes = [
            {
                "name": "queue-1", "host": HOST, "path_prefix": PREFIX,
                "kind": "non_idempotent",
                "service": SERVICE, "priority": 1, "max_attempts": 4,
                "slack_factor": 1.6, "target_latency_ms": 60, "timeout_ms": 1500,
                **route,
            }
        ]  # fmt: skip
        services = [{"name": SERVICE, "admission_control": self.guards}]
        document = {
            "version": self.config_version,
            "routes": routes,
            "services": services,
        }
        self.store.put("op", "config", document)

    def await_ready(self, *names, within_s=20):
        """Wait until daemons are ready; raise ``CannotRunError`` after the time."""
        until_s = time.monotonic() + within_s
        while not all(self.daemons[name].is_ready() for name in names):
            if time.monotonic() > until_s:
                raise CannotRunError("the daemons did not get ready")
            gevent.sleep(0.1)

    def owner_of(self, zone):
        """Return the daemon that the store names as the owner of a zone."""
        _, value = self.store.rows.get(("rattanloom", "", f"zone/{zone}"), (0, None))
        return json.loads(b64decode(value))["owner"] if value else None

    def started(self):
        """Return the daemons in the order of their last start, by their own rows."""
        rows = []
        for (table, _, key), (_, value) in self.store.rows.items():
            if table == "rattanloom" and key.startswith("member/") and value:
                member = json.loads(b64decode(value))
                rows.append((member["started_wall_ms"], member["node"]))
        return [name for _, name in sorted(rows)]

    def call(self, method, daemon, job_id, body=None, deadline_ms=1_500, **fields):
        """Send a request as a client; return its status, 0 without an answer."""
        ip = self.daemons[daemon].settings["ip"]
        self.record("sent", method=method, daemon=daemon, job=job_id, **fields)
        status, state = 0, ""
        try:
            connection = HTTPConnection(ip, FRONT, timeout=deadline_ms / 1_000 + 2)
            headers = {
                "Host": HOST,
                "Content-Type": "application/json",
                "Deadline-Ms": str(deadline_ms),
            }
            data = None if body is None else json.dumps(body)
            connection.request(method, PREFIX + job_id, data, headers)
            response = connection.getresponse()
            status, state = response.status, response.read().decode(errors="replace")
        except (OSError, HTTPException) as error:
            state = f"{type(error).__name__}: {error}"
        self.record(
            "answered",
            method=method,
            daemon=daemon,
            job=job_id,
            status=status,
            body=state,
            **fields,
        )
        return status

    def post(self, daemon, job_id, steps, ms, deadline_ms=1_500, **fields):
        """Post a job whose tasks work for ``ms``."""
        self.needs[job_id] = [step["cpu"] for step in steps]
        body = {"spec": json.dumps({"ms": ms}), "steps": steps, "best_effort": True}
        return self.call("POST", daemon, job_id, body, deadline_ms, **fields)

    def stop(self):
        """End all processes, and everything else."""
        for daemon in self.daemons.values():
            daemon.end()
        for server in self.servers:
            server.stop(timeout=0)
        gevent.killall(self.greenlets, block=False)
        self.lock.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def _reserve_network():
    for number in range(20, 250):
        lock = socket.socket()
        try:
            # The project's soak reserves its networks by the same address.
            lock.bind((f"127.{number}.255.1", LOCK_PORT))
        except OSError:
            lock.close()
            continue
        return f"127.{number}", lock
    raise CannotRunError("no free loopback network")


@contextmanager
def running(record, zones=("adum", "bantama", "asokwa"), daemons=2, workers=2, **opts):
    """Run a deployment; ``opts`` are options of the workers."""
    cluster = Cluster(record, zones, daemons, workers, opts)

    def end(number, frame):
        # Must not block, as it may run in the event loop.
        for daemon in cluster.daemons.values():
            if daemon.process is not None and daemon.process.returncode is None:
                daemon.process.send_signal(signal.SIGKILL)
        shutil.rmtree(cluster.folder, ignore_errors=True)
        os._exit(2)

    signal.signal(signal.SIGTERM, end)
    signal.signal(signal.SIGALRM, end)
    try:
        cluster.start()
        yield cluster
    finally:
        cluster.stop()


def main(path, trouble, case):
    """Run ``case(record, trouble)``, which returns what broke the rule; exit."""
    record = Record(path)
    signal.alarm(RUN_MAX_S)
    try:
        breaches = case(record, trouble)
    except CannotRunError as error:
        record("could not run", reason=str(error))
        print(error)
        raise SystemExit(2) from error
    except Exception as error:
        traceback.print_exc()
        record("could not run", reason=repr(error))
        raise SystemExit(2) from error
    for breach in breaches:
        record("broken", what=breach)
        print("broken:", breach)
    record("result", broken=len(breaches), trouble=trouble)
    print("broken" if breaches else "held", "with" if trouble else "without", "trouble")
    raise SystemExit(1 if breaches else 0)
