"""A TCP proxy for one link, which passes, holds back or resets connections."""

import asyncio
import socket
import struct
from enum import Enum, auto

CHUNK_BYTES = 65536


class Link(Enum):
    """What a link does with packets."""

    PASS = auto()
    # Packets are held back, and delivered in order once the link passes again.
    HOLD = auto()
    # Open connections and new ones are reset.
    RESET = auto()
    # Open connections are reset, new ones are refused.
    REFUSE = auto()


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


class Proxy:
    """Forwards connections from a port of its own to one target."""

    def __init__(self, target: str) -> None:
        self._host, _, port = target.rpartition(":")
        self._port = int(port)
        self._link = Link.PASS
        self._passing = asyncio.Event()
        self._passing.set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> str:
        """Listen on a free port, or on the same one again; return HOST:PORT."""
        port = int(self.address.rpartition(":")[2] or 0)
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port, backlog=512, reuse_address=True)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self.address

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            _reset(writer)

    async def set_link(self, link: Link) -> None:
        """Change what the link does, at once."""
        before, self._link = self._link, link
        if link is Link.REFUSE and self._server is not None:
            self._server.close()
        elif before is Link.REFUSE:
            await self.start()
        if link is Link.HOLD:
            self._passing.clear()
        else:
            self._passing.set()
        if link in (Link.RESET, Link.REFUSE):
            for writer in list(self._writers):
                _reset(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        target_writer: asyncio.StreamWriter | None = None
        try:
            if self._link in (Link.RESET, Link.REFUSE):
                return
            await self._passing.wait()
            target_reader, target_writer = await asyncio.open_connection(self._host, self._port)
            self._writers.add(target_writer)
            await asyncio.gather(self._pump(reader, target_writer), self._pump(target_reader, writer))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for side in (writer, target_writer):
                if side is not None:
                    self._writers.discard(side)
                    _reset(side)

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(CHUNK_BYTES):
            await self._passing.wait()
            if self._link in (Link.RESET, Link.REFUSE):
                raise ConnectionResetError
            writer.write(data)
            await writer.drain()
        raise ConnectionResetError
