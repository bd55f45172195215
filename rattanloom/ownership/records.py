"""The rows in which daemons register and record who owns a zone's workers."""

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
# Fencing tokens: the epoch of the store's record, then one bit and a number for
# claims made without the store, then what an owner counts up by itself.
EPOCH_SHIFT = 40
CLAIM_BIT = 1 << 39
CLAIM_NODE_SHIFT = 23
CLAIM_NODE_MASK = 0xFFFF
CLAIM_NUMBER_SHIFT = 16
CLAIM_NUMBERS = 1 << (CLAIM_NODE_SHIFT - CLAIM_NUMBER_SHIFT)


class RecordError(ValueError):
    """A row that is no record of ours."""


@frozen
class Member:
    """One daemon; ``address`` serves other daemons.

    ``cpu_cores`` is the processor time that its machine gives it.
    """

    node: str
    zone: str
    address: str
    started_wall_ms: int
    cpu_cores: float = 1.0


@frozen
class ZoneOwner:
    """The daemon that orders a zone's workers since ``epoch``.

    ``claim`` is 0 for an owner that the store records; an owner that could not
    reach the store has a number above 0 that no other daemon uses.
    """

    zone: str
    owner: str
    epoch: int
    claim: int = 0

    @property
    def fencing_token(self) -> int:
        """Return the first token of this owner; of two owners the higher counts."""
        return (self.epoch << EPOCH_SHIFT) + self.claim


def claim_number(node: str, count: int) -> int:
    """Return what a daemon's claim adds to the token of its epoch."""
    node_bits = crc32(node.encode()) & CLAIM_NODE_MASK
    count_bits = min(count, CLAIM_NUMBERS - 1) << CLAIM_NUMBER_SHIFT
    return CLAIM_BIT | node_bits << CLAIM_NODE_SHIFT | count_bits


def member_ref(node: str) -> RowRef:
    """Return the row of a daemon."""
    return RowRef(TABLE, "", MEMBER_PREFIX + node)


def heartbeat_ref(node: str) -> RowRef:
    """Return the row that an owner keeps changing while it lives."""
    return RowRef(HEARTBEATS_TABLE, "", node)


def zone_ref(zone: str) -> RowRef:
    """Return the row of a zone's owner."""
    return RowRef(TABLE, "", ZONE_PREFIX + zone)


def encode_record(record: Member | ZoneOwner) -> bytes:
    """Return the value of a row."""
    return json.dumps(CONVERTER.unstructure(record)).encode()


def decode_record(row: Row) -> Member | ZoneOwner:
    """Return the record in a row; raise ``RecordError`` where there is none."""
    shape = Member if row.ref.key.startswith(MEMBER_PREFIX) else ZoneOwner
    try:
        return CONVERTER.structure(json.loads(row.value or b""), shape)
    except (ValueError, BaseValidationError) as error:
        raise RecordError(f"row {row.ref.key}: {error}") from error
