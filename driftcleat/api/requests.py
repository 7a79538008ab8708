"""Requests of one HTTP connection, read with httptools' parser.

aiohttp, on whose parser this was built before, costs half of a start (`docs/limits.md`).
"""

from collections import deque
from dataclasses import dataclass
from urllib.parse import unquote

import httptools

from driftcleat.api.responses import Response

# What the head of a request may take beside its body.
MAX_HEAD_BYTES = 16 * 1024


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request; the body of one that is too large is not kept."""

    method: str
    path: str
    body: bytes
    keep_alive: bool
    too_large: bool


class RequestReader:
    """Takes bytes in pieces of any size, hands out requests in their order.

    What cannot be a request ends the order with the answer to give before the connection is closed.
    """

    __slots__ = ("_body", "_body_size", "_broken", "_items", "_max_body_bytes", "_parser", "_received", "_url")

    def __init__(self, max_body_bytes: int) -> None:
        self._max_body_bytes = max_body_bytes
        self._items: deque[HttpRequest | Response] = deque()
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._body: list[bytes] = []
        # Bytes of the body, and of all that came, of the request that is being read.
        self._body_size = self._received = 0
        self._broken = False

    @property
    def has_items(self) -> bool:
        """Whether there is anything to answer."""
        return bool(self._items)

    def pop(self) -> HttpRequest | Response:
        """Return the next request, or the last answer of a connection whose requests cannot be told apart."""
        return self._items.popleft()

    def discard_all(self) -> None:
        """Nothing more is wanted."""
        self._items.clear()
        self._broken = True

    def feed(self, data: bytes) -> None:
        """Take what came in."""
        if self._broken:
            return
        self._received += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # Only the one request is read: what follows one to speak another protocol could not be understood.
            self._broken = True
        except httptools.HttpParserError as error:
            self._break(Response.error(400, f"not HTTP: {error}"))
        else:
            self._check_size()

    def too_large_response(self) -> Response:
        """Return the answer to a request whose body is above the limit."""
        return Response.error(413, f"the body is above {self._max_body_bytes} bytes", "body")

    def _check_size(self) -> None:
        """Give up a request that goes on and on."""
        if self._received <= self._max_body_bytes + MAX_HEAD_BYTES:
            return
        if self._body_size:
            self._break(self.too_large_response())
        else:
            self._break(Response.error(400, f"not HTTP: the head is above {MAX_HEAD_BYTES} bytes"))

    def _break(self, answer: Response) -> None:
        self._broken = True
        self._items.append(answer)

    # -- what the parser calls ----------------------------------------------------------------------------

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._url = b""
        self._body = []
        self._body_size = 0

    def on_url(self, url: bytes) -> None:
        """Keep a part of the request's target."""
        self._url += url

    def on_body(self, data: bytes) -> None:
        """Keep a part of the body, unless it is above the limit."""
        self._body_size += len(data)
        if self._body_size <= self._max_body_bytes:
            self._body.append(data)

    def on_message_complete(self) -> None:
        """Put the request in order."""
        self._received = 0
        parser = self._parser
        try:
            path = _path(self._url)
        except httptools.HttpParserInvalidURLError as error:
            self._break(Response.error(400, f"not HTTP: {error}"))
            return
        keep_alive = parser.should_keep_alive() and not parser.should_upgrade()
        too_large = self._body_size > self._max_body_bytes
        body = b"" if too_large else b"".join(self._body)
        self._body = []
        self._items.append(HttpRequest(parser.get_method().decode(), path, body, keep_alive, too_large))


def _path(target: bytes) -> str:
    """Return a request's path, decoded and without its query."""
    if target.startswith(b"/") and not any(mark in target for mark in b"%?#"):
        return target.decode("latin-1")
    return unquote((httptools.parse_url(target).path or b"/").decode("latin-1"))
