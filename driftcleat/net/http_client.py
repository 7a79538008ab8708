"""An HTTP client over kept connections, bounded in all and for each address.

aiohttp's client was half of what a start costs and several times what a request has to cost (`docs/limits.md`): on a
few hundredths of a core that is a second until the first answer. This is only the pool and its bounds; the parser is
httptools'.
"""

import asyncio
from collections import deque

from driftcleat.net.http_connection import ConnectError, HttpConnection, HttpError, HttpResponse

# Methods that may be carried out twice: sent once more if a kept connection turns out to be closed.
_REPEATABLE = frozenset(("GET", "DELETE"))


class HttpClient:
    """Sends requests; what finds no free connection waits for its turn."""

    def __init__(self, total: int, each: int, keep_s: float) -> None:
        self._total, self._each, self._keep_s = total, each, keep_s
        # Sent with every request.
        self.headers: dict[str, str] = {}
        # Connections that wait for a request, the one used last at the end, and how many each address has in all.
        self._idle: dict[str, list[HttpConnection]] = {}
        self._open: dict[str, int] = {}
        self._waiting: deque[tuple[str, asyncio.Future[None]]] = deque()

    async def request(
        self, method: str, address: str, path: str, body: bytes | None, timeout_s: float
    ) -> HttpResponse:
        """Send a request to HOST:PORT; `HttpError` or `TimeoutError` if there is no answer in time."""
        request = self._encode(method, address, path, body)
        async with asyncio.timeout(timeout_s):
            connection = await self._acquire(address)
            was_kept = connection.idle_since is not None
            try:
                return await connection.exchange(request)
            except HttpError:
                # A kept connection may have been closed by the other side just then, without a fault of anybody.
                if not was_kept or connection.response_started or method not in _REPEATABLE:
                    raise
            finally:
                self._release(connection)
            connection = await self._connect_again(address)
            try:
                return await connection.exchange(request)
            finally:
                self._release(connection)

    async def close(self) -> None:
        """Close the connections that no request uses."""
        for connections in self._idle.values():
            for connection in connections:
                connection.close()
        self._idle.clear()
        # The event loop closes them in its next turn.
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

    # -- the pool -----------------------------------------------------------------------------------------

    async def _acquire(self, address: str) -> HttpConnection:
        """Return a connection that no other request uses, in the order in which they were asked for."""
        if any(waiting == address for waiting, _ in self._waiting):
            await self._turn(address)
        while True:
            kept = self._take_idle(address)
            if kept is not None:
                self._wake()
                return kept
            if self._may_open(address):
                return await self._connect(address)
            # Somebody was quicker, or nobody waited before us: the next turn is ours.
            await self._turn(address, next_one=True)

    async def _connect_again(self, address: str) -> HttpConnection:
        """Return a new connection in place of one that was closed; the others kept are likely closed as well."""
        for connection in self._idle.pop(address, ()):
            connection.close()
            self._forget(connection.address)
        return await self._acquire(address)

    def _take_idle(self, address: str) -> HttpConnection | None:
        """Return the kept connection that was used last."""
        before = asyncio.get_running_loop().time() - self._keep_s
        while address in self._idle:
            connection = self._pop_idle(address, -1)
            if connection.usable and (connection.idle_since or 0.0) > before:
                return connection
            connection.close()
            self._forget(address)
        return None

    def _pop_idle(self, address: str, index: int) -> HttpConnection:
        connections = self._idle[address]
        connection = connections.pop(index)
        if not connections:
            del self._idle[address]
        return connection

    def _may_open(self, address: str) -> bool:
        """Whether a further connection is within the bounds, after closing one that is idle elsewhere if need be."""
        if not self._has_room(address):
            return False
        if self._all_open >= self._total:
            elsewhere = next(iter(self._idle))
            self._pop_idle(elsewhere, 0).close()
            self._forget(elsewhere)
        return True

    @property
    def _all_open(self) -> int:
        return sum(self._open.values())

    def _has_room(self, address: str) -> bool:
        """Whether a further connection would be within the bounds, if one that is idle elsewhere may be closed."""
        room = self._all_open < self._total or bool(self._idle)
        return room and self._open.get(address, 0) < self._each

    async def _connect(self, address: str) -> HttpConnection:
        self._open[address] = self._open.get(address, 0) + 1
        self._wake()
        loop = asyncio.get_running_loop()
        host, _, port = address.rpartition(":")
        try:
            _, connection = await loop.create_connection(lambda: HttpConnection(loop, address), host, int(port))
        except (OSError, ValueError) as error:
            self._forget(address)
            raise ConnectError(f"no connection to {address}: {error}") from None
        except BaseException:
            self._forget(address)
            raise
        return connection

    def _release(self, connection: HttpConnection) -> None:
        """A request is over: its connection is kept, if it can be."""
        if connection.usable:
            self._idle.setdefault(connection.address, []).append(connection)
            self._wake()
        else:
            connection.close()
            self._forget(connection.address)

    def _forget(self, address: str) -> None:
        """A connection is closed."""
        left = self._open[address] - 1
        if left:
            self._open[address] = left
        else:
            del self._open[address]
        self._wake()

    async def _turn(self, address: str, next_one: bool = False) -> None:
        """Wait until a connection may be free, behind all others that wait or as the `next_one`."""
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        entry = (address, turn)
        if next_one:
            self._waiting.appendleft(entry)
        else:
            self._waiting.append(entry)
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                # It was our turn, which we do not take.
                self._wake()
            raise
        finally:
            if entry in self._waiting:
                self._waiting.remove(entry)

    def _wake(self) -> None:
        """Let the first go on that waits for an address with a free connection, or with room for one."""
        for address, turn in self._waiting:
            if not turn.done() and self._has_free(address):
                turn.set_result(None)
                return

    def _has_free(self, address: str) -> bool:
        """Whether a request to an address need not wait: a connection is idle there, or may be opened."""
        return bool(self._idle.get(address)) or self._has_room(address)
