"""The HTTP side of every interface we serve: bounded bodies, JSON errors, routes by table."""

import asyncio
import logging
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from aiohttp import web

from driftcleat import wire
from driftcleat.net import ConnectionLimiter
from driftcleat.net.limiter import ClientKind
from driftcleat.wire.users import MAX_BODY, ErrorView

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Answer:
    """A status with a JSON body."""

    status: int
    body: bytes
    retry_after_s: int | None = None
    # Whether the connection is closed, so that the next request may come to another controller.
    close: bool = False

    @classmethod
    def error(cls, status: int, text: str, field: str | None = None, retry_after_s: int | None = None) -> "Answer":
        """Return an error's answer."""
        return cls(status, wire.encode(ErrorView(text, field)), retry_after_s)


Handler = Callable[[str, str, bytes], Awaitable[Answer]]


class BodyTooLarge(Exception):
    """A request body above the limit."""


async def _read(request: web.BaseRequest, most: int) -> bytes:
    if request.content_length is not None and request.content_length > most:
        raise BodyTooLarge
    if not request.can_read_body:
        return b""
    parts: list[bytes] = []
    size = 0
    async for part in request.content.iter_any():
        size += len(part)
        if size > most:
            raise BodyTooLarge
        parts.append(part)
    return b"".join(parts)


class _Server(web.Server):
    """A server that asks a limiter about each connection."""

    def __init__(self, handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]], most: int) -> None:
        super().__init__(handler, access_log=None, keepalive_timeout=75.0)
        self.limiter: ConnectionLimiter[web.RequestHandler] = ConnectionLimiter(
            most, lambda guest: guest.force_close()
        )

    def connection_made(self, handler: web.RequestHandler, transport: asyncio.Transport) -> None:
        super().connection_made(handler, transport)
        if not self.limiter.opened(handler):
            # Every connection is busy: better none than one that the state service or a peer then lacks.
            transport.abort()

    def connection_lost(self, handler: web.RequestHandler, exc: BaseException | None = None) -> None:
        super().connection_lost(handler, exc)
        self.limiter.gone(handler)


class Listener:
    """One address that is served, and the limiter of its connections."""

    def __init__(self, runner: web.ServerRunner, limiter: ConnectionLimiter[web.RequestHandler]) -> None:
        self.runner, self.limiter = runner, limiter

    async def cleanup(self) -> None:
        """Stop serving."""
        await self.runner.cleanup()


async def serve(
    address: str, handler: Handler, most: int, most_body: int = MAX_BODY, workers: str | None = None
) -> Listener:
    """Listen on HOST:PORT; every request goes to `handler(method, path, body)`.

    At most `most` connections are open at once; those that ask for the path `workers` are workers'.
    """

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        server.limiter.began(request.protocol, ClientKind.WORKER if request.path == workers else ClientKind.USER)
        try:
            body = await _read(request, most_body)
            answer = await handler(request.method, request.path, body)
        except BodyTooLarge:
            answer = Answer.error(413, f"the body is above {most_body} bytes", "body")
        except (ConnectionError, TimeoutError):
            answer = Answer.error(503, "the connection broke", retry_after_s=1)
        except Exception:
            log.exception("request %s %s failed", request.method, request.path)
            answer = Answer.error(503, "internal error", retry_after_s=1)
        headers = {}
        if answer.retry_after_s is not None:
            headers["Retry-After"] = str(answer.retry_after_s)
        response = web.Response(
            status=answer.status, body=answer.body, content_type="application/json", headers=headers
        )
        if server.limiter.ended(request.protocol) or answer.close:
            response.force_close()
        return response

    server = _Server(handle, most)
    runner = web.ServerRunner(server)
    await runner.setup()
    host, _, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setblocking(False)
    try:
        listener.bind((host, int(port)))
    except OSError:
        listener.close()
        raise
    # All that we could serve may come at once, and as many again that are told to wait by the kernel.
    await web.SockSite(runner, listener, backlog=most * 2).start()
    return Listener(runner, server.limiter)
