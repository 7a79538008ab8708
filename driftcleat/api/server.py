"""The HTTP side of every interface that we serve, on aiohttp's request parser.

aiohttp's own request handler makes a task, a request, a response and two streams of every exchange. At several
hundred reports a second that was half of all processor time of a leader (`docs/limits.md`), so only its parser is
used: one protocol for each connection, answers as bytes, and a task only for what has to wait.
"""

import asyncio
import logging
import socket
from collections import deque
from collections.abc import Awaitable, Callable
from http import HTTPStatus

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http import HttpProcessingError, HttpRequestParser, RawRequestMessage
from aiohttp.streams import EmptyStreamReader, StreamReader

from driftcleat.net import ConnectionLimiter
from driftcleat.net.limiter import ClientKind
from driftcleat.wire.users import MAX_BODY

from .answers import Answer

log = logging.getLogger(__name__)

# What a handler returns: the answer if it can be given at once, else what to wait for.
Reply = Answer | Awaitable[Answer]
Handler = Callable[[str, str, bytes], Reply]

# Connections without a whole request for so long are closed.
IDLE_S = 75.0
SWEEPS_AN_IDLE_TIME = 5
# Nobody reads a body before it is complete, so its stream must never ask the transport to pause: what the event loop
# hands over at once is less than this.
NEVER_PAUSED = 1024 * 1024
# What the head of a request may take beside its body.
MAX_HEAD = 16 * 1024
# When to come back after an error of our own.
RETRY_S = 1

_REASONS = {status.value: status.phrase for status in HTTPStatus}


def encode_answer(answer: Answer, close: bool, with_body: bool = True) -> bytes:
    """Return an answer as it goes over the wire."""
    retry = f"Retry-After: {answer.retry_after_s}\r\n" if answer.retry_after_s is not None else ""
    closing = "Connection: close\r\n" if close else ""
    head = (
        f"HTTP/1.1 {answer.status} {_REASONS.get(answer.status, '')}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(answer.body)}\r\n{retry}{closing}\r\n"
    )
    return head.encode() + answer.body if with_body else head.encode()


def _path(message: RawRequestMessage) -> str:
    """Return a request's path, decoded and without its query."""
    path = message.path
    plain = path.startswith("/") and not any(mark in path for mark in "%?#")
    return path if plain else message.url.path


class Connection(BaseProtocol):
    """One connection: its requests are answered in turn."""

    __slots__ = ("_busy", "_listener", "_received", "_requests", "_waiting", "last_used")

    def __init__(self, listener: "Listener", loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._listener = listener
        self._requests = HttpRequestParser(self, loop, listener.most_body + NEVER_PAUSED)
        self._waiting: deque[tuple[RawRequestMessage, StreamReader]] = deque()
        self._received = 0
        self._busy = False
        self.last_used = loop.time()

    # -- what the event loop calls ------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection, if the limiter has room for it."""
        super().connection_made(transport)
        if not self._listener.opened(self):
            # Every connection is busy: better none than one that the state service or a peer then lacks.
            self.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """The connection is closed, by whomever. A request under way is carried out all the same."""
        super().connection_lost(exc)
        self._listener.gone(self)

    def data_received(self, data: bytes) -> None:
        """Take what came in; a request that is complete is answered."""
        if self.transport is None or self.transport.is_closing():
            return
        self._received += len(data)
        try:
            messages, self._upgraded, _ = self._requests.feed_data(data)
        except HttpProcessingError as error:
            self._refuse(Answer.error(400, f"not HTTP: {error.message}"))
            return
        self._waiting.extend(messages)
        if self._waiting and self._waiting[0][1].exception() is not None:
            self._refuse(Answer.error(400, "the body is not encoded as its head says"))
            return
        if self._received > self._listener.most_body + MAX_HEAD and not self._head_complete():
            self._refuse(self._too_large())
            return
        self._next_request()

    # -- requests -----------------------------------------------------------------------------------------

    def _head_complete(self) -> bool:
        return bool(self._waiting) and self._waiting[0][1].is_eof()

    def _too_large(self) -> Answer:
        return Answer.error(413, f"the body is above {self._listener.most_body} bytes", "body")

    def _refuse(self, answer: Answer) -> None:
        """Give the last answer of a connection whose requests cannot be told apart any more."""
        self._waiting.clear()
        if self.transport is not None:
            self.transport.write(encode_answer(answer, close=True))
            self.transport.close()

    def _next_request(self) -> None:
        """Answer the requests that are complete, until one has to wait."""
        while not self._busy and self._head_complete():
            message, payload = self._waiting.popleft()
            body = b"" if isinstance(payload, EmptyStreamReader) else payload.read_nowait(-1)
            self._received = 0
            self._busy = True
            self._listener.began(self, _path(message))
            if len(body) > self._listener.most_body:
                self._answer(message, self._too_large())
                continue
            self._handle(message, body)

    def _handle(self, message: RawRequestMessage, body: bytes) -> None:
        try:
            reply = self._listener.handler(message.method, _path(message), body)
        except Exception:
            log.exception("request %s %s failed", message.method, message.path)
            reply = Answer.error(503, "internal error", retry_after_s=RETRY_S)
        if isinstance(reply, Answer):
            self._answer(message, reply)
        else:
            self._listener.spawn(self._answer_later(message, reply))

    async def _answer_later(self, message: RawRequestMessage, reply: Awaitable[Answer]) -> None:
        try:
            answer = await reply
        except (ConnectionError, TimeoutError):
            answer = Answer.error(503, "the connection broke", retry_after_s=RETRY_S)
        except Exception:
            log.exception("request %s %s failed", message.method, message.path)
            answer = Answer.error(503, "internal error", retry_after_s=RETRY_S)
        self._answer(message, answer)
        self._next_request()

    def _answer(self, message: RawRequestMessage, answer: Answer) -> None:
        self._busy = False
        self.last_used = self._loop.time()
        last = self._listener.ended(self)
        # What follows a request to speak another protocol would never be read.
        close = last or answer.close or message.should_close or self._upgraded
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        transport.write(encode_answer(answer, close, message.method != "HEAD"))
        if close:
            self._waiting.clear()
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
        transport = self.transport
        if transport is not None:
            transport.abort()


class Listener:
    """One address that is served, its connections and their limiter."""

    def __init__(self, handler: Handler, most: int, most_body: int, workers: str | None) -> None:
        self.handler, self.most_body = handler, most_body
        self.limiter: ConnectionLimiter[Connection] = ConnectionLimiter(most, Connection.close)
        self._workers_path = workers
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
            await asyncio.sleep(IDLE_S / SWEEPS_AN_IDLE_TIME)
            before = asyncio.get_running_loop().time() - IDLE_S
            for connection in [known for known in self.limiter.open if known.is_idle(before)]:
                connection.close()

    async def cleanup(self) -> None:
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

    def opened(self, connection: Connection) -> bool:
        """Take in a connection; False if there is no room for it."""
        return self.limiter.opened(connection)

    def began(self, connection: Connection, path: str) -> None:
        """A request has come in."""
        kind = ClientKind.WORKER if path == self._workers_path else ClientKind.USER
        self.limiter.began(connection, kind)

    def ended(self, connection: Connection) -> bool:
        """A request is answered; True if the connection has to be closed after it."""
        return self.limiter.ended(connection)

    def gone(self, connection: Connection) -> None:
        """A connection is closed."""
        self.limiter.gone(connection)


async def serve(
    address: str, handler: Handler, most: int, most_body: int = MAX_BODY, workers: str | None = None
) -> Listener:
    """Listen on HOST:PORT; every request goes to `handler(method, path, body)`.

    At most `most` connections are open at once; those that ask for the path `workers` are workers'.
    """
    listener = Listener(handler, most, most_body, workers)
    await listener.start(address)
    return listener
