"""Runs one peer service as its own process, for tests that stop or kill it.

Its argument is a JSON object (see ``peer_hosts.child_command``); it prints its
incarnation.
"""

import sys

from gevent import monkey

if __name__ == "__main__":
    monkey.patch_all()

import json

import gevent

from rattanloom.settings import Seed
from tests.peer_hosts import running_hosts


def main() -> None:
    """Serve for ``live_s`` seconds, or until killed."""
    settings = json.loads(sys.argv[1])
    seeds = [Seed(**seed) for seed in settings["seeds"]]
    with running_hosts(settings["heartbeat_ms"]) as hosts:
        host = hosts.start_with_seeds(
            settings["name"], settings["zone"], seeds, settings["address"]
        )
        print(host.incarnation, flush=True)
        gevent.sleep(settings["live_s"])


if __name__ == "__main__":
    main()
