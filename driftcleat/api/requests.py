"""Parsing of the HTTP requests of one connection, with httptools.

aiohttp's parser is not used, since importing aiohttp takes half of the start time of a controller.
"""

from collections import deque
from dataclasses import dataclass
from urllib.parse import unquote

import httptools

from driftcleat.api.responses import Response

# Bytes that a request's line and headers may take in addition to the size limit of its body.
MAX_HEAD_BYTES = 16 * 1024


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request; if it is `too_large`, the body is empty."""

    method: str
    path: str
    body: bytes
    keep_alive: bool
    too_large: bool


class RequestReader:
    """Parses a byte stream, which may arrive in pieces of any size, into requests in the order of their arrival.

    If the stream is not valid HTTP, the last item is the error response to send before the connection is closed.
    """

    __slots__ = ("_body", "_body_size", "_failed", "_items", "_max_body_bytes", "_parser", "_received", "_url")

    def __init__(self, max_body_bytes: int) -> None:
        self._max_body_bytes = max_body_bytes
        self._items: deque[HttpRequest | Response] = deque()
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._body: list[bytes] = []
        # Bytes received of the current request: of its body, and in total.
        self._body_size = self._received = 0
        self._failed = False

    @property
    def has_items(self) -> bool:
        """Whether a request or an error response is available to `pop`."""
        return bool(self._items)

    def pop(self) -> HttpRequest | Response:
        """Return the next request, or the error response that ends an invalid stream."""
        return self._items.popleft()

    def discard_all(self) -> None:
        """Discard all items, and ignore everything that is fed from now on."""
        self._items.clear()
        self._failed = True

    def feed(self, data: bytes) -> None:
        """Parse received bytes and queue complete requests for `pop`; after malformed input nothing is parsed."""
        if self._failed:
            return
        self._received += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The bytes after a request to upgrade are of another protocol: they are not parsed.
            self._failed = True
        except httptools.HttpParserError as error:
            self._fail(Response.error(400, f"not HTTP: {error}"))
        else:
            self._check_size()

    def too_large_response(self) -> Response:
        """Return the response to a request whose body exceeds the limit."""
        return Response.error(413, f"the body is above {self._max_body_bytes} bytes", "body")

    def _check_size(self) -> None:
        """Fail if the current request exceeds the size limit before it is complete."""
        if self._received <= self._max_body_bytes + MAX_HEAD_BYTES:
            return
        if self._body_size:
            self._fail(self.too_large_response())
        else:
            self._fail(Response.error(400, f"not HTTP: the head is above {MAX_HEAD_BYTES} bytes"))

    def _fail(self, response: Response) -> None:
        self._failed = True
        self._items.append(response)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Reset the state of the request that is being parsed."""
        self._url = b""
        self._body = []
        self._body_size = 0

    def on_url(self, url: bytes) -> None:
        """Append a part of the request's target."""
        self._url += url

    def on_body(self, data: bytes) -> None:
        """Append a part of the body, unless the body exceeds the limit."""
        self._body_size += len(data)
        if self._body_size <= self._max_body_bytes:
            self._body.append(data)

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        self._received = 0
        parser = self._parser
        try:
            path = _path(self._url)
        except httptools.HttpParserInvalidURLError as error:
            self._fail(Response.error(400, f"not HTTP: {error}"))
            return
        keep_alive = parser.should_keep_alive() and not parser.should_upgrade()
        too_large = self._body_size > self._max_body_bytes
        body = b"" if too_large else b"".join(self._body)
        self._body = []
        self._items.append(HttpRequest(parser.get_method().decode(), path, body, keep_alive, too_large))


def _path(target: bytes) -> str:
    """Return the path of a request's target, decoded and without the query."""
    if target.startswith(b"/") and not any(special in target for special in b"%?#"):
        return target.decode("latin-1")
    return unquote((httptools.parse_url(target).path or b"/").decode("latin-1"))
