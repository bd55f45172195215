"""Probes of which configuration each daemon uses, while it changes."""

from itertools import count

import gevent
from attrs import define, field
from urllib3 import HTTPConnectionPool
from urllib3.exceptions import HTTPError

from rattanloom.clock import MS_PER_S, Clock, SystemClock
from soak.deployment import CLIENTS_PORT, ROUTE_HOST, Daemon, Deployment
from soak.history import History, QueueProbe

PROBE_INTERVAL_MS = 100
PROBE_TIMEOUT_MS = 500
# Number of the latest configurations whose queues are asked for.
PROBED_CONFIGURATIONS = 3


@define(eq=False)
class QueueProber:
    """Asks each daemon for the queues that only one configuration has."""

    deployment: Deployment
    history: History
    clock: Clock = field(factory=SystemClock)

    def run(self) -> None:
        """Probe until killed, one greenlet per daemon."""
        daemons = self.deployment.daemons.values()
        probing = [gevent.spawn(self._probe_daemon, daemon) for daemon in daemons]
        try:
            gevent.joinall(probing)
        finally:
            gevent.killall(probing)

    def _probe_daemon(self, daemon: Daemon) -> None:
        pool = HTTPConnectionPool(
            daemon.settings["ip"],
            CLIENTS_PORT,
            timeout=PROBE_TIMEOUT_MS / MS_PER_S,
            retries=False,
        )
        for number in count():
            configurations = self.deployment.configurations[-PROBED_CONFIGURATIONS:]
            prefix = configurations[number % len(configurations)].prefixes[-1]
            gevent.sleep(PROBE_INTERVAL_MS / MS_PER_S)
            sent_ms = self.clock.now_ms()
            try:
                headers = {"Host": ROUTE_HOST}
                status = pool.urlopen("GET", prefix, headers=headers).status
            except HTTPError:
                continue
            answered_ms = self.clock.now_ms()
            probe = QueueProbe(daemon.name, prefix, sent_ms, answered_ms, status)
            self.history.probes.append(probe)
