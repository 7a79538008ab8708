"""The errors of requests to the state service."""

from driftcleat.errors import DriftcleatError


class StoreError(DriftcleatError):
    """A request to the state service that failed."""


class StoreUnavailableError(StoreError):
    """The request was certainly not carried out: no connection, 429, 5xx, or the client's own rate limit."""


class OutcomeUnknownError(StoreError):
    """The request was sent and got no answer: it may have been carried out, or may still be."""


class MalformedResponseError(StoreError):
    """The answer has an unexpected status or cannot be decoded."""


class RequestRejectedError(MalformedResponseError):
    """The state service rejected the request as malformed (400) and did not carry it out."""


class CompareFailedError(StoreError):
    """A transaction was not carried out because a compare failed; `failed_keys` names the keys."""

    def __init__(self, failed: tuple[str, ...]) -> None:
        super().__init__(f"conditions failed: {', '.join(failed)}")
        self.failed_keys = failed


class LeaseNotFoundError(StoreError):
    """The lease has expired or was revoked."""
