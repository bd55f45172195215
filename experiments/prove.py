"""Checks failure histories of the stand-alone version; see docs/PROOFS.md.

Callers use a cluster of real processes while faults are injected. Prints each history
with its violations, the totals of each property, and one JSON object as the last
line. The seed fixes the schedule of faults and the callers' random choices, but not
the interleaving of the processes.
"""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import shutil  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from collections import Counter  # noqa: E402
from pathlib import Path  # noqa: E402
from random import Random  # noqa: E402

import gevent  # noqa: E402
from attrs import define, field  # noqa: E402
from fire import Fire  # noqa: E402

from experiments.cluster import (  # noqa: E402
    Cluster,
    ClusterLayout,
    running_cluster,
    with_host_settings,
)
from experiments.faults import (  # noqa: E402
    FaultContext,
    Schedule,
    generate_schedules,
    inject_faults,
)
from experiments.history import (  # noqa: E402
    ConfigAccepted,
    ConfigStored,
    ResponseReceived,
    TaskStarted,
)
from experiments.history_callers import (  # noqa: E402
    CANCEL_SHARE,
    Caller,
    ResultShares,
    compute_shares,
)
from experiments.history_checks import PROPERTIES, check  # noqa: E402
from experiments.history_recorder import Recorder, now_ms  # noqa: E402
from rattanloom.clock import MS_PER_S  # noqa: E402
from rattanloom.configuration_document import (  # noqa: E402
    HEAD_KEY,
    parse_head,
    version_key,
)
from rattanloom.configuration_publish import Publisher  # noqa: E402
from rattanloom.environment import Environment  # noqa: E402
from rattanloom.errors import Failure  # noqa: E402
from rattanloom.platform.client import PlatformClient  # noqa: E402

RULES = Path(__file__).parent.parent / "examples" / "rules"
CALLERS = 12
WARM_UP_MS = 500
# Pause between the end of the callers and the collection of the start logs.
SETTLE_MS = 1_000
# Longest wait for the callers to end their last submission.
CALLERS_TIMEOUT_S = 15
# Most violations printed for each property of a history.
SHOWN_VIOLATIONS = 5
# No further history starts if less time than this is left.
LONGEST_HISTORY_S = 12


@define(eq=False)
class Totals:
    """The totals of all histories.

    ``shares`` are the result shares of submissions made during the faults, by
    schedule; ``before`` those of submissions made before the faults.
    ``response_failures`` counts failures by kind and by whether the job has run.
    """

    histories: int = 0
    faults: Counter = field(factory=Counter)
    violations: Counter = field(factory=Counter)
    response_failures: Counter = field(factory=Counter)
    starts: int = 0
    requests: int = 0
    shares: dict[str, list[ResultShares]] = field(factory=dict)
    before: list[ResultShares] = field(factory=list)


def run_history(
    cluster: Cluster, schedule: Schedule, seed: int, totals: Totals
) -> dict[str, list[str]]:
    """Run callers and faults once; return the violations of each property."""
    recorder = Recorder(cluster, f"h{totals.histories}")
    cancel_share = [CANCEL_SHARE]
    context = FaultContext(cluster, recorder, Random(seed), cancel_share)
    callers = [
        Caller(recorder, Random(f"{seed} {number}"), f"c{number}", cancel_share)
        for number in range(CALLERS)
    ]
    poller = gevent.spawn(recorder.poll_hosts)
    greenlets = [gevent.spawn(caller.run) for caller in callers]
    started_at_ms = now_ms()
    gevent.sleep(WARM_UP_MS / MS_PER_S)
    from_ms = now_ms()
    with inject_faults(context, schedule):
        gevent.sleep(schedule.hold_ms / MS_PER_S)
        until_ms = now_ms()
    for caller in callers:
        caller.stopping = True
    gevent.joinall(greenlets, timeout=CALLERS_TIMEOUT_S)
    gevent.sleep(SETTLE_MS / MS_PER_S)
    poller.kill()
    recorder.collect_starts()
    record_stored_versions(cluster, recorder)
    states = [state for caller in callers for state in caller.states]
    add_to_totals(totals, schedule, recorder)
    shares = compute_shares(states, from_ms, until_ms)
    totals.shares.setdefault(" + ".join(schedule.names), []).append(shares)
    totals.before.append(compute_shares(states, started_at_ms, from_ms))
    return check(recorder.history)


def record_stored_versions(cluster: Cluster, recorder: Recorder) -> None:
    """Record the changes in the stored head and in all accepted versions."""
    client = PlatformClient(cluster.platform.address)
    publisher = Publisher("prover", Environment(), client, client)
    versions = {each.version for each in recorder.history.of_type(ConfigAccepted)}
    keys = [HEAD_KEY, *map(version_key, sorted(versions))]
    rows = client.read(keys)
    if isinstance(rows, Failure):
        raise RuntimeError(f"cannot read the configuration versions: {rows.reason}")
    for row in rows:
        document = publisher.fetch_document(parse_head(row.value))
        changes = frozenset(document.overrides.get("targets", {}))
        recorder.history.add(ConfigStored(document.version, changes))


def add_to_totals(totals: Totals, schedule: Schedule, recorder: Recorder) -> None:
    """Add one history's counts to the totals."""
    totals.histories += 1
    totals.faults.update(schedule.names)
    totals.requests += recorder.calls
    totals.starts += len(recorder.history.of_type(TaskStarted))
    for response in recorder.history.of_type(ResponseReceived):
        if response.kind:
            totals.response_failures[f"{response.kind}/{response.ran.value}"] += 1


def print_totals(totals: Totals) -> None:
    """Print the totals, with the JSON object as the last line."""
    for name in PROPERTIES:
        print(
            f"{name}: {totals.histories} histories, {sum(totals.faults.values())} "
            f"faults, {totals.violations[name]} violations"
        )
    for name, shares in sorted(totals.shares.items()):
        mean = mean_shares(shares)
        print(f"during {name}: {mean.final:.1%} final, {mean.complete:.1%} complete")
    for kind, number in totals.response_failures.most_common():
        print(f"failure {kind}: {number}")
    during = mean_shares([share for each in totals.shares.values() for share in each])
    before = mean_shares(totals.before)
    document = {
        "histories": totals.histories,
        "faults": sum(totals.faults.values()),
        "violations": sum(totals.violations.values()),
        "answered_share": round(during.final, 4),
        "complete_share": round(during.complete, 4),
        "answered_share_before": round(before.final, 4),
        "requests": totals.requests,
        "starts": totals.starts,
    }
    print(json.dumps(document))


def mean_shares(shares: list[ResultShares]) -> ResultShares:
    """Return the mean of the shares of several histories."""
    count = max(1, len(shares))
    final = sum(share.final for share in shares) / count
    return ResultShares(final, sum(share.complete for share in shares) / count)


def main(seconds: int = 180, seed: int = 1, only: str = "") -> None:
    """Check histories under faults for a given time.

    Args:
        seconds: total run time, including the start of the processes.
        seed: fixes the order of the faults and the callers' random choices.
        only: run only schedules with this fault; see FAULTS in experiments/faults.py.
    """
    until_s = time.monotonic() + seconds
    totals = Totals()
    layout = with_host_settings(
        ClusterLayout(), log_level="WARNING", leave_grace_ms=500
    )
    with running_cluster(layout) as cluster:
        rules = cluster.folder / "rules"
        shutil.copytree(RULES, rules)
        cluster.publish(rules)
        cluster.await_ready()
        for schedule in generate_schedules(Random(seed)):
            if only and only not in schedule.names:
                continue
            if time.monotonic() + LONGEST_HISTORY_S > until_s and totals.histories:
                break
            number = totals.histories
            found = run_history(cluster, schedule, seed * 1_000 + number, totals)
            print_history(number, schedule, found, totals)
    print_totals(totals)
    sys.exit(1 if totals.violations else 0)


def print_history(
    number: int, schedule: Schedule, found: dict[str, list[str]], totals: Totals
) -> None:
    """Print one history's results and add its violations to the totals."""
    names = " + ".join(schedule.names)
    share = totals.shares[names][-1]
    count_found = sum(map(len, found.values()))
    print(
        f"history {number}: {names}: {share.final:.1%} final, "
        f"{share.complete:.1%} complete, {count_found} violations",
        flush=True,
    )
    for name, texts in found.items():
        totals.violations.update({name: len(texts)} if texts else {})
        for text in texts[:SHOWN_VIOLATIONS]:
            print(f"  {name}: {text}", flush=True)


if __name__ == "__main__":
    Fire(main)
