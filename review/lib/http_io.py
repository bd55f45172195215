"""Minimal HTTP/1.1 server and client on asyncio, for the stand-ins of the cases."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass


@dataclass
class Request:
    """One received request; ``peer_ip`` is the source address of its connection."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    peer_ip: str

    @property
    def json(self) -> dict:
        """Return the decoded JSON body."""
        return json.loads(self.body or b"{}")


# A handler returns a status and a document, or None to close the connection unanswered.
Reply = tuple[int, dict] | None
Handler = Callable[[Request], Awaitable[Reply]]


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read the first line and the headers of a message."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def serve(ip: str, port: int, handler: Handler) -> asyncio.Server:
    """Serve ``handler`` on an address; connections are kept alive."""

    async def serve_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        peer_ip = writer.get_extra_info("peername")[0]
        try:
            while True:
                line, headers = await read_head(reader)
                method, path, _ = line.split(" ", 2)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                reply = await handler(Request(method, path, headers, body, peer_ip))
                if reply is None:
                    return
                status, document = reply
                content = json.dumps(document).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n%b" % (status, len(content), content)
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            with suppress(OSError):
                writer.close()

    return await asyncio.start_server(serve_connection, ip, port)


@dataclass
class Answer:
    """A client's view of a response; ``status`` is 0 if there was none."""

    status: int
    document: dict
    reason: str = ""


async def call(
    address: str,
    method: str,
    path: str,
    document: dict | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 5.0,
) -> Answer:
    """Send one request on a new connection and return its response."""
    ip, _, port = address.rpartition(":")
    content = b"" if document is None else json.dumps(document).encode()
    lines = {
        "Host": address,
        "Content-Type": "application/json",
        "Content-Length": str(len(content)),
        "Connection": "close",
    } | (headers or {})
    head = f"{method} {path} HTTP/1.1\r\n" + "".join(
        f"{name}: {value}\r\n" for name, value in lines.items()
    )
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(head.encode() + b"\r\n" + content)
            await writer.drain()
            line, received = await read_head(reader)
            length = int(received.get("content-length", 0))
            body = await reader.readexactly(length)
            return Answer(int(line.split(" ")[1]), json.loads(body or b"{}"))
    except (OSError, EOFError, ValueError, asyncio.IncompleteReadError) as error:
        return Answer(0, {}, type(error).__name__)
    finally:
        if writer is not None:
            writer.close()
