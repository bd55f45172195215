"""Clients of every zone are served soon after all daemons were killed and restarted.

Real processes on the stand-ins, with enough workers for one owner in each zone.
"""

import json
from base64 import b64decode, b64encode
from contextlib import closing
from random import Random
from socket import create_connection

import gevent
import pytest
from attrs import asdict

from rattanloom.links.hub import split_address
from rattanloom.ownership.records import TABLE, ZONE_PREFIX, ZoneOwner
from soak.clients import Balancer, Client
from soak.deployment import (
    PATH_PREFIX,
    ZONES,
    Deployment,
    DeploymentSize,
    running_deployment,
)
from soak.history import ClientJob, History
from soak.relay import pairs_between
from tests.dispatcher_fakes import CLOCK, wait_for

# More than 64 workers, which one owner would serve alone.
SIZE = DeploymentSize(daemons=2, workers=22)
SERVED_WITHIN_MS = 3_000
STARTED_WITHIN_S = 15.0
SPEC = json.dumps({"ms": 20, "cpu": 14_000, "mem_mb": 64, "est_ms": 20})


def read_owners(deployment: Deployment) -> dict[str, ZoneOwner]:
    """Return the owners by zone, as recorded in the store."""
    url = f"http://{deployment.store.address}/rows-get?table={TABLE}&part=&from="
    rows = json.loads(deployment.http.request("GET", url).data)["rows"]
    records = [
        ZoneOwner(**json.loads(b64decode(row["value"])))
        for row in rows
        if row["key"].startswith(ZONE_PREFIX)
    ]
    return {record.zone: record for record in records}


def record_owner(deployment: Deployment, record: ZoneOwner) -> None:
    value = b64encode(json.dumps(asdict(record)).encode()).decode()
    row = {"table": TABLE, "key": ZONE_PREFIX + record.zone, "value": value}
    deployment.post(deployment.store.address, "/standin/rows", [row])


def has_listener(address: str) -> bool:
    try:
        with closing(create_connection(split_address(address), 0.5)):
            return True
    except OSError:
        return False


def ms_until_served(deployment: Deployment, daemon: str, seed: int) -> float:
    """Return the time until a client of a daemon gets a complete job."""
    random = Random(seed)
    balancer, history = Balancer(deployment), History()
    client = Client("", deployment, balancer, history, random, daemon=daemon)
    started_ms = CLOCK.now_ms()
    while True:
        job_id = f"{random.getrandbits(64):016x}"
        job = ClientJob(job_id, "swatch", SPEC, 2, 1_000.0, PATH_PREFIX)
        if client._send(job).state == "complete":
            return CLOCK.now_ms() - started_ms
        gevent.sleep(0.05)


@pytest.mark.parametrize("is_keeper_cut", [False, True])
def test_zones_are_served_after_takeover_by_another_zone_and_total_restart(
    is_keeper_cut,
):
    # If the recorded owner is cut off from the store, it is alive but owns nothing.
    random = Random(1)
    lost_zone, other_zone = ZONES[0], ZONES[1]
    with running_deployment(SIZE, random) as deployment:
        daemons = dict(deployment.daemons)
        in_zone = [daemon for daemon in daemons.values() if daemon.zone == lost_zone]
        assert wait_for(
            lambda: set(ZONES) <= set(read_owners(deployment)), STARTED_WITHIN_S
        )
        for daemon in in_zone:
            daemon.kill()
        names = {daemon.name for daemon in in_zone}
        assert wait_for(
            lambda: read_owners(deployment)[lost_zone].owner not in names, 15
        )
        for daemon in daemons.values():
            daemon.kill()
        # The daemon that took the zone over has handed its own zone to the other one.
        owners = read_owners(deployment)
        keeper = f"edge-{other_zone}-1"
        for zone, owner in ((lost_zone, keeper), (other_zone, f"edge-{other_zone}-2")):
            record_owner(deployment, ZoneOwner(zone, owner, owners[zone].epoch + 1))
        deployment.switch_store(down=True)
        for daemon in daemons.values():
            daemon.start()
        for daemon in daemons.values():
            assert wait_for(lambda d=daemon: has_listener(d.address), STARTED_WITHIN_S)
        gevent.sleep(1)
        if is_keeper_cut:
            del daemons[keeper]
            deployment.conditions.blocked_pairs |= pairs_between({keeper}, {"store"})
        deployment.switch_store(down=False)
        returned_ms = CLOCK.now_ms()
        clients = [
            gevent.spawn(ms_until_served, deployment, name, seed)
            for seed, name in enumerate(daemons)
        ]
        gevent.joinall(clients, timeout=10)
        times_ms = [client.value for client in clients]
        assert all(ms is not None and ms <= SERVED_WITHIN_MS for ms in times_ms)
        if is_keeper_cut:
            left_ms = returned_ms + SERVED_WITHIN_MS - CLOCK.now_ms()
            assert wait_for(
                lambda: read_owners(deployment)[lost_zone].owner != keeper,
                max(0, left_ms) / 1_000,
            )
