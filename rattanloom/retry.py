"""Retry budget and backoff for attempts that definitely did not start."""

from collections import OrderedDict

from attrs import define, field
from tenacity import RetryCallState, wait_random_exponential

from rattanloom.clock import MS_PER_S
from rattanloom.rules import KindRule, TeamRule

DELAY_MAX_MS = 1_000
INITIAL_TOKENS = 10.0
TOKENS_MAX = 200.0
TOKENS_PER_S = 1.0
# Maximum number of buckets; beyond it, the least recently used one is dropped.
TEAMS_MAX = 1_000


@define
class TokenBucket:
    """One team's token bucket; a token allows one retry."""

    available: float
    updated_ms: float

    def add(self, tokens: float, now_ms: float) -> None:
        """Add ``tokens`` and those due for the time since the last call."""
        tokens += TOKENS_PER_S * (now_ms - self.updated_ms) / MS_PER_S
        self.available = min(self.available + tokens, TOKENS_MAX)
        self.updated_ms = now_ms


@define(eq=False)
class RetryBudget:
    """Limits each team's retries to a share of its first attempts.

    Each first attempt of a task adds ``retry_budget_percent`` of a token. Each second
    of time adds ``TOKENS_PER_S``, so that a team with a single task can retry it
    eventually.
    """

    _teams: OrderedDict[str, TokenBucket] = field(factory=OrderedDict)

    def deposit(self, team: str, rule: TeamRule, now_ms: float) -> None:
        """Add the tokens for one first attempt of a team."""
        self._bucket(team, now_ms).add(rule.retry_budget_percent / 100, now_ms)

    def try_withdraw(self, team: str, now_ms: float) -> bool:
        """Take one token from the team's budget; return False if there is none."""
        bucket = self._bucket(team, now_ms)
        bucket.add(0, now_ms)
        if bucket.available < 1:
            return False
        bucket.available -= 1
        return True

    def _bucket(self, team: str, now_ms: float) -> TokenBucket:
        bucket = self._teams.setdefault(team, TokenBucket(INITIAL_TOKENS, now_ms))
        self._teams.move_to_end(team)
        if len(self._teams) > TEAMS_MAX:
            self._teams.popitem(last=False)
        return bucket


def retry_delay_ms(rule: KindRule, number: int) -> float:
    """Return the jittered exponential delay before attempt ``number`` + 1."""
    wait = wait_random_exponential(
        multiplier=rule.retry_base_ms / MS_PER_S, max=DELAY_MAX_MS / MS_PER_S
    )
    state = RetryCallState(retry_object=None, fn=None, args=(), kwargs={})
    state.attempt_number = number
    return wait(state) * MS_PER_S
