"""The other entry hosts, as the rest of this host sees them."""

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
from rattanloom.peers.listener import Listener
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
from rattanloom.settings import EntrySettings
from rattanloom.timeline import EventKind, TimeLine
from rattanloom.timer import TimerService

log = get_log("peers")

GRACE_MS = 5_000
CANCEL_WITHIN_MS = 10_000
FETCH_WITHIN_MS = 1_000


def no_targets() -> Failure:
    """Stand for a host that has no list of workers to tell."""
    return Failure(ErrorKind.NOT_FOUND, "no list of workers here")


@define(eq=False)
class PeerService:
    """Implements ``Peers`` over UDP heartbeats and TCP connections."""

    settings: EntrySettings
    environment: Environment
    timers: TimerService
    time_line: TimeLine
    incarnation: str
    load: Callable[[], HostLoad]
    config_version: Callable[[], int]
    config_document: Callable[[int], str | Failure]
    metrics: Metrics
    link_filter: LinkFilter = field(factory=LinkFilter)
    target_list: Callable[[], str | Failure] = no_targets
    membership: Membership = field(init=False)
    heartbeats: Heartbeats = field(init=False)
    forwarder: Forwarder = field(init=False)
    _listener: Listener = field(init=False)
    _config_callbacks: list[Callable[[str, int], None]] = field(factory=list)
    _telling_config: bool = False

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
        )

    @contextmanager
    def serve(self, requests: JobRequests) -> Iterator[None]:
        """Listen on the peer address, and send heartbeats, until the end."""
        with (
            self._listener.running(requests),
            self.heartbeats.running(self.timers),
        ):
            try:
                yield
            finally:
                self.forwarder.close()

    def members(self) -> tuple[Member, ...]:
        """Return the other entry hosts as now known, in every state."""
        return tuple(
            member.to_member() for member in self.membership.confirmed_members()
        )

    def loads(self) -> dict[str, HostLoad]:
        """Return the last load told by each live host, by host name."""
        loads = {}
        for member in self.membership.confirmed_members():
            view = self.heartbeats.peer_loads.get(member.record.key)
            if member.state in REACHABLE_STATES and view is not None:
                loads[member.record.host] = view.to_load()
        return loads

    def submit(self, host: str, incarnation: str, job: Job) -> JobResult | Failure:
        """Forward a submission to the host that minted its ticket."""
        within_ms = job.deadline_ms + GRACE_MS
        reply = self.forwarder.call(host, incarnation, Submit(job), within_ms)
        return _answer_to(reply, job.job_id)

    def ask(
        self, host: str, incarnation: str, job_id: str, wait_ms: float
    ) -> JobResult | Failure:
        """Forward a question for an answer."""
        body = Ask(job_id, wait_ms)
        reply = self.forwarder.call(host, incarnation, body, wait_ms + GRACE_MS)
        return _answer_to(reply, job_id)

    def cancel(self, host: str, incarnation: str, job_id: str) -> JobResult | Failure:
        """Forward a cancellation."""
        body = Cancel(job_id)
        reply = self.forwarder.call(host, incarnation, body, CANCEL_WITHIN_MS)
        return _answer_to(reply, job_id)

    def on_config_version(self, callback: Callable[[str, int], None]) -> None:
        """Call ``callback(host, version)`` when a peer tells a newer version."""
        self._config_callbacks.append(callback)

    def fetch_config(self, host: str, version: int) -> str | Failure:
        """Return a peer's configuration document of that version or newer."""
        body = FetchConfig(version)
        reply = self.forwarder.call(host, ANY_INCARNATION, body, FETCH_WITHIN_MS)
        if isinstance(reply, Document):
            return reply.text
        return reply if isinstance(reply, Failure) else _foreign(host)

    def fetch_targets(self, host: str) -> str | Failure:
        """Return the workers that the platform last listed to a peer, as JSON."""
        body = FetchTargets()
        reply = self.forwarder.call(host, ANY_INCARNATION, body, FETCH_WITHIN_MS)
        if isinstance(reply, TargetList):
            return reply.text
        return reply if isinstance(reply, Failure) else _foreign(host)

    def announce_config(self) -> None:
        """Tell every peer at once which configuration version is held here."""
        self.heartbeats.announce()

    def announce_leaving(self) -> None:
        """Tell every peer that this host takes no new work."""
        self.heartbeats.leaving = True
        self.heartbeats.announce()

    def block(
        self, addresses: Iterable[str], sending: bool = True, hearing: bool = True
    ) -> None:
        """Cut this host off from peer addresses; an aid for tests and proofs."""
        self.link_filter.block(addresses, sending, hearing)

    def unblock(self, addresses: Iterable[str] | None = None) -> None:
        """Undo ``block`` for the given addresses, or for all."""
        self.link_filter.unblock(addresses)

    def _seed_address(self, host: str) -> str | None:
        addresses = [seed.address for seed in self.settings.seeds if seed.host == host]
        return addresses[0] if addresses else None

    def _on_hello(self, record: MemberRecord) -> None:
        self.membership.merge_record(record, self.environment.clock.now_ms())

    def _on_change(self, member: KnownMember, word: str) -> None:
        record = member.record
        detail = f"{record.host} {record.incarnation} {word}"
        log.info("Host {} of zone {} is {}.", record.host, record.zone, word)
        self.time_line.record(EventKind.MEMBER_CHANGED, detail=detail)
        self.metrics.count("member_changes", word)

    def _on_newer_config(self, host: str, version: int) -> None:
        if self._telling_config:
            return
        self._telling_config = True
        gevent.spawn(self._tell_config, host, version)

    def _tell_config(self, host: str, version: int) -> None:
        try:
            for callback in self._config_callbacks:
                callback(host, version)
        finally:
            self._telling_config = False


def _answer_to(reply: object, job_id: str) -> JobResult | Failure:
    if isinstance(reply, Failure):
        return reply
    if isinstance(reply, JobResult) and reply.job_id == job_id:
        return reply
    return _foreign(job_id)


def _foreign(subject: str) -> Failure:
    reason = f"the answer for {subject} was for another request; ask again"
    return Failure(ErrorKind.HOME_UNREACHABLE, reason)
