"""One HTTP client connection; httptools parses the responses."""

import asyncio
from dataclasses import dataclass

import httptools

from driftcleat.errors import DriftcleatError

# Responses with a lower status (1xx) are interim: the final response follows.
FIRST_FINAL_STATUS = 200
# Headers that determine where the body ends.
_LENGTH_HEADERS = frozenset((b"content-length", b"transfer-encoding"))


class HttpError(DriftcleatError):
    """A request got no valid response; the server may nevertheless have carried it out."""


class ConnectError(HttpError):
    """The connection could not be established, so the request was not sent."""


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """The final response to a request, with its whole body."""

    status: int
    body: bytes


class HttpConnection(asyncio.Protocol):
    """A connection to a server that carries one request at a time."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: str) -> None:
        self._loop = loop
        self.address = address
        # Loop time of its last response; None until there was one.
        self.idle_since: float | None = None
        # Whether any byte of the response to the current request has arrived.
        self.response_started = False
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._pending: asyncio.Future[HttpResponse] | None = None
        self._body: list[bytes] = []
        self._has_body_length = True

    @property
    def usable(self) -> bool:
        """Whether the connection is open and carries no request."""
        return self._transport is not None and not self._transport.is_closing() and self._pending is None

    async def exchange(self, request: bytes) -> HttpResponse:
        """Send a request and return the response; raise `HttpError` if there is none.

        If the call is cancelled, the connection is closed, since a late response would be taken for the next one.
        """
        if self._transport is None or self._transport.is_closing():
            raise HttpError("the connection is closed")
        pending: asyncio.Future[HttpResponse] = self._loop.create_future()
        self._pending = pending
        self._body = []
        self.response_started = False
        self._transport.write(request)
        try:
            return await pending
        except asyncio.CancelledError:
            self.close()
            raise

    def close(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    # Callbacks of the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, through which requests are written and the connection is closed."""
        self._transport = transport  # type: ignore[assignment]  # a TCP transport reads and writes

    def data_received(self, data: bytes) -> None:
        """Parse received data; close the connection if it is not a valid response."""
        if self._pending is None:
            # Data without a request would be taken for the response to the next request.
            self.close()
            return
        self.response_started = True
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(f"malformed HTTP response: {error}")
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the current request, unless its response has no length and so ends with the connection."""
        self._transport = None
        if exc is None and self.response_started and not self._has_body_length:
            self._finish()
        self._fail(f"the connection was lost: {exc!r}")

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Begin a response; until a header gives its length, it ends with the connection."""
        self._has_body_length = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Note whether a header determines where the body ends."""
        self._has_body_length = self._has_body_length or name.lower() in _LENGTH_HEADERS

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Complete the current request; interim responses (1xx) are skipped."""
        if self._parser.get_status_code() < FIRST_FINAL_STATUS:
            return
        if not self._parser.should_keep_alive():
            self.close()
        self._finish()

    def _finish(self) -> None:
        pending, self._pending = self._pending, None
        if pending is not None and not pending.done():
            self.idle_since = self._loop.time()
            pending.set_result(HttpResponse(self._parser.get_status_code(), b"".join(self._body)))

    def _fail(self, reason: str) -> None:
        pending, self._pending = self._pending, None
        if pending is not None and not pending.done():
            pending.set_exception(HttpError(reason))
