"""Rows of the store for registered daemons and for the owners of zones."""

import json
from zlib import crc32

from attrs import frozen
from cattrs.errors import BaseValidationError

from rattanloom.platform.rows import Row, RowRef
from rattanloom.settings import CONVERTER

TABLE = "rattanloom"
HEARTBEATS_TABLE = "rattanloom-beats"
MEMBER_PREFIX = "member/"
ZONE_PREFIX = "zone/"
# Layout of fencing tokens, highest bits first: the epoch of the record in the
# store; one bit and a number for claims made without the store; the owner's counter.
EPOCH_SHIFT = 40
CLAIM_BIT = 1 << 39
CLAIM_NODE_SHIFT = 23
CLAIM_NODE_MASK = 0xFFFF
CLAIM_NUMBER_SHIFT = 16
CLAIM_NUMBERS = 1 << (CLAIM_NODE_SHIFT - CLAIM_NUMBER_SHIFT)


class RecordError(ValueError):
    """Raised for a row that is not a valid record."""


@frozen
class Member:
    """A registered daemon; peers connect to ``address``.

    ``cpu_cores`` is the processor time that its machine allows it.
    """

    node: str
    zone: str
    address: str
    started_wall_ms: int
    cpu_cores: float = 1.0


@frozen
class ZoneOwner:
    """The daemon in charge of a zone's workers since ``epoch``.

    ``claim`` is 0 for an owner that is recorded in the store. An owner that could
    not reach the store has a number above 0 that no other daemon uses.
    """

    zone: str
    owner: str
    epoch: int
    claim: int = 0

    @property
    def fencing_token(self) -> int:
        """Return the first token of this owner; of two owners, the higher one wins."""
        return (self.epoch << EPOCH_SHIFT) + self.claim


def claim_number(node: str, count: int) -> int:
    """Return the number that a daemon's claim adds to the token of its epoch."""
    node_bits = crc32(node.encode()) & CLAIM_NODE_MASK
    count_bits = min(count, CLAIM_NUMBERS - 1) << CLAIM_NUMBER_SHIFT
    return CLAIM_BIT | node_bits << CLAIM_NODE_SHIFT | count_bits


def member_ref(node: str) -> RowRef:
    """Return the key of a daemon's row."""
    return RowRef(TABLE, "", MEMBER_PREFIX + node)


def heartbeat_ref(node: str) -> RowRef:
    """Return the key of the row that an owner updates with its heartbeats."""
    return RowRef(HEARTBEATS_TABLE, "", node)


def zone_ref(zone: str) -> RowRef:
    """Return the key of the row with a zone's owner."""
    return RowRef(TABLE, "", ZONE_PREFIX + zone)


def encode_record(record: Member | ZoneOwner) -> bytes:
    """Return the JSON value of a record's row."""
    return json.dumps(CONVERTER.unstructure(record)).encode()


def decode_record(row: Row) -> Member | ZoneOwner:
    """Decode the record in a row; raise ``RecordError`` if it is invalid."""
    model = Member if row.ref.key.startswith(MEMBER_PREFIX) else ZoneOwner
    try:
        return CONVERTER.structure(json.loads(row.value or b""), model)
    except (ValueError, BaseValidationError) as error:
        raise RecordError(f"row {row.ref.key}: {error}") from error
