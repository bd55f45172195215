"""Writes this daemon as the owner of zones, in the store or, without it, as a claim."""

from collections.abc import Callable, Sequence

import gevent
from attrs import define, field

from rattanloom.clock import MS_PER_S, Clock
from rattanloom.decision_log import DecisionLog
from rattanloom.errors import Failure
from rattanloom.links.hub import LinkHub
from rattanloom.links.messages import ZoneClaims
from rattanloom.ownership.records import (
    TABLE,
    ZoneOwner,
    claim_number,
    encode_record,
    zone_ref,
)
from rattanloom.ownership.view import OwnerView
from rattanloom.platform.rows import Committed, Condition, Conflicted, Store
from rattanloom.tables import TableFollower

log = DecisionLog("ownership")

# A write takes 10 ms; after this the zone is claimed without the store.
STORE_WRITE_TIMEOUT_MS = 120


@define(eq=False, repr=False)
class ZoneAcquirer:
    """Takes zones for this daemon.

    ``workers_complete`` tells whether all workers can be known. ``inherited_ms``
    tells when all zones of an owner before were taken, with all of its workers
    known.
    """

    clock: Clock
    store: Store
    hub: LinkHub
    view: OwnerView
    follower: TableFollower
    workers_complete: Callable[[], bool]
    inherited_ms: dict[str, float] = field(factory=dict)
    _claim_count: int = 0

    def acquire_or_claim(self, zones: Sequence[str], reason: str) -> None:
        """Write the record, or claim the zones if the store does not answer soon."""
        tokens = {zone: self.view.token(zone) for zone in zones}
        write = gevent.spawn(self.acquire, zones, reason)
        write.join(timeout=STORE_WRITE_TIMEOUT_MS / MS_PER_S)
        unchanged = [zone for zone in zones if self.view.token(zone) == tokens[zone]]
        if unchanged and (not write.ready() or write.value is False):
            self._claim(unchanged)

    def acquire(
        self, zones: Sequence[str], reason: str, complete: bool | None = None
    ) -> bool:
        """Write this daemon as the owner of zones; False if the store failed.

        ``complete`` says whether all workers of the owner before are known.
        """
        node = self.view.own.node
        records = [ZoneOwner(zone, node, self.view.epoch(zone) + 1) for zone in zones]
        conditions = [
            Condition(zone_ref(zone), self.view.version(zone)) for zone in zones
        ]
        writes = [(zone_ref(record.zone), encode_record(record)) for record in records]
        log.info("zones_taking", zones=zones, reason=reason)
        result = self.store.transact(conditions, writes)
        if isinstance(result, Committed):
            for zone in zones:
                self.view.versions[zone] = result.version
            self._record_acquired(records, complete)
        elif isinstance(result, Conflicted):
            log.info("zones_not_taken", zones=zones, reason="another daemon was first")
            self.follower.read_now()
        else:
            log.warning("zones_not_taken", zones=zones, reason=result.reason)
            return self._resolve_unknown_write(records)
        return True

    def _claim(self, zones: Sequence[str]) -> None:
        self._claim_count += 1
        node = self.view.own.node
        claim = claim_number(node, self._claim_count)
        claimed = [
            ZoneOwner(zone, node, self.view.epoch(zone), claim) for zone in zones
        ]
        log.warning("zones_claimed", zones=zones, reason="the store does not answer")
        self._record_acquired(claimed)
        for other in self.hub.nodes():
            self.hub.link(other).send(claims_message(claimed))

    def _resolve_unknown_write(self, records: Sequence[ZoneOwner]) -> bool:
        """Find out whether a write whose answer was lost took effect."""
        read = self.store.read(TABLE)
        if isinstance(read, Failure):
            return False
        values = {row.ref: row.value for row in read.rows}
        written = [
            record
            for record in records
            if values.get(zone_ref(record.zone)) == encode_record(record)
        ]
        if written:
            self._record_acquired(written)
        self.view.apply_rows(read.rows)
        return bool(written)

    def _record_acquired(
        self, records: Sequence[ZoneOwner], complete: bool | None = None
    ) -> None:
        """Note from which owners all zones were taken with these."""
        if complete is None:
            complete = self.workers_complete()
        before = {self.view.owners.get(record.zone) for record in records}
        old_owners = {owner.owner for owner in before if owner}
        taken = {record.zone for record in records}
        for owner in old_owners - {self.view.own.node}:
            if complete and self.view.zones_of(owner) <= taken:
                self.inherited_ms[owner] = self.clock.now_ms()
        self.view.apply_owners(records, own=True)


def claims_message(claimed: Sequence[ZoneOwner]) -> ZoneClaims:
    """Return the message that tells others of zones claimed at once."""
    first = claimed[0]
    return ZoneClaims(
        first.owner,
        first.claim,
        tuple(owner.zone for owner in claimed),
        tuple(owner.epoch for owner in claimed),
    )
