"""HTTP responses: their content, their encoding, and the responses that ask the client to retry."""

from dataclasses import dataclass
from http import HTTPStatus

from driftcleat import wire
from driftcleat.errors import DriftcleatError
from driftcleat.wire.users import ErrorResponse

_REASONS = {status.value: status.phrase for status in HTTPStatus}


@dataclass(frozen=True, slots=True)
class Response:
    """An HTTP response: a status with a JSON body."""

    status: int
    body: bytes
    retry_after_s: int | None = None
    # Whether the connection is closed after the response: the client's next request may reach another controller.
    close: bool = False

    @classmethod
    def error(
        cls,
        status: int,
        text: str,
        field: str | None = None,
        retry_after_s: int | None = None,
        close: bool = False,
    ) -> "Response":
        """Return the response for an error; `field` names the field of the request that is invalid."""
        return cls(status, wire.encode(ErrorResponse(text, field)), retry_after_s, close)


class RequestRefusedError(DriftcleatError):
    """A request was refused; `response` is sent to its user."""

    def __init__(self, response: Response) -> None:
        super().__init__(f"request refused: status {response.status}")
        self.response = response


@dataclass(frozen=True, slots=True)
class RetryResponses:
    """Responses to requests that cannot be carried out now; all tell the client when to retry."""

    # Value of the Retry-After header, in seconds.
    retry_s: int

    def unavailable(self, reason: str) -> Response:
        """Return the response when the request cannot be carried out now."""
        return Response.error(503, reason, retry_after_s=self.retry_s)

    def unavailable_here(self, reason: str) -> Response:
        """Return the response when another controller may be able to serve the client: the connection is closed."""
        return Response.error(503, reason, retry_after_s=self.retry_s, close=True)

    def store_unavailable(self) -> Response:
        """Return the response when records cannot be read."""
        return self.unavailable("the state service does not answer")

    def too_many_pending(self) -> Response:
        """Return the response when the queue of requests that wait for a commit is full."""
        return Response.error(429, "too many requests are waiting", retry_after_s=self.retry_s)


def encode_response(response: Response, close: bool, with_body: bool = True) -> bytes:
    """Return a response as HTTP/1.1 bytes; `with_body` is false for a HEAD request."""
    retry_after = f"Retry-After: {response.retry_after_s}\r\n" if response.retry_after_s is not None else ""
    connection = "Connection: close\r\n" if close else ""
    head = (
        f"HTTP/1.1 {response.status} {_REASONS.get(response.status, '')}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(response.body)}\r\n{retry_after}{connection}\r\n"
    )
    return head.encode() + response.body if with_body else head.encode()
