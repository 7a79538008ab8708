"""The HTTP client over real connections: reuse, limits, fragmented responses, and servers that misbehave."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from driftcleat.net import ConnectError, HttpClient, HttpError, HttpResponse

from .protocol_doubles import free_port, wait_until

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
Script = Callable[["ScriptedServer", asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class ScriptedServer:
    """A server that runs a script on each connection, and counts connections and requests."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.port = free_port()
        self.connections = self.open = self.max_open = 0
        self.requests: list[bytes] = []
        self.release = asyncio.Event()

    @property
    def address(self) -> str:
        """Return HOST:PORT."""
        return f"127.0.0.1:{self.port}"

    async def read_request(self, reader: asyncio.StreamReader) -> bool:
        """Read and record one request; return False if the connection is closed."""
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionResetError):
            return False
        length = next((int(line[15:]) for line in head.split(b"\r\n") if line.startswith(b"Content-Length:")), 0)
        self.requests.append(head + await reader.readexactly(length))
        return True

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Run the script on one connection."""
        self.connections += 1
        self.open += 1
        self.max_open = max(self.max_open, self.open)
        try:
            await self.script(self, reader, writer)
        except ConnectionResetError:
            pass
        finally:
            self.open -= 1
            writer.close()


def run_with_server(script: Script, test: Callable[[ScriptedServer], Awaitable[None]]) -> None:
    """Run a test against a server that runs a script on each connection."""

    async def run() -> None:
        server = ScriptedServer(script)
        listening = await asyncio.start_server(server.serve, "127.0.0.1", server.port)
        try:
            await test(server)
        finally:
            listening.close()

    asyncio.run(run())


async def always_ok(server: ScriptedServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while await server.read_request(reader):
        writer.write(OK)


async def ok_after_release(
    server: ScriptedServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    while await server.read_request(reader):
        await server.release.wait()
        writer.write(OK)


async def one_response_per_connection(
    server: ScriptedServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer one request per connection; the connection is then closed without a `Connection: close` header."""
    if await server.read_request(reader):
        writer.write(OK)


def test_connection_is_reused_for_consecutive_requests() -> None:
    async def test(server: ScriptedServer) -> None:
        client = HttpClient(4, 4, 60.0)
        client.headers["X-Sender"] = "a"
        for _ in range(3):
            response = await client.request("POST", server.address, "/x", b"{}", 5)
            assert response == HttpResponse(200, b"ok")
        assert server.connections == 1
        assert server.requests[0].startswith(b"POST /x HTTP/1.1\r\n") and server.requests[0].endswith(b"\r\n\r\n{}")
        assert b"X-Sender: a\r\n" in server.requests[0]
        await client.request("GET", server.address, "/y?z=1", None, 5)
        assert server.requests[-1].startswith(b"GET /y?z=1 HTTP/1.1\r\n")
        assert b"Content-Length" not in server.requests[-1]
        await client.close()

    run_with_server(always_ok, test)


@pytest.mark.parametrize(("total", "each"), [(1, 1), (1, 4), (3, 3), (8, 3), (3, 8)])
def test_connection_limits_hold_and_waiting_requests_are_served_in_order(total: int, each: int) -> None:
    async def test(server: ScriptedServer) -> None:
        client = HttpClient(total, each, 60.0)
        tasks = [
            asyncio.ensure_future(client.request("POST", server.address, f"/{number}", b"", 30))
            for number in range(20)
        ]
        # Wait for the permitted requests, however slow the machine is; after that, no further request may arrive.
        await wait_until(lambda: len(server.requests) >= min(total, each), "the permitted requests")
        await asyncio.sleep(0.1)
        assert len(server.requests) == min(total, each)
        # Some requests are cancelled while they wait: the next ones take their turns.
        for task in tasks[5:9]:
            task.cancel()
        server.release.set()
        responses = await asyncio.gather(*tasks, return_exceptions=True)
        assert [isinstance(response, HttpResponse) for response in responses] == [not 5 <= n < 9 for n in range(20)]
        assert server.max_open == min(total, each)
        # Requests on separate connections may overtake one another in transit.
        order = [int(request.split()[1][1:]) for request in server.requests]
        expected_order = [n for n in range(20) if not 5 <= n < 9]
        max_displacement = max(abs(order.index(number) - place) for place, number in enumerate(expected_order))
        assert sorted(order) == expected_order and max_displacement < min(total, each), (
            "requests are served in the order of their arrival"
        )
        await client.close()

    run_with_server(ok_after_release, test)


def test_idle_connection_to_another_host_is_closed_at_the_limit() -> None:
    async def test(server: ScriptedServer) -> None:
        client = HttpClient(1, 1, 60.0)
        await client.request("POST", server.address, "/", b"", 5)
        other = ScriptedServer(always_ok)
        listening = await asyncio.start_server(other.serve, "127.0.0.1", other.port)
        await client.request("POST", other.address, "/", b"", 5)
        await asyncio.sleep(0.05)
        assert (server.open, other.open) == (0, 1)
        await client.close()
        listening.close()

    run_with_server(always_ok, test)


def test_connection_idle_for_too_long_is_not_reused() -> None:
    async def test(server: ScriptedServer) -> None:
        client = HttpClient(2, 2, 0.0)
        for _ in range(3):
            await client.request("POST", server.address, "/", b"", 5)
        assert server.connections == 3
        await client.close()

    run_with_server(always_ok, test)


def test_get_on_a_closed_connection_is_retried_but_post_is_not() -> None:
    """Guards against a request that is executed twice.

    If the connection is closed, the client does not know whether the request was executed: only a GET may be retried.
    """

    async def test(server: ScriptedServer) -> None:
        client = HttpClient(2, 2, 60.0)
        loop = asyncio.get_running_loop()
        await client.request("POST", server.address, "/", b"", 5)
        connection = client._idle[server.address][0]
        # The connection is closed after the client has chosen it for the request.
        original_exchange = connection.exchange

        async def close_before_exchange(request: bytes) -> HttpResponse:
            loop.call_soon(connection.close)
            return await original_exchange(request)

        connection.exchange = close_before_exchange  # type: ignore[method-assign]
        assert (await client.request("GET", server.address, "/", None, 5)).status == 200
        connection = client._idle[server.address][0]
        original_exchange = connection.exchange
        connection.exchange = close_before_exchange  # type: ignore[method-assign]
        with pytest.raises(HttpError):
            await client.request("POST", server.address, "/", b"", 5)
        await client.close()

    run_with_server(always_ok, test)


def test_connection_closed_by_the_server_is_replaced() -> None:
    async def test(server: ScriptedServer) -> None:
        client = HttpClient(2, 2, 60.0)
        for _ in range(3):
            assert (await client.request("POST", server.address, "/", b"", 5)).status == 200
            await asyncio.sleep(0.05)
        assert server.connections == 3
        await client.close()

    run_with_server(one_response_per_connection, test)


def test_failed_connect_raises_connect_error_and_uses_no_slot() -> None:
    async def run() -> None:
        client = HttpClient(1, 1, 60.0)
        for address in (f"127.0.0.1:{free_port()}", "127.0.0.1:nonsense", "127.0.0.1"):
            with pytest.raises(ConnectError):
                await client.request("POST", address, "/", b"", 5)
        assert not client._open, "a failed connection uses no slot"

    asyncio.run(run())


@pytest.mark.parametrize(
    ("response", "expected"),
    [
        pytest.param(b"HTTP/1.1 100 Continue\r\n\r\n" + OK, HttpResponse(200, b"ok"), id="continue"),
        pytest.param(b"HTTP/1.1 204 No Content\r\n\r\n", HttpResponse(204, b""), id="no content"),
        pytest.param(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
            HttpResponse(200, b"ok"),
            id="chunked",
        ),
        pytest.param(b"HTTP/1.1 200 OK\r\n\r\nuntil the end", HttpResponse(200, b"until the end"), id="no length"),
        pytest.param(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut", None, id="cut short"),
        pytest.param(b"nonsense\r\n\r\n", None, id="nonsense"),
        pytest.param(b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", None, id="upgrade"),
        pytest.param(b"", None, id="nothing"),
    ],
)
def test_valid_responses_are_parsed_and_others_rejected(response: bytes, expected: HttpResponse | None) -> None:
    async def script(server: ScriptedServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await server.read_request(reader)
        for byte in response:
            writer.write(bytes([byte]))
            await writer.drain()

    async def test(server: ScriptedServer) -> None:
        client = HttpClient(1, 1, 60.0)
        # After any response the slot is free for a second request.
        for _ in range(2):
            if expected is not None:
                assert await client.request("POST", server.address, "/", b"", 5) == expected
            else:
                with pytest.raises(HttpError):
                    await client.request("POST", server.address, "/", b"", 5)
            await asyncio.sleep(0.05)
        await client.close()

    run_with_server(script, test)


def test_timed_out_request_closes_its_connection() -> None:
    """Guards against a late response that is taken for the response to the next request."""

    async def test(server: ScriptedServer) -> None:
        client = HttpClient(1, 1, 60.0)
        server.release.set()
        assert (await client.request("POST", server.address, "/before", b"", 5)).status == 200
        server.release.clear()
        with pytest.raises(TimeoutError):
            await client.request("POST", server.address, "/first", b"", 0.1)
        server.release.set()
        assert (await client.request("POST", server.address, "/second", b"", 5)).status == 200
        assert server.connections == 2
        await client.close()

    run_with_server(ok_after_release, test)
