"""Parses the entries by which workers register in the platform's metadata store."""

from attrs import frozen

from rattanloom.placement.workers import Resources, WorkerEntry
from rattanloom.platform.json_format import FormatError, parse
from rattanloom.platform.rows import Row

WORKERS_TABLE = "servers"
READY, DRAINING = "ready", "draining"


@frozen
class WireCapacity:
    """The capacity in a worker's entry; ``cpu`` is in thousandths of a core."""

    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


@frozen
class WireWorkerEntry:
    """The entry that a worker writes; ``born`` is the wall time of its start in ms."""

    service: str
    addr: str
    zone: str
    state: str
    capacity: WireCapacity
    labels: tuple[str, ...] = ()
    born: int = 0


def parse_worker_entry(row: Row) -> WorkerEntry:
    """Return the entry in ``row``; raise ``FormatError`` if it is invalid."""
    if row.value is None:
        raise FormatError("the row was deleted or its value is not valid base64")
    wire = parse(row.value, WireWorkerEntry)
    if wire.state not in (READY, DRAINING):
        raise FormatError(f"unknown state {wire.state!r}")
    host, _, port = wire.addr.rpartition(":")
    if not host or not port.isdigit():
        raise FormatError(f"addr {wire.addr!r} is not ip:port")
    capacity = wire.capacity
    return WorkerEntry(
        row.ref.key,
        wire.born,
        wire.service,
        wire.addr,
        wire.zone,
        wire.state == READY,
        Resources(capacity.cpu, capacity.mem_mb, capacity.gpu),
        wire.labels,
    )
