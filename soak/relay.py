"""Relays between the processes of a soak, which delay, cut and silence connections."""

from collections.abc import Iterator
from contextlib import ExitStack, contextmanager

import gevent
from attrs import define, field
from gevent.server import StreamServer
from gevent.socket import create_connection, socket

from rattanloom.clock import MS_PER_S
from rattanloom.links.hub import split_address

READ_BYTES = 65_536
CUT_POLL_MS = 5
CONNECT_TIMEOUT_MS = 1_000


@define(eq=False)
class Conditions:
    """The state of the network: what does not pass, and what passes late.

    Names are of daemons, workers and ``store``; ``cut`` holds pairs of sender and
    receiver whose bytes are held back.
    """

    cut: set[tuple[str, str]] = field(factory=set)
    delay_ms: dict[tuple[str, str], float] = field(factory=dict)


def ways_between(some: set[str], others: set[str]) -> set[tuple[str, str]]:
    """Return the ways in both directions, for a cut that lets nothing through."""
    return {way for a in some for b in others for way in ((a, b), (b, a))}


@define(eq=False)
class Passage:
    """One relayed connection; a silenced one passes nothing any more."""

    source: str
    near: socket
    far: socket
    silenced: bool = False

    def close(self) -> None:
        """Reset both sides."""
        self.near.close()
        self.far.close()


@define(eq=False)
class Relay:
    """Passes connections on ``listen`` to ``target``, the address of ``name``.

    ``names`` tells the daemon of a source address.
    """

    name: str
    listen: str
    target: str
    names: dict[str, str]
    conditions: Conditions
    passages: set[Passage] = field(factory=set)

    @contextmanager
    def serving(self) -> Iterator[None]:
        """Relay until the block ends."""
        server = StreamServer(split_address(self.listen), self._accept)
        server.start()
        try:
            yield
        finally:
            server.stop(timeout=0)
            self.reset()

    def reset(self) -> None:
        """End all present connections."""
        for passage in list(self.passages):
            passage.close()

    def silence(self) -> None:
        """Let all present connections pass nothing any more; new ones work."""
        for passage in self.passages:
            passage.silenced = True

    def _accept(self, near: socket, address: tuple[str, int]) -> None:
        source = self.names.get(address[0], "")
        while (source, self.name) in self.conditions.cut:
            gevent.sleep(CUT_POLL_MS / MS_PER_S)
        try:
            far = create_connection(
                split_address(self.target), CONNECT_TIMEOUT_MS / MS_PER_S
            )
        except OSError:
            near.close()
            return
        far.settimeout(None)
        passage = Passage(source, near, far)
        self.passages.add(passage)
        out = gevent.spawn(self._pass, passage, near, far, (source, self.name))
        back = gevent.spawn(self._pass, passage, far, near, (self.name, source))
        gevent.joinall([out, back])
        self.passages.discard(passage)

    def _pass(
        self, passage: Passage, reader: socket, writer: socket, way: tuple[str, str]
    ) -> None:
        try:
            while chunk := reader.recv(READ_BYTES):
                self._hold_back(passage, way)
                writer.sendall(chunk)
        except OSError:
            pass
        finally:
            if not passage.silenced:
                passage.close()

    def _hold_back(self, passage: Passage, way: tuple[str, str]) -> None:
        gevent.sleep(self.conditions.delay_ms.get(way, 0) / MS_PER_S)
        while way in self.conditions.cut or passage.silenced:
            gevent.sleep(CUT_POLL_MS / MS_PER_S)


@contextmanager
def serving_all(relays: list[Relay]) -> Iterator[None]:
    """Serve relays until the block ends."""
    with ExitStack() as stack:
        for relay in relays:
            stack.enter_context(relay.serving())
        yield
