"""When an attempt that surely did not start may be sent again."""

from collections import OrderedDict

from attrs import define, field
from tenacity import RetryCallState, wait_random_exponential

from rattanloom.clock import MS_PER_S
from rattanloom.rules import KindRule, TeamRule

DELAY_MAX_MS = 1_000
CREDITS_AT_FIRST = 10.0
CREDITS_MAX = 200.0
CREDITS_PER_S = 1.0
TEAMS_MAX = 1_000


@define
class Credits:
    """The resends that one team may still make, as of ``at_ms``."""

    left: float
    at_ms: float

    def add(self, credits: float, now_ms: float) -> None:
        """Add credits, and those that time has earned."""
        credits += CREDITS_PER_S * (now_ms - self.at_ms) / MS_PER_S
        self.left = min(self.left + credits, CREDITS_MAX)
        self.at_ms = now_ms


@define(eq=False)
class RetryBudget:
    """Bounds each team's resends to a share of its first attempts.

    Every first attempt earns ``retry_budget_percent`` of a resend, and every
    second ``CREDITS_PER_S``, so that a lone task is not held back for good.
    """

    _teams: OrderedDict[str, Credits] = field(factory=OrderedDict)

    def earn(self, team: str, rule: TeamRule, now_ms: float) -> None:
        """Count one first attempt of a team."""
        self._credits(team, now_ms).add(rule.retry_budget_percent / 100, now_ms)

    def spend(self, team: str, now_ms: float) -> bool:
        """Take one resend from the team's budget; False where none is left."""
        credits = self._credits(team, now_ms)
        credits.add(0, now_ms)
        if credits.left < 1:
            return False
        credits.left -= 1
        return True

    def _credits(self, team: str, now_ms: float) -> Credits:
        credits = self._teams.setdefault(team, Credits(CREDITS_AT_FIRST, now_ms))
        self._teams.move_to_end(team)
        if len(self._teams) > TEAMS_MAX:
            self._teams.popitem(last=False)
        return credits


def retry_delay_ms(rule: KindRule, number: int) -> float:
    """Return the jittered exponential delay before attempt ``number`` + 1."""
    wait = wait_random_exponential(
        multiplier=rule.retry_base_ms / MS_PER_S, max=DELAY_MAX_MS / MS_PER_S
    )
    state = RetryCallState(retry_object=None, fn=None, args=(), kwargs={})
    state.attempt_number = number
    return wait(state) * MS_PER_S
