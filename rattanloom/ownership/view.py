"""The members and owners known to this daemon, from the store and from peers."""

from collections import Counter
from collections.abc import Callable, Container, Iterable, Sequence

from attrs import define, field

from rattanloom.clock import Clock, SystemClock
from rattanloom.decision_log import DecisionLog
from rattanloom.ownership.records import (
    MEMBER_PREFIX,
    Member,
    RecordError,
    ZoneOwner,
    decode_record,
)
from rattanloom.platform.rows import ABSENT, Row

log = DecisionLog("ownership")


@define(eq=False, repr=False)
class OwnerView:
    """The known members by node, and the owners by zone.

    Of two owners of a zone, the one with the higher fencing token is kept.
    ``versions`` holds the version of each zone's row in the store. ``on_change`` is
    called after owners changed. ``superseded`` has the former owners of zones with the
    records that replaced theirs, until the caller of ``pop_superseded`` takes them.
    ``reassigned_ms`` has when a zone last went to a node, or from it to a daemon other
    than this one. ``_own_tokens`` holds the tokens of the zones that this incarnation
    acquired. ``_expected_tokens`` counts the writes by token that may have acquired a
    zone; without a response, they may do so seconds later.
    """

    own_member: Member
    on_change: Callable[[], None]
    members: dict[str, Member] = field(factory=dict)
    owners: dict[str, ZoneOwner] = field(factory=dict)
    versions: dict[str, int] = field(factory=dict)
    superseded: list[tuple[str, ZoneOwner]] = field(factory=list)
    clock: Clock = field(factory=SystemClock)
    reassigned_ms: dict[str, float] = field(factory=dict)
    _own_tokens: set[int] = field(factory=set)
    _expected_tokens: Counter[int] = field(factory=Counter)

    def owned(self) -> dict[str, ZoneOwner]:
        """Return the zones that this incarnation owns, with their owner records."""
        return {
            zone: owner
            for zone, owner in self.owners.items()
            if owner.owner == self.own_member.node
            and (
                owner.fencing_token in self._own_tokens
                or self._expected_tokens[owner.fencing_token]
            )
        }

    def expect_acquired(self, records: Iterable[ZoneOwner]) -> None:
        """Count zones as owned here once their rows show that they were acquired."""
        self._expected_tokens.update(record.fencing_token for record in records)

    def forget_expected(self, records: Iterable[ZoneOwner]) -> None:
        """Undo ``expect_acquired`` for a write that has and will have no effect."""
        self._expected_tokens.subtract(record.fencing_token for record in records)

    def version(self, zone: str) -> int:
        """Return the last known version of a zone's row, or ABSENT."""
        return self.versions.get(zone, ABSENT)

    def zones_of(self, node: str) -> set[str]:
        """Return the zones that the daemon ``node`` owns, in any incarnation."""
        return {zone for zone, owner in self.owners.items() if owner.owner == node}

    def apply_snapshot(self, rows: Sequence[Row]) -> None:
        """Apply all rows of the table; remove the members that are not among them."""
        present = {row.ref.key for row in rows}
        for node in list(self.members):
            if MEMBER_PREFIX + node not in present:
                del self.members[node]
        self.apply_rows(rows)

    def apply_rows(self, rows: Sequence[Row]) -> None:
        """Apply changed rows of the table."""
        records = []
        for row in rows:
            if row.deleted:
                self.members.pop(row.ref.key.removeprefix(MEMBER_PREFIX), None)
                continue
            try:
                record = decode_record(row)
            except RecordError as error:
                log.warning("record_unreadable", reason=str(error))
                continue
            if isinstance(record, Member):
                self.members[record.node] = record
            else:
                version = max(row.version, self.version(record.zone))
                self.versions[record.zone] = version
                records.append(record)
        self.apply_owners(records)

    def apply_owners(
        self, records: Iterable[ZoneOwner], acquired: bool = False
    ) -> None:
        """Apply owners that are newer than the known ones.

        ``acquired`` is set if this daemon has just acquired the zones.
        """
        changed = False
        for record in records:
            if acquired:
                self._own_tokens.add(record.fencing_token)
            current = self.owners.get(record.zone)
            if current is None or record.fencing_token > current.fencing_token:
                self.owners[record.zone] = record
                changed = True
                if current is not None and current.owner != record.owner:
                    self.superseded.append((current.owner, record))
                    self._record_reassigned(current.owner, record.owner)
                log.info(
                    "zone_owner",
                    zone=record.zone,
                    owner=record.owner,
                    epoch=record.epoch,
                    claimed=record.claim > 0,
                )
        if changed or acquired:
            self.on_change()

    def _record_reassigned(self, former: str, owner: str) -> None:
        now_ms = self.clock.now_ms()
        self.reassigned_ms[owner] = now_ms
        if owner != self.own_member.node:
            self.reassigned_ms[former] = now_ms

    def pop_superseded(self) -> list[tuple[str, ZoneOwner]]:
        """Return and forget the former owners and the records that replaced theirs."""
        superseded, self.superseded = self.superseded, []
        return superseded

    def token(self, zone: str) -> int:
        """Return the fencing token of a zone's owner; 0 without one."""
        owner = self.owners.get(zone)
        return owner.fencing_token if owner else 0

    def epoch(self, zone: str) -> int:
        """Return the epoch of a zone's owner; 0 without one."""
        owner = self.owners.get(zone)
        return owner.epoch if owner else 0

    def candidates(
        self, reachable_nodes: set[str], preferred_zone: str | None = None
    ) -> list[Member]:
        """Return this and the reachable daemons, in the order in which they take over.

        Daemons of the zone ``preferred_zone`` come first, then those with more cores.
        Of equal ones, the last started comes first: a planned restart reaches it last.
        """
        members = {
            node: member
            for node, member in self.members.items()
            if node in reachable_nodes
        }
        members[self.own_member.node] = self.own_member
        return sorted(
            members.values(), key=lambda member: _takeover_order(member, preferred_zone)
        )

    def rank(self, preferred_zone: str | None, lost_nodes: Container[str]) -> int:
        """Return how many other members come before this daemon in a takeover.

        All members count except ``lost_nodes``; the order is that of ``candidates``.
        """
        own_order = _takeover_order(self.own_member, preferred_zone)
        return sum(
            _takeover_order(member, preferred_zone) < own_order
            for node, member in self.members.items()
            if node not in lost_nodes
        )

    def is_majority_reached(self, zone: str, reachable_nodes: set[str]) -> bool:
        """Return whether enough daemons are reachable to take a zone.

        That is more than half of the daemons in the zone, or more than half of all
        daemons including at least one in the zone.
        """
        nodes = {node for node, member in self.members.items() if member.zone == zone}
        if 2 * len(nodes & reachable_nodes) > len(nodes):
            return True
        is_majority = 2 * len(reachable_nodes & set(self.members)) > len(self.members)
        return is_majority and bool(nodes & reachable_nodes)


def _takeover_order(member: Member, preferred_zone: str | None) -> tuple:
    """Return the sort key of a candidate; see ``OwnerView.candidates``."""
    return (
        preferred_zone is not None and member.zone != preferred_zone,
        -member.cpu_cores,
        -member.started_wall_ms,
        member.node,
    )
