"""Makes this daemon the owner of zones, in the store or, without it, by a claim."""

from collections.abc import Callable, Sequence
from math import inf

import gevent
from attrs import define

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

# Pause between two tries to record claimed zones.
RECORD_PAUSE_MS = 500
# Timeout of the store write, which normally takes 10 ms. After it, the zone is
# claimed without the store.
STORE_WRITE_TIMEOUT_MS = 120


@define(eq=False, repr=False)
class ZoneAcquirer:
    """Acquires zones for this daemon.

    ``on_acquired`` is called, in a greenlet of its own, with the former owners of zones
    that were acquired. ``claim_count`` is the number of claims made. ``_recorded_ms``
    is when the last try to record claimed zones started.
    """

    clock: Clock
    store: Store
    hub: LinkHub
    view: OwnerView
    follower: TableFollower
    on_acquired: Callable[[set[str]], None]
    claim_count: int = 0
    _recording: gevent.Greenlet | None = None
    _recorded_ms: float = -inf

    def acquire_or_claim(self, zones: Sequence[str], reason: str) -> None:
        """Acquire zones in the store, or claim them if the write fails or times out."""
        tokens = {zone: self.view.token(zone) for zone in zones}
        write = gevent.spawn(self.acquire, zones, reason)
        write.join(timeout=STORE_WRITE_TIMEOUT_MS / MS_PER_S)
        unchanged = [zone for zone in zones if self.view.token(zone) == tokens[zone]]
        if unchanged and (not write.ready() or write.value is False):
            self._claim(unchanged)

    def acquire(self, zones: Sequence[str], reason: str) -> bool:
        """Record this daemon as the owner of zones, unless another one wrote first.

        Returns False if the store failed and no effect can be read; the write may still
        take effect later.

        The write also fails if this daemon lost another zone without noticing.
        Otherwise, it would start tasks in the new zones that the owner of the lost
        zone has taken over as well.
        """
        node = self.view.own_member.node
        records = [ZoneOwner(zone, node, self.view.epoch(zone) + 1) for zone in zones]
        conditions = [
            Condition(zone_ref(zone), self.view.version(zone))
            for zone in dict.fromkeys((*zones, *self.view.owned()))
        ]
        writes = [(zone_ref(record.zone), encode_record(record)) for record in records]
        log.info("zones_taking", zones=zones, reason=reason)
        self.view.expect_acquired(records)
        result = self.store.transact(conditions, writes)
        if isinstance(result, Committed):
            for zone in zones:
                self.view.versions[zone] = result.version
            self._record_acquired(records)
        elif isinstance(result, Conflicted):
            self.view.forget_expected(records)
            log.info(
                "zones_not_taken", zones=zones, reason="another daemon wrote first"
            )
            self.follower.read_now()
        else:
            log.warning("zones_not_taken", zones=zones, reason=result.reason)
            return self._resolve_unknown_write(records)
        return True

    def record_claims_if_due(self) -> None:
        """Record claimed zones once the store responds again, without blocking.

        Of several daemons that claimed a zone, the first to write remains its owner;
        the others find its record.
        """
        owned = self.view.owned().values()
        claimed = tuple(owner.zone for owner in owned if owner.claim)
        is_recording = self._recording is not None and not self._recording.ready()
        if not claimed or is_recording or self.follower.failures:
            return
        now_ms = self.clock.now_ms()
        if now_ms > self._recorded_ms + RECORD_PAUSE_MS:
            self._recorded_ms = now_ms
            reason = "claimed without the store"
            self._recording = gevent.spawn(self.acquire, claimed, reason)

    def _claim(self, zones: Sequence[str]) -> None:
        """Make this daemon the owner without the store; announce it to linked peers."""
        self.claim_count += 1
        node = self.view.own_member.node
        claim = claim_number(node, self.claim_count)
        claimed = [
            ZoneOwner(zone, node, self.view.epoch(zone), claim) for zone in zones
        ]
        log.warning("zones_claimed", zones=zones, reason="the store does not respond")
        self._record_acquired(claimed)
        for other in self.hub.nodes():
            self.hub.link(other).send(make_claims_message(claimed))

    def _resolve_unknown_write(self, records: Sequence[ZoneOwner]) -> bool:
        """Read the owners after a failed write; return whether it had any effect."""
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

    def _record_acquired(self, records: Sequence[ZoneOwner]) -> None:
        """Apply acquired zones, and tell their former owners."""
        before = {self.view.owners.get(record.zone) for record in records}
        former_owners = {owner.owner for owner in before if owner}
        former_owners.discard(self.view.own_member.node)
        self.view.apply_owners(records, acquired=True)
        gevent.spawn(self.on_acquired, former_owners)


def make_claims_message(claimed: Sequence[ZoneOwner]) -> ZoneClaims:
    """Return the message that announces the zones of one claim to peers."""
    first = claimed[0]
    return ZoneClaims(
        first.owner,
        first.claim,
        tuple(owner.zone for owner in claimed),
        tuple(owner.epoch for owner in claimed),
    )
