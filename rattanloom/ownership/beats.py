"""Shows in the store that owners live, for daemons that no longer hear them."""

import gevent
from attrs import define

from rattanloom.clock import MS_PER_S, Clock
from rattanloom.errors import Failure
from rattanloom.ownership.records import BEATS_TABLE, beat_ref
from rattanloom.platform.rows import Store

BEAT_MS = 500
# One beat may be lost, and a slow store takes some 200 ms.
SILENT_MS = 1_200


@define(eq=False, repr=False)
class Beats:
    """The beats of owners in the store."""

    node: str
    clock: Clock
    store: Store
    number: int = 0
    beaten_ms: float = 0

    def beat(self) -> None:
        """Write the next beat if it is due."""
        now_ms = self.clock.now_ms()
        if now_ms > self.beaten_ms + BEAT_MS:
            self.beaten_ms = now_ms
            self.number += 1
            write = (beat_ref(self.node), str(self.number).encode())
            gevent.spawn(self.store.transact, (), (write,))

    def are_silent(self, owners: set[str]) -> bool | Failure:
        """Return whether none of the owners beats; takes ``SILENT_MS``."""
        before = self._read(owners)
        if isinstance(before, Failure):
            return before
        gevent.sleep(SILENT_MS / MS_PER_S)
        after = self._read(owners)
        if isinstance(after, Failure):
            return after
        return before == after

    def _read(self, owners: set[str]) -> dict[str, bytes | None] | Failure:
        read = self.store.read(BEATS_TABLE)
        if isinstance(read, Failure):
            return read
        return {row.ref.key: row.value for row in read.rows if row.ref.key in owners}
