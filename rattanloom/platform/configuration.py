"""Parses the operator's configuration document, a row of the metadata store."""

from typing import ClassVar

from attrs import field, frozen

from rattanloom.ingress.queues import Configuration, Queue, RequestLimits
from rattanloom.platform.json_format import FormatError, decode_object, structure
from rattanloom.platform.rows import Row

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"


@frozen
class WireRoute:
    """One route of the document, which defines a queue.

    The operator may omit fields whose value is 0, and other fields with a default.
    """

    WIRE_NAMES: ClassVar = {"latency_target_ms": "target_latency_ms"}

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    slack_factor: float = 1.0
    latency_target_ms: float = 0
    timeout_ms: float = 1_500


@frozen
class WireService:
    """One service of the document; ``guards_capacity`` is left out if it is false."""

    WIRE_NAMES: ClassVar = {"guards_capacity": "admission_control"}

    name: str
    guards_capacity: bool = False


@frozen
class WireLimits:
    """The limits of the document; fields may be omitted."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000


@frozen
class WireConfiguration:
    """The configuration document; ``version`` is the operator's, not the row's."""

    version: int
    routes: tuple[WireRoute, ...] = ()
    limits: WireLimits = field(factory=WireLimits)
    services: tuple[WireService, ...] = ()


def parse_configuration(row: Row) -> Configuration:
    """Return the configuration in ``row``; raise ``FormatError`` if it is invalid."""
    if row.value is None:
        raise FormatError("the row was deleted or its value is not valid base64")
    wire = structure(decode_object(row.value), WireConfiguration)
    limits = wire.limits
    guarded = {service.name for service in wire.services if service.guards_capacity}
    return Configuration(
        wire.version,
        tuple(_to_queue(route, route.service in guarded) for route in wire.routes),
        RequestLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms,
            limits.idle_timeout_ms,
        ),
    )


def _to_queue(route: WireRoute, guards_capacity: bool) -> Queue:
    return Queue(
        route.name,
        route.host.lower(),
        route.path_prefix,
        route.service,
        route.priority,
        route.max_attempts,
        route.slack_factor,
        route.latency_target_ms,
        route.timeout_ms,
        guards_capacity,
    )
