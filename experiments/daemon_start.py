"""Measures what the start of a daemon costs: processor time and peak memory.

Starts daemons of one or more checkouts in turn, with stand-ins of the store and of the
workers, and reads each daemon's figures from /proc when it is ready.
``python -m experiments.daemon_start --help``; the last line is one JSON object.
"""

from gevent import monkey

if __name__ == "__main__":
    monkey.patch_all()

import json
import os
import time
from pathlib import Path
from random import Random
from statistics import median

from attrs import define, field
from fire import Fire

from soak.deployment import Daemon, Deployment, DeploymentSize, running_deployment

NS_PER_S = 1e9
BYTES_PER_KB = 1_024
BYTES_PER_MB = 1e6
SETTLE_S = 1.0  # from readiness until the figures are read
DEPENDENCIES = "target/deps"


@define
class StartCost:
    """Processor time and peak memory of each start of a checkout's daemon."""

    cpu_s: list[float] = field(factory=list)
    peak_mb: list[float] = field(factory=list)

    def row(self) -> dict:
        """Return the median and the range of both figures."""
        return {
            "starts": len(self.cpu_s),
            "cpu_s": round(median(self.cpu_s), 3),
            "cpu_s_range": [round(min(self.cpu_s), 3), round(max(self.cpu_s), 3)],
            "peak_mb": round(median(self.peak_mb), 1),
        }


def measure(*checkouts: str, dependencies: str = DEPENDENCIES, rounds: int = 5) -> None:
    """Print the cost of a start for each checkout, measured in turn.

    Args:
        checkouts: root folders of checkouts; by default the current folder.
        dependencies: folder of the installed packages, relative to each checkout.
        rounds: number of rounds; each starts every daemon of a deployment.
    """
    costs = {name: StartCost() for name in checkouts or (".",)}
    size = DeploymentSize(daemons=1, workers=1)
    with running_deployment(size, Random(1)) as deployment:
        for number in range(rounds):
            for name in sorted(costs, reverse=number % 2 == 1):
                restart_all(deployment, Path(name).resolve(), dependencies)
                for daemon in deployment.daemons.values():
                    cpu_s, peak_mb = _read_cost(daemon)
                    costs[name].cpu_s.append(cpu_s)
                    costs[name].peak_mb.append(peak_mb)
    rows = {name: cost.row() for name, cost in costs.items()}
    for name, row in rows.items():
        print(name, row)
    print(json.dumps({"daemon_start": rows}))


def restart_all(deployment: Deployment, checkout: Path, dependencies: str) -> None:
    """Replace all daemons by those of ``checkout``, and wait until they are ready."""
    for daemon in deployment.daemons.values():
        daemon.kill()
        # Without ``site``, as the deploy file starts it.
        daemon.command = ["python3", "-S", str(checkout / "dispatcher.py")]
        path = os.pathsep.join([str(checkout), str(checkout / dependencies)])
        daemon.variables = {"PYTHONPATH": path}
        daemon.start()
    deployment.await_ready()
    time.sleep(SETTLE_S)


def _read_cost(daemon: Daemon) -> tuple[float, float]:
    """Return a daemon's processor time (s) and peak memory (MB)."""
    folder = Path(f"/proc/{daemon.popen.pid}")
    cpu_ns = int((folder / "schedstat").read_text().split()[0])
    lines = (folder / "status").read_text().splitlines()
    peak_kb = next(int(line.split()[1]) for line in lines if line.startswith("VmHWM"))
    return cpu_ns / NS_PER_S, peak_kb * BYTES_PER_KB / BYTES_PER_MB


if __name__ == "__main__":
    Fire(measure)
