"""Manages the links of a daemon: those it accepts and those it dials."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import gevent
from attrs import define, field
from gevent.server import StreamServer
from gevent.socket import socket

from rattanloom.background import spawn_restarting
from rattanloom.clock import MS_PER_S, Clock
from rattanloom.decision_log import DecisionLog
from rattanloom.links.keepalive import LinkKeepalive
from rattanloom.links.link import Link
from rattanloom.links.messages import Hello, Message
from rattanloom.serving.budget import ClientBudget, Holding, Listener
from rattanloom.serving.http_server import limit_accepted

log = DecisionLog("links")

CONNECT_TIMEOUT_MS = 250
# Pause before a kept link that closed or could not be opened is dialled again.
RECONNECT_PAUSE_MS = 60
# Links that other daemons open.
ACCEPTED_MAX = 1_000


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``host:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


@define(eq=False, repr=False)
class LinkHub:
    """Opens, accepts and looks up links by the node of the peer.

    Both sides may dial at the same time. Of several links to a peer, the newest
    open one is used; after it closes, the next older one. ``listen`` is the address
    to bind; ``own_hello`` has the address that peers dial. ``_kept_links`` maps a node
    to the address of its kept link and the time until which the link is kept. Links
    that are accepted share ``budget`` with clients until the peer has sent its hello:
    anyone may connect.
    """

    own_hello: Hello
    listen: str
    clock: Clock
    on_message: Callable[[Link, Message], None]
    on_open: Callable[[Link], None]
    on_lost: Callable[[Link], None]
    budget: ClientBudget = field(factory=ClientBudget)
    accepted_max: int = ACCEPTED_MAX
    _listener: Listener = field(init=False)
    _links: dict[str, list[Link]] = field(factory=dict)
    _kept_links: dict[str, tuple[str, float]] = field(factory=dict)
    _dialling: set[str] = field(factory=set)

    def __attrs_post_init__(self) -> None:
        self._listener = self.budget.add_listener(
            "daemons", self.accepted_max, is_internal=True
        )

    @contextmanager
    def serving(self) -> Iterator[None]:
        """Accept links inside the block; close all links after it."""
        server = StreamServer(split_address(self.listen), self._accept)
        server.init_socket()
        limit_accepted(server)
        server.start()
        keepalive = spawn_restarting(
            LinkKeepalive(self.clock, self.open_links, self._owns_zones).run
        )
        try:
            yield
        finally:
            keepalive.kill(block=False)
            server.stop(timeout=0)
            self._kept_links.clear()
            for link in [link for links in self._links.values() for link in links]:
                link.close()

    def link(self, node: str) -> Link | None:
        """Return the newest open link to a peer, or None."""
        links = self._links.get(node)
        if not links:
            return None
        if not links[-1].closed:
            return links[-1]
        return next((link for link in reversed(links) if not link.closed), None)

    def _owns_zones(self) -> bool:
        """Return whether other daemons may submit jobs to this one."""
        return bool(self.own_hello.zones)

    def nodes(self) -> tuple[str, ...]:
        """Return the nodes of the peers with an open link."""
        return tuple(node for node in self._links if self.link(node))

    def open_links(self) -> tuple[Link, ...]:
        """Return all open links, of which several may lead to the same peer."""
        return tuple(
            link for links in self._links.values() for link in links if not link.closed
        )

    def is_alive(self, node: str) -> bool:
        """Return whether the current link to a peer received data recently."""
        link = self.link(node)
        return link is not None and link.is_alive()

    def keep_link(self, node: str, address: str, until_ms: float) -> None:
        """Keep a link to a peer open until ``until_ms``, redialling if it closes."""
        self._kept_links[node] = (address, until_ms)
        if self.link(node) is None and node not in self._dialling:
            self._dialling.add(node)
            gevent.spawn(self._dial, node)

    def close_expired_links(self) -> None:
        """Close the links that this daemon dialled and no longer keeps."""
        for node, links in list(self._links.items()):
            if not self._is_kept(node):
                for link in [link for link in links if link.dialled]:
                    link.close()

    def handle_message(self, link: Link, message: Message) -> None:
        """Pass a received message to ``on_message``."""
        self.on_message(link, message)

    def handle_lost(self, link: Link, reason: str) -> None:
        """Remove a closed link and call ``on_lost``."""
        node = link.peer.node
        self._links[node].remove(link)
        if not self._links[node]:
            del self._links[node]
        log.info("link_lost", peer=node, reason=reason)
        self.on_lost(link)

    def _accept(self, connection: socket, _: object) -> None:
        """Serve a link that another daemon opens, if there is room for it."""
        holding = self.budget.admit(self._listener, connection.close)
        if holding is None:
            connection.close()
            return
        try:
            self._run(connection, dialled=False, holding=holding)
        finally:
            holding.release()

    def _dial(self, node: str) -> None:
        try:
            while self._is_kept(node) and self.link(node) is None:
                address, _ = self._kept_links[node]
                self.open_link(address, node)
                gevent.sleep(RECONNECT_PAUSE_MS / MS_PER_S)
        finally:
            self._dialling.discard(node)

    def open_link(self, address: str, node: str | None = None) -> None:
        """Open a link to an address and serve it until it closes.

        Returns without an error if the connection cannot be opened. The link closes if
        another daemon than ``node`` uses the address now; this one would otherwise not
        dial the new address of ``node`` while the link to the other one is open.
        """
        try:
            connection = self._connect(address)
        except OSError:
            return
        self._run(connection, dialled=True, node=node)

    def _connect(self, address: str) -> socket:
        """Connect to an address within ``CONNECT_TIMEOUT_MS``, or raise ``OSError``.

        The timeout includes the look-up of a host name, and IP addresses are not
        looked up: a look-up runs in a thread, has no timeout of its own, and would keep
        the peer from being dialled again.
        """
        connection = socket()
        try:
            with gevent.Timeout(CONNECT_TIMEOUT_MS / MS_PER_S, TimeoutError):
                connection.bind((split_address(self.listen)[0], 0))
                connection.connect(split_address(address))
        except BaseException:
            connection.close()
            raise
        return connection

    def _is_kept(self, node: str) -> bool:
        _, until_ms = self._kept_links.get(node, ("", 0))
        return self.clock.now_ms() < until_ms

    def _run(
        self,
        connection: socket,
        dialled: bool,
        node: str | None = None,
        holding: Holding | None = None,
    ) -> None:
        link = Link(
            connection,
            self.clock,
            self.own_hello,
            self,
            dialled=dialled,
            expected_node=node,
            holding=holding,
        )
        link.run(self._add_link)

    def _add_link(self, link: Link) -> None:
        self._links.setdefault(link.peer.node, []).append(link)
        self.on_open(link)
