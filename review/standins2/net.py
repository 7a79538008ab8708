"""HTTP/1.1 with JSON bodies: a server, a client, and a TCP proxy that can hold, reset or refuse connections."""

import asyncio
import contextlib
import json
import random
import socket
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qsl, unquote, urlsplit

Query = dict[str, str]
Handler = Callable[[str, str, Query, bytes], Awaitable[tuple[int, Any]]]

NETWORK_ERRORS = (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError)


# Below the range from which systems take the ports of outgoing connections.
FIRST_PORT, LAST_PORT = 10_000, 30_000


def free_ports(count: int) -> list[int]:
    """Return loopback ports that are free now; all are reserved together, so that they differ."""
    sockets: list[socket.socket] = []
    try:
        while len(sockets) < count:
            each = socket.socket()
            try:
                each.bind(("127.0.0.1", random.randint(FIRST_PORT, LAST_PORT)))
                sockets.append(each)
            except OSError:
                each.close()
        return [each.getsockname()[1] for each in sockets]
    finally:
        for each in sockets:
            each.close()


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Return the first line, the headers (names in lower case) and the body of one message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first, headers, body


class Server:
    """Serves a handler on a loopback port."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()

    async def start(self, port: int) -> None:
        """Listen on a port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port, limit=1 << 20)

    def stop(self) -> None:
        """Stop listening and reset the open connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._open):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                parts = urlsplit(target)
                query = dict(parse_qsl(parts.query, keep_blank_values=True))
                status, value = await self._handler(method, unquote(parts.path), query, body)
                data = json.dumps(value, separators=(",", ":")).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        except NETWORK_ERRORS:
            pass
        finally:
            self._open.discard(writer)
            writer.close()


class Answer:
    """A response: its status, its headers and its body as it was received."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status, self.headers, self.body = status, headers, body

    @property
    def value(self) -> Any:
        """The decoded body; an empty table if it is not JSON."""
        try:
            return json.loads(self.body)
        except ValueError:
            return {}


class Client:
    """One connection to a server, opened again when it is needed."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def call(self, method: str, path: str, value: Any = None, timeout_s: float = 5.0) -> Answer:
        """Send a request and return its answer; one of `NETWORK_ERRORS` if there is none in time."""
        body = b"" if value is None else json.dumps(value, separators=(",", ":")).encode()
        try:
            async with asyncio.timeout(timeout_s):
                return await self._exchange(method, path, body)
        except BaseException:
            self.close()
            raise

    async def _exchange(self, method: str, path: str, body: bytes) -> Answer:
        if self._reader is None or self._writer is None or self._writer.is_closing() or self._reader.at_eof():
            host, _, port = self.address.rpartition(":")
            self._reader, self._writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
        head = f"{method} {path} HTTP/1.1\r\nHost: {self.address}\r\nContent-Length: {len(body)}\r\n\r\n"
        self._writer.write(head.encode() + body)
        first, headers, answer = await read_message(self._reader)
        if headers.get("connection", "").lower() == "close":
            self.close()
        return Answer(int(first.split(" ", 2)[1]), headers, answer)

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None


class Proxy:
    """Forwards connections to a loopback port. In mode `hold` nothing passes, in `reset` connections are reset."""

    def __init__(self, target: int) -> None:
        self._target = target
        self._passing = asyncio.Event()
        self._passing.set()
        self._resetting = False
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self, port: int) -> None:
        """Listen on a port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", port)

    def stop(self) -> None:
        """Stop listening and reset the open connections."""
        if self._server is not None:
            self._server.close()
        self._abort_all()

    def pass_on(self) -> None:
        """Forward again, first what was held back."""
        self._resetting = False
        self._passing.set()

    def hold(self) -> None:
        """Hold everything back, new connections too."""
        self._passing.clear()

    def reset(self) -> None:
        """Reset all connections and each new one."""
        self._resetting = True
        self._abort_all()

    def _abort_all(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        other: asyncio.StreamWriter | None = None
        try:
            await self._passing.wait()
            if self._resetting:
                return
            back, other = await asyncio.open_connection("127.0.0.1", self._target)
            self._writers.add(other)
            await asyncio.gather(self._copy(reader, other), self._copy(back, writer))
        except NETWORK_ERRORS:
            pass
        finally:
            for each in (writer, other):
                if each is not None:
                    self._writers.discard(each)
                    with contextlib.suppress(Exception):
                        each.close()

    async def _copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(65536):
                await self._passing.wait()
                writer.write(data)
                await writer.drain()
        finally:
            writer.close()
