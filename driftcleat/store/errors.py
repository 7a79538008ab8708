"""The errors that requests to the state service raise."""

from driftcleat.errors import DriftcleatError


class StoreError(DriftcleatError):
    """Base class: a request to the state service failed."""


class StoreUnavailableError(StoreError):
    """The request was certainly not carried out: no connection, status 429 or 5xx, or the client's own rate limit."""


class OutcomeUnknownError(StoreError):
    """The request was sent but got no response: it may have been carried out, or may still be carried out later."""


class MalformedResponseError(StoreError):
    """The response has an unexpected status or cannot be decoded."""


class RequestRejectedError(MalformedResponseError):
    """The state service rejected the request as malformed (400) and did not carry it out."""


class CompareFailedError(StoreError):
    """A transaction was not carried out because a compare failed; `failed_keys` names the keys that differed."""

    def __init__(self, failed_keys: tuple[str, ...]) -> None:
        super().__init__(f"mod revision differs: {', '.join(failed_keys)}")
        self.failed_keys = failed_keys


class LeaseNotFoundError(StoreError):
    """The lease has expired or was revoked."""
