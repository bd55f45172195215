"""The zones that the operator has evacuated, and how current this knowledge is."""

from collections.abc import Callable, Iterable, Sequence
from math import inf

from attrs import define, field

from rattanloom.clock import Clock
from rattanloom.decision_log import DecisionLog
from rattanloom.platform.evacuations import evacuated_zone
from rattanloom.platform.rows import Row

log = DecisionLog("daemon")

# Longest wait for a read of the table while no other read succeeds; then the store
# counts as unreachable, and the operator's bound does not apply.
READ_WAIT_MAX_MS = 250
# Another table that was read within this time shows that the store is reachable. An
# owner reads the workers every 400 ms, and a failed read takes up to 500 ms.
CONTACT_AGE_MAX_MS = 1_000


@define(eq=False, repr=False)
class Evacuations:
    """The evacuated zones, from the rows of the operator's table.

    ``zones`` are those of the settings; rows of other zones are ignored. ``in_force``
    maps each evacuated zone to the version of its row; it is changed in place, so that
    others may keep a reference. ``on_change`` is called after it changed. ``is_known``
    is set once the whole table was read.
    """

    zones: Iterable[str]
    on_change: Callable[[], None]
    in_force: dict[str, int] = field(factory=dict)
    is_known: bool = False
    _ignored: set[str] = field(factory=set)

    def apply_snapshot(self, rows: Sequence[Row]) -> None:
        """Apply all rows of the table; evacuations without a row have ended."""
        self.is_known = True
        present = {evacuated_zone(row) for row in rows if not row.deleted}
        ended = [self._end(zone) for zone in list(self.in_force) if zone not in present]
        self._apply(rows, bool(ended))

    def apply_rows(self, rows: Sequence[Row]) -> None:
        """Apply changed rows of the table; a deleted one ends its evacuation."""
        self._apply(rows, False)

    def _apply(self, rows: Sequence[Row], has_changed: bool) -> None:
        for row in rows:
            zone = evacuated_zone(row)
            if zone is not None and self._apply_row(zone, row):
                has_changed = True
        if has_changed:
            self.on_change()

    def _apply_row(self, zone: str, row: Row) -> bool:
        """Apply one row; return whether an evacuation began or ended."""
        if zone not in self.zones:
            if zone not in self._ignored:
                self._ignored.add(zone)
                log.warning("evacuation_ignored", zone=zone, reason="unknown zone")
            return False
        known = self.in_force.get(zone)
        if row.deleted:
            if known is None or row.version < known:
                return False
            self._end(zone)
            return True
        self.in_force[zone] = max(row.version, known or 0)
        if known is not None:
            return False
        log.info("evacuation_in_force", zone=zone, version=row.version)
        return True

    def _end(self, zone: str) -> str:
        version = self.in_force.pop(zone)
        log.info("evacuation_ended", zone=zone, version=version)
        return zone


@define(eq=False, repr=False)
class EvacuationAgeGuard:
    """Holds starts back while evacuations may have been missed.

    ``age_max_ms`` is the age of the copy of the table up to which tasks start by it;
    None if the deployment sets no bound for evacuations, and nothing is held back.
    ``copy_age_ms`` returns the age of the copy, ``contact_age_ms`` the time since the
    last successful read of any other table. ``refresh`` begins to read the table, and
    must not block. ``_held_since_ms`` is when starts were first held back.
    """

    clock: Clock
    evacuations: Evacuations
    copy_age_ms: Callable[[], float]
    contact_age_ms: Callable[[], float]
    refresh: Callable[[], None]
    age_max_ms: float | None = None
    _held_since_ms: float | None = None

    def may_start(self) -> bool:
        """Return whether tasks may start, in zones that are not known as evacuated.

        A daemon that never read the table starts none. With an old copy, starts are
        held back until it is read, or until the store is found unreachable: then the
        bound does not apply, and an outage must not stop all work.
        """
        if self.age_max_ms is None:
            return True
        age_ms = self.copy_age_ms() if self.evacuations.is_known else inf
        if age_ms <= self.age_max_ms:
            self._held_since_ms = None
            return True
        now_ms = self.clock.now_ms()
        if self._held_since_ms is None:
            self._held_since_ms = now_ms
            log.info("evacuations_outdated", age_ms=age_ms if age_ms < inf else None)
            self.refresh()
        if not self.evacuations.is_known:
            return False
        return (
            now_ms > self._held_since_ms + READ_WAIT_MAX_MS
            and self.contact_age_ms() > CONTACT_AGE_MAX_MS
        )
