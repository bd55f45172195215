"""Registers this daemon in the store, so that other daemons know its address."""

import gevent
from attrs import define

from rattanloom.clock import MS_PER_S
from rattanloom.decision_log import DecisionLog
from rattanloom.errors import Failure
from rattanloom.ownership.records import Member, encode_record, member_ref
from rattanloom.platform.rows import (
    ABSENT,
    Committed,
    Condition,
    Conflicted,
    RowRef,
    Store,
)

log = DecisionLog("ownership")

# Pause between two tries to write or remove the row of this daemon.
RETRY_PAUSE_MS = 200


@define(eq=False, repr=False)
class Registration:
    """Writes and removes the member row of this incarnation.

    A write without a response may take effect seconds later, when the daemon has been
    started again. So each one requires the version of the row that it replaces.
    """

    member: Member
    store: Store
    _version: int = ABSENT
    _is_leaving: bool = False

    def register(self) -> None:
        """Write the row; retry until the store confirms it.

        The row is removed again if this daemon leaves meanwhile.
        """
        write = (self._ref, encode_record(self.member))
        replaced_version = ABSENT
        while self._version == ABSENT:
            condition = Condition(self._ref, replaced_version)
            result = self.store.transact((condition,), (write,))
            if isinstance(result, Committed):
                self._version = result.version
            elif isinstance(result, Failure):
                self._pause(result.reason)
            elif _current_version(result, self._ref) == replaced_version:
                self._pause("refused without another version of the row")
            else:
                replaced_version = _current_version(result, self._ref)
        if self._is_leaving:
            self.unregister()

    def unregister(self) -> None:
        """Remove the row, unless another incarnation wrote it; retry until confirmed.

        Does nothing while the row is being written; ``register`` removes it then.
        """
        self._is_leaving = True
        condition = Condition(self._ref, self._version)
        while self._version != ABSENT:
            result = self.store.transact((condition,), (), (self._ref,))
            if not isinstance(result, Failure):
                self._version = ABSENT
                return
            self._pause(result.reason)

    @property
    def _ref(self) -> RowRef:
        return member_ref(self.member.node)

    def _pause(self, reason: str) -> None:
        log.warning("member_row_not_written", leaving=self._is_leaving, reason=reason)
        gevent.sleep(RETRY_PAUSE_MS / MS_PER_S)


def _current_version(conflict: Conflicted, ref: RowRef) -> int:
    """Return the version of a row in a conflict; ABSENT if it does not exist."""
    rows = [row for row in conflict.rows if row.ref == ref and not row.deleted]
    return rows[0].version if rows else ABSENT
