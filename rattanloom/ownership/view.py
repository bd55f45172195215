"""The members and owners known to this daemon, from the store and from peers."""

from collections.abc import Callable, Iterable, Sequence

from attrs import define, field

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
    """Members and owners; of two owners of a zone, the higher token wins.

    ``versions`` are those of the zones' rows in the store. ``on_change`` is
    called after owners changed.
    """

    own: Member
    on_change: Callable[[], None]
    members: dict[str, Member] = field(factory=dict)
    owners: dict[str, ZoneOwner] = field(factory=dict)
    versions: dict[str, int] = field(factory=dict)
    _own_tokens: set[int] = field(factory=set)

    def owned(self) -> dict[str, ZoneOwner]:
        """Return the zones owned by this incarnation, not by an earlier one."""
        return {
            zone: owner
            for zone, owner in self.owners.items()
            if owner.owner == self.own.node and owner.fencing_token in self._own_tokens
        }

    def version(self, zone: str) -> int:
        """Return the version of a zone's row in the store."""
        return self.versions.get(zone, ABSENT)

    def zones_of(self, node: str) -> set[str]:
        """Return the zones that a daemon owns."""
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

    def apply_owners(self, records: Iterable[ZoneOwner], own: bool = False) -> None:
        """Apply owners from the store or a claim; ``own`` if by this process."""
        changed = False
        for record in records:
            if own:
                self._own_tokens.add(record.fencing_token)
            current = self.owners.get(record.zone)
            if current is None or record.fencing_token > current.fencing_token:
                self.owners[record.zone] = record
                changed = True
                log.info(
                    "zone_owner",
                    zone=record.zone,
                    owner=record.owner,
                    epoch=record.epoch,
                    claimed=record.claim > 0,
                )
        if changed or own:
            self.on_change()

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
        """Return the daemons that may take over, in the order in which they try.

        Daemons of the zone ``preferred_zone`` come first, then those with more cores. Of
        equal ones, the last started come first: planned restarts reach them last.
        """
        members = {
            node: member
            for node, member in self.members.items()
            if node in reachable_nodes
        }
        members[self.own.node] = self.own
        return sorted(
            members.values(),
            key=lambda member: (
                preferred_zone is not None and member.zone != preferred_zone,
                -member.cpu_cores,
                -member.started_wall_ms,
                member.node,
            ),
        )

    def is_majority_reached(self, zone: str, reachable_nodes: set[str]) -> bool:
        """Return whether a majority is reached that allows taking a zone.

        That is more than half of the zone's own daemons, or more than half of all
        daemons with at least one of the zone.
        """
        nodes = {node for node, member in self.members.items() if member.zone == zone}
        if 2 * len(nodes & reachable_nodes) > len(nodes):
            return True
        is_majority = 2 * len(reachable_nodes & set(self.members)) > len(self.members)
        return is_majority and bool(nodes & reachable_nodes)
