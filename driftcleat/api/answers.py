"""Answers to requests, and how they become bytes."""

from dataclasses import dataclass
from http import HTTPStatus

from driftcleat import wire
from driftcleat.wire.users import ErrorResponse

_REASONS = {status.value: status.phrase for status in HTTPStatus}


@dataclass(frozen=True, slots=True)
class Answer:
    """A status with a JSON body."""

    status: int
    body: bytes
    retry_after_s: int | None = None
    # Whether the connection is closed, so that the next request may come to another controller.
    close: bool = False

    @classmethod
    def error(
        cls,
        status: int,
        text: str,
        field: str | None = None,
        retry_after_s: int | None = None,
        close: bool = False,
    ) -> "Answer":
        """Return an error's answer."""
        return cls(status, wire.encode(ErrorResponse(text, field)), retry_after_s, close)


def encode_answer(answer: Answer, close: bool, with_body: bool = True) -> bytes:
    """Return an answer as it goes over the wire."""
    retry = f"Retry-After: {answer.retry_after_s}\r\n" if answer.retry_after_s is not None else ""
    closing = "Connection: close\r\n" if close else ""
    head = (
        f"HTTP/1.1 {answer.status} {_REASONS.get(answer.status, '')}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(answer.body)}\r\n{retry}{closing}\r\n"
    )
    return head.encode() + answer.body if with_body else head.encode()
