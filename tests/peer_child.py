"""Runs one peer service as its own process, for tests that stop or kill it.

Takes a JSON object of settings as its argument and prints its incarnation.
"""

import sys

from gevent import monkey

if __name__ == "__main__":
    monkey.patch_all()

import json

import gevent

from rattanloom.settings import Seed
from tests.peer_hosts import some_hosts


def main() -> None:
    """Serve until killed."""
    asked = json.loads(sys.argv[1])
    seeds = [Seed(**seed) for seed in asked["seeds"]]
    with some_hosts(asked["heartbeat_ms"]) as hosts:
        host = hosts.start_with_seeds(
            asked["name"], asked["zone"], seeds, asked["address"]
        )
        print(host.incarnation, flush=True)
        gevent.sleep(asked["live_s"])


if __name__ == "__main__":
    main()
