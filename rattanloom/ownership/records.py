"""The rows in which daemons register and record who owns a zone's workers."""

import json

from attrs import evolve, frozen
from cattrs.errors import BaseValidationError

from rattanloom.platform.rows import ABSENT, Row, RowRef
from rattanloom.settings import CONVERTER

TABLE = "rattanloom"
MEMBER_PREFIX = "member/"
ZONE_PREFIX = "zone/"
# Room for the tokens that an owner counts up by itself within one epoch.
TOKENS_PER_EPOCH = 1 << 20


class RecordError(ValueError):
    """A row that is no record of ours."""


@frozen
class Member:
    """One daemon; ``address`` serves other daemons."""

    node: str
    zone: str
    address: str
    started_wall_ms: int


@frozen
class ZoneOwner:
    """The daemon that orders a zone's workers, since when in ``epoch``.

    ``version`` is the row's version in the store.
    """

    zone: str
    owner: str
    epoch: int
    version: int = ABSENT

    @property
    def fencing_token(self) -> int:
        """Return the first token of this epoch."""
        return self.epoch * TOKENS_PER_EPOCH


def member_ref(node: str) -> RowRef:
    """Return the row of a daemon."""
    return RowRef(TABLE, "", MEMBER_PREFIX + node)


def zone_ref(zone: str) -> RowRef:
    """Return the row of a zone's owner."""
    return RowRef(TABLE, "", ZONE_PREFIX + zone)


def write_record(record: Member | ZoneOwner) -> bytes:
    """Return the value of a row."""
    return json.dumps(CONVERTER.unstructure(record)).encode()


def read_record(row: Row) -> Member | ZoneOwner:
    """Return the record in a row; raise ``RecordError`` where there is none."""
    shape = Member if row.ref.key.startswith(MEMBER_PREFIX) else ZoneOwner
    try:
        record = CONVERTER.structure(json.loads(row.value or b""), shape)
    except (ValueError, BaseValidationError) as error:
        raise RecordError(f"row {row.ref.key}: {error}") from error
    if isinstance(record, ZoneOwner):
        return evolve(record, version=row.version)
    return record
