"""The HTTP server over real connections: requests in pieces, bad ones, limits, and what closes a connection."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from driftcleat.api import Answer, Listener, serve
from driftcleat.api import server as server_module
from driftcleat.api.answers import encode_answer
from driftcleat.api.server import Reply

from .protocol_doubles import free_port

MOST_BODY = 1000
LARGE = b"x" * 1_000_000


class Client:
    """One raw connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def send(self, data: bytes) -> None:
        """Send bytes as they are."""
        self.writer.write(data)
        await self.writer.drain()

    async def answer(self, with_body: bool = True) -> tuple[int, dict[str, str], bytes]:
        """Return status, headers and body of the next answer."""
        head = await asyncio.wait_for(self.reader.readuntil(b"\r\n\r\n"), 5)
        first, *lines = head.decode().rstrip().split("\r\n")
        headers = {name.lower(): value for name, _, value in (line.partition(": ") for line in lines)}
        length = int(headers["content-length"]) if with_body else 0
        return int(first.split()[1]), headers, await self.reader.readexactly(length)

    async def closed(self) -> bool:
        """Whether the other side closes the connection, and sends nothing more."""
        try:
            return await asyncio.wait_for(self.reader.read(), 5) == b""
        except ConnectionResetError:
            return True


def request(method: str = "POST", path: str = "/x", body: bytes = b"", *more: str) -> bytes:
    """Return a request as bytes."""
    lines = [f"{method} {path} HTTP/1.1", "Host: h", f"Content-Length: {len(body)}", *more]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """A listener whose handler says what it was asked."""

    def __init__(self) -> None:
        self.asked: list[tuple[str, str, bytes]] = []
        self.hold = asyncio.Event()
        self.listener: Listener
        self.port = 0

    def handle(self, method: str, path: str, body: bytes) -> Reply:
        """Answer at once, or later if the path says so."""
        self.asked.append((method, path, body))
        if path == "/later":
            return self._later()
        if path == "/broken":
            raise ValueError("broken")
        if path == "/large":
            return Answer(200, LARGE)
        if path == "/last":
            return Answer(503, b"{}", retry_after_s=3, close=True)
        return Answer(200, b'{"ok":true}')

    async def _later(self) -> Answer:
        await self.hold.wait()
        return Answer(201, b"{}")

    async def connect(self) -> Client:
        """Open a connection."""
        return Client(*await asyncio.open_connection("127.0.0.1", self.port))


def served(most: int = 8) -> Callable[[Callable[[Server], Awaitable[None]]], Callable[[], None]]:
    """Run a test with a server of its own."""

    def decorate(test: Callable[[Server], Awaitable[None]]) -> Callable[[], None]:
        async def inside() -> None:
            server = Server()
            server.port = free_port()
            address = f"127.0.0.1:{server.port}"
            server.listener = await serve(address, server.handle, most, MOST_BODY, workers="/report")
            try:
                await test(server)
            finally:
                await server.listener.cleanup()

        def run() -> None:
            asyncio.run(inside())

        run.__name__, run.__doc__ = test.__name__, test.__doc__
        return run

    return decorate


@served()
async def test_fragmented_and_pipelined_requests_are_answered_in_order(server: Server) -> None:
    client = await server.connect()
    for byte in request(body=b'{"a":1}'):
        await client.send(bytes([byte]))
    assert (await client.answer())[::2] == (200, b'{"ok":true}')
    # Two at once, the first of which has to wait: nothing overtakes it.
    await client.send(request(path="/later") + request(path="/x%79?z=1"))
    await asyncio.sleep(0.05)
    assert len(server.asked) == 2
    server.hold.set()
    assert [(await client.answer())[0], (await client.answer())[0]] == [201, 200]
    assert [path for _, path, _ in server.asked] == ["/x", "/later", "/xy"]
    assert server.asked[0][2] == b'{"a":1}'
    await client.send(request("HEAD"))
    status, headers, _ = await client.answer(with_body=False)
    assert (status, headers["content-length"]) == (200, "11")
    chunked = b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
    await client.send(chunked)
    assert (await client.answer())[0] == 200 and server.asked[-1][2] == b"abc"


CHUNKED = b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNK = b"ff\r\n" + b"a" * 255 + b"\r\n"


@pytest.mark.parametrize(
    ("data", "status"),
    [
        pytest.param(b"nonsense\r\n\r\n", 400, id="nonsense"),
        pytest.param(b"GET /x HTTP/9\r\n\r\n", 400, id="version"),
        pytest.param(b"POST /x HTTP/1.1\r\nContent-Length: x\r\n\r\n", 400, id="length"),
        pytest.param(b"POST /x HTTP/1.1\r\nHost: h\r\nA: " + b"a" * 70_000, 400, id="long header"),
        pytest.param(request(body=b"a" * (MOST_BODY + 1)), 413, id="body"),
        pytest.param(CHUNKED + CHUNK, None, id="half a body"),
        pytest.param(CHUNKED + CHUNK * 80, 413, id="endless body"),
        pytest.param(CHUNKED + b"zz\r\n", 400, id="no chunk"),
        pytest.param(request(path="/broken"), 503, id="broken"),
    ],
)
def test_malformed_request_is_answered_and_the_server_continues(data: bytes, status: int | None) -> None:
    @served()
    async def play(server: Server) -> None:
        client = await server.connect()
        await client.send(data)
        if status is not None:
            assert (await client.answer())[0] == status
        if data.startswith(b"nonsense"):
            assert await client.closed(), "nobody knows where the next request begins"
        other = await server.connect()
        await other.send(request())
        assert (await other.answer())[0] == 200

    play()


@served()
async def test_invalid_chunk_after_a_valid_one_is_answered(server: Server) -> None:
    """Guards against a connection that waits for ever: what follows cannot be told from the body any more."""
    client = await server.connect()
    await client.send(CHUNKED + CHUNK)
    await asyncio.sleep(0.05)
    await client.send(b"zz\r\n")
    assert (await client.answer())[0] == 400
    assert await client.closed() and not server.asked


@served()
async def test_last_response_is_sent_whole_before_the_connection_closes(server: Server) -> None:
    client = await server.connect()
    await client.send(request(path="/last"))
    status, headers, body = await client.answer()
    assert (status, headers["retry-after"], headers["connection"], body) == (503, "3", "close", b"{}")
    assert await client.closed()
    asks_for_it = await server.connect()
    await asks_for_it.send(request("GET", "/x", b"", "Connection: close"))
    assert (await asks_for_it.answer())[0] == 200 and await asks_for_it.closed()


@served()
async def test_client_that_does_not_read_responses_is_paused(server: Server) -> None:
    """Guards against memory taken by answers that nobody fetches."""
    client = await server.connect()
    await client.send(request(path="/large") * 100)
    await asyncio.sleep(0.2)
    assert 0 < len(server.asked) < 50
    for _ in range(100):
        assert (await client.answer())[0] == 200
    assert len(server.asked) == 100


@served()
async def test_reading_pauses_while_pipelined_requests_wait(server: Server) -> None:
    client = await server.connect()
    await client.send(request(path="/later") + request(path="/x") * 3)
    await asyncio.sleep(0.05)
    (connection,) = server.listener.limiter.open
    assert not connection._reading and len(server.asked) == 1
    server.hold.set()
    assert [(await client.answer())[0] for _ in range(4)] == [201, 200, 200, 200]
    assert connection._reading
    await client.send(request())
    assert (await client.answer())[0] == 200


@served()
async def test_request_completes_after_its_client_disconnects(server: Server) -> None:
    client = await server.connect()
    await client.send(request(path="/later"))
    await asyncio.sleep(0.05)
    client.writer.transport.abort()
    await asyncio.sleep(0.05)
    assert not server.listener.limiter.open
    server.hold.set()
    await asyncio.sleep(0.05)
    assert not server.listener._tasks


@served(most=2)
async def test_connection_limit_closes_an_idle_connection_but_no_busy_one(server: Server) -> None:
    idle, busy = await server.connect(), await server.connect()
    await idle.send(request())
    assert (await idle.answer())[0] == 200
    await busy.send(request(path="/later"))
    await asyncio.sleep(0.05)
    third = await server.connect()
    await third.send(request(path="/later"))
    assert await idle.closed()
    assert await (await server.connect()).closed(), "all are busy"
    server.hold.set()
    assert (await busy.answer())[0] == 201 and (await third.answer())[0] == 201


def test_idle_connections_are_closed_after_the_idle_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server_module, "IDLE_S", 0.2)

    @served()
    async def play(server: Server) -> None:
        never, half = await server.connect(), await server.connect()
        await half.send(request(body=b"abc")[:-2])
        busy = await server.connect()
        await busy.send(request(path="/later"))
        assert await never.closed() and await half.closed()
        server.hold.set()
        assert (await busy.answer())[0] == 201

    play()


def test_response_is_encoded_as_http() -> None:
    assert encode_answer(Answer(421, b"{}"), close=False) == (
        b"HTTP/1.1 421 Misdirected Request\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"
    )
