"""Parses the entries by which workers register in the platform's metadata store.

Other writers may leave entries there, so every field that is used has a range.
"""

import re

from attrs import astuple, define, evolve, field, fields, frozen

from rattanloom.placement.workers import Resources, WorkerEntry
from rattanloom.platform.json_format import (
    FormatError,
    decode_object,
    is_number,
    structure,
)
from rattanloom.platform.rows import Row
from rattanloom.scheduling.leaving import NOTICE_MIN_MS

WORKERS_TABLE = "servers"
READY, DRAINING = "ready", "draining"
# A later estimate of the time at which a worker leaves is used only if it is earlier by
# more than this: entries are read up to 400 ms after they were written.
LEAVING_TOLERANCE_MS = 500
# Longer times in an entry count as invalid.
TIME_MAX_MS = 3_600_000
# Ranges of the other fields. Amounts are summed over all workers and sent between
# daemons as integers of 64 bits; the wall time is in the year 2286.
AMOUNT_MAX = 1_000_000_000
BORN_MAX_MS = 10_000_000_000_000
NAME_MAX_CHARS = 200
LABELS_MAX = 100
HOST_MAX_CHARS = 253
PORT_MAX = 65_535
# A host name or an IPv4 address, or an IPv6 address in brackets.
HOST_LABEL = "[A-Za-z0-9_]([A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?"
HOST = re.compile(rf"{HOST_LABEL}(\.{HOST_LABEL})*|\[[0-9A-Fa-f:.]{{2,45}}\]")
PORT = re.compile("[0-9]{1,5}")
# The reason for which an entry is invalid may quote it.
REASON_MAX_CHARS = 200


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


USED_FIELDS = tuple(attribute.name for attribute in fields(WireWorkerEntry))


@define(eq=False, repr=False)
class WorkerEntryParser:
    """Parses the entries of workers; remembers the last one of each.

    A worker's heartbeat changes its entry, but hardly ever the fields that are used.
    The entry that was parsed last is then returned again. ``_parsed`` maps worker ids
    to the used fields and the entry. ``slow_for_ms`` has, by worker id, how long a
    worker was still slow when it wrote its last entry; not part of the entry, since
    it changes with each heartbeat. So does ``remaining_ms`` of a draining worker, which
    becomes a time when it arrives, and is no used field.
    """

    slow_for_ms: dict[str, float] = field(factory=dict)
    _parsed: dict[str, tuple[dict[str, object], WorkerEntry]] = field(factory=dict)

    def parse(self, row: Row, now_ms: float = 0) -> WorkerEntry:
        """Return the entry in ``row``, read at ``now_ms``.

        Raises ``FormatError`` if it is invalid, with at most ``REASON_MAX_CHARS``.
        """
        try:
            return self._parse(row, now_ms)
        except FormatError as error:
            raise FormatError(str(error)[:REASON_MAX_CHARS]) from error

    def _parse(self, row: Row, now_ms: float) -> WorkerEntry:
        if row.value is None:
            raise FormatError("the row was deleted or its value is not valid base64")
        document = decode_object(row.value)
        used = {name: document[name] for name in USED_FIELDS if name in document}
        worker_id = row.ref.key
        if worker_id not in self._parsed or self._parsed[worker_id][0] != used:
            self._parsed[worker_id] = (used, _make_entry(worker_id, used))
        self.slow_for_ms[worker_id] = _cold_left_ms(document)
        entry = self._parsed[worker_id][1]
        if not entry.accepting:
            leaves_at_ms = now_ms + _remaining_ms(document)
            known_ms = entry.leaves_at_ms
            if known_ms is None or leaves_at_ms < known_ms - LEAVING_TOLERANCE_MS:
                entry = evolve(entry, leaves_at_ms=leaves_at_ms)
                self._parsed[worker_id] = (used, entry)
        return entry

    def forget(self, worker_id: str) -> None:
        """Forget the entry of a worker that is gone."""
        self._parsed.pop(worker_id, None)
        self.slow_for_ms.pop(worker_id, None)


def _cold_left_ms(document: dict[str, object]) -> float:
    """Return how long the worker remains slow; 0 if the field is missing or invalid."""
    left_ms = document.get("cold_left_ms")
    return left_ms if _is_time(left_ms) else 0.0


def _remaining_ms(document: dict[str, object]) -> float:
    """Return the time left to a draining worker; the least notice if it names none."""
    remaining_ms = document.get("remaining_ms")
    return remaining_ms if _is_time(remaining_ms) else NOTICE_MIN_MS


def _is_time(value: object) -> bool:
    """Return whether a value is a number in the range of times.

    Integers in JSON have no limit, and very large ones can't be added to a float.
    """
    return is_number(value) and 0 <= value <= TIME_MAX_MS


def _make_entry(worker_id: str, document: dict[str, object]) -> WorkerEntry:
    wire = structure(document, WireWorkerEntry)
    _check_ranges(worker_id, wire)
    capacity = wire.capacity
    return WorkerEntry(
        worker_id,
        wire.born,
        wire.service,
        wire.addr,
        wire.zone,
        wire.state == READY,
        Resources(capacity.cpu, capacity.mem_mb, capacity.gpu),
        wire.labels,
    )


def _check_ranges(worker_id: str, wire: WireWorkerEntry) -> None:
    """Raise ``FormatError`` that names the first field out of its range."""
    checks = {
        "key": _is_name(worker_id),
        "service": _is_name(wire.service),
        "zone": _is_name(wire.zone),
        "state": wire.state in (READY, DRAINING),
        "addr": _is_address(wire.addr),
        "capacity": all(0 <= amount <= AMOUNT_MAX for amount in astuple(wire.capacity)),
        "labels": len(wire.labels) <= LABELS_MAX and all(map(_is_name, wire.labels)),
        "born": 0 <= wire.born <= BORN_MAX_MS,
    }
    for name, is_valid in checks.items():
        if not is_valid:
            raise FormatError(f"{name} is out of its range")


def _is_name(text: str) -> bool:
    return 0 < len(text) <= NAME_MAX_CHARS and text.isprintable()


def _is_address(text: str) -> bool:
    """Return whether a text is ``host:port``, with a host that can be looked up."""
    host, _, port = text.rpartition(":")
    return (
        len(host) <= HOST_MAX_CHARS
        and HOST.fullmatch(host) is not None
        and PORT.fullmatch(port) is not None
        and 0 < int(port) <= PORT_MAX
    )
