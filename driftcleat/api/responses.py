"""HTTP responses: their content, their encoding, and those that ask the client to retry."""

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
    # Whether the connection is closed, so that the client may send its next request to another controller.
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
    """A request that is not carried out; `response` is what its user gets."""

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


def encode_response(answer: Response, close: bool, with_body: bool = True) -> bytes:
    """Return the bytes of a response; without its body for a HEAD request."""
    retry = f"Retry-After: {answer.retry_after_s}\r\n" if answer.retry_after_s is not None else ""
    closing = "Connection: close\r\n" if close else ""
    head = (
        f"HTTP/1.1 {answer.status} {_REASONS.get(answer.status, '')}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(answer.body)}\r\n{retry}{closing}\r\n"
    )
    return head.encode() + answer.body if with_body else head.encode()
