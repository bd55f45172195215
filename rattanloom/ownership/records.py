"""Rows of the store for registered daemons and for the owners of zones.

The epoch of a zone is the number of times that its owner was recorded in the
store. A claim is an ownership announced to the peers without the store, under the
epoch of the last known owner. Every request to a worker carries a fencing token made
of epoch and claim; a worker refuses tokens below the highest that it has received.
"""

import json
from zlib import crc32

from attrs import frozen
from cattrs.errors import BaseValidationError

from rattanloom.fencing import RAISE_BITS
from rattanloom.platform.rows import Row, RowRef
from rattanloom.settings import CONVERTER

TABLE = "rattanloom"
HEARTBEATS_TABLE = "rattanloom-beats"
MEMBER_PREFIX = "member/"
ZONE_PREFIX = "zone/"
# Layout of fencing tokens, highest bits first: the epoch; one bit that is set for
# claims; a hash of the claiming node; the number of the claim at this node; and the
# bits by which the placer raises the token when it fences off a start order.
EPOCH_SHIFT = 40
CLAIM_BIT = 1 << 39
CLAIM_NODE_SHIFT = 23
CLAIM_NODE_MASK = 0xFFFF
CLAIM_NUMBER_SHIFT = RAISE_BITS
CLAIM_NUMBERS = 1 << (CLAIM_NODE_SHIFT - CLAIM_NUMBER_SHIFT)


class RecordError(ValueError):
    """Raised for a row that is not a valid record."""


@frozen
class Member:
    """A registered daemon; peers connect to ``address``.

    ``cpu_cores`` is the number of cores that its machine allows it to use.
    """

    node: str
    zone: str
    address: str
    started_wall_ms: int
    cpu_cores: float = 1.0


@frozen
class ZoneOwner:
    """The owner of a zone; ``owner`` is its node.

    ``claim`` is 0 if the owner is recorded in the store, and the result of
    ``claim_number`` if it claimed the zone without the store.
    """

    zone: str
    owner: str
    epoch: int
    claim: int = 0

    @property
    def fencing_token(self) -> int:
        """Return the lowest token of this owner; its placer may raise it."""
        return (self.epoch << EPOCH_SHIFT) + self.claim


def claim_number(node: str, count: int) -> int:
    """Return the number that a daemon's claim adds to the token of the epoch.

    ``count`` is the number of claims that the daemon has made.
    """
    node_bits = crc32(node.encode()) & CLAIM_NODE_MASK
    count_bits = min(count, CLAIM_NUMBERS - 1) << CLAIM_NUMBER_SHIFT
    return CLAIM_BIT | node_bits << CLAIM_NODE_SHIFT | count_bits


def member_ref(node: str) -> RowRef:
    """Return the reference to a daemon's row."""
    return RowRef(TABLE, "", MEMBER_PREFIX + node)


def heartbeat_ref(node: str) -> RowRef:
    """Return the reference to the row that an owner updates with its heartbeats."""
    return RowRef(HEARTBEATS_TABLE, "", node)


def zone_ref(zone: str) -> RowRef:
    """Return the reference to the row with a zone's owner."""
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
