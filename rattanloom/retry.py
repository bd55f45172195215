"""When an attempt that surely did not start may be sent again."""

from attrs import define, field
from tenacity import RetryCallState, wait_random_exponential

from rattanloom.clock import MS_PER_S
from rattanloom.rules import KindRule, TeamRule

DELAY_MAX_MS = 1_000
BUDGET_FLOOR = 10.0
BUDGET_MAX = 200.0
TEAMS_MAX = 1_000


@define(eq=False)
class RetryBudget:
    """Bounds each team's resends to a share of its first attempts.

    Every first attempt earns ``retry_budget_percent`` of a resend, up to
    ``BUDGET_MAX``; a team starts with ``BUDGET_FLOOR`` resends.
    """

    _credits: dict[str, float] = field(factory=dict)

    def earn(self, team: str, rule: TeamRule) -> None:
        """Count one first attempt of a team."""
        credit = self._credit(team) + rule.retry_budget_percent / 100
        self._credits[team] = min(credit, BUDGET_MAX)

    def spend(self, team: str) -> bool:
        """Take one resend from the team's budget; False where none is left."""
        credit = self._credit(team)
        if credit < 1:
            return False
        self._credits[team] = credit - 1
        return True

    def _credit(self, team: str) -> float:
        if team not in self._credits and len(self._credits) >= TEAMS_MAX:
            self._credits.pop(next(iter(self._credits)))
        return self._credits.setdefault(team, BUDGET_FLOOR)


def retry_delay_ms(rule: KindRule, number: int) -> float:
    """Return the jittered exponential delay before attempt ``number`` + 1."""
    wait = wait_random_exponential(
        multiplier=rule.retry_base_ms / MS_PER_S, max=DELAY_MAX_MS / MS_PER_S
    )
    state = RetryCallState(retry_object=None, fn=None, args=(), kwargs={})
    state.attempt_number = number
    return wait(state) * MS_PER_S
