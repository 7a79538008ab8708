"""The errors of requests to the state service."""

from driftcleat.errors import DriftcleatError


class StoreError(DriftcleatError):
    """A request that the store did not answer as asked."""


class StoreUnavailableError(StoreError):
    """The request was certainly not carried out (503, 429 or no connection)."""


class OutcomeUnknownError(StoreError):
    """Nobody can say yet whether the request was carried out."""


class MalformedResponseError(StoreError):
    """The store calls the request wrong (400), or its answer is not one."""


class RequestRejectedError(MalformedResponseError):
    """The store calls the request wrong and has not carried it out."""


class CompareFailedError(StoreError):
    """A transaction whose conditions did not hold."""

    def __init__(self, failed: tuple[str, ...]) -> None:
        super().__init__(f"conditions failed: {', '.join(failed)}")
        self.failed_keys = failed


class LeaseNotFoundError(StoreError):
    """The lease has ended."""
