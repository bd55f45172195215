"""Jobs that have run are refused: a cut-off zone's placer took note of their ends."""

import os
from pathlib import Path

from gevent import monkey

monkey.patch_all()

import gevent  # noqa: E402
from cluster import CannotRunError, main, now_ms, running  # noqa: E402

ZONES = ("adum", "bantama", "asokwa")
ROUNDS = 11
# No round begins later, as a run may take 120 s.
LAST_ROUND_MS = 100_000
CUT_S = 1.1
# Four tasks fill a worker. The workers of the zone have one long task each, all others
# are full, so that the short jobs, of one task each, go to the zone.
CPU, SLOTS, SHORT_MS, LONG_MS = 7_000, 4, 100, 20_000
WORKERS, WAITING = 8, 100
DEADLINE_MS = 3_000


def one_round(record, trouble, number):
    """Cut a zone off as its workers have got the orders of short jobs."""
    with running(record, workers=WORKERS) as cluster:
        until_ms = now_ms() + 5_000
        gevent.sleep(0.5)
        while cluster.owner_of(ZONES[0]) is None and now_ms() < until_ms:
            gevent.sleep(0.1)
        owner = cluster.owner_of(ZONES[0])
        if owner is None:
            raise CannotRunError("the zones have no owner")
        zone = next(zone for zone in ZONES if f"-{zone}-" not in owner)
        record("round", number=number, owner=owner, zone=zone)
        for worker in cluster.workers.values():
            worker.options["labels"] = ["a" if worker.zone == zone else "b"]
            cluster.register(worker)
        gevent.sleep(1.0)
        entries = [name for name in cluster.daemons if f"-{zone}-" not in name]
        step = {"cpu": CPU, "mem_mb": 64}

        def post_long(key, **fields):
            steps = [step | {"est_ms": LONG_MS} | fields]
            job = f"{number:08x}{key:08x}"
            gevent.spawn(cluster.post, entries[0], job, steps, LONG_MS, 3 * LONG_MS)

        post_long(0xA, count=WORKERS, required_label="a", anti_affinity=1)
        post_long(0xB, count=2 * SLOTS * WORKERS, required_label="b")
        gevent.sleep(1.0)
        orders = []

        def cut_at_start(event, **fields):
            at_ms = record(event, **fields)
            if event == "start" and trouble and f"-{zone}-" in fields["worker"]:
                orders.append(fields["task"])
                if len(orders) == WORKERS:
                    cluster.network.cut_zone(zone)
                    record("zone cut", zone=zone)
            return at_ms

        for worker in cluster.workers.values():
            worker.record = cut_at_start
        posts = [
            gevent.spawn(
                cluster.post,
                entries[key % len(entries)],
                f"{number:08x}{0x100 + key:08x}",
                [step | {"count": 1, "est_ms": SHORT_MS}],
                SHORT_MS,
                DEADLINE_MS,
            )
            for key in range((SLOTS - 1) * WORKERS)
        ]
        until_ms = now_ms() + 2_000
        while trouble and len(orders) < WORKERS and now_ms() < until_ms:
            gevent.sleep(0.005)
        cut_ms = now_ms()
        # More work than there is room for, as under high load.
        post_long(0xC, count=WAITING)
        gevent.sleep(CUT_S - (now_ms() - cut_ms) / 1_000)
        cluster.network.heal()
        record("healed")
        gevent.joinall(posts, timeout=10)
        gevent.sleep(0.5)


def case(record, trouble):
    """Play some rounds, each with a new deployment."""
    for number in range(ROUNDS):
        if now_ms() - record.began_ms < LAST_ROUND_MS:
            one_round(record, trouble, number)
    answers = {}
    for row in record.of("answered", method="POST"):
        answers.setdefault(row["job"], []).append(row["status"] in (429, 503, 404))
    refused = {job for job, rejected in answers.items() if all(rejected)}
    return [
        f"{run['task']} ran on {run['worker']}, and its job was refused"
        for run in record.of("start")
        if run["task"].split(".")[0] in refused
    ]


if __name__ == "__main__":
    record_path = Path(__file__).with_name("record.txt")
    main(record_path, os.environ.get("TROUBLE", "1") != "0", case)
