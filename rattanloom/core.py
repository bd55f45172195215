"""Builds, runs and stops one entry host of the stand-alone version."""

from collections.abc import Iterator
from contextlib import ExitStack, contextmanager

import gevent
from attrs import define, evolve, field
from gevent.event import Event

from rattanloom.admission import Admission
from rattanloom.callers.api import CallersApi
from rattanloom.callers.server import InFlight, log_clients_limited, serving_http
from rattanloom.claims import Claims
from rattanloom.clock import MS_PER_S
from rattanloom.configuration import Configuration
from rattanloom.dispatch import Dispatcher
from rattanloom.environment import Environment
from rattanloom.jobs import JobService
from rattanloom.keys import make_keyring
from rattanloom.link_filter import LinkFilter
from rattanloom.logs import get_log, logging_to
from rattanloom.metrics import Metrics
from rattanloom.operators.pages import HostState, OperatorPages
from rattanloom.peers.protocol import HostLoad
from rattanloom.peers.service import PeerService
from rattanloom.platform.client import PlatformClient
from rattanloom.sealed_ledger import SealedLedgers
from rattanloom.serving.budget import ClientBudget
from rattanloom.serving.limits import memory_of_clients
from rattanloom.settings import EntrySettings, SettingsError, load_settings
from rattanloom.signals import stop_signals
from rattanloom.status import ExitStatus
from rattanloom.targets.directory import TargetDirectory
from rattanloom.ticket import TicketIssuer, new_incarnation
from rattanloom.timeline import EventKind, Timeline
from rattanloom.timer import TimerService, running_timers

log = get_log("entry")


@define(eq=False)
class EntryHost:
    """The components of one entry host."""

    settings: EntrySettings
    environment: Environment
    timers: TimerService
    timeline: Timeline
    metrics: Metrics
    configuration: Configuration
    peers: PeerService
    directory: TargetDirectory
    admission: Admission
    jobs: JobService
    state: HostState
    pages: OperatorPages
    client_budget: ClientBudget
    in_flight: InFlight = field(factory=InFlight)


def main(settings_path: str, environment: Environment | None = None) -> ExitStatus:
    """Run one entry host until a stop signal; return its exit status."""
    environment = environment or Environment()
    try:
        settings = load_settings(settings_path, EntrySettings)
    except SettingsError as error:
        print(error, file=environment.stderr)
        return ExitStatus.SETTINGS
    stop = Event()
    with logging_to(environment.stderr, settings.log_level), stop_signals(stop):
        try:
            return run(settings, environment, stop)
        except OSError as error:
            log.error("Cannot serve: {}; check the addresses in the settings", error)
            return ExitStatus.ERROR


def run(settings: EntrySettings, environment: Environment, stop: Event) -> ExitStatus:
    """Build the host, serve until ``stop`` is set, then stop gracefully."""
    with running_timers() as timers, ExitStack() as stack:
        host = build(settings, environment, timers)
        stack.enter_context(host.peers.serve(host.jobs))
        start(host)
        stack.enter_context(serving(host))
        host.timeline.record(EventKind.HOST_STARTED, detail=host.pages.incarnation)
        log.info("Serving callers on {}.", settings.http_address)
        stop.wait()
        return stop_gracefully(host)


def build(
    settings: EntrySettings, environment: Environment, timers: TimerService
) -> EntryHost:
    """Build the components of one entry host; ``start`` starts them."""
    metrics = Metrics()
    client_budget = ClientBudget(
        memory_of_clients(settings.client_limits),
        settings.client_limits.stalled_after_ms,
        metrics,
        environment.clock,
        log_clients_limited,
    )
    timeline = Timeline(settings.host, environment.clock)
    incarnation = new_incarnation()
    links = LinkFilter()
    platform = PlatformClient(settings.platform_address, link_filter=links)
    issuer = TicketIssuer(
        settings.zone,
        settings.host,
        incarnation,
        make_keyring(settings.ticket_key, settings.accepted_keys),
        environment.clock,
        settings.epoch_ms,
    )
    configuration = Configuration(
        settings, environment, timers, timeline, platform, platform
    )
    directory = TargetDirectory(
        settings,
        environment,
        timers,
        timeline,
        platform,
        configuration.rules,
        metrics,
        link_filter=links,
    )
    admission = Admission(
        environment, timeline, configuration.rules, directory.capacity, metrics
    )

    def load() -> HostLoad:
        return evolve(admission.load(), targets=directory.loads())

    peers = PeerService(
        settings,
        environment,
        timers,
        timeline,
        incarnation,
        load,
        configuration.held_version,
        configuration.document,
        metrics,
        links,
        directory.encode_host_list,
        client_budget,
    )
    dispatcher = Dispatcher(
        environment, timeline, admission, directory, configuration.rules, metrics
    )
    claims = Claims(settings, environment, platform, issuer)
    jobs = JobService(
        settings,
        environment,
        timeline,
        issuer,
        dispatcher,
        admission,
        peers,
        claims,
        metrics,
        configuration.rules,
        SealedLedgers(platform, environment.clock),
    )
    state = HostState()
    pages = OperatorPages(
        settings,
        environment,
        incarnation,
        state,
        configuration,
        peers,
        directory,
        metrics,
        timeline,
        client_budget,
    )
    return EntryHost(
        settings,
        environment,
        timers,
        timeline,
        metrics,
        configuration,
        peers,
        directory,
        admission,
        jobs,
        state,
        pages,
        client_budget,
    )


def start(host: EntryHost) -> None:
    """Start the components that use timers or the peers."""
    host.configuration.start(host.peers)
    host.directory.start(host.peers)
    host.admission.start(host.peers, host.timers)
    host.jobs.start(host.timers)


@contextmanager
def serving(host: EntryHost) -> Iterator[None]:
    """Serve callers, operators and the load balancer over HTTP."""
    settings = host.settings
    api = CallersApi(
        host.jobs,
        settings.body_max_bytes,
        wait_max_ms=settings.stop_within_ms / 2,
    )
    host.pages.add_routes(api.app)
    with serving_http(
        settings.http_address,
        api.app,
        settings.header_timeout_ms,
        settings.connections_max,
        host.in_flight,
        settings.client_limits,
        host.client_budget,
        settings.header_max_bytes,
        settings.body_max_bytes,
    ):
        yield


def stop_gracefully(host: EntryHost) -> ExitStatus:
    """Leave the load balancer, finish jobs and requests, store the ledger.

    Returns STOP_TIMEOUT if any are left unfinished.
    """
    settings = host.settings
    log.info("Stopping: leaving the load balancer.")
    host.timeline.record(EventKind.HOST_STOPPING)
    host.state.leaving = True
    gevent.sleep(settings.leave_grace_ms / MS_PER_S)
    host.peers.announce_leaving()
    finished = finish_requests(host)
    seal_ledger(host)
    if finished:
        log.info("Stopped: all jobs and requests finished.")
        return ExitStatus.OK
    log.warning("Stopped with unfinished work after {} ms.", settings.stop_within_ms)
    return ExitStatus.STOP_TIMEOUT


def seal_ledger(host: EntryHost) -> None:
    """Store this process's ledger; other hosts read the results of its jobs there."""
    failure = host.jobs.seal()
    if failure is not None:
        log.warning("Storing the ledger failed: {}.", failure.reason)


def finish_requests(host: EntryHost) -> bool:
    """Wait for all jobs, then for the HTTP requests in flight.

    Both waits together take at most about ``stop_within_ms``. Returns False if
    anything is left unfinished.
    """
    clock = host.environment.clock
    until_ms = clock.now_ms() + host.settings.stop_within_ms
    jobs_finished = host.jobs.drain(host.settings.stop_within_ms)
    left_ms = max(0.0, until_ms - clock.now_ms())
    return host.in_flight.wait_until_none(left_ms) and jobs_finished
