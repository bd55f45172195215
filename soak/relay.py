"""TCP relays between the processes of a soak, to delay or block their traffic.

They carry the connections that daemons open to peers, workers and the store. Clients
reach the daemons, and workers reach the store, without a relay.
"""

from collections.abc import Iterator
from contextlib import ExitStack, contextmanager

import gevent
from attrs import define, field
from gevent.server import StreamServer
from gevent.socket import create_connection, socket

from rattanloom.clock import MS_PER_S
from rattanloom.links.hub import split_address

READ_BYTES = 65_536
BLOCKED_POLL_MS = 5
CONNECT_TIMEOUT_MS = 1_000


@define(eq=False)
class NetworkConditions:
    """The blocked and the delayed pairs of (sender, receiver) in the network.

    Senders and receivers are names of daemons, names of workers or ``store``. Data of
    a blocked pair is held back until the pair is unblocked.
    """

    blocked_pairs: set[tuple[str, str]] = field(factory=set)
    delay_ms: dict[tuple[str, str], float] = field(factory=dict)


def pairs_between(some: set[str], others: set[str]) -> set[tuple[str, str]]:
    """Return all (sender, receiver) pairs between two groups, in both directions."""
    return {pair for a in some for b in others for pair in ((a, b), (b, a))}


@define(eq=False)
class RelayedConnection:
    """A relayed connection; if silenced, it stays open but forwards no more data."""

    source: str
    source_socket: socket
    target_socket: socket
    silenced: bool = False

    def close(self) -> None:
        """Close both sockets."""
        self.source_socket.close()
        self.target_socket.close()


@define(eq=False)
class Relay:
    """Forwards connections to the process ``name``, from ``listen`` to ``target``.

    ``names_by_ip`` maps the source IP address of a connection to the daemon's name.
    """

    name: str
    listen: str
    target: str
    names_by_ip: dict[str, str]
    conditions: NetworkConditions
    open_connections: set[RelayedConnection] = field(factory=set)

    @contextmanager
    def serving(self) -> Iterator[None]:
        """Accept and forward connections until the block ends."""
        server = StreamServer(split_address(self.listen), self._accept)
        server.start()
        try:
            yield
        finally:
            server.stop(timeout=0)
            self.reset()

    def reset(self) -> None:
        """Close all open connections."""
        for connection in list(self.open_connections):
            connection.close()

    def silence(self) -> None:
        """Stop forwarding on all open connections, without closing them."""
        for connection in self.open_connections:
            connection.silenced = True

    def _accept(self, source_socket: socket, address: tuple[str, int]) -> None:
        source = self.names_by_ip.get(address[0], "")
        while (source, self.name) in self.conditions.blocked_pairs:
            gevent.sleep(BLOCKED_POLL_MS / MS_PER_S)
        try:
            target_socket = create_connection(
                split_address(self.target), CONNECT_TIMEOUT_MS / MS_PER_S
            )
        except OSError:
            source_socket.close()
            return
        target_socket.settimeout(None)
        connection = RelayedConnection(source, source_socket, target_socket)
        self.open_connections.add(connection)
        out = gevent.spawn(
            self._forward, connection, source_socket, target_socket, (source, self.name)
        )
        back = gevent.spawn(
            self._forward, connection, target_socket, source_socket, (self.name, source)
        )
        gevent.joinall([out, back])
        self.open_connections.discard(connection)

    def _forward(
        self,
        connection: RelayedConnection,
        reader: socket,
        writer: socket,
        pair: tuple[str, str],
    ) -> None:
        try:
            while chunk := reader.recv(READ_BYTES):
                self._wait_until_allowed(connection, pair)
                writer.sendall(chunk)
        except OSError:
            pass
        finally:
            if not connection.silenced:
                connection.close()

    def _wait_until_allowed(
        self, connection: RelayedConnection, pair: tuple[str, str]
    ) -> None:
        gevent.sleep(self.conditions.delay_ms.get(pair, 0) / MS_PER_S)
        while pair in self.conditions.blocked_pairs or connection.silenced:
            gevent.sleep(BLOCKED_POLL_MS / MS_PER_S)


@contextmanager
def serving_all(relays: list[Relay]) -> Iterator[None]:
    """Run several relays until the block ends."""
    with ExitStack() as stack:
        for relay in relays:
            stack.enter_context(relay.serving())
        yield
