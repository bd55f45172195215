"""A relay in front of a daemon's port for its peers, which can cut pairs of daemons.

Peers connect to the relay, whose address the daemon announces. A cut is silent: data
and new connections between a cut pair wait. When the cut ends, the connections that it
has silenced are reset.
"""

import asyncio
from contextlib import suppress
from dataclasses import dataclass, field


@dataclass
class Cuts:
    """The daemons, by IP address, that are cut off from all other daemons."""

    ips: set[str] = field(default_factory=set)
    ended: asyncio.Event = field(default_factory=asyncio.Event)

    def blocks(self, one: str, other: str) -> bool:
        """Return whether traffic between two daemons is cut."""
        return one in self.ips or other in self.ips

    def begin(self, ip: str) -> None:
        """Cut a daemon off."""
        self.ips.add(ip)

    def end(self) -> None:
        """End all cuts."""
        self.ips.clear()
        self.ended.set()
        self.ended = asyncio.Event()


@dataclass
class Relay:
    """Forwards connections from ``listen_ip`` to ``target_ip``, on the same port."""

    listen_ip: str
    target_ip: str
    port: int
    cuts: Cuts

    async def start(self) -> None:
        """Accept connections in the background."""
        await asyncio.start_server(self._serve, self.listen_ip, self.port)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        source_ip = writer.get_extra_info("peername")[0]
        if self.cuts.blocks(source_ip, self.target_ip):
            await self.cuts.ended.wait()
            writer.transport.abort()
            return
        try:
            back_reader, back_writer = await asyncio.open_connection(
                self.target_ip, self.port
            )
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            self._forward(reader, back_writer, source_ip),
            self._forward(back_reader, writer, source_ip),
        )

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        source_ip: str,
    ) -> None:
        with suppress(OSError):
            while data := await reader.read(65_536):
                if self.cuts.blocks(source_ip, self.target_ip):
                    await self.cuts.ended.wait()
                    break
                writer.write(data)
                await writer.drain()
        if self.cuts.blocks(source_ip, self.target_ip):
            # The end of a connection does not cross a cut, either.
            await self.cuts.ended.wait()
        writer.transport.abort()
