"""The HTTP side of every interface that we serve: connections, their requests in turn, and their limits."""

import asyncio
import logging
import socket
from collections.abc import Awaitable, Callable

from driftcleat.api.requests import HttpRequest, RequestReader
from driftcleat.api.responses import Response, encode_response
from driftcleat.net import ConnectionLimiter
from driftcleat.net.limiter import ClientKind
from driftcleat.wire.users import MAX_BODY_BYTES

log = logging.getLogger(__name__)

# What a handler returns: the answer if it can be given at once, else what to wait for.
ResponseOrAwaitable = Response | Awaitable[Response]
Handler = Callable[[str, str, bytes], ResponseOrAwaitable]

# Connections without a whole request for so long are closed.
IDLE_TIMEOUT_S = 75.0
IDLE_CHECKS_PER_TIMEOUT = 5
# When to come back after an error of our own.
RETRY_AFTER_S = 1


class Connection(asyncio.Protocol):
    """One connection: its requests are answered in turn."""

    __slots__ = ("_busy", "_listener", "_loop", "_reader", "_reading", "_writable", "last_used", "transport")

    def __init__(self, listener: "Listener", loop: asyncio.AbstractEventLoop) -> None:
        self._listener, self._loop = listener, loop
        self._reader = RequestReader(listener.max_body_bytes)
        self._busy = False
        self._reading = self._writable = True
        self.transport: asyncio.Transport | None = None
        self.last_used = loop.time()

    # -- what the event loop calls ------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection, if the limiter has room for it."""
        self.transport = transport  # type: ignore[assignment]  # TCP's is one for both directions
        if not self._listener.admit(self):
            # Every connection is busy: better none than one that the state service or a peer then lacks.
            self.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """The connection is closed, by whomever. A request under way is carried out all the same."""
        self.transport = None
        self._listener.remove(self)

    def data_received(self, data: bytes) -> None:
        """Take what came in; a request that is complete is answered."""
        if self.transport is None or self.transport.is_closing():
            return
        self._reader.feed(data)
        self._next_request()
        self._pace_reading()

    def pause_writing(self) -> None:
        """The client does not read its answers: it gets no more of them until it does."""
        self._writable = False

    def resume_writing(self) -> None:
        """The client has read its answers."""
        self._writable = True
        self._next_request()
        self._pace_reading()

    # -- requests -----------------------------------------------------------------------------------------

    def _pace_reading(self) -> None:
        """Read no further while complete requests wait: who sends many at once keeps them on its own side."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        wanted = not self._reader.has_items
        if wanted is not self._reading:
            self._reading = wanted
            if wanted:
                transport.resume_reading()
            else:
                transport.pause_reading()

    def _next_request(self) -> None:
        """Answer the requests that are complete, until one has to wait."""
        while not self._busy and self._writable and self._reader.has_items:
            item = self._reader.pop()
            if isinstance(item, Response):
                self._write(item, close=True)
                return
            self._busy = True
            self._listener.request_started(self, item.path)
            if item.too_large:
                self._answer(item, self._reader.too_large_response())
                continue
            self._handle(item)

    def _handle(self, request: HttpRequest) -> None:
        try:
            reply = self._listener.handler(request.method, request.path, request.body)
        except Exception:
            log.exception("request %s %s failed", request.method, request.path)
            reply = Response.error(503, "internal error", retry_after_s=RETRY_AFTER_S)
        if isinstance(reply, Response):
            self._answer(request, reply)
        else:
            self._listener.spawn(self._answer_later(request, reply))

    async def _answer_later(self, request: HttpRequest, reply: Awaitable[Response]) -> None:
        try:
            answer = await reply
        except (ConnectionError, TimeoutError):
            answer = Response.error(503, "the connection broke", retry_after_s=RETRY_AFTER_S)
        except Exception:
            log.exception("request %s %s failed", request.method, request.path)
            answer = Response.error(503, "internal error", retry_after_s=RETRY_AFTER_S)
        self._answer(request, answer)
        self._next_request()
        self._pace_reading()

    def _answer(self, request: HttpRequest, answer: Response) -> None:
        self._busy = False
        self.last_used = self._loop.time()
        last = self._listener.request_finished(self)
        self._write(answer, last or answer.close or not request.keep_alive, request.method != "HEAD")

    def _write(self, answer: Response, close: bool, with_body: bool = True) -> None:
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        transport.write(encode_response(answer, close, with_body))
        if close:
            self._reader.discard_all()
            transport.close()

    # -- closing ------------------------------------------------------------------------------------------

    def is_idle(self, before: float) -> bool:
        """Whether no request was answered, and none is under way, since some moment."""
        return not self._busy and self.last_used < before

    def close(self) -> None:
        """Close the connection once all that was written is sent."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()


class Listener:
    """One address that is served, its connections and their limiter."""

    def __init__(self, handler: Handler, max_connections: int, max_body_bytes: int, worker_path: str | None) -> None:
        self.handler, self.max_body_bytes = handler, max_body_bytes
        self.limiter: ConnectionLimiter[Connection] = ConnectionLimiter(max_connections, Connection.close)
        self._workers_path = worker_path
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._sweeper: asyncio.Task[None] | None = None

    async def start(self, address: str) -> None:
        """Listen on HOST:PORT."""
        loop = asyncio.get_running_loop()
        host, _, port = address.rpartition(":")
        listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.setblocking(False)
        try:
            listening.bind((host, int(port)))
        except OSError:
            listening.close()
            raise
        # All that we could serve may come at once, and as many again that are told to wait by the kernel.
        self._server = await loop.create_server(
            lambda: Connection(self, loop), sock=listening, backlog=self.limiter.most * 2
        )
        self._sweeper = asyncio.ensure_future(self._sweep())

    async def _sweep(self) -> None:
        """Close connections that have been idle for long: one loop for all, no timer for each."""
        while True:
            await asyncio.sleep(IDLE_TIMEOUT_S / IDLE_CHECKS_PER_TIMEOUT)
            before = asyncio.get_running_loop().time() - IDLE_TIMEOUT_S
            for connection in [known for known in self.limiter.open if known.is_idle(before)]:
                connection.close()

    async def stop(self) -> None:
        """Stop serving."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        if self._server is not None:
            self._server.close()
        for connection in list(self.limiter.open):
            connection.abort()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    # -- what connections call ----------------------------------------------------------------------------

    def spawn(self, work: Awaitable[None]) -> None:
        """Run what has to wait before it can be answered."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def admit(self, connection: Connection) -> bool:
        """Take in a connection; False if there is no room for it."""
        return self.limiter.opened(connection)

    def request_started(self, connection: Connection, path: str) -> None:
        """A request has come in."""
        kind = ClientKind.WORKER if path == self._workers_path else ClientKind.USER
        self.limiter.began(connection, kind)

    def request_finished(self, connection: Connection) -> bool:
        """A request is answered; True if the connection has to be closed after it."""
        return self.limiter.ended(connection)

    def remove(self, connection: Connection) -> None:
        """A connection is closed."""
        self.limiter.gone(connection)


async def serve(
    address: str,
    handler: Handler,
    max_connections: int,
    max_body_bytes: int = MAX_BODY_BYTES,
    worker_path: str | None = None,
) -> Listener:
    """Listen on HOST:PORT; every request goes to `handler(method, path, body)`.

    At most `max_connections` connections are open at once; those that ask for the path `worker_path` are workers'.
    """
    listener = Listener(handler, max_connections, max_body_bytes, worker_path)
    await listener.start(address)
    return listener
