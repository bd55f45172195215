"""The operators' rules: what one accepted configuration says, as typed data.

The definitions below are the whole vocabulary of a configuration document:
each field of ``Rules`` is one section of the operators' JSON files.
"""

from attrs import field, frozen

from rattanloom.settings import in_range, is_name

SLOTS_MAX = 1_000_000
TASKS_MAX = 100_000
HOUR_MS = 3_600_000


@frozen
class KindRule:
    """Rules for one kind of task.

    ``targets`` are name patterns (``*`` matches any run of characters) of the
    workers allowed; empty allows all. ``refuse`` turns the kind away with the
    given reason. ``retries_max`` bounds resends of attempts that surely did
    not start.
    """

    targets: tuple[str, ...] = ()
    refuse: str = ""
    retries_max: int = field(default=5, validator=in_range(0, 100))
    retry_base_ms: int = field(default=10, validator=in_range(1, 60_000))
    deadline_max_ms: int = field(default=60_000, validator=in_range(1, HOUR_MS))
    idempotent: bool = True


@frozen
class TeamRule:
    """Quota and weight of one team, over all entry hosts.

    ``quota_slots`` bounds the slots its tasks occupy at once, ``weight`` its
    share when slots are scarce, ``queue_max`` its waiting tasks per host.
    """

    quota_slots: int = field(default=64, validator=in_range(0, SLOTS_MAX))
    weight: int = field(default=1, validator=in_range(1, 1000))
    queue_max: int = field(default=2_000, validator=in_range(0, TASKS_MAX))
    retry_budget_percent: int = field(default=10, validator=in_range(0, 100))


@frozen
class TargetRule:
    """What operators say of one worker: ``drain`` gives it no new work."""

    drain: bool = False


@frozen
class DeploymentRule:
    """The deployment's weights and limits.

    ``response_weight`` against ``message_weight`` says what to favour where
    a shorter response costs more messages.
    """

    response_weight: float = field(default=0.5, validator=in_range(0, 1))
    message_weight: float = field(default=0.5, validator=in_range(0, 1))
    tasks_per_job_max: int = field(default=210, validator=in_range(1, TASKS_MAX))
    answer_keep_bytes: int = field(
        default=8_000_000, validator=in_range(0, 1_000_000_000)
    )


@frozen
class Rules:
    """One whole configuration, as merged from the operators' folder."""

    kinds: dict[str, KindRule] = field(factory=dict)
    teams: dict[str, TeamRule] = field(factory=dict)
    targets: dict[str, TargetRule] = field(factory=dict)
    deployment: DeploymentRule = DeploymentRule()

    @kinds.validator
    @teams.validator
    @targets.validator
    def _validate_names(self, attribute: object, value: dict) -> None:
        for name in value:
            is_name(self, attribute, name)
