"""The HTTP server of all interfaces: connections, their requests in order, and connection limits."""

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

# What a handler returns: the response if it is available at once, else an awaitable of it.
ResponseOrAwaitable = Response | Awaitable[Response]
Handler = Callable[[str, str, bytes], ResponseOrAwaitable]

# A connection without a request is closed after this timeout; connections are checked several times per timeout.
IDLE_TIMEOUT_S = 75.0
IDLE_CHECKS_PER_TIMEOUT = 5
# Value of the Retry-After header after an internal error, in seconds.
RETRY_AFTER_S = 1


class Connection(asyncio.Protocol):
    """One connection; its requests are handled one after the other."""

    __slots__ = ("_busy", "_listener", "_loop", "_reader", "_reading", "_writable", "last_used", "transport")

    def __init__(self, listener: "Listener", loop: asyncio.AbstractEventLoop) -> None:
        self._listener, self._loop = listener, loop
        self._reader = RequestReader(listener.max_body_bytes)
        self._busy = False
        self._reading = self._writable = True
        self.transport: asyncio.Transport | None = None
        self.last_used = loop.time()

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Admit the connection, or abort it if the limiter has no room."""
        self.transport = transport  # type: ignore[assignment]  # a TCP transport reads and writes
        if not self._listener.admit(self):
            # All open connections are in use: one more would take a descriptor that the store or a peer needs.
            self.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Unregister the connection; a request in progress is still carried out."""
        self.transport = None
        self._listener.remove(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and respond to the requests that are complete."""
        if self.transport is None or self.transport.is_closing():
            return
        self._reader.feed(data)
        self._respond_to_requests()
        self._apply_backpressure()

    def pause_writing(self) -> None:
        """Stop handling requests while the client does not read its responses."""
        self._writable = False

    def resume_writing(self) -> None:
        """Handle requests again once the client has read its responses."""
        self._writable = True
        self._respond_to_requests()
        self._apply_backpressure()

    def _apply_backpressure(self) -> None:
        """Pause reading while complete requests wait, so that a client that sends many at once has to buffer them."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        should_read = not self._reader.has_items
        if should_read is not self._reading:
            self._reading = should_read
            if should_read:
                transport.resume_reading()
            else:
                transport.pause_reading()

    def _respond_to_requests(self) -> None:
        """Respond to complete requests in order, until one has to be awaited."""
        while not self._busy and self._writable and self._reader.has_items:
            item = self._reader.pop()
            if isinstance(item, Response):
                self._write(item, close=True)
                return
            self._busy = True
            self._listener.request_started(self, item.path)
            if item.too_large:
                self._respond(item, self._reader.too_large_response())
                continue
            self._handle(item)

    def _handle(self, request: HttpRequest) -> None:
        try:
            response = self._listener.handler(request.method, request.path, request.body)
        except Exception:
            log.exception("request %s %s failed", request.method, request.path)
            response = Response.error(503, "internal error", retry_after_s=RETRY_AFTER_S)
        if isinstance(response, Response):
            self._respond(request, response)
        else:
            self._listener.spawn(self._respond_later(request, response))

    async def _respond_later(self, request: HttpRequest, pending: Awaitable[Response]) -> None:
        try:
            response = await pending
        except (ConnectionError, TimeoutError):
            response = Response.error(503, "the connection broke", retry_after_s=RETRY_AFTER_S)
        except Exception:
            log.exception("request %s %s failed", request.method, request.path)
            response = Response.error(503, "internal error", retry_after_s=RETRY_AFTER_S)
        self._respond(request, response)
        self._respond_to_requests()
        self._apply_backpressure()

    def _respond(self, request: HttpRequest, response: Response) -> None:
        self._busy = False
        self.last_used = self._loop.time()
        close = self._listener.request_finished(self)
        self._write(response, close or response.close or not request.keep_alive, request.method != "HEAD")

    def _write(self, response: Response, close: bool, with_body: bool = True) -> None:
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        transport.write(encode_response(response, close, with_body))
        if close:
            self._reader.discard_all()
            transport.close()

    def is_idle(self, since: float) -> bool:
        """Return whether no request is in progress, and none has ended, since a time on the event loop's clock."""
        return not self._busy and self.last_used < since

    def close(self) -> None:
        """Close the connection after everything written has been sent."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close the connection at once; unsent data is lost."""
        if self.transport is not None:
            self.transport.abort()


class Listener:
    """Serves one address; owns its connections and their limiter."""

    def __init__(self, handler: Handler, max_connections: int, max_body_bytes: int, worker_path: str | None) -> None:
        self.handler, self.max_body_bytes = handler, max_body_bytes
        self.limiter: ConnectionLimiter[Connection] = ConnectionLimiter(max_connections, Connection.close)
        self._worker_path = worker_path
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._idle_checker: asyncio.Task[None] | None = None

    async def start(self, address: str) -> None:
        """Start to listen on HOST:PORT; `OSError` if the address is not available."""
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
        # The backlog holds as many connections as are served at most, and as many again that wait in the kernel.
        self._server = await loop.create_server(
            lambda: Connection(self, loop), sock=listening, backlog=self.limiter.max_connections * 2
        )
        self._idle_checker = asyncio.ensure_future(self._close_idle_connections())

    async def _close_idle_connections(self) -> None:
        """Close idle connections periodically: one loop for all is cheaper than a timer for each."""
        while True:
            await asyncio.sleep(IDLE_TIMEOUT_S / IDLE_CHECKS_PER_TIMEOUT)
            since = asyncio.get_running_loop().time() - IDLE_TIMEOUT_S
            for connection in [candidate for candidate in self.limiter.open if candidate.is_idle(since)]:
                connection.close()

    async def stop(self) -> None:
        """Stop listening, abort all connections and cancel the requests in progress."""
        if self._idle_checker is not None:
            self._idle_checker.cancel()
        if self._server is not None:
            self._server.close()
        for connection in list(self.limiter.open):
            connection.abort()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    # Called by connections.

    def spawn(self, work: Awaitable[None]) -> None:
        """Run the awaited part of a request in a task."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def admit(self, connection: Connection) -> bool:
        """Register a connection; return False if there is no room for it."""
        return self.limiter.admit(connection)

    def request_started(self, connection: Connection, path: str) -> None:
        """Record that a request has started; its path tells whether the client is a worker or a user."""
        kind = ClientKind.WORKER if path == self._worker_path else ClientKind.USER
        self.limiter.request_started(connection, kind)

    def request_finished(self, connection: Connection) -> bool:
        """Record that a request has ended; return whether the connection has to be closed after the response."""
        return self.limiter.request_finished(connection)

    def remove(self, connection: Connection) -> None:
        """Unregister a closed connection."""
        self.limiter.remove(connection)


async def serve(
    address: str,
    handler: Handler,
    max_connections: int,
    max_body_bytes: int = MAX_BODY_BYTES,
    worker_path: str | None = None,
) -> Listener:
    """Listen on HOST:PORT and return the listener; every request is passed to `handler(method, path, body)`.

    At most `max_connections` connections are open at once. A connection counts as a worker's if its last request
    was for `worker_path`, else as a user's.
    """
    listener = Listener(handler, max_connections, max_body_bytes, worker_path)
    await listener.start(address)
    return listener
