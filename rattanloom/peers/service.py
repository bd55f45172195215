"""The peer service of an entry host: membership, peer loads and forwarding."""

from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager

import gevent
from attrs import define, field

from rattanloom.environment import Environment
from rattanloom.errors import ErrorKind, Failure
from rattanloom.job import Job, JobResult
from rattanloom.keys import make_keyring
from rattanloom.link_filter import LinkFilter
from rattanloom.logs import get_log
from rattanloom.metrics import Metrics
from rattanloom.peers.forwarder import ANY_INCARNATION, Forwarder
from rattanloom.peers.heartbeats import Heartbeats
from rattanloom.peers.listener import CONNECTIONS_MAX, Listener
from rattanloom.peers.load_exchange import LoadReporter
from rattanloom.peers.membership import REACHABLE_STATES, KnownMember, Membership
from rattanloom.peers.messages import (
    Ask,
    Cancel,
    Document,
    FetchConfig,
    FetchTargets,
    MemberRecord,
    Submit,
    TargetList,
)
from rattanloom.peers.protocol import HostLoad, JobRequests, Member
from rattanloom.peers.schema import SEAL_PURPOSE
from rattanloom.peers.send_schedule import SendSchedule
from rattanloom.serving.budget import ClientBudget
from rattanloom.settings import EntrySettings
from rattanloom.timeline import EventKind, Timeline
from rattanloom.timer import TimerService

log = get_log("peers")

REPLY_GRACE_MS = 5_000  # for the reply, beyond the deadline or wait of the request
CANCEL_TIMEOUT_MS = 10_000
FETCH_TIMEOUT_MS = 1_000  # of a configuration document or list of workers


def no_targets() -> Failure:
    """Return the failure of a host that has no list of workers."""
    return Failure(ErrorKind.NOT_FOUND, "this host has no list of workers")


@define(eq=False)
class PeerService:
    """Implements ``Peers`` over UDP heartbeats and TCP connections.

    The callables return what this host sends to peers; ``config_document(version)``
    returns a document of that version or a newer one.
    """

    settings: EntrySettings
    environment: Environment
    timers: TimerService
    timeline: Timeline
    incarnation: str
    load: Callable[[], HostLoad]
    config_version: Callable[[], int]
    config_document: Callable[[int], str | Failure]
    metrics: Metrics
    link_filter: LinkFilter = field(factory=LinkFilter)
    target_list: Callable[[], str | Failure] = no_targets
    client_budget: ClientBudget = field(factory=ClientBudget)
    membership: Membership = field(init=False)
    heartbeats: Heartbeats = field(init=False)
    forwarder: Forwarder = field(init=False)
    _listener: Listener = field(init=False)
    _config_callbacks: list[Callable[[str, int], None]] = field(factory=list)
    _config_callbacks_running: bool = False

    def __attrs_post_init__(self) -> None:
        settings = self.settings
        keys = make_keyring(settings.ticket_key, settings.accepted_keys)
        key = keys.for_purpose(SEAL_PURPOSE)
        own = MemberRecord(
            settings.host,
            settings.zone,
            settings.peer_address,
            self.incarnation,
            max(0, int(self.environment.clock.wall_ms())),
        )
        self.membership = Membership(own, settings.heartbeat_ms, self._on_change)
        self.heartbeats = Heartbeats(
            self.environment,
            self.membership,
            LoadReporter(self.load),
            SendSchedule(self.membership, settings.seeds),
            key,
            self.config_version,
            self._on_newer_config,
            self.link_filter,
            self.metrics,
        )
        self.forwarder = Forwarder(
            self.membership,
            self._seed_address,
            key,
            self.link_filter,
            settings.heartbeat_ms,
            self._on_hello,
            self.metrics,
        )
        self._listener = Listener(
            lambda: self.membership.own,
            key,
            self.link_filter,
            self.config_document,
            self.target_list,
            self.metrics,
            self.client_budget,
            settings.client_limits.peer_connections_max or CONNECTIONS_MAX,
        )

    @contextmanager
    def serve(self, requests: JobRequests) -> Iterator[None]:
        """Listen on the peer address and send heartbeats until the context exits."""
        with (
            self._listener.running(requests),
            self.heartbeats.running(self.timers),
        ):
            try:
                yield
            finally:
                self.forwarder.close()

    def members(self) -> tuple[Member, ...]:
        """Return the other entry hosts seen alive, in every state."""
        return tuple(
            member.to_member() for member in self.membership.confirmed_members()
        )

    def loads(self) -> dict[str, HostLoad]:
        """Return the last load reported by each live or leaving host, by host name."""
        loads = {}
        for member in self.membership.confirmed_members():
            peer_load = self.heartbeats.peer_loads.get(member.record.key)
            if member.state in REACHABLE_STATES and peer_load is not None:
                loads[member.record.host] = peer_load.to_load()
        return loads

    def submit(self, host: str, incarnation: str, job: Job) -> JobResult | Failure:
        """Forward a submission to the incarnation that issued its ticket."""
        timeout_ms = job.deadline_ms + REPLY_GRACE_MS
        reply = self.forwarder.call(host, incarnation, Submit(job), timeout_ms)
        return _check_reply(reply, job.job_id)

    def ask(
        self, host: str, incarnation: str, job_id: str, wait_ms: float
    ) -> JobResult | Failure:
        """Forward a request for a job's result."""
        body = Ask(job_id, wait_ms)
        reply = self.forwarder.call(host, incarnation, body, wait_ms + REPLY_GRACE_MS)
        return _check_reply(reply, job_id)

    def cancel(self, host: str, incarnation: str, job_id: str) -> JobResult | Failure:
        """Forward a cancellation."""
        body = Cancel(job_id)
        reply = self.forwarder.call(host, incarnation, body, CANCEL_TIMEOUT_MS)
        return _check_reply(reply, job_id)

    def on_config_version(self, callback: Callable[[str, int], None]) -> None:
        """Call ``callback(host, version)`` when a peer reports a newer version."""
        self._config_callbacks.append(callback)

    def fetch_config(self, host: str, version: int) -> str | Failure:
        """Return a peer's configuration document of that version or a newer one."""
        body = FetchConfig(version)
        reply = self.forwarder.call(host, ANY_INCARNATION, body, FETCH_TIMEOUT_MS)
        if isinstance(reply, Document):
            return reply.text
        return reply if isinstance(reply, Failure) else _mismatched_reply(host)

    def fetch_targets(self, host: str) -> str | Failure:
        """Return the list of workers that the platform last sent to a peer, as JSON."""
        body = FetchTargets()
        reply = self.forwarder.call(host, ANY_INCARNATION, body, FETCH_TIMEOUT_MS)
        if isinstance(reply, TargetList):
            return reply.text
        return reply if isinstance(reply, Failure) else _mismatched_reply(host)

    def announce_config(self) -> None:
        """Announce this host's configuration version to every peer immediately."""
        self.heartbeats.announce()

    def announce_leaving(self) -> None:
        """Announce to every peer that this host accepts no new work."""
        self.heartbeats.leaving = True
        self.heartbeats.announce()

    def block(
        self, addresses: Iterable[str], sending: bool = True, receiving: bool = True
    ) -> None:
        """Drop messages to and from peer addresses, for tests and experiments."""
        self.link_filter.block(addresses, sending, receiving)

    def unblock(self, addresses: Iterable[str] | None = None) -> None:
        """Undo ``block`` for the given addresses, or for all."""
        self.link_filter.unblock(addresses)

    def _seed_address(self, host: str) -> str | None:
        addresses = [seed.address for seed in self.settings.seeds if seed.host == host]
        return addresses[0] if addresses else None

    def _on_hello(self, record: MemberRecord) -> None:
        self.membership.merge_record(record, self.environment.clock.now_ms())

    def _on_change(self, member: KnownMember, change: str) -> None:
        record = member.record
        detail = f"{record.host} {record.incarnation} {change}"
        log.info("Host {} of zone {} is {}.", record.host, record.zone, change)
        self.timeline.record(EventKind.MEMBER_CHANGED, detail=detail)
        self.metrics.count("member_changes", change)

    def _on_newer_config(self, host: str, version: int) -> None:
        """Run the callbacks unless they still run; heartbeats repeat the version."""
        if self._config_callbacks_running:
            return
        self._config_callbacks_running = True
        gevent.spawn(self._run_config_callbacks, host, version)

    def _run_config_callbacks(self, host: str, version: int) -> None:
        try:
            for callback in self._config_callbacks:
                callback(host, version)
        finally:
            self._config_callbacks_running = False


def _check_reply(reply: object, job_id: str) -> JobResult | Failure:
    if isinstance(reply, Failure):
        return reply
    if isinstance(reply, JobResult) and reply.job_id == job_id:
        return reply
    return _mismatched_reply(job_id)


def _mismatched_reply(subject: str) -> Failure:
    reason = f"the reply for {subject} belongs to another request; retry later"
    return Failure(ErrorKind.HOME_UNREACHABLE, reason)
