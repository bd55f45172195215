"""Scenarios of the bench, rows of their figures, and goals for some figures."""

from attrs import define, field, frozen

from experiments.load_results import RATIO_SCALE, US_PER_MS, LoadResult, percentile
from experiments.mixes import Mix

# Loads are the offered work as a share of the capacity of all slots.
PEAK_LOAD = 0.95
OVERLOAD = 3.0

# Lower bound for goodput, upper bounds for the others: response time over ideal at 80%
# load, wasted messages per task, p99 of the response time of refusals under overload.
GOALS = {
    "p50_at_80": 1.05,
    "p99_at_80": 1.5,
    "wasted_at_80": 0.02,
    "wasted_under_fault": 0.1,
    "goodput_overload_over_peak": 0.95,
    "refusal_ms": 20.0,
}


@frozen
class Scenario:
    """One run at a ``load``, with a ``fault`` injected unless that is empty."""

    name: str
    load: float
    fault: str = ""


SCENARIOS = (
    Scenario("load 50%", 0.5),
    Scenario("load 80%", 0.8),
    Scenario("load 95%", PEAK_LOAD),
    Scenario("load 300%", OVERLOAD),
    Scenario("a worker fails everything", 0.8, "fail_worker"),
    Scenario("a straggler", 0.8, "straggler"),
    Scenario("an entry host killed", 0.8, "kill_host"),
    Scenario("a zone cut off", 0.8, "cut_zone"),
    Scenario("platform down", 0.8, "platform_down"),
    Scenario("cancellation wave", 0.8, "cancel_wave"),
)

BASELINE_FAULTS = ("", "fail_worker", "straggler")


@define
class Row:
    """The figures of one run of a ``system``: rattanloom, or random (the baseline).

    ``jobs`` counts all jobs, ``tasks`` those of complete jobs. ``p50`` and ``p99``
    are response time over ideal. ``goodput_share`` and ``offered_share`` are shares
    of the capacity of all slots in the measured window, ``complete_share`` of
    ``jobs``. ``lag_p99_ms`` is how late the generators sent jobs. ``host_cores`` and
    ``worker_cores`` are the mean numbers of cores in use.
    """

    deployment: str
    scenario: str
    system: str
    jobs: int
    tasks: int
    p50: float
    p99: float
    wasted_per_task: float
    goodput_share: float
    offered_share: float
    complete_share: float
    refusal_p50_ms: float
    refusal_p99_ms: float
    outcomes: dict[str, int] = field(factory=dict)
    host_cpu_ms_per_job: float = 0.0
    host_cores: float = 0.0
    lag_p99_ms: float = 0.0
    worker_cores: float = 0.0


def wasted_messages(
    before: dict[tuple[str, str], float], after: dict[tuple[str, str], float]
) -> float:
    """Return the wasted messages between two counter readings; see docs/MEASURES.md.

    All counters count messages except ``jobs_forwarded``: each forwarded job takes a
    request and a reply between hosts.
    """

    def increase(name: str, label: str = "") -> float:
        return max(0.0, after.get((name, label), 0) - before.get((name, label), 0))

    return (
        increase("wasted_messages", "refused")
        + increase("wasted_messages", "look_up")
        + increase("wasted_messages", "probe")
        + increase("messages", "stop")
        + 2 * increase("jobs_forwarded")
    )


def make_row(
    mix: Mix,
    scenario: Scenario,
    baseline: bool,
    result: LoadResult,
    wasted: float,
    slots: int,
) -> Row:
    """Return the row of one run on ``slots`` slots, with ``wasted`` messages."""
    complete = result.outcomes.get("complete", 0)
    return Row(
        deployment=mix.name,
        scenario=scenario.name,
        system="random" if baseline else "rattanloom",
        jobs=result.jobs,
        tasks=result.tasks,
        p50=round(percentile(result.ratios, 50) / RATIO_SCALE, 3),
        p99=round(percentile(result.ratios, 99) / RATIO_SCALE, 3),
        wasted_per_task=round(wasted / max(1, result.tasks), 4),
        goodput_share=round(result.good_slot_ms / (slots * result.window_ms), 3),
        offered_share=round(result.offered_slot_ms / (slots * result.window_ms), 3),
        complete_share=round(complete / max(1, result.jobs), 4),
        refusal_p50_ms=round(percentile(result.refusals_us, 50) / US_PER_MS, 1),
        refusal_p99_ms=round(percentile(result.refusals_us, 99) / US_PER_MS, 1),
        lag_p99_ms=round(percentile(result.lags_us, 99) / US_PER_MS, 1),
        outcomes=dict(sorted(result.outcomes.items())),
    )


def print_row(row: Row) -> None:
    """Print one row as a line of text."""
    unsuccessful = {
        label: count
        for label, count in row.outcomes.items()
        if label not in ("complete", "resubmitted")
    }
    print(
        f"{row.deployment:7} {row.scenario:26} {row.system:11} "
        f"p50 {row.p50:6.3f} p99 {row.p99:7.3f} wasted {row.wasted_per_task:7.4f} "
        f"goodput {row.goodput_share:5.3f} of {row.offered_share:5.3f} "
        f"complete {row.complete_share:6.4f} "
        f"refusal ms {row.refusal_p50_ms:5.1f}/{row.refusal_p99_ms:5.1f} "
        f"jobs {row.jobs} tasks {row.tasks} "
        f"lag {row.lag_p99_ms} cores {row.host_cores}+{row.worker_cores} "
        f"{unsuccessful}",
        flush=True,
    )


def find_row(
    rows: list[Row], deployment: str, scenario: str, system: str
) -> Row | None:
    """Return the row of one scenario, or None if it was not run."""
    for row in rows:
        if (row.deployment, row.scenario, row.system) == (deployment, scenario, system):
            return row
    return None


def headline_figures(rows: list[Row], deployment: str, system: str) -> dict[str, float]:
    """Return the figures that have goals, as far as their scenarios were run."""
    normal = find_row(rows, deployment, "load 80%", system)
    peak = find_row(rows, deployment, "load 95%", system)
    overload = find_row(rows, deployment, "load 300%", system)
    names = [scenario.name for scenario in SCENARIOS if scenario.fault]
    faults = [find_row(rows, deployment, name, system) for name in names]
    faults = [row for row in faults if row is not None]
    figures = {}
    if normal:
        figures["p50_at_80"] = normal.p50
        figures["p99_at_80"] = normal.p99
        figures["wasted_at_80"] = normal.wasted_per_task
    if faults:
        figures["wasted_under_fault"] = max(row.wasted_per_task for row in faults)
    if peak and overload:
        peak_share = max(peak.goodput_share, 0.001)
        share = overload.goodput_share / peak_share
        figures["goodput_overload_over_peak"] = round(share, 3)
        figures["refusal_ms"] = overload.refusal_p99_ms
    return figures


def missed_goals(figures: dict[str, float]) -> list[str]:
    """Return the names of the figures that miss their goals."""
    names = []
    for name, value in figures.items():
        at_least = name.startswith("goodput")
        met = value >= GOALS[name] if at_least else value <= GOALS[name]
        if not met:
            names.append(name)
    return names
