"""Forwards requests to other entry hosts, mostly to the issuer of a ticket."""

from collections.abc import Callable

import gevent
from attrs import define, field
from gevent.event import AsyncResult

from rattanloom.errors import ErrorKind, Failure, Ran
from rattanloom.keys import Keyring
from rattanloom.link_filter import LinkFilter
from rattanloom.logs import get_log
from rattanloom.metrics import Metrics
from rattanloom.peers.connection import (
    ConnectionLostError,
    PeerConnection,
    open_connection,
)
from rattanloom.peers.membership import REACHABLE_STATES, Membership
from rattanloom.peers.messages import MemberRecord, Reply, Request
from rattanloom.peers.schema import BadMessageError, UnsendableError

log = get_log("peers")

TRIES_MAX = 2
ANY_INCARNATION = ""  # the request is for whichever process now runs on the host


@define(eq=False)
class PeerLink:
    """The connection to one host; ``opening`` is set while a new one is opened."""

    connection: PeerConnection | None = None
    opening: AsyncResult | None = None


@define(eq=False)
class Forwarder:
    """Sends requests to other entry hosts, over one connection to each.

    A request whose connection is lost is sent once more over a new one; the
    issuer joins it to the first request by its ticket. ``seed_address`` returns
    the address of a host not yet listed; ``on_hello`` receives the record of each
    host that a connection was opened to.
    """

    membership: Membership
    seed_address: Callable[[str], str | None]
    seal_key: Keyring
    link_filter: LinkFilter
    ping_ms: float
    on_hello: Callable[[MemberRecord], None]
    metrics: Metrics
    _links: dict[str, PeerLink] = field(factory=dict)

    def call(
        self, host: str, incarnation: str, body: Request, timeout_ms: float
    ) -> Reply:
        """Return the reply of that incarnation of a host, or a failure.

        Each try waits up to ``timeout_ms``, or until pings are no longer answered.
        After a time-out there is no further try.
        """
        handed_over = False  # whether the peer may have received a byte in any try
        reason = ""
        for _ in range(TRIES_MAX):
            failure = self._known_failure(host, incarnation)
            if failure is not None:
                return self._report_failure(failure, handed_over)
            connection = self._connect(host, incarnation)
            if isinstance(connection, Failure):
                return self._report_failure(connection, handed_over)
            try:
                return connection.request(body, timeout_ms)
            except UnsendableError as error:
                reason = f"cannot be forwarded: {error}"
                return self._report_failure(
                    Failure(ErrorKind.BAD_REQUEST, reason), handed_over
                )
            except ConnectionLostError as error:
                handed_over |= error.handed_over
                reason = f"{host}: {error}; retry later"
            except gevent.Timeout:
                handed_over = True
                reason = f"{host} did not reply in time; retry later"
                break
        return self._report_failure(
            Failure(ErrorKind.HOME_UNREACHABLE, reason), handed_over
        )

    def close(self) -> None:
        """Close every connection."""
        for link in self._links.values():
            if link.connection is not None:
                link.connection.close("this host is stopping")
        self._links.clear()

    def bytes_moved(self) -> int:
        """Return the bytes sent and received on the open connections."""
        streams = [
            link.connection.stream for link in self._links.values() if link.connection
        ]
        return sum(stream.bytes_sent + stream.bytes_received for stream in streams)

    def _report_failure(self, failure: Failure, handed_over: bool) -> Failure:
        """Count a failure, and return it with ``ran`` set; HOME_GONE is unchanged."""
        self.metrics.count("forwards_failed", failure.kind.value)
        if failure.kind is ErrorKind.HOME_GONE:
            return failure
        ran = Ran.MAY_HAVE_RUN if handed_over else Ran.NOT_RUN
        return Failure(failure.kind, failure.reason, failure.retry_after_ms, ran)

    def _known_failure(self, host: str, incarnation: str) -> Failure | None:
        """Return the failure that follows from the membership alone, or None."""
        own = self.membership.own
        if host == own.host and incarnation != own.incarnation:
            return _gone_failure(host)
        if self.membership.is_former(host, incarnation):
            return _gone_failure(host)
        member = self.membership.get(host)
        if member is None or not member.is_confirmed:
            return None
        if member.state not in REACHABLE_STATES:
            return _unreachable_failure(f"{host} is {member.state.value}; retry later")
        return None

    def _connect(self, host: str, incarnation: str) -> PeerConnection | Failure:
        """Return a connection to that incarnation; opens one if needed."""
        connection = self._current_connection(host)
        if connection is None or not _reaches_incarnation(connection, incarnation):
            connection = self._open_once(host)
        if isinstance(connection, Failure) or _reaches_incarnation(
            connection, incarnation
        ):
            return connection
        if self.membership.is_former(host, connection.peer.incarnation):
            return _unreachable_failure(
                f"{host}: an earlier process still listens at its address"
            )
        return _gone_failure(host)

    def _current_connection(self, host: str) -> PeerConnection | None:
        link = self._links.get(host)
        if link is None or link.connection is None or link.connection.closed:
            return None
        return link.connection

    def _open_once(self, host: str) -> PeerConnection | Failure:
        """Open a connection; concurrent callers share the result."""
        link = self._links.setdefault(host, PeerLink())
        if link.opening is not None:
            return link.opening.get()
        link.opening = result = AsyncResult()
        opened: PeerConnection | Failure = _unreachable_failure(
            f"{host}: opening the connection was stopped"
        )
        try:
            opened = self._open(host)
        finally:
            link.opening = None
            result.set(opened)
        if isinstance(opened, Failure):
            return opened
        if link.connection is not None:
            link.connection.close("replaced by a new connection")
        link.connection = opened
        self._links[host] = link
        return opened

    def _open(self, host: str) -> PeerConnection | Failure:
        address = self._address(host)
        if address is None:
            return _unreachable_failure(f"{host} is not a known entry host")
        try:
            connection = open_connection(
                address,
                self.membership.own,
                self.seal_key,
                self.link_filter,
                self.ping_ms,
            )
        except (OSError, BadMessageError) as error:
            return _unreachable_failure(
                f"cannot connect to {host} at {address}: {error}"
            )
        self.on_hello(connection.peer)
        if connection.peer.host != host:
            connection.close("another host listens at this address")
            return _unreachable_failure(
                f"another host listens at {address}, not {host}"
            )
        connection.start()
        return connection

    def _address(self, host: str) -> str | None:
        member = self.membership.get(host)
        return member.record.address if member else self.seed_address(host)


def _reaches_incarnation(connection: PeerConnection, incarnation: str) -> bool:
    return incarnation in (ANY_INCARNATION, connection.peer.incarnation)


def _gone_failure(host: str) -> Failure:
    reason = f"{host} has restarted; its earlier jobs may have run"
    return Failure(ErrorKind.HOME_GONE, reason)


def _unreachable_failure(reason: str) -> Failure:
    return Failure(ErrorKind.HOME_UNREACHABLE, reason)
