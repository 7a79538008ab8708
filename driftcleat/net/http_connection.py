"""One client connection of HTTP, on httptools' parser."""

import asyncio
from dataclasses import dataclass

import httptools

from driftcleat.errors import DriftcleatError

# A status below this says that the real answer is still to come.
FIRST_FINAL_STATUS = 200
# Header names that tell where a body ends.
_LENGTH_HEADERS = frozenset((b"content-length", b"transfer-encoding"))


class HttpError(DriftcleatError):
    """A request that got no answer; it may have been carried out all the same."""


class ConnectError(HttpError):
    """No connection could be made: the request was certainly not sent."""


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """The answer to a request."""

    status: int
    body: bytes


class HttpConnection(asyncio.Protocol):
    """A connection to a server; it carries one request at a time."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: str) -> None:
        self._loop = loop
        self.address = address
        # When its last answer came; None: it has carried no request yet.
        self.idle_since: float | None = None
        # Whether anything has come back for the newest request.
        self.response_started = False
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._answer: asyncio.Future[HttpResponse] | None = None
        self._body: list[bytes] = []
        self._has_length = True

    @property
    def usable(self) -> bool:
        """Whether another request may be sent."""
        return self._transport is not None and not self._transport.is_closing() and self._answer is None

    async def exchange(self, request: bytes) -> HttpResponse:
        """Send a request and wait for its answer; the connection is of no more use if that is given up."""
        if self._transport is None or self._transport.is_closing():
            raise HttpError("the connection is closed")
        answer: asyncio.Future[HttpResponse] = self._loop.create_future()
        self._answer = answer
        self._body = []
        self.response_started = False
        self._transport.write(request)
        try:
            return await answer
        except asyncio.CancelledError:
            self.close()
            raise

    def close(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    # -- what the event loop calls ------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Remember the transport."""
        self._transport = transport  # type: ignore[assignment]  # TCP's is one for both directions

    def data_received(self, data: bytes) -> None:
        """Parse what came in."""
        if self._answer is None:
            # Nothing was asked: what follows could not be told from the next answer.
            self.close()
            return
        self.response_started = True
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(f"not an answer in HTTP: {error}")
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request under way, unless its answer ends with the connection."""
        self._transport = None
        if exc is None and self.response_started and not self._has_length:
            self._finish()
        self._fail(f"the connection was lost: {exc!r}")

    # -- what the parser calls ----------------------------------------------------------------------------

    def on_message_begin(self) -> None:
        """Begin an answer: without a length it lasts as long as the connection."""
        self._has_length = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Note whether the answer's end can be told from its head."""
        self._has_length = self._has_length or name.lower() in _LENGTH_HEADERS

    def on_body(self, data: bytes) -> None:
        """Keep a part of the body."""
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Hand the answer over; one that only says that there is more to come is skipped."""
        if self._parser.get_status_code() < FIRST_FINAL_STATUS:
            return
        if not self._parser.should_keep_alive():
            self.close()
        self._finish()

    def _finish(self) -> None:
        answer, self._answer = self._answer, None
        if answer is not None and not answer.done():
            self.idle_since = self._loop.time()
            answer.set_result(HttpResponse(self._parser.get_status_code(), b"".join(self._body)))

    def _fail(self, why: str) -> None:
        answer, self._answer = self._answer, None
        if answer is not None and not answer.done():
            answer.set_exception(HttpError(why))
