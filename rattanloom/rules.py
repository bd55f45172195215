"""The operators' rules in the stand-alone version, as typed data.

Each field of ``Rules`` is one section of the operators' JSON files.
"""

from attrs import field, frozen

from rattanloom.settings import validate_name
from rattanloom.validation import in_range

SLOTS_MAX = 1_000_000
TASKS_MAX = 100_000
HOUR_MS = 3_600_000


@frozen
class KindRule:
    """Rules for one kind of task.

    ``targets`` are name patterns (``*`` matches any characters) of the allowed
    workers; empty allows all. ``refuse``, if not empty, is the reason with which all
    tasks of the kind are refused. ``retries_max`` limits the retries of a task whose
    attempts definitely did not start, after random, exponentially growing delays from
    ``retry_base_ms``. A job with a deadline above ``deadline_max_ms`` is refused.
    """

    targets: tuple[str, ...] = ()
    refuse: str = ""
    retries_max: int = field(default=5, validator=in_range(0, 100))
    retry_base_ms: int = field(default=10, validator=in_range(1, 60_000))
    deadline_max_ms: int = field(default=60_000, validator=in_range(1, HOUR_MS))
    idempotent: bool = True


@frozen
class TeamRule:
    """Quota and weight of one team.

    ``quota_slots`` limits the slots that its tasks occupy at once on all entry
    hosts, ``queue_max`` its waiting tasks on each host. ``weight`` sets its
    share when slots are scarce. ``retry_budget_percent`` limits its retries to a
    share of its first attempts.
    """

    quota_slots: int = field(default=64, validator=in_range(0, SLOTS_MAX))
    weight: int = field(default=1, validator=in_range(1, 1000))
    queue_max: int = field(default=2_000, validator=in_range(0, TASKS_MAX))
    retry_budget_percent: int = field(default=10, validator=in_range(0, 100))


@frozen
class TargetRule:
    """Rules for one target (a worker): with ``drain`` it gets no new tasks."""

    drain: bool = False


@frozen
class DeploymentRule:
    """Weights and limits of the whole deployment.

    The ratio of ``response_weight`` to ``message_weight`` sets the trade-off
    where a shorter response time costs more messages. ``answer_keep_bytes`` limits
    the results that each entry host keeps.
    """

    response_weight: float = field(default=0.5, validator=in_range(0, 1))
    message_weight: float = field(default=0.5, validator=in_range(0, 1))
    tasks_per_job_max: int = field(default=210, validator=in_range(1, TASKS_MAX))
    answer_keep_bytes: int = field(
        default=8_000_000, validator=in_range(0, 1_000_000_000)
    )


@frozen
class Rules:
    """A complete configuration: the operators' folder with the overrides on top."""

    kinds: dict[str, KindRule] = field(factory=dict)
    teams: dict[str, TeamRule] = field(factory=dict)
    targets: dict[str, TargetRule] = field(factory=dict)
    deployment: DeploymentRule = DeploymentRule()

    @kinds.validator
    @teams.validator
    @targets.validator
    def _validate_names(self, attribute: object, value: dict) -> None:
        for name in value:
            validate_name(self, attribute, name)
