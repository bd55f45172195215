"""Checks histories of real processes under injected faults; see docs/PROOFS.md.

Prints each history, each property with its violations, and last one JSON
object. The seed fixes the schedule of faults and what callers draw, but not
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
    Shape,
    running_cluster,
    with_settings,
)
from experiments.faults import (  # noqa: E402
    Scene,
    Schedule,
    injected,
    schedules,
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
    Shares,
    shares_of,
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
SETTLE_MS = 1_000
CALLERS_END_S = 15
SHOWN_VIOLATIONS = 5
LONGEST_HISTORY_S = 12


@define(eq=False)
class Totals:
    """What all histories together came to."""

    histories: int = 0
    faults: Counter = field(factory=Counter)
    violations: Counter = field(factory=Counter)
    refusals: Counter = field(factory=Counter)
    starts: int = 0
    requests: int = 0
    shares: dict[str, list[Shares]] = field(factory=dict)
    before: list[Shares] = field(factory=list)


def run_history(
    cluster: Cluster, schedule: Schedule, seed: int, totals: Totals
) -> dict[str, list[str]]:
    """Run callers and faults once, and return the violations found."""
    recorder = Recorder(cluster, f"h{totals.histories}")
    cancel_share = [CANCEL_SHARE]
    scene = Scene(cluster, recorder, Random(seed), cancel_share)
    callers = [
        Caller(recorder, Random(f"{seed} {number}"), f"c{number}", cancel_share)
        for number in range(CALLERS)
    ]
    watching = gevent.spawn(recorder.watch)
    working = [gevent.spawn(caller.run) for caller in callers]
    begun_ms = now_ms()
    gevent.sleep(WARM_UP_MS / MS_PER_S)
    from_ms = now_ms()
    with injected(scene, schedule):
        gevent.sleep(schedule.hold_ms / MS_PER_S)
        until_ms = now_ms()
    for caller in callers:
        caller.stopping = True
    gevent.joinall(working, timeout=CALLERS_END_S)
    gevent.sleep(SETTLE_MS / MS_PER_S)
    watching.kill()
    recorder.collect_starts()
    record_stored_versions(cluster, recorder)
    works = [work for caller in callers for work in caller.works]
    count(totals, schedule, recorder)
    shares = shares_of(works, from_ms, until_ms)
    totals.shares.setdefault(" + ".join(schedule.names), []).append(shares)
    totals.before.append(shares_of(works, begun_ms, from_ms))
    return check(recorder.history)


def record_stored_versions(cluster: Cluster, recorder: Recorder) -> None:
    """Record the content of every version that the platform keeps."""
    client = PlatformClient(cluster.platform.address)
    publisher = Publisher("prover", Environment(), client, client)
    versions = {each.version for each in recorder.history.of_type(ConfigAccepted)}
    keys = [HEAD_KEY, *map(version_key, sorted(versions))]
    rows = client.read(keys)
    if isinstance(rows, Failure):
        raise RuntimeError(f"the versions cannot be read: {rows.reason}")
    for row in rows:
        document = publisher.fetch_document(parse_head(row.value))
        changes = frozenset(document.overrides.get("targets", {}))
        recorder.history.add(ConfigStored(document.version, changes))


def count(totals: Totals, schedule: Schedule, recorder: Recorder) -> None:
    """Add one history's figures to the totals."""
    totals.histories += 1
    totals.faults.update(schedule.names)
    totals.requests += recorder.calls
    totals.starts += len(recorder.history.of_type(TaskStarted))
    for answer in recorder.history.of_type(ResponseReceived):
        if answer.kind:
            totals.refusals[f"{answer.kind}/{answer.ran.value}"] += 1


def report(totals: Totals) -> None:
    """Print the figures, and the JSON object last."""
    for name in PROPERTIES:
        print(
            f"{name}: {totals.histories} histories, {sum(totals.faults.values())} "
            f"faults, {totals.violations[name]} violations"
        )
    for name, shares in sorted(totals.shares.items()):
        mean = mean_of(shares)
        print(f"during {name}: {mean.whole:.1%} whole, {mean.complete:.1%} complete")
    for kind, number in totals.refusals.most_common():
        print(f"told {kind}: {number}")
    during = mean_of([share for each in totals.shares.values() for share in each])
    before = mean_of(totals.before)
    document = {
        "histories": totals.histories,
        "faults": sum(totals.faults.values()),
        "violations": sum(totals.violations.values()),
        "answered_share": round(during.whole, 4),
        "complete_share": round(during.complete, 4),
        "answered_share_before": round(before.whole, 4),
        "requests": totals.requests,
        "starts": totals.starts,
    }
    print(json.dumps(document))


def mean_of(shares: list[Shares]) -> Shares:
    """Return the mean of the shares of several histories."""
    count = max(1, len(shares))
    whole = sum(share.whole for share in shares) / count
    return Shares(whole, sum(share.complete for share in shares) / count)


def main(seconds: int = 180, seed: int = 1, only: str = "") -> None:
    """Check histories under faults for a given time.

    Args:
        seconds: how long to go on, the start of the processes included.
        seed: fixes the order of the faults and what the callers draw.
        only: only schedules with this fault; see FAULTS in experiments/faults.py.
    """
    until_s = time.monotonic() + seconds
    totals = Totals()
    shape = with_settings(Shape(), log_level="WARNING", leave_grace_ms=500)
    with running_cluster(shape) as cluster:
        rules = cluster.folder / "rules"
        shutil.copytree(RULES, rules)
        cluster.publish(rules)
        cluster.await_ready()
        for schedule in schedules(Random(seed)):
            if only and only not in schedule.names:
                continue
            if time.monotonic() + LONGEST_HISTORY_S > until_s and totals.histories:
                break
            number = totals.histories
            found = run_history(cluster, schedule, seed * 1_000 + number, totals)
            tell(number, schedule, found, totals)
    report(totals)
    sys.exit(1 if totals.violations else 0)


def tell(
    number: int, schedule: Schedule, found: dict[str, list[str]], totals: Totals
) -> None:
    """Print one history's outcome and add its violations to the totals."""
    names = " + ".join(schedule.names)
    share = totals.shares[names][-1]
    count_found = sum(map(len, found.values()))
    print(
        f"history {number}: {names}: {share.whole:.1%} whole, "
        f"{share.complete:.1%} complete, {count_found} violations",
        flush=True,
    )
    for name, texts in found.items():
        totals.violations.update({name: len(texts)} if texts else {})
        for text in texts[:SHOWN_VIOLATIONS]:
            print(f"  {name}: {text}", flush=True)


if __name__ == "__main__":
    Fire(main)
