"""A zone's owner is cut off, loses its zone and gets it back; see claim.txt."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from checks import overlaps, record_owners  # noqa: E402
from deployment import (  # noqa: E402
    HOST,
    PREFIX,
    ZONES,
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
# The zone whose only entry host is cut off, for as long as the site's core_cut lasts.
ZONE, CUT_S = ZONES[0], 5.5
WORKERS_PER_ZONE, CPU = 22, 8_000
# Jobs of its clients, sent around the end of the cut.
JOBS, TASKS, TASK_MS, DEADLINE_MS = 12, 2, 4_500, 8_000
FIRST_JOB_S, JOB_GAP_S = 4.6, 0.15


async def await_owners(deployment: Deployment) -> None:
    """Wait until a daemon of each zone owns it."""
    for _ in range(250):
        await asyncio.sleep(0.1)
        try:
            if all(deployment.owner(zone).zone == zone for zone in ZONES):
                return
        except NotRunError:
            continue
    raise NotRunError("some zone is not owned by a daemon that runs in it")


async def post(deployment: Deployment, address: str) -> None:
    """Post a job at a daemon; do not send it again."""
    name = job_id()
    deployment.record.add("post", job=name, to=address)
    headers = {"Host": HOST, "Deadline-Ms": str(DEADLINE_MS)}
    document = job(1, TASKS, TASK_MS, CPU)
    answer = await call(
        address, "POST", PREFIX + name, document, headers, DEADLINE_MS / 1000 + 1
    )
    deployment.record.add(
        "answer", job=name, status=answer.status, body=answer.document
    )


async def case() -> int:
    """Cut the only daemon of a zone off; its clients go on sending jobs to it."""
    async with running(
        FOLDER / "record.txt", (1, 2, 2), WORKERS_PER_ZONE, CPU
    ) as deployment:
        record = deployment.record
        watch = asyncio.create_task(record_owners(deployment))
        await await_owners(deployment)
        await asyncio.sleep(4)  # calm for contact_ms
        daemon = deployment.owner(ZONE)
        parts = [asyncio.sleep(CUT_S + 10)]
        if TROUBLE:
            parts.append(deployment.cut_off(daemon, CUT_S))

        async def client(index: int) -> None:
            await asyncio.sleep(FIRST_JOB_S + index * JOB_GAP_S)
            await post(deployment, daemon.clients_address)

        await asyncio.gather(*parts, *map(client, range(JOBS)))
        watch.cancel()
        if not record.of("start"):
            return 2
        return finish(record, overlaps(record))


main(case)
