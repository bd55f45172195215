"""State of ``standins.platform``, the stand-alone version's platform stand-in.

Holds the table's rows, objects, the host list with its delay, and switches for faults.
"""

from attrs import define, evolve, field, frozen
from attrs.validators import ge

from rattanloom.clock import MS_PER_S, Clock, SystemClock
from rattanloom.platform.protocol import (
    ABSENT,
    Change,
    Committed,
    Conflicted,
    ListedTarget,
    Row,
)


@frozen
class PlatformSwitches:
    """Faults that can be switched on; a rate limit of 0 means no limit.

    ``latency_ms`` delays each request. ``down`` responds 503 to each, as does a rate
    limit to those above it. ``stall`` holds requests until it is switched off, then
    drops their connections; they have no effect. ``lose_replies`` applies writes, then
    drops their connections. ``host_list_lag_ms`` delays changes of the host list.
    """

    latency_ms: float = field(default=0.0, validator=ge(0))
    down: bool = False
    stall: bool = False
    lose_replies: bool = False
    host_list_lag_ms: float = field(default=0.0, validator=ge(0))
    write_limit_per_s: int = field(default=0, validator=ge(0))
    read_limit_per_s: int = field(default=0, validator=ge(0))


@define
class Counts:
    """Requests since the start, and their rows; ``refused`` ones had no effect."""

    reads: int = 0
    writes: int = 0
    rows_read: int = 0
    rows_written: int = 0
    refused: int = 0


@define(eq=False)
class Table:
    """Rows whose versions count their changes; a transaction applies all or nothing."""

    rows: dict[str, Row] = field(factory=dict)

    def read(self, keys: tuple[str, ...]) -> tuple[Row, ...]:
        """Return the rows of ``keys`` that exist."""
        return tuple(self.rows[key] for key in keys if key in self.rows)

    def scan(self, prefix: str, limit: int) -> tuple[Row, ...]:
        """Return up to ``limit`` rows whose key has ``prefix``, sorted by key."""
        keys = sorted(key for key in self.rows if key.startswith(prefix))
        return tuple(self.rows[key] for key in keys[:limit])

    def transact(self, changes: tuple[Change, ...]) -> Committed | Conflicted:
        """Apply all ``changes``, or none if a row's version is not the expected one."""
        differing = [
            self._current(change.key)
            for change in changes
            if self._current(change.key).version != change.expected_version
        ]
        if differing:
            return Conflicted(tuple(differing))
        return Committed(tuple(self._apply(change) for change in changes))

    def _current(self, key: str) -> Row:
        return self.rows.get(key, Row(key, ABSENT, ""))

    def _apply(self, change: Change) -> Row:
        if change.value is None:
            self.rows.pop(change.key, None)
            return Row(change.key, ABSENT, "")
        row = Row(change.key, change.expected_version + 1, change.value)
        self.rows[change.key] = row
        return row


@define(eq=False)
class RateLimit:
    """Limits the requests in each whole second of the clock.

    ``used`` counts the requests in ``second``.
    """

    clock: Clock
    second: int = 0
    used: int = 0

    def allow(self, limit_per_s: int) -> bool:
        """Count one request; return whether it is within the limit (0: no limit)."""
        second = int(self.clock.now_ms() // MS_PER_S)
        if second != self.second:
            self.second = second
            self.used = 0
        self.used += 1
        return not limit_per_s or self.used <= limit_per_s


@define(eq=False)
class LaggingHostList:
    """The platform's list of workers; readers see each change after a delay.

    ``pending`` holds newer lists, each with the time when it becomes visible.
    """

    clock: Clock
    visible: tuple[ListedTarget, ...] = ()
    pending: list[tuple[float, tuple[ListedTarget, ...]]] = field(factory=list)

    def replace(self, targets: tuple[ListedTarget, ...], lag_ms: float) -> None:
        """Replace the list; readers see the new one after ``lag_ms``."""
        self.pending.append((self.clock.now_ms() + lag_ms, targets))

    def read(self) -> tuple[ListedTarget, ...]:
        """Return the list that is visible now."""
        now_ms = self.clock.now_ms()
        while self.pending and self.pending[0][0] <= now_ms:
            self.visible = self.pending.pop(0)[1]
        return self.visible


@define(eq=False)
class PlatformState:
    """All state of one platform stand-in."""

    clock: Clock = field(factory=SystemClock)
    switches: PlatformSwitches = PlatformSwitches()
    counts: Counts = field(factory=Counts)
    table: Table = field(factory=Table)
    objects: dict[str, bytes] = field(factory=dict)
    hosts: LaggingHostList = field(init=False)
    read_rate: RateLimit = field(init=False)
    write_rate: RateLimit = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.hosts = LaggingHostList(self.clock)
        self.read_rate = RateLimit(self.clock)
        self.write_rate = RateLimit(self.clock)

    def switch(self, changes: dict) -> PlatformSwitches:
        """Set the given switches, keep the others; raise TypeError for unknown ones."""
        self.switches = evolve(self.switches, **changes)
        return self.switches
