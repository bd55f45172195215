"""The owner of all zones freezes for a moment; see claim.txt."""

import asyncio
import os
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from checks import overlaps, record_owners  # noqa: E402
from deployment import (  # noqa: E402
    HOST,
    PREFIX,
    ZONES,
    Daemon,
    Deployment,
    NotRunError,
    finish,
    job,
    job_id,
    main,
    running,
)
from http_io import call  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The zone with one entry host, which is to own all zones, and the length of its freeze;
# the site's freezes last up to 4 s.
ZONE, FREEZE_S = ZONES[0], 1.75
READY_CHECKS = 20
WORKERS_PER_ZONE, CPU = 4, 24_000
TASKS, TASK_MS, TASK_CPU, DEADLINE_MS = 4, 3_000, 2_000, 8_000
JOB_GAP_S, TRAFFIC_S = 0.15, 12


async def post(deployment: Deployment, daemon: Daemon) -> None:
    """Post a job at a daemon; do not send it again."""
    name = job_id()
    deployment.record.add("post", job=name, to=daemon.name)
    headers = {"Host": HOST, "Deadline-Ms": str(DEADLINE_MS)}
    document = job(1, TASKS, TASK_MS, TASK_CPU)
    answer = await call(
        daemon.clients_address,
        "POST",
        PREFIX + name,
        document,
        headers,
        DEADLINE_MS / 1000 + 1,
    )
    deployment.record.add(
        "answer", job=name, status=answer.status, body=answer.document
    )


async def sole_owner(deployment: Deployment) -> Daemon:
    """Return the daemon that owns all zones, once there is one."""
    for _ in range(READY_CHECKS):
        await asyncio.sleep(0.5)
        try:
            owners = {deployment.owner(zone).name for zone in ZONES}
        except NotRunError:
            continue
        if len(owners) == 1:
            return deployment.owner(ZONE)
    raise NotRunError("no daemon owns all zones")


async def own_all_zones(deployment: Deployment, daemon: Daemon) -> Daemon:
    """Make a daemon the owner of all zones by planned restarts, and return it.

    An owner that stops hands its zones to the daemon that started last.
    """
    owner = await sole_owner(deployment)
    if owner is not daemon:
        await deployment.restart(daemon)
        await deployment.restart(owner)
        owner = await sole_owner(deployment)
    if owner is not daemon:
        raise NotRunError(f"{owner.name} owns all zones")
    return daemon


async def freeze(deployment: Deployment, daemon: Daemon) -> None:
    """Freeze a daemon and wake it again."""
    deployment.record.add("frozen", daemon=daemon.name)
    daemon.signal(signal.SIGSTOP)
    await asyncio.sleep(FREEZE_S)
    daemon.signal(signal.SIGCONT)
    deployment.record.add("awake", daemon=daemon.name)


async def case() -> int:
    """Send jobs to the other zones' daemons while the owner freezes."""
    async with running(
        FOLDER / "record.txt", (1, 2, 2), WORKERS_PER_ZONE, CPU
    ) as deployment:
        record = deployment.record
        watch = asyncio.create_task(record_owners(deployment))
        owner = await own_all_zones(deployment, deployment.daemons[0])
        await asyncio.sleep(4)  # calm for contact_ms
        posts = []

        async def traffic() -> None:
            others = [one for one in deployment.daemons if one.zone != ZONE]
            for number in range(int(TRAFFIC_S / JOB_GAP_S)):
                one = others[number % len(others)]
                posts.append(asyncio.create_task(post(deployment, one)))
                await asyncio.sleep(JOB_GAP_S)

        sending = asyncio.create_task(traffic())
        await asyncio.sleep(5)
        if TROUBLE:
            await freeze(deployment, owner)
        await sending
        await asyncio.gather(*posts)
        watch.cancel()
        if not record.of("start"):
            return 2
        return finish(record, overlaps(record))


main(case)
