"""Detects that the process was suspended or starved, from the times of its ticks."""

from collections.abc import Callable

from attrs import define

from rattanloom.decision_log import DecisionLog

log = DecisionLog("placement")

# A process that did not tick for this time was suspended or starved. Peers take an
# owner for lost after 450 ms without data.
SUSPENSION_MIN_MS = 400


@define(eq=False, repr=False)
class SuspensionGuard:
    """Forbids orders after a suspension, until ``resume`` is called for it.

    Meanwhile, another daemon may have taken over. ``on_suspended`` is called once a
    tick shows a suspension, also during the check of an earlier one: what that one
    reads may be older. ``unchecked`` is the number of suspensions without a ``resume``;
    ``last_tick_ms`` is None before the first tick.
    """

    on_suspended: Callable[[], None]
    last_tick_ms: float | None = None
    unchecked: int = 0

    def tick(self, now_ms: float) -> None:
        """Record a tick; detect a suspension before it."""
        if not self._has_ticked_recently(now_ms):
            gap_ms = round(now_ms - self.last_tick_ms)
            log.warning("placer_paused", paused_ms=gap_ms)
            self.unchecked += 1
            self.on_suspended()
        self.last_tick_ms = now_ms

    def resume(self) -> None:
        """Allow orders again, once all suspensions are checked."""
        self.unchecked -= 1

    def may_give_orders(self, now_ms: float) -> bool:
        """Return whether there was no suspension since the last tick."""
        return not self.unchecked and self._has_ticked_recently(now_ms)

    def _has_ticked_recently(self, now_ms: float) -> bool:
        last_ms = self.last_tick_ms
        return last_ms is None or now_ms <= last_ms + SUSPENSION_MIN_MS
