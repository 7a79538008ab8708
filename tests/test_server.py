"""The HTTP server over real connections: fragmented and malformed requests, limits, and closing of connections."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from driftcleat.api import Listener, Response, serve
from driftcleat.api import server as server_module
from driftcleat.api.responses import encode_response
from driftcleat.api.server import ResponseOrAwaitable

from .protocol_doubles import free_port

MAX_BODY_BYTES = 1000
LARGE_BODY = b"x" * 1_000_000


class Client:
    """A client that writes raw bytes to one connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def send(self, data: bytes) -> None:
        """Send bytes as they are."""
        self.writer.write(data)
        await self.writer.drain()

    async def read_response(self, with_body: bool = True) -> tuple[int, dict[str, str], bytes]:
        """Return status, headers and body of the next response; fail if its headers take more than 5 seconds."""
        head = await asyncio.wait_for(self.reader.readuntil(b"\r\n\r\n"), 5)
        first, *lines = head.decode().rstrip().split("\r\n")
        headers = {name.lower(): value for name, _, value in (line.partition(": ") for line in lines)}
        length = int(headers["content-length"]) if with_body else 0
        return int(first.split()[1]), headers, await self.reader.readexactly(length)

    async def is_closed(self) -> bool:
        """Return whether the connection ends without another byte; fail if it is still open after 5 seconds."""
        try:
            return await asyncio.wait_for(self.reader.read(), 5) == b""
        except ConnectionResetError:
            return True


def request(method: str = "POST", path: str = "/x", body: bytes = b"", *more: str) -> bytes:
    """Return the bytes of a request; `more` are additional header lines."""
    lines = [f"{method} {path} HTTP/1.1", "Host: h", f"Content-Length: {len(body)}", *more]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """A listener whose handler records each request in `requests`."""

    def __init__(self) -> None:
        self.requests: list[tuple[str, str, bytes]] = []
        self.release = asyncio.Event()
        self.listener: Listener
        self.port = 0

    def handle(self, method: str, path: str, body: bytes) -> ResponseOrAwaitable:
        """Answer by the path: at once, after `release` is set, with an error, or with a large or last response."""
        self.requests.append((method, path, body))
        if path == "/later":
            return self._later()
        if path == "/broken":
            raise ValueError("broken")
        if path == "/large":
            return Response(200, LARGE_BODY)
        if path == "/last":
            return Response(503, b"{}", retry_after_s=3, close=True)
        return Response(200, b'{"ok":true}')

    async def _later(self) -> Response:
        await self.release.wait()
        return Response(201, b"{}")

    async def connect(self) -> Client:
        """Open a connection."""
        return Client(*await asyncio.open_connection("127.0.0.1", self.port))


def with_server(max_connections: int = 8) -> Callable[[Callable[[Server], Awaitable[None]]], Callable[[], None]]:
    """Run a test with a server of its own that allows `max_connections` connections."""

    def decorate(test: Callable[[Server], Awaitable[None]]) -> Callable[[], None]:
        async def main() -> None:
            server = Server()
            server.port = free_port()
            address = f"127.0.0.1:{server.port}"
            server.listener = await serve(
                address, server.handle, max_connections, MAX_BODY_BYTES, worker_path="/report"
            )
            try:
                await test(server)
            finally:
                await server.listener.stop()

        def run() -> None:
            asyncio.run(main())

        run.__name__, run.__doc__ = test.__name__, test.__doc__
        return run

    return decorate


@with_server()
async def test_fragmented_and_pipelined_requests_are_answered_in_order(server: Server) -> None:
    client = await server.connect()
    for byte in request(body=b'{"a":1}'):
        await client.send(bytes([byte]))
    assert (await client.read_response())[::2] == (200, b'{"ok":true}')
    # Of two pipelined requests the first has to wait; the second must not be answered before it.
    await client.send(request(path="/later") + request(path="/x%79?z=1"))
    await asyncio.sleep(0.05)
    assert len(server.requests) == 2
    server.release.set()
    assert [(await client.read_response())[0], (await client.read_response())[0]] == [201, 200]
    assert [path for _, path, _ in server.requests] == ["/x", "/later", "/xy"]
    assert server.requests[0][2] == b'{"a":1}'
    await client.send(request("HEAD"))
    status, headers, _ = await client.read_response(with_body=False)
    assert (status, headers["content-length"]) == (200, "11")
    chunked = b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
    await client.send(chunked)
    assert (await client.read_response())[0] == 200 and server.requests[-1][2] == b"abc"


CHUNKED = b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNK = b"ff\r\n" + b"a" * 255 + b"\r\n"


@pytest.mark.parametrize(
    ("data", "status"),
    [
        pytest.param(b"nonsense\r\n\r\n", 400, id="nonsense"),
        pytest.param(b"GET /x HTTP/9\r\n\r\n", 400, id="version"),
        pytest.param(b"POST /x HTTP/1.1\r\nContent-Length: x\r\n\r\n", 400, id="length"),
        pytest.param(b"POST /x HTTP/1.1\r\nHost: h\r\nA: " + b"a" * 70_000, 400, id="long header"),
        pytest.param(request(body=b"a" * (MAX_BODY_BYTES + 1)), 413, id="body"),
        pytest.param(CHUNKED + CHUNK, None, id="half a body"),
        pytest.param(CHUNKED + CHUNK * 80, 413, id="endless body"),
        pytest.param(CHUNKED + b"zz\r\n", 400, id="no chunk"),
        pytest.param(request(path="/broken"), 503, id="broken"),
    ],
)
def test_malformed_request_is_answered_and_the_server_continues(data: bytes, status: int | None) -> None:
    @with_server()
    async def run_test(server: Server) -> None:
        client = await server.connect()
        await client.send(data)
        if status is not None:
            assert (await client.read_response())[0] == status
        if data.startswith(b"nonsense"):
            assert await client.is_closed(), "the start of the next request is unknown"
        other = await server.connect()
        await other.send(request())
        assert (await other.read_response())[0] == 200

    run_test()


@with_server()
async def test_invalid_chunk_after_a_valid_one_is_answered(server: Server) -> None:
    """Guards against a connection that waits forever.

    After an invalid chunk the end of the body is unknown, so the server must answer and close the connection.
    """
    client = await server.connect()
    await client.send(CHUNKED + CHUNK)
    await asyncio.sleep(0.05)
    await client.send(b"zz\r\n")
    assert (await client.read_response())[0] == 400
    assert await client.is_closed() and not server.requests


@with_server()
async def test_last_response_is_sent_whole_before_the_connection_closes(server: Server) -> None:
    client = await server.connect()
    await client.send(request(path="/last"))
    status, headers, body = await client.read_response()
    assert (status, headers["retry-after"], headers["connection"], body) == (503, "3", "close", b"{}")
    assert await client.is_closed()
    closing_client = await server.connect()
    await closing_client.send(request("GET", "/x", b"", "Connection: close"))
    assert (await closing_client.read_response())[0] == 200 and await closing_client.is_closed()


@with_server()
async def test_client_that_does_not_read_responses_is_paused(server: Server) -> None:
    """Guards against unbounded memory use by responses that a client does not read."""
    client = await server.connect()
    await client.send(request(path="/large") * 100)
    await asyncio.sleep(0.2)
    assert 0 < len(server.requests) < 50
    for _ in range(100):
        assert (await client.read_response())[0] == 200
    assert len(server.requests) == 100


@with_server()
async def test_reading_pauses_while_pipelined_requests_wait(server: Server) -> None:
    client = await server.connect()
    await client.send(request(path="/later") + request(path="/x") * 3)
    await asyncio.sleep(0.05)
    (connection,) = server.listener.limiter.open
    assert not connection._reading and len(server.requests) == 1
    server.release.set()
    assert [(await client.read_response())[0] for _ in range(4)] == [201, 200, 200, 200]
    assert connection._reading
    await client.send(request())
    assert (await client.read_response())[0] == 200


@with_server()
async def test_request_completes_after_its_client_disconnects(server: Server) -> None:
    client = await server.connect()
    await client.send(request(path="/later"))
    await asyncio.sleep(0.05)
    client.writer.transport.abort()
    await asyncio.sleep(0.05)
    assert not server.listener.limiter.open
    server.release.set()
    await asyncio.sleep(0.05)
    assert not server.listener._tasks


@with_server(max_connections=2)
async def test_connection_limit_closes_an_idle_connection_but_no_busy_one(server: Server) -> None:
    idle, busy = await server.connect(), await server.connect()
    await idle.send(request())
    assert (await idle.read_response())[0] == 200
    await busy.send(request(path="/later"))
    await asyncio.sleep(0.05)
    third = await server.connect()
    await third.send(request(path="/later"))
    assert await idle.is_closed()
    assert await (await server.connect()).is_closed(), "all connections are busy"
    server.release.set()
    assert (await busy.read_response())[0] == 201 and (await third.read_response())[0] == 201


def test_idle_connections_are_closed_after_the_idle_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server_module, "IDLE_TIMEOUT_S", 0.2)

    @with_server()
    async def run_test(server: Server) -> None:
        unused, partial = await server.connect(), await server.connect()
        await partial.send(request(body=b"abc")[:-2])
        busy = await server.connect()
        await busy.send(request(path="/later"))
        assert await unused.is_closed() and await partial.is_closed()
        server.release.set()
        assert (await busy.read_response())[0] == 201

    run_test()


def test_response_is_encoded_as_http() -> None:
    assert encode_response(Response(421, b"{}"), close=False) == (
        b"HTTP/1.1 421 Misdirected Request\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"
    )
