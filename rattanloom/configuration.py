"""The configuration of one stand-alone entry host, from the platform or its peers.

A version passes two steps. It is *held* once its document is fetched and
checked here; the held version is announced to peers. It is *active* (``in_force``
in status pages) once the other live hosts of the zone and, if any is live, a host
of another zone hold it too, or a bounded wait has passed. A host that restarts
during an outage of the platform can therefore fetch every version that it had
activated from its live peers. While the process runs, neither the held nor the
active version decreases.
"""

import gevent
from attrs import define, field, frozen

from rattanloom.clock import MS_PER_S
from rattanloom.configuration_activation import NO_VERSION, ActivationReason, KnownPeers
from rattanloom.configuration_document import (
    HEAD_KEY,
    Document,
    Head,
    object_name,
    parse_document,
    parse_head,
)
from rattanloom.environment import Environment
from rattanloom.errors import ErrorKind, Failure
from rattanloom.logs import get_log
from rattanloom.peers.protocol import Member, MemberState, Peers
from rattanloom.platform.protocol import ObjectStore, Table
from rattanloom.rules import Rules
from rattanloom.settings import EntrySettings
from rattanloom.timeline import EventKind, Timeline
from rattanloom.timer import Subscription, TimerService

log = get_log("config")

NEVER_MS = float("-inf")
ACTIVATION_CHECK_INTERVAL_MS = 50
# Longest time that a held version waits for the live peers to hold it too.
ACTIVATION_WAIT_MS = 1_500
# After a start without the platform, time for peers to report their versions.
SETTLE_HEARTBEATS = 6
FETCHES_PER_ROUND = 3
REACHABLE_STATES = frozenset({MemberState.LIVE, MemberState.LEAVING})


@frozen
class ConfigStatus:
    """State of the configuration, for status pages.

    ``in_force`` is the active version, ``ground`` why it was activated,
    ``platform_version`` the newest version read from the platform's head row, and
    ``problem`` why the newest known version is not held (empty if it is).
    ``platform_reachable`` is whether the last read of the head row succeeded.
    """

    in_force: int
    held: int
    platform_version: int
    platform_reachable: bool
    ground: str
    problem: str


@frozen
class HeldDocument:
    """A held document that is not active yet, with its source."""

    document: Document
    held_at_ms: float
    source: str


@define(eq=False)
class Configuration:
    """Fetches, checks and activates the configuration versions of one host."""

    settings: EntrySettings
    environment: Environment
    timers: TimerService
    timeline: Timeline
    table: Table
    objects: ObjectStore
    activation_wait_ms: float = ACTIVATION_WAIT_MS
    _peers: Peers | None = field(init=False, default=None)
    _active: Document | None = field(init=False, default=None)
    _newest_held: Document | None = field(init=False, default=None)
    _pending: list[HeldDocument] = field(init=False, factory=list)
    _last_hint_at_ms: float = field(init=False, default=NEVER_MS)
    _activation_check: Subscription | None = field(init=False, default=None)
    _next_peer_fetch_at_ms: float = field(init=False, default=NEVER_MS)
    _fetching_from_peers: bool = field(init=False, default=False)
    _platform_version: int = field(init=False, default=NO_VERSION)
    _head_was_read: bool = field(init=False, default=False)
    _platform_reachable: bool = field(init=False, default=False)
    _activation_reason: ActivationReason | None = field(init=False, default=None)
    _activation_text: str = field(init=False, default="")
    _problem: str = field(init=False, default="")

    def start(self, peers: Peers) -> None:
        """Start polling the platform and watching for newer versions at ``peers``.

        After the first poll, polls start at a random phase: hosts that start together
        would otherwise all poll at the same time.
        """
        self._peers = peers
        peers.on_config_version(self._on_peer_version)
        gevent.spawn(self.poll)
        interval_ms = self.settings.config_poll_ms
        phase_s = self.environment.random.random() * interval_ms / MS_PER_S
        subscribe = self.timers.subscribe
        gevent.spawn_later(phase_s, subscribe, "config poll", interval_ms, self.poll)

    def rules(self) -> Rules | None:
        """Return the active rules, or None before the first activation."""
        return None if self._active is None else self._active.rules

    def version(self) -> int:
        """Return the active version, or 0 before the first activation."""
        return _version_of(self._active)

    def held_version(self) -> int:
        """Return the newest held version, which is announced to peers."""
        return _version_of(self._newest_held)

    def activation_reason(self) -> ActivationReason | None:
        """Return why the active version was activated."""
        return self._activation_reason

    def document(self, version: int) -> str | Failure:
        """Return the newest held document's text if it is ``version`` or newer."""
        if self._newest_held is None or self._newest_held.version < version:
            reason = f"configuration version {version} is not held here"
            return Failure(ErrorKind.NOT_FOUND, reason)
        return self._newest_held.text

    def status(self) -> ConfigStatus:
        """Return the active and held versions, and the reasons for them."""
        return ConfigStatus(
            self.version(),
            self.held_version(),
            self._platform_version,
            self._platform_reachable,
            self._activation_text,
            self._problem,
        )

    def poll(self) -> None:
        """Check the platform and the peers once for a newer version."""
        head = self._read_head()
        if head is not None and head.record.version > self.held_version():
            self._fetch_from_platform(head)
        self._update_from_peers()

    def poll_on_hint(self) -> None:
        """Poll immediately, after a request that hints at a newer version.

        Hints are limited to one per poll interval, so that they at most double
        the reads of the platform.
        """
        now_ms = self.environment.clock.now_ms()
        if now_ms - self._last_hint_at_ms >= self.settings.config_poll_ms:
            self._last_hint_at_ms = now_ms
            gevent.spawn(self.poll)

    def _read_head(self) -> Head | None:
        rows = self.table.read([HEAD_KEY])
        self._platform_reachable = not isinstance(rows, Failure)
        if isinstance(rows, Failure):
            log.debug("platform is unreachable: {}", rows.reason)
            return None
        head = parse_head(rows[0].value) if rows else None
        if isinstance(head, Failure):
            self._record_problem(f"cannot parse the platform's head row: {head.reason}")
            return None
        self._head_was_read = True
        if head is not None:
            newest = max(self._platform_version, head.record.version)
            self._platform_version = newest
        return head

    def _fetch_from_platform(self, head: Head) -> None:
        content = self.objects.get(object_name(head.digest))
        if isinstance(content, Failure):
            self._record_problem(
                f"object of version {head.record.version}: {content.reason}"
            )
            return
        document = parse_document(content.decode(errors="replace"))
        if isinstance(document, Document) and document.digest != head.digest:
            document = Failure(ErrorKind.INTERNAL, "digest differs from the head row's")
        self._hold_document(document, head.record.version, "the platform")

    def _on_peer_version(self, host: str, version: int) -> None:
        log.debug("peer {} reports version {}", host, version)
        gevent.spawn(self._update_from_peers)

    def _update_from_peers(self) -> None:
        """Fetch newer versions from peers.

        If a peer still reports a newer version afterwards, the next round waits
        for a poll interval. Otherwise a document that fails the checks here
        would be fetched again at every heartbeat.
        """
        now_ms = self.environment.clock.now_ms()
        if self._fetching_from_peers or now_ms < self._next_peer_fetch_at_ms:
            return
        self._fetching_from_peers = True
        try:
            self._fetch_newest()
        finally:
            self._fetching_from_peers = False
        if self._peers_with_newer():
            self._next_peer_fetch_at_ms = now_ms + self.settings.config_poll_ms

    def _fetch_newest(self) -> None:
        """Fetch until none of the queried peers supplies a newer version."""
        while any(self._fetch_from_peer(peer) for peer in self._peers_with_newer()):
            pass

    def _peers_with_newer(self) -> list[Member]:
        """Return up to ``FETCHES_PER_ROUND`` peers with a newer version, newest first.

        Peers with the same version come in random order, so that not all hosts
        request a new version from the first one that holds it.
        """
        held = self.held_version()
        peers = [peer for peer in self._reachable_peers() if peer.config_version > held]
        self.environment.random.shuffle(peers)
        return sorted(peers, key=_reported_version, reverse=True)[:FETCHES_PER_ROUND]

    def _fetch_from_peer(self, member: Member) -> bool:
        """Fetch a peer's held document; return whether the held version increased."""
        previous_version = self.held_version()
        text = self._peers.fetch_config(member.host, member.config_version)
        document = text if isinstance(text, Failure) else parse_document(text)
        self._hold_document(document, member.config_version, f"peer {member.host}")
        return self.held_version() > previous_version

    def _hold_document(
        self, document: Document | Failure, version: int, source: str
    ) -> None:
        """Hold a fetched document if it is valid and newer than the held one.

        ``version`` is the one requested from ``source``, for the error message.
        """
        if isinstance(document, Failure):
            self._record_problem(f"version {version} from {source}: {document.reason}")
            return
        if document.version <= self.held_version():
            return
        self._problem = ""
        self._newest_held = document
        now_ms = self.environment.clock.now_ms()
        self._pending.append(HeldDocument(document, now_ms, source))
        log.info("holding version {} from {}", document.version, source)
        self._peers.announce_config()
        self.activate_eligible()
        if self._pending and self._activation_check is None:
            self._activation_check = self.timers.subscribe(
                "config hold check",
                ACTIVATION_CHECK_INTERVAL_MS,
                self.activate_eligible,
            )

    def activate_eligible(self) -> None:
        """Activate the newest held version that may be activated, if any."""
        for held in reversed(self._pending):
            reason = self._reason_to_activate(held)
            if reason is not None:
                self._activate(held, reason)
                break
        if not self._pending and self._activation_check is not None:
            self._activation_check.cancel()
            self._activation_check = None

    def _reason_to_activate(self, held: HeldDocument) -> ActivationReason | None:
        """Return why ``held`` may be activated now, or None if it may not."""
        known_peers = self._known_peers()
        if self._active is None and not self._is_known_newest(held, known_peers):
            return None
        reason = known_peers.reason_to_activate(held.document.version)
        waited_ms = self.environment.clock.now_ms() - held.held_at_ms
        if reason is None and waited_ms >= self.activation_wait_ms:
            return ActivationReason.WAIT_PASSED
        return reason

    def _is_known_newest(self, held: HeldDocument, known_peers: KnownPeers) -> bool:
        """Return whether ``held`` counts as the newest version, before any is active.

        True once the platform's head row has been read and is not newer, or every
        seed has reported a version and none is newer, or ``SETTLE_HEARTBEATS``
        intervals have passed since the first version was held. If a peer reports a
        newer one, that wait is extended by ``activation_wait_ms`` to fetch it.
        """
        version = held.document.version
        if self._head_was_read and version >= self._platform_version:
            return True
        newer_reported = known_peers.newest_reported_version() > version
        if known_peers.all_seeds_reported() and not newer_reported:
            return True
        waited_ms = self.environment.clock.now_ms() - self._first_held_at_ms()
        settle_ms = SETTLE_HEARTBEATS * self.settings.heartbeat_ms
        return waited_ms >= settle_ms + (
            self.activation_wait_ms if newer_reported else 0
        )

    def _first_held_at_ms(self) -> float:
        return self._pending[0].held_at_ms

    def _activate(self, held: HeldDocument, reason: ActivationReason) -> None:
        document = held.document
        self._pending = [
            other
            for other in self._pending
            if other.document.version > document.version
        ]
        self._active = document
        platform = "is reachable" if self._platform_reachable else "is unreachable"
        self._activation_reason = reason
        self._activation_text = (
            f"from {held.source}, {reason.value}; the platform {platform}"
        )
        record = document.record
        detail = (
            f"version {record.version} by {record.operator} ({record.message}) "
            f"{self._activation_text}"
        )
        self.timeline.record(EventKind.CONFIG_IN_FORCE, detail=detail)
        log.info("version {} is active: {}", document.version, self._activation_text)

    def _reachable_peers(self) -> list[Member]:
        return [peer for peer in self._members() if peer.state in REACHABLE_STATES]

    def _known_peers(self) -> KnownPeers:
        live = [peer for peer in self._members() if peer.state is MemberState.LIVE]
        names = {seed.host for seed in self.settings.seeds}
        others = frozenset(names - {self.settings.host})
        return KnownPeers(self.settings.zone, tuple(live), others)

    def _members(self) -> tuple[Member, ...]:
        return () if self._peers is None else self._peers.members()

    def _record_problem(self, problem: str) -> None:
        if problem != self._problem:
            log.warning("{}", problem)
        self._problem = problem


def _version_of(document: Document | None) -> int:
    return NO_VERSION if document is None else document.version


def _reported_version(member: Member) -> int:
    return member.config_version
