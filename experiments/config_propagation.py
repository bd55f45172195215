"""Measures how long a configuration change takes to become active on all hosts.

``python -m experiments.config_propagation run --hosts 9 --zones 3`` runs the
configuration and peer parts of 9 entry hosts in one process, over real sockets,
against the platform stand-in. It prints one JSON object with the times from the
platform's acceptance of a change to its activation, over all hosts and on the last
one, and the rate of reads from the platform. ``--hint`` makes each host poll at once
after a change, as the operators' client does. ``--outage`` takes the platform down
``--after-ms`` after each acceptance, to count the changes that no host activates.
"""

from gevent import monkey

if __name__ == "__main__":
    monkey.patch_all()

import json
import sys
from collections import Counter
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from time import process_time

import gevent
from attrs import define, field
from fire import Fire
from hdrh.histogram import HdrHistogram

from experiments.cluster import free_addresses
from rattanloom.clock import MS_PER_S
from rattanloom.configuration import Configuration
from rattanloom.configuration_publish import Published, Publisher
from rattanloom.environment import Environment
from rattanloom.metrics import Metrics
from rattanloom.operators.edits import folder_edit
from rattanloom.peers.protocol import HostLoad
from rattanloom.peers.service import PeerService
from rattanloom.platform.client import PlatformClient
from rattanloom.settings import EntrySettings, Seed
from rattanloom.ticket import new_incarnation
from rattanloom.timeline import Timeline
from rattanloom.timer import running_timers
from standins.platform import serving
from standins.platform_state import PlatformState

LOOPBACK_ANY = "127.0.0.1:0"
TICKET_KEY = "a key for measurements only"
WARM_UP_S = 4
POLL_S = 0.01
# A change that is not active on all hosts after this counts as late.
ACTIVE_WITHIN_MS = 4_000
# Longest wait for a change to become active on all hosts.
GIVE_UP_MS = 8_000
HISTOGRAM_MAX_MS = 60_000
# Numbers of teams with a quota and of drained targets in each published change.
TEAMS, DRAINS = 130, 100
# Bounds of the random pause before each change.
BETWEEN_CHANGES_S = (0.0, 1.0)


@define(eq=False)
class Deployment:
    """The configurations of all hosts, and the state of the platform that they poll."""

    state: PlatformState
    publisher: Publisher
    environment: Environment
    configurations: list[Configuration] = field(factory=list)

    def publish(self, number: int) -> int:
        """Publish one change of realistic size; return its version."""
        teams = {f"team{n}": {"quota_slots": n + number} for n in range(TEAMS)}
        targets = {f"worker{n}": {"drain": True} for n in range(DRAINS)}
        sections = {"teams": teams, "targets": targets}
        edit = folder_edit(sections, number, self.publisher)
        outcome = self.publisher.publish(edit, f"change {number}")
        assert isinstance(outcome, Published), outcome
        return outcome.record.version


@define(eq=False)
class PropagationTimes:
    """Histograms of the ms from acceptance to activation, and counts of changes.

    ``last_host`` has one value for each change that any host activated: the time of
    the last host, or of giving up. ``learned_by_nobody`` counts the other changes,
    ``late`` all changes not active on every host within ACTIVE_WITHIN_MS, ``grounds``
    activations by reason.
    """

    per_host: HdrHistogram = field(factory=lambda: HdrHistogram(1, HISTOGRAM_MAX_MS, 3))
    last_host: HdrHistogram = field(
        factory=lambda: HdrHistogram(1, HISTOGRAM_MAX_MS, 3)
    )
    learned_by_nobody: int = 0
    grounds: Counter = field(factory=Counter)
    late: int = 0


@contextmanager
def running_deployment(hosts: int, zones: int) -> Iterator[Deployment]:
    """Run the configuration and peer parts of ``hosts`` entry hosts in this process."""
    with ExitStack() as stack:
        state = PlatformState()
        server = stack.enter_context(serving(state, LOOPBACK_ANY))
        address = f"127.0.0.1:{server.server_port}"
        environment = Environment()
        client = PlatformClient(address)
        publisher = Publisher("bench", environment, client, client)
        deployment = Deployment(state, publisher, environment)
        seeds = tuple(
            Seed(f"host{number}", f"zone{number % zones}", peer_address)
            for number, peer_address in enumerate(free_addresses(hosts))
        )
        for seed in seeds:
            deployment.configurations.append(_start_host(stack, seed, seeds, address))
        yield deployment


def _start_host(
    stack: ExitStack, seed: Seed, seeds: tuple[Seed, ...], platform_address: str
) -> Configuration:
    settings = EntrySettings(
        seed.host,
        seed.zone,
        LOOPBACK_ANY,
        seed.address,
        platform_address,
        TICKET_KEY,
        seeds,
    )
    environment = Environment()
    timers = stack.enter_context(running_timers())
    timeline = Timeline(seed.host, environment.clock)
    client = PlatformClient(platform_address)
    configuration = Configuration(
        settings, environment, timers, timeline, client, client
    )
    peers = PeerService(
        settings,
        environment,
        timers,
        timeline,
        new_incarnation(),
        HostLoad,
        configuration.held_version,
        configuration.document,
        Metrics(),
    )
    stack.enter_context(peers.serve(None))
    configuration.start(peers)
    return configuration


def _measure_propagation(
    deployment: Deployment, version: int, figures: PropagationTimes
) -> None:
    """Record when a version becomes active on each host, and on the last one."""
    clock = deployment.environment.clock
    accepted_at_ms = clock.now_ms()
    waiting = list(deployment.configurations)
    elapsed_ms = 0.0
    while waiting and elapsed_ms < GIVE_UP_MS:
        gevent.sleep(POLL_S)
        elapsed_ms = clock.now_ms() - accepted_at_ms
        for configuration in [each for each in waiting if each.version() >= version]:
            figures.per_host.record_value(max(1, round(elapsed_ms)))
            figures.grounds[configuration.activation_reason().name] += 1
            waiting.remove(configuration)
    figures.late += elapsed_ms > ACTIVE_WITHIN_MS
    if len(waiting) == len(deployment.configurations):
        figures.learned_by_nobody += 1
    else:
        figures.last_host.record_value(max(1, round(elapsed_ms)))


def _publish_and_measure(
    deployment: Deployment,
    number: int,
    outage: bool,
    after_ms: float,
    hint: bool,
    figures: PropagationTimes,
) -> None:
    random = deployment.environment.random
    gevent.sleep(random.uniform(*BETWEEN_CHANGES_S))
    version = deployment.publish(number)
    for configuration in deployment.configurations if hint else ():
        configuration.poll_on_hint()
    if outage:
        gevent.sleep(after_ms / MS_PER_S)
        deployment.state.switch({"down": True})
    _measure_propagation(deployment, version, figures)
    deployment.state.switch({"down": False})


def _idle_reads_per_s(deployment: Deployment, seconds: float) -> float:
    before = deployment.state.counts.reads
    gevent.sleep(seconds)
    return (deployment.state.counts.reads - before) / seconds


def run(
    hosts: int = 9,
    zones: int = 3,
    changes: int = 15,
    outage: bool = False,
    after_ms: float = 0,
    hint: bool = False,
    idle_s: float = 5,
) -> None:
    """Publish ``changes`` changes and print the figures as JSON."""
    with running_deployment(hosts, zones) as deployment:
        deployment.publish(0)
        gevent.sleep(WARM_UP_S)
        idle_reads_per_s = _idle_reads_per_s(deployment, idle_s)
        figures = PropagationTimes()
        before, cpu_before_s = deployment.state.counts.reads, process_time()
        started_ms = deployment.environment.clock.now_ms()
        for number in range(1, changes + 1):
            _publish_and_measure(deployment, number, outage, after_ms, hint, figures)
        busy_s = (deployment.environment.clock.now_ms() - started_ms) / MS_PER_S
        reads = deployment.state.counts.reads - before
        document = deployment.configurations[0].document(0)
        print(
            json.dumps(
                {
                    "hosts": hosts,
                    "zones": zones,
                    "changes": changes,
                    "hint": hint,
                    "outage_after_ms": after_ms if outage else None,
                    "document_bytes": len(document),
                    "host_p50_ms": figures.per_host.get_value_at_percentile(50),
                    "host_p99_ms": figures.per_host.get_value_at_percentile(99),
                    "last_p50_ms": figures.last_host.get_value_at_percentile(50),
                    "last_p99_ms": figures.last_host.get_value_at_percentile(99),
                    "grounds": dict(figures.grounds),
                    "late_changes": figures.late,
                    "learned_by_nobody": figures.learned_by_nobody,
                    "idle_reads_per_s_per_host": round(idle_reads_per_s / hosts, 3),
                    "reads_per_s_per_host": round(reads / busy_s / hosts, 3),
                    "core_share": round((process_time() - cpu_before_s) / busy_s, 2),
                }
            )
        )


if __name__ == "__main__":
    sys.exit(Fire({"run": run}))
