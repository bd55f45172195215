"""A relay between the daemons, and between a daemon and the store.

Holds back what a cut machine sends or would get, without closing a connection, as a
partition does. What was held back is delivered after the cut.
"""

import asyncio
from contextlib import suppress

READ_BYTES = 65_536


class Cuts:
    """The machines that are cut off, by IP address."""

    def __init__(self) -> None:
        self.machines: set[str] = set()
        self._changed = asyncio.Event()

    def set(self, machines: set[str]) -> None:
        """Cut off just these machines from all others and from the store."""
        self.machines = machines
        self._changed.set()
        self._changed = asyncio.Event()

    async def pass_between(self, source: str, target: str) -> None:
        """Wait until nothing separates two machines."""
        while source != target and self.machines & {source, target}:
            await self._changed.wait()


class Relay:
    """Forwards connections from ``listen`` to ``target``; ``owner`` is its machine."""

    server: asyncio.Server | None = None

    def __init__(self, listen: str, target: str, owner: str, cuts: Cuts):
        self.listen, self.target, self.owner, self.cuts = listen, target, owner, cuts
        self._age = 0

    async def start(self) -> None:
        """Start to accept connections."""
        host, port = self.listen.split(":")
        self.server = await asyncio.start_server(self._accept, host, int(port))

    def silence(self) -> None:
        """Forward nothing more on the connections that are open now."""
        self._age += 1

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        source = writer.get_extra_info("peername")[0]
        await self.cuts.pass_between(source, self.owner)
        host, port = self.target.split(":")
        try:
            to_reader, to_writer = await asyncio.open_connection(
                host, int(port), local_addr=(source, 0)
            )
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self._forward(reader, to_writer, source),
            self._forward(to_reader, writer, source),
        )

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, source: str
    ) -> None:
        age = self._age
        with suppress(OSError):
            while data := await reader.read(READ_BYTES):
                if age != self._age:
                    continue
                await self.cuts.pass_between(source, self.owner)
                writer.write(data)
                await writer.drain()
        if age == self._age:
            await self.cuts.pass_between(source, self.owner)
            writer.close()
