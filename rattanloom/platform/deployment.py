"""The settings file that the platform lays beside each process."""

import json
from pathlib import Path
from typing import ClassVar

from attrs import field, frozen

from rattanloom.platform.json_format import FormatError, structure
from rattanloom.settings import SettingsError

SETTINGS_VARIABLE = "RATTANLOOM_SETTINGS"


@frozen
class ListenAddresses:
    """Addresses (``ip:port``) to serve: clients, and the readiness check."""

    WIRE_NAMES: ClassVar = {"clients": "front", "readiness": "ready"}

    clients: str
    readiness: str


@frozen
class Bounds:
    """Bounds of the platform's rules that the dispatcher keeps to."""

    WIRE_NAMES: ClassVar = {
        "worker_lease_max_ms": "hold_max_ms",
        "stop_grace_s": "grace_s",
    }

    worker_lease_max_ms: float = 1_000
    stop_grace_s: float = 6


@frozen
class StoreSettings:
    """Address of the platform's store."""

    WIRE_NAMES: ClassVar = {"address": "addr"}

    address: str


@frozen
class MachineLimits:
    """What the machine gives a process: a share of a core, times its speed."""

    WIRE_NAMES: ClassVar = {"speed": "cores"}

    cpu_share: float = 1.0
    speed: float = 1.0


@frozen
class Deployment:
    """What one process is told of its machine and its surroundings.

    ``zones`` maps each zone to its region; ``internal_ports`` is the range free
    for traffic between daemons. ``advertised_peer_address`` is set where other
    daemons reach this one at another address than it listens on.
    """

    WIRE_NAMES: ClassVar = {
        "node": "node_name",
        "store": "platform",
        "advertised_peer_address": "advertised_peer",
        "machine": "limits",
    }

    node: str
    ip: str
    zone: str
    zones: dict[str, str]
    listen: ListenAddresses
    internal_ports: tuple[int, ...]
    store: StoreSettings
    bounds: Bounds = field(factory=Bounds)
    machine: MachineLimits = field(factory=MachineLimits)
    advertised_peer_address: str = ""

    @property
    def cpu_cores(self) -> float:
        """Return the processor time of this machine, in ordinary cores."""
        return self.machine.cpu_share * self.machine.speed

    @property
    def peer_listen_address(self) -> str:
        """Return the address on which this process serves other daemons."""
        return f"{self.ip}:{self.internal_ports[0]}"

    @property
    def peer_address(self) -> str:
        """Return the address at which other daemons reach this process."""
        return self.advertised_peer_address or self.peer_listen_address


def load_deployment(path: str | Path) -> Deployment:
    """Read the settings file; raise ``SettingsError`` naming file, field, reason."""
    try:
        document = json.loads(Path(path).read_text())
        return structure(document, Deployment)
    except OSError as error:
        raise SettingsError(f"{path}: cannot be read: {error.strerror}") from error
    except FormatError as error:
        raise SettingsError(f"{path}: {error}") from error
    except ValueError as error:
        raise SettingsError(f"{path}: not valid JSON: {error}") from error
