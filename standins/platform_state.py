"""The platform stand-in's memory: rows, objects, the lagging host list, switches."""

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
class Switches:
    """The faults that can be switched on; 0 means no limit.

    ``down`` answers 503 at once, ``stall`` accepts and never answers,
    ``lose_replies`` applies writes and then drops the connection,
    ``host_list_lag_ms`` delays changes of the host list.
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
    """Requests served since the start; ``refused`` never took effect."""

    reads: int = 0
    writes: int = 0
    rows_read: int = 0
    rows_written: int = 0
    refused: int = 0


@define(eq=False)
class Table:
    """Rows with versions; a transaction applies whole or not at all."""

    rows: dict[str, Row] = field(factory=dict)

    def read(self, keys: tuple[str, ...]) -> tuple[Row, ...]:
        """Return the rows that exist among ``keys``."""
        return tuple(self.rows[key] for key in keys if key in self.rows)

    def scan(self, prefix: str, limit: int) -> tuple[Row, ...]:
        """Return up to ``limit`` rows under ``prefix``, in order of keys."""
        keys = sorted(key for key in self.rows if key.startswith(prefix))
        return tuple(self.rows[key] for key in keys[:limit])

    def transact(self, changes: tuple[Change, ...]) -> Committed | Conflicted:
        """Apply all of ``changes``, or return the rows that differ."""
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
    """Allows a number of requests in each second of the clock."""

    clock: Clock
    second: int = 0
    used: int = 0

    def allow(self, limit_per_s: int) -> bool:
        """Count one request, and say whether it is within the limit."""
        second = int(self.clock.now_ms() // MS_PER_S)
        if second != self.second:
            self.second = second
            self.used = 0
        self.used += 1
        return not limit_per_s or self.used <= limit_per_s


@define(eq=False)
class LaggingHostList:
    """The list of workers, of which readers see each change late."""

    clock: Clock
    visible: tuple[ListedTarget, ...] = ()
    pending: list[tuple[float, tuple[ListedTarget, ...]]] = field(factory=list)

    def replace(self, targets: tuple[ListedTarget, ...], lag_ms: float) -> None:
        """Set the list; readers see it after ``lag_ms``."""
        self.pending.append((self.clock.now_ms() + lag_ms, targets))

    def read(self) -> tuple[ListedTarget, ...]:
        """Return the list as shown now."""
        now_ms = self.clock.now_ms()
        while self.pending and self.pending[0][0] <= now_ms:
            self.visible = self.pending.pop(0)[1]
        return self.visible


@define(eq=False)
class PlatformState:
    """Everything the stand-in remembers."""

    clock: Clock = field(factory=SystemClock)
    switches: Switches = Switches()
    counts: Counts = field(factory=Counts)
    table: Table = field(factory=Table)
    objects: dict[str, bytes] = field(factory=dict)
    hosts: LaggingHostList = field(init=False)
    reads: RateLimit = field(init=False)
    writes: RateLimit = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.hosts = LaggingHostList(self.clock)
        self.reads = RateLimit(self.clock)
        self.writes = RateLimit(self.clock)

    def switch(self, changes: dict) -> Switches:
        """Set some switches, leave the others; raise TypeError on unknown ones."""
        self.switches = evolve(self.switches, **changes)
        return self.switches
