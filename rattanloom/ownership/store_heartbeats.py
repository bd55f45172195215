"""Heartbeats of owners in the store, for daemons without a link to the owner."""

import gevent
from attrs import define

from rattanloom.clock import MS_PER_S, Clock
from rattanloom.errors import Failure
from rattanloom.ownership.records import HEARTBEATS_TABLE, heartbeat_ref
from rattanloom.platform.rows import Store

HEARTBEAT_INTERVAL_MS = 500
# An owner whose row does not change in this time has stopped writing heartbeats.
# Allows for one lost heartbeat and a slow store, which takes some 200 ms.
HEARTBEAT_TIMEOUT_MS = 1_200


@define(eq=False, repr=False)
class StoreHeartbeats:
    """Writes the heartbeats of this daemon and checks those of other owners.

    ``number`` counts the heartbeats written and is the value of the row.
    """

    node: str
    clock: Clock
    store: Store
    number: int = 0
    last_written_ms: float = 0

    def write_if_due(self) -> None:
        """Write the next heartbeat, without blocking, if it is due."""
        now_ms = self.clock.now_ms()
        if now_ms > self.last_written_ms + HEARTBEAT_INTERVAL_MS:
            self.last_written_ms = now_ms
            self.number += 1
            write = (heartbeat_ref(self.node), str(self.number).encode())
            gevent.spawn(self.store.transact, (), (write,))

    def have_stopped(self, owners: set[str]) -> bool | Failure:
        """Return whether none of the owners writes heartbeats.

        Blocks for ``HEARTBEAT_TIMEOUT_MS``.
        """
        before = self._read(owners)
        if isinstance(before, Failure):
            return before
        gevent.sleep(HEARTBEAT_TIMEOUT_MS / MS_PER_S)
        after = self._read(owners)
        if isinstance(after, Failure):
            return after
        return before == after

    def _read(self, owners: set[str]) -> dict[str, bytes | None] | Failure:
        read = self.store.read(HEARTBEATS_TABLE)
        if isinstance(read, Failure):
            return read
        return {row.ref.key: row.value for row in read.rows if row.ref.key in owners}
