"""The settings file that the platform provides to each daemon."""

import json
from pathlib import Path
from typing import ClassVar

from attrs import field, frozen

from rattanloom.platform.json_format import FormatError, structure
from rattanloom.serving.limits import (
    ClientLimits,
    connections_of_clients,
    connections_of_peers,
    memory_of_clients,
)
from rattanloom.settings import SettingsError
from rattanloom.validation import in_range

SETTINGS_VARIABLE = "RATTANLOOM_SETTINGS"


@frozen
class ListenAddresses:
    """Addresses (``ip:port``) to listen on for clients and for readiness checks."""

    WIRE_NAMES: ClassVar = {"clients": "front", "readiness": "ready"}

    clients: str
    readiness: str


@frozen
class Bounds:
    """Limits that the platform sets.

    ``stop_grace_s`` is the time that a process gets to stop. A configuration must be in
    force ``configuration_delay_max_ms`` after the store confirmed it. No task may start
    in a zone ``evacuation_delay_max_ms`` after the store confirmed its evacuation,
    longer by ``store_skew_max_ms`` if the store is unstable; None if the deployment has
    no evacuations. ``cold_overshoot`` and ``cold_slack`` are those of ``ColdWorkers``.
    A task takes ``remote_factor`` times as long outside the rack that has its data.
    """

    WIRE_NAMES: ClassVar = {
        "worker_lease_max_ms": "hold_max_ms",
        "stop_grace_s": "grace_s",
        "configuration_delay_max_ms": "config_apply_ms",
        "evacuation_delay_max_ms": "evacuate_ms",
        "store_skew_max_ms": "max_skew_ms",
    }

    worker_lease_max_ms: float = 1_000
    stop_grace_s: float = 6
    configuration_delay_max_ms: float = 2_000
    evacuation_delay_max_ms: float | None = None
    store_skew_max_ms: float = 0
    cold_overshoot: float = 1.5
    cold_slack: float = 5
    remote_factor: float = 1.0

    @property
    def operator_table_age_max_ms(self) -> float | None:
        """Return the age of the operator's rows up to which tasks start by them.

        A start order that is sent then may still reach its worker until the lease in
        it expires. None if the deployment has no evacuations.
        """
        if self.evacuation_delay_max_ms is None:
            return None
        return max(0, self.evacuation_delay_max_ms - self.worker_lease_max_ms)

    @property
    def operator_table_delay_max_ms(self) -> float:
        """Return the longest time until a change of the operator's rows is applied."""
        age_max_ms = self.operator_table_age_max_ms
        if age_max_ms is None:
            return self.configuration_delay_max_ms
        return min(self.configuration_delay_max_ms, age_max_ms)


@frozen
class StoreSettings:
    """Address of the platform's metadata store."""

    WIRE_NAMES: ClassVar = {"address": "addr"}

    address: str


@frozen
class MachineLimits:
    """What the machine gives to a process.

    Processor time is a share of a core of this ``speed``; 1 is normal. ``memory_mb`` is
    0 if it is not known.
    """

    WIRE_NAMES: ClassVar = {"speed": "cores", "descriptors_max": "max_fds"}

    cpu_share: float = 1.0
    speed: float = 1.0
    memory_mb: float = 0
    descriptors_max: int = 4_100


@frozen
class Deployment:
    """Settings of one daemon: its machine, its addresses and the store.

    ``node`` is the daemon's name. ``zones`` maps each zone to its region;
    ``internal_ports`` is the range of ports for traffic between daemons, of which
    the first is used. ``advertised_peer_address`` is set if other daemons must
    connect to another address than the one that this daemon listens on.
    ``client_limits`` and ``client_connections_max`` limit what clients hold; 0
    connections stand for a share of the machine's descriptors.
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
    client_limits: ClientLimits = field(factory=ClientLimits)
    client_connections_max: int = field(default=0, validator=in_range(0, 100_000))

    @property
    def client_memory_bytes(self) -> int:
        """Return how many bytes all clients may hold together."""
        return memory_of_clients(self.client_limits, self.machine.memory_mb)

    @property
    def client_connections(self) -> int:
        """Return how many connections clients may have to their listener."""
        return self.client_connections_max or connections_of_clients(
            self.machine.descriptors_max
        )

    @property
    def peer_connections(self) -> int:
        """Return how many connections other daemons may open to this one."""
        return connections_of_peers(self.client_limits, self.machine.descriptors_max)

    @property
    def cpu_cores(self) -> float:
        """Return the processor time of this daemon, in cores of normal speed."""
        return self.machine.cpu_share * self.machine.speed

    @property
    def peer_listen_address(self) -> str:
        """Return the address on which this daemon listens for other daemons."""
        return f"{self.ip}:{self.internal_ports[0]}"

    @property
    def peer_address(self) -> str:
        """Return the address that other daemons connect to."""
        return self.advertised_peer_address or self.peer_listen_address


def load_deployment(path: str | Path) -> Deployment:
    """Read the settings file; ``SettingsError`` gives file, field and reason."""
    try:
        document = json.loads(Path(path).read_text())
        return structure(document, Deployment)
    except OSError as error:
        raise SettingsError(f"{path}: cannot be read: {error.strerror}") from error
    except FormatError as error:
        raise SettingsError(f"{path}: {error}") from error
    except ValueError as error:
        raise SettingsError(f"{path}: not valid JSON: {error}") from error
