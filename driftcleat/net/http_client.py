"""An HTTP client with a connection pool that is bounded in total and per address.

aiohttp's client is not used: it takes half of the start-up time, and a request through it costs several times what is
needed (`docs/limits.md`). With a few hundredths of a core that is a second until the first response. This module is
only the pool and its limits; httptools parses the responses.
"""

import asyncio
from collections import deque

from driftcleat.net.http_connection import ConnectError, HttpConnection, HttpError, HttpResponse

# Idempotent requests are sent once more if the server had closed the pooled connection.
_IDEMPOTENT_METHODS = frozenset(("GET", "DELETE"))


class HttpClient:
    """Sends requests over pooled connections; a request that finds no free connection waits in order of arrival."""

    def __init__(self, max_total: int, max_per_address: int, idle_timeout_s: float) -> None:
        self._max_total, self._max_per_address, self._idle_timeout_s = max_total, max_per_address, idle_timeout_s
        # Additional headers of every request.
        self.headers: dict[str, str] = {}
        # By address: the idle connections, the one used last at the end, and the number of open connections.
        self._idle: dict[str, list[HttpConnection]] = {}
        self._open: dict[str, int] = {}
        self._waiting: deque[tuple[str, asyncio.Future[None]]] = deque()

    async def request(
        self, method: str, address: str, path: str, body: bytes | None, timeout_s: float
    ) -> HttpResponse:
        """Send a request to HOST:PORT; raise `HttpError` or `TimeoutError` if there is no response in time."""
        request = self._encode(method, address, path, body)
        async with asyncio.timeout(timeout_s):
            connection = await self._acquire(address)
            was_pooled = connection.idle_since is not None
            try:
                return await connection.exchange(request)
            except HttpError:
                # The server may close an idle connection at the moment at which it is reused.
                if not was_pooled or connection.response_started or method not in _IDEMPOTENT_METHODS:
                    raise
            finally:
                self._release(connection)
            connection = await self._reconnect(address)
            try:
                return await connection.exchange(request)
            finally:
                self._release(connection)

    async def close(self) -> None:
        """Close the idle connections."""
        for connections in self._idle.values():
            for connection in connections:
                connection.close()
        self._idle.clear()
        # The event loop closes them in its next iteration.
        await asyncio.sleep(0)

    def _encode(self, method: str, address: str, path: str, body: bytes | None) -> bytes:
        more = "".join(f"{name}: {value}\r\n" for name, value in self.headers.items())
        if body is None:
            return f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n{more}\r\n".encode()
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n{more}\r\n"
        )
        return head.encode() + body

    # Connection pool

    async def _acquire(self, address: str) -> HttpConnection:
        """Return a connection that no other request uses; requests for one address are served in order of arrival."""
        if any(waiting == address for waiting, _ in self._waiting):
            await self._wait_for_turn(address)
        while True:
            pooled = self._take_idle(address)
            if pooled is not None:
                self._wake_next()
                return pooled
            if self._make_room(address):
                return await self._connect(address)
            # No connection is free, or another request took it after the wake-up: wait at the head of the queue.
            await self._wait_for_turn(address, at_head=True)

    async def _reconnect(self, address: str) -> HttpConnection:
        """Return a new connection after a pooled one was closed; the other idle ones are likely closed as well."""
        for connection in self._idle.pop(address, ()):
            connection.close()
            self._count_closed(connection.address)
        return await self._acquire(address)

    def _take_idle(self, address: str) -> HttpConnection | None:
        """Return the idle connection that was used last, None if there is none; close those idle for too long."""
        min_idle_since = asyncio.get_running_loop().time() - self._idle_timeout_s
        while address in self._idle:
            connection = self._pop_idle(address, -1)
            if connection.usable and (connection.idle_since or 0.0) > min_idle_since:
                return connection
            connection.close()
            self._count_closed(address)
        return None

    def _pop_idle(self, address: str, index: int) -> HttpConnection:
        connections = self._idle[address]
        connection = connections.pop(index)
        if not connections:
            del self._idle[address]
        return connection

    def _make_room(self, address: str) -> bool:
        """Return whether one more connection may be opened; close an idle one to another address if necessary."""
        if not self._has_room(address):
            return False
        if self._open_total >= self._max_total:
            other_address = next(iter(self._idle))
            self._pop_idle(other_address, 0).close()
            self._count_closed(other_address)
        return True

    @property
    def _open_total(self) -> int:
        return sum(self._open.values())

    def _has_room(self, address: str) -> bool:
        """Return whether the limits allow one more connection, counting idle ones to other addresses as free."""
        room = self._open_total < self._max_total or bool(self._idle)
        return room and self._open.get(address, 0) < self._max_per_address

    async def _connect(self, address: str) -> HttpConnection:
        self._open[address] = self._open.get(address, 0) + 1
        self._wake_next()
        loop = asyncio.get_running_loop()
        host, _, port = address.rpartition(":")
        try:
            _, connection = await loop.create_connection(lambda: HttpConnection(loop, address), host, int(port))
        except (OSError, ValueError) as error:
            self._count_closed(address)
            raise ConnectError(f"no connection to {address}: {error}") from None
        except BaseException:
            self._count_closed(address)
            raise
        return connection

    def _release(self, connection: HttpConnection) -> None:
        """Return a connection to the pool after its request; close it if it cannot be reused."""
        if connection.usable:
            self._idle.setdefault(connection.address, []).append(connection)
            self._wake_next()
        else:
            connection.close()
            self._count_closed(connection.address)

    def _count_closed(self, address: str) -> None:
        """Count a closed connection and wake the next request that may now connect."""
        remaining = self._open[address] - 1
        if remaining:
            self._open[address] = remaining
        else:
            del self._open[address]
        self._wake_next()

    async def _wait_for_turn(self, address: str, at_head: bool = False) -> None:
        """Wait until a connection may be free, at the end of the queue or `at_head`."""
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        entry = (address, turn)
        if at_head:
            self._waiting.appendleft(entry)
        else:
            self._waiting.append(entry)
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                # This request was woken but will not use the connection: wake the next one.
                self._wake_next()
            raise
        finally:
            if entry in self._waiting:
                self._waiting.remove(entry)

    def _wake_next(self) -> None:
        """Wake the first waiting request whose address has an idle connection or room for a new one."""
        for address, turn in self._waiting:
            if not turn.done() and self._is_available(address):
                turn.set_result(None)
                return

    def _is_available(self, address: str) -> bool:
        """Return whether an address has an idle connection or room for a new one."""
        return bool(self._idle.get(address)) or self._has_room(address)
