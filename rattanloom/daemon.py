"""The dispatcher's process on the platform: builds its components, serves and stops.

This is the daemon; ``core.py`` builds the entry host of the stand-alone version.
"""

import os
from contextlib import ExitStack

import gevent
from attrs import define, field
from gevent.event import Event
from gevent.server import StreamServer

from rattanloom.background import run_and_log_failure, spawn_restarting
from rattanloom.build_id import build_id
from rattanloom.cancellations import Cancellations
from rattanloom.capacity_exchange import CapacityExchange
from rattanloom.clock import MS_PER_S
from rattanloom.crash_exchange import CrashExchange
from rattanloom.decision_log import DecisionLog, logging_decisions
from rattanloom.environment import Environment
from rattanloom.evacuation_control import EvacuationControl
from rattanloom.ingress.api import ClientApi
from rattanloom.ingress.job_router import JobRouter
from rattanloom.ingress.metrics_page import METRICS_PORT, metrics_page
from rattanloom.ingress.queues import QueueTable, RequestLimits
from rattanloom.ingress.readiness import readiness_page
from rattanloom.ingress.server import (
    ConnectionState,
    finish_requests,
    log_clients_limited,
    serving_page,
    wait_for_requests,
)
from rattanloom.job_exchange import JobExchange
from rattanloom.links.hub import LinkHub
from rattanloom.links.messages import PROTOCOL_VERSION, Hello
from rattanloom.metrics import Metrics
from rattanloom.ownership.ownership import Ownership
from rattanloom.ownership.records import Member
from rattanloom.peer_messages import PeerMessages
from rattanloom.placement.entry_age import ENTRY_AGE_MAX_MS, EntryAgeGuard
from rattanloom.placement.placer import Placer
from rattanloom.placement.pooled_worker import PooledWorker
from rattanloom.placement.worker_events import WorkerState
from rattanloom.placement.workers import WorkerEntry
from rattanloom.platform.deployment import (
    SETTINGS_VARIABLE,
    Deployment,
    load_deployment,
)
from rattanloom.platform.store import StoreClient
from rattanloom.platform.worker_entries import WORKERS_TABLE
from rattanloom.platform.workers import WorkerClient
from rattanloom.registry import Registry
from rattanloom.reload import SettingsWatcher
from rattanloom.scheduling.zone_choice import PlacerChoice
from rattanloom.serving.budget import ClientBudget, Listener
from rattanloom.serving.http_server import serving_http
from rattanloom.settings import SettingsError
from rattanloom.signals import stop_signals
from rattanloom.status import ExitStatus
from rattanloom.tables import TableFollower

log = DecisionLog("daemon")

TICK_MS = 50
# Interval of a daemon that places nothing and whose watched owners are alive. A lost
# link and a job without a placer end the wait.
IDLE_TICK_MS = 200
# Pauses between reads of the table of workers. A leaving worker must get no new work
# after 2 s. Workers write their entries every 1.5 s, which leaves 500 ms for the pause
# and the read. A daemon without zones needs a list only in case it gets one, and reads
# it again then; the list of a likely successor is recent, as the store may be down
# when it takes over. The others only need to know how large the deployment is.
OWNER_READ_PAUSE_MS = 400
SUCCESSOR_READ_PAUSE_MS = 5_000
OTHERS_READ_PAUSE_MS = 60_000
# Time from the start of a stop until idle connections are closed. By then, clients use
# other daemons, to which they connect within 1 s of two failed readiness checks.
BALANCER_REMOVAL_MS = 2_200
# Open jobs are given up this long before the end of the platform's grace period.
GIVE_UP_MARGIN_MS = 700
# Time to send the responses to the requests of jobs that were given up.
FINAL_RESPONSES_MS = 200
# Time for peers to open a link and to announce their claims.
CLAIMS_WAIT_MS = 500


@define(eq=False, repr=False)
class Daemon:
    """Builds and connects the components of one daemon.

    Every daemon accepts jobs from clients. One that owns zones is also the placer for
    the workers of these zones.
    """

    deployment: Deployment
    environment: Environment
    queues: QueueTable = field(factory=QueueTable)
    metrics: Metrics = field(factory=Metrics)
    stopping: bool = False
    queue_follower: TableFollower = field(init=False)
    workers_follower: TableFollower = field(init=False)
    hub: LinkHub = field(init=False)
    store: StoreClient = field(init=False)
    registry: Registry = field(init=False)
    placer: Placer = field(init=False)
    ownership: Ownership = field(init=False)
    placer_choice: PlacerChoice = field(init=False)
    crash_exchange: CrashExchange = field(init=False)
    capacity_exchange: CapacityExchange = field(init=False)
    job_exchange: JobExchange = field(init=False)
    job_router: JobRouter = field(init=False)
    cancellations: Cancellations = field(init=False)
    peer_messages: PeerMessages = field(init=False)
    evacuation_control: EvacuationControl = field(init=False)
    connections: ConnectionState = field(init=False)
    client_budget: ClientBudget = field(init=False)
    client_listener: Listener = field(init=False)
    _wake: Event = field(factory=Event)

    def __attrs_post_init__(self) -> None:
        deployment, clock = self.deployment, self.environment.clock
        self.client_budget = ClientBudget(
            deployment.client_memory_bytes,
            deployment.client_limits.stalled_after_ms,
            self.metrics,
            clock,
            log_clients_limited,
        )
        self.client_listener = self.client_budget.add_listener(
            "clients", deployment.client_connections
        )
        hello = Hello(
            deployment.node,
            deployment.zone,
            deployment.peer_address,
            int(clock.wall_ms()),
        )
        member = Member(
            hello.node,
            hello.zone,
            hello.address,
            hello.started_wall_ms,
            deployment.cpu_cores,
        )
        self.hub = LinkHub(
            hello,
            deployment.peer_listen_address,
            clock,
            lambda link, message: self.peer_messages.on_message(link, message),
            lambda link: self.peer_messages.on_link_opened(link),
            lambda link: self.peer_messages.on_link_lost(link),
            self.client_budget,
            deployment.peer_connections,
        )
        self.store = StoreClient(
            deployment.store.address, self.metrics.count, deployment.ip
        )
        self.registry = Registry(clock, self._reconcile_workers)
        entry_age = EntryAgeGuard(clock, lambda: self.workers_follower.stale_ms())
        self.placer = Placer(
            deployment.node,
            clock,
            self.metrics,
            deployment.bounds.worker_lease_max_ms,
            self._connect_worker,
            self._on_token_refused,
            lambda: spawn_restarting(self._check_ownership_after_pause),
            entry_age.may_start,
            entry_age.is_recent,
        )
        self.crash_exchange = CrashExchange(self.hub, self.placer)
        self.placer.crash_policy.records.announce = self.crash_exchange.announce
        self.ownership = Ownership(
            member,
            tuple(deployment.zones),
            clock,
            self.store,
            self.hub,
            lambda: set(self.registry.entries),
            self._refresh_workers,
            lambda: self.workers_follower.read_ms,
            self._on_owners_changed,
        )
        self.placer.inherited_work.workers_used_by = self.ownership.workers_used_by
        self.evacuation_control = EvacuationControl(
            tuple(deployment.zones),
            deployment.bounds,
            clock,
            self.store,
            self.queues,
            self.placer,
            self.registry,
            lambda: min(
                self.workers_follower.stale_ms(), self.ownership.follower.stale_ms()
            ),
            self._on_evacuations_changed,
        )
        self.queue_follower = self.evacuation_control.follower
        evacuations = self.evacuation_control.evacuations
        self.workers_follower = TableFollower(
            self.store,
            WORKERS_TABLE,
            clock,
            self.registry.apply_snapshot,
            self.registry.apply_rows,
            pause_ms=self._workers_read_pause_ms,
        )
        self.placer_choice = PlacerChoice(
            clock,
            self.ownership.reachable_owners,
            self.ownership.owner_of,
            evacuations.in_force,
            tuple(deployment.zones),
            deployment.zone,
            lambda zone: self.capacity_exchange.daemons_in(zone),
            lambda chosen: self.metrics.count(
                "jobs_moved", f"{chosen.zone}/{chosen.reason.value}"
            ),
        )
        self.capacity_exchange = CapacityExchange(
            clock,
            self.hub,
            self.ownership,
            self.placer,
            self.placer_choice,
            self.metrics,
        )
        self.job_exchange = JobExchange(
            clock, self.hub, self.placer, self.metrics, self.ownership.owners
        )
        self.placer.on_accepted = self.job_exchange.on_accepted
        self.placer.inherited_work.may_run_elsewhere = (
            self.job_exchange.may_run_elsewhere
        )
        self.placer.endings.on_ended = self.job_exchange.on_ended
        self.job_router = JobRouter(
            deployment.node,
            clock,
            self.hub,
            self.placer,
            self.placer_choice,
            self.ownership.is_owner,
            self._wake.set,
            self.metrics,
        )
        self.cancellations = Cancellations(
            deployment.node,
            clock,
            self.hub,
            self.placer,
            self.job_router,
            self.ownership.owners,
        )
        self.peer_messages = PeerMessages(
            self.hub,
            self.placer,
            self.ownership,
            self.capacity_exchange,
            self.crash_exchange,
            self.job_exchange,
            self.job_router,
            self._wake.set,
        )
        self.connections = ConnectionState(
            self._limits, lambda: not self.is_ready(), deployment.client_limits
        )

    def is_ready(self) -> bool:
        """Return whether this daemon should get requests from the load balancer."""
        return (
            not self.stopping
            and self.queues.configuration is not None
            and bool(self.ownership.reachable_owners())
        )

    def render_metrics(self) -> str:
        """Return the metrics page, after setting the gauges to current values."""
        gauges = {
            "jobs_pending": len(self.job_router.pending),
            "jobs_placed": len(self.placer.jobs),
            "tasks_waiting": sum(1 for _ in self.placer.waiting),
            "zones_owned": len(self.ownership.owned()),
            "workers_registered": len(self.registry.entries),
            "connections_in_flight": self.connections.requests_in_flight,
            "zones_evacuated": len(self.evacuation_control.evacuations.in_force),
        }
        for name, value in gauges.items():
            self.metrics.gauge(name, value)
        self.client_budget.update_gauges()
        for follower in self._followers():
            self.metrics.gauge("table_stale_ms", follower.stale_ms(), follower.table)
        for state in WorkerState:
            workers = self.placer.workers.values()
            number = sum(worker.state is state for worker in workers)
            self.metrics.gauge("workers_pooled", number, state.value)
        return self.metrics.render()

    def apply(self, deployment: Deployment) -> None:
        """Apply changed settings; addresses to listen on only change at a restart."""
        self.store.set_address(deployment.store.address)
        self.evacuation_control.apply_bounds(deployment.bounds)
        self.client_budget.memory_max_bytes = deployment.client_memory_bytes
        self.client_budget.stalled_after_ms = deployment.client_limits.stalled_after_ms
        self.client_listener.connections_max = deployment.client_connections
        self.connections.client_limits = deployment.client_limits
        self.deployment = deployment

    def start(self) -> None:
        """Start the greenlets that follow the store, register this daemon and tick."""
        for follower in self._followers():
            spawn_restarting(follower.run)
        spawn_restarting(self.ownership.register)
        spawn_restarting(self._tick_all)

    def _followers(self) -> tuple[TableFollower, ...]:
        return (
            self.queue_follower,
            self.workers_follower,
            self.ownership.follower,
        )

    def _tick_all(self) -> None:
        steps = (
            # First, since the tick of the ownership closes links that are not kept.
            self._request_placer_links,
            self.ownership.tick,
            self.job_exchange.tick,
            self.placer.tick,
            self.job_router.tick,
            self.cancellations.tick,
            self.capacity_exchange.announce_if_due,
        )
        while True:
            self._wait_for_tick()
            for step in steps:
                run_and_log_failure(step)

    def _wait_for_tick(self) -> None:
        is_idle = (
            not self.placer.workers
            and not self.placer.jobs
            and self.ownership.is_settled()
            and not self.job_router.has_unplaced()
            and not self.cancellations.is_telling()
        )
        if is_idle:
            self._wake.clear()
            if not self._wake.wait(IDLE_TICK_MS / MS_PER_S):
                return
        gevent.sleep(TICK_MS / MS_PER_S)

    def _request_placer_links(self) -> None:
        """Request links to placers that have jobs from here or may soon get some."""
        nodes = self.job_router.placers()
        is_unplaced = self.job_router.has_unplaced()
        if (
            is_unplaced
            or self.placer_choice.is_preferred_nearly_full()
            or self.cancellations.is_telling()
        ):
            nodes |= self.ownership.owners()
        for node in nodes:
            self.ownership.request_link(node)

    def _refresh_workers(self) -> bool:
        """Read the workers now; return whether it succeeded."""
        failure = self.workers_follower.read_now()
        if failure is not None:
            log.warning("workers_not_read", reason=failure.reason)
        self._record_gone_workers()
        self.placer.start_waiting_tasks()
        return failure is None

    def _workers_read_pause_ms(self) -> float:
        if self.ownership.owned():
            return OWNER_READ_PAUSE_MS
        if self.ownership.is_likely_successor():
            return SUCCESSOR_READ_PAUSE_MS
        return OTHERS_READ_PAUSE_MS

    def _limits(self) -> RequestLimits:
        configuration = self.queues.configuration
        return configuration.limits if configuration else RequestLimits()

    def _on_evacuations_changed(self) -> None:
        self._wake.set()
        self.job_router.on_evacuations_changed()

    def _on_owners_changed(self) -> None:
        self.job_exchange.on_placers_changed()
        self._reconcile_workers()
        node = self.deployment.node
        self.job_router.on_zones_announced(node, bool(self.ownership.owned()))

    def _reconcile_workers(self) -> None:
        """Give the placer exactly the registered workers of the zones owned here."""
        owned = self.ownership.owned()
        if not owned:
            # The pool may be empty before the jobs are dropped: its workers refuse
            # the token once another daemon has taken them over.
            for worker_id in list(self.placer.workers):
                self.placer.release_worker(worker_id)
            self.placer.drop_all_jobs()
            return
        for worker_id, worker in list(self.placer.workers.items()):
            entry = self.registry.entries.get(worker_id)
            if entry is None:
                self.placer.remove_worker(worker_id, "it is no longer registered")
            elif entry.zone not in owned:
                self.placer.release_worker(worker_id)
            elif entry.address != worker.entry.address:
                self.placer.remove_worker(worker_id, "its address changed")
            else:
                worker.apply_entry(entry)
                worker.raise_fencing_token(owned[entry.zone].fencing_token)
        self._record_gone_workers()
        added = [
            entry for entry in self.registry.entries.values() if entry.zone in owned
        ]
        self.ownership.stated_workers.state(
            frozenset(self.placer.workers).union(entry.worker_id for entry in added)
        )
        for entry in added:
            self.placer.add_worker(entry, owned[entry.zone].fencing_token)
        self.placer.start_waiting_tasks()

    def _record_gone_workers(self) -> None:
        """Record the lost workers that are gone; an old list may lack new workers."""
        entry_age_ms = self.workers_follower.stale_ms()
        is_current = self.registry.is_complete() and entry_age_ms < ENTRY_AGE_MAX_MS
        if is_current and self.ownership.owned():
            self.placer.crash_policy.on_workers_registered(self.registry.entries)

    def _on_token_refused(self, worker: PooledWorker) -> None:
        """Acquire a zone again after one of its workers refused the fencing token."""
        if worker.entry.zone in self.ownership.owned():
            self.ownership.on_worker_fenced(worker.entry.zone)

    def _check_ownership_after_pause(self) -> None:
        """Read the owners, or wait for claims of peers, before orders are given again.

        Without the store, peers that claimed a zone announce it over their links.
        The workers are read at the same time.
        """
        spawn_restarting(self._refresh_workers)
        failure = self.ownership.follower.read_now()
        if failure is not None:
            log.warning("owners_not_read", reason=failure.reason)
            gevent.sleep(CLAIMS_WAIT_MS / MS_PER_S)
        self.placer.resume()

    def _connect_worker(self, entry: WorkerEntry) -> WorkerClient:
        return WorkerClient(entry.worker_id, entry.address, self.deployment.ip)


def main(environment: Environment | None = None) -> ExitStatus:
    """Run one daemon until SIGTERM or SIGINT; return the exit status."""
    environment = environment or Environment()
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        deployment = load_deployment(path)
    except SettingsError as error:
        print(error, file=environment.stderr)
        return ExitStatus.SETTINGS
    stop = Event()
    log_context = logging_decisions(
        deployment.node,
        environment.clock,
        environment.stdout.fileno(),
        environment.log_level,
    )
    with log_context, stop_signals(stop):
        return run(Daemon(deployment, environment), path, stop)


def run(daemon: Daemon, settings_path: str, stop: Event) -> ExitStatus:
    """Serve until ``stop`` is set, then stop gracefully."""
    api = ClientApi(
        daemon.queues,
        daemon.job_router,
        daemon.metrics,
        daemon.cancellations.cancel,
        daemon.cancellations.wait_until_told,
    )
    listen = daemon.deployment.listen
    metrics_address = f"{daemon.deployment.ip}:{METRICS_PORT}"
    with ExitStack() as stack:
        stack.enter_context(daemon.hub.serving())
        for name, address, page in (
            (
                "metrics",
                metrics_address,
                metrics_page(daemon.render_metrics, daemon.environment.clock),
            ),
            ("readiness", listen.readiness, readiness_page(daemon.is_ready)),
        ):
            stack.enter_context(
                serving_page(
                    name,
                    address,
                    page,
                    daemon.client_budget,
                    daemon.deployment.client_limits,
                )
            )
        server = stack.enter_context(
            serving_http(
                listen.clients,
                api.app,
                daemon.connections,
                daemon.client_budget,
                daemon.client_listener,
            )
        )
        daemon.start()
        stack.enter_context(
            SettingsWatcher(settings_path, daemon.deployment, daemon.apply).following()
        )
        log.info(
            "started",
            clients=listen.clients,
            zone=daemon.deployment.zone,
            build=build_id(),
            protocol_version=PROTOCOL_VERSION,
        )
        stop.wait()
        stop_gracefully(daemon, server)
    return ExitStatus.OK


def stop_gracefully(daemon: Daemon, server: StreamServer) -> None:
    """Fail the readiness check, hand the zones over and finish open requests.

    Jobs that are still open ``GIVE_UP_MARGIN_MS`` before the end of the grace period
    are given up; their clients may submit them again.
    """
    clock = daemon.environment.clock
    began_ms = clock.now_ms()
    log.info("stopping", jobs=len(daemon.job_router.pending))
    daemon.stopping = True
    daemon.ownership.leave()
    grace_ms = daemon.deployment.bounds.stop_grace_s * MS_PER_S
    give_up_at_ms = began_ms + grace_ms - GIVE_UP_MARGIN_MS
    removal_ms = began_ms + BALANCER_REMOVAL_MS - clock.now_ms()
    gevent.sleep(max(0, removal_ms) / MS_PER_S)
    daemon.connections.close_idle()
    finish_requests(server, daemon.connections, clock, give_up_at_ms)
    log.info("stopped", requests=daemon.connections.requests_in_flight)
    daemon.job_router.give_up_all("this daemon is stopping")
    responses_until_ms = clock.now_ms() + FINAL_RESPONSES_MS
    wait_for_requests(daemon.connections, clock, responses_until_ms)
