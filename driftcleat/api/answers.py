"""Answers to requests, before they become bytes."""

from dataclasses import dataclass

from driftcleat import wire
from driftcleat.wire.users import ErrorView


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
        return cls(status, wire.encode(ErrorView(text, field)), retry_after_s, close)
