"""A small HTTP/1.1 server and client for JSON bodies."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl, urlsplit

MAX_HEAD_BYTES = 64 * 1024
REASONS = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict", 503: "Service Unavailable"}


@dataclass(frozen=True, slots=True)
class Request:
    """One request as a server receives it."""

    method: str
    path: str
    query: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body)


@dataclass(frozen=True, slots=True)
class Answer:
    """A response: status and JSON value."""

    status: int
    value: Any = field(default_factory=dict)


Handler = Callable[[Request], Awaitable[Answer]]


async def _read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Return first line, headers and body of one message; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


class Server:
    """Serves one loopback address; requests of a connection are handled one after the other."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self) -> str:
        """Listen on a free port; return HOST:PORT."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=MAX_HEAD_BYTES, backlog=512)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self.address

    def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (message := await _read_message(reader)) is not None:
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                parts = urlsplit(target)
                answer = await self._handler(Request(method, parts.path, dict(parse_qsl(parts.query)), body))
                data = json.dumps(answer.value, separators=(",", ":")).encode()
                reason = REASONS.get(answer.status, "Answer")
                writer.write(
                    f"HTTP/1.1 {answer.status} {reason}\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


class NoAnswerError(Exception):
    """A request got no complete answer in time."""


async def _exchange(address: str, method: str, path: str, body: bytes) -> Answer:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port), limit=MAX_HEAD_BYTES)
    try:
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n".encode()
            + body
        )
        message = await _read_message(reader)
        if message is None:
            raise NoAnswerError("closed")
        first, _, data = message
        return Answer(int(first.split(" ")[1]), json.loads(data) if data else {})
    finally:
        writer.transport.abort()


async def ask(address: str, method: str, path: str, value: Any = None, timeout_s: float = 5.0) -> Answer:
    """Send one request over a connection of its own; `NoAnswerError` if there is no answer in time."""
    body = json.dumps(value).encode() if value is not None else b""
    try:
        async with asyncio.timeout(timeout_s):
            return await _exchange(address, method, path, body)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
        raise NoAnswerError(repr(error)) from None
