"""The client of the state service: pooled connections, a timeout for each request, client-side rate limits."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import TypeVar
from urllib.parse import quote, urlencode

from driftcleat import wire
from driftcleat.net import ConnectError, HttpClient, HttpError, HttpResponse
from driftcleat.store.errors import (
    CompareFailedError,
    LeaseNotFoundError,
    MalformedResponseError,
    OutcomeUnknownError,
    RequestRejectedError,
    StoreError,
    StoreUnavailableError,
)
from driftcleat.store.rate_limit import TokenBucket
from driftcleat.wire import state as messages

log = logging.getLogger(__name__)

T = TypeVar("T")

# The fraction of the service's rate limits that this client uses. The rest is a margin for network delays, since the
# service counts requests when they arrive.
USABLE_LIMIT_FRACTION = 0.9
# The timeout of a request for a page of keys, as a multiple of the usual timeout.
LIST_TIMEOUT_FACTOR = 3
# The page size when all keys under a prefix are read.
LIST_PAGE_KEYS = 500
# Contained in a response with status 400 if the lease does not exist; every other 400 rejects the request itself.
LEASE_NOT_FOUND_TEXT = b"no such lease"
# The largest part of a response that is quoted in a log line.
MAX_QUOTED_BYTES = 200


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """The state service's limits in requests and changes (puts and deletes) per second, and the request timeout."""

    rps: float
    write_rps: float
    timeout_s: float


class StoreClient:
    """Sends requests to the state service.

    Every method raises `StoreError`: `StoreUnavailableError` if the request was certainly not carried out,
    `OutcomeUnknownError` if it may have been, `MalformedResponseError` for a response that cannot be understood.

    Lease requests are urgent: they use connections of their own and do not wait for the rate limit. Otherwise a
    keep-alive could wait for a free connection behind reads and open watches.
    """

    def __init__(
        self,
        client: HttpClient,
        lease_client: HttpClient,
        address: str,
        limits: StoreLimits,
        clock: Callable[[], float],
    ) -> None:
        self.client = client
        self.lease_client = lease_client
        self.address = address
        self.limits = limits
        self.clock = clock
        self.request_bucket = TokenBucket(limits.rps * USABLE_LIMIT_FRACTION, clock)
        self.write_bucket = TokenBucket(limits.write_rps * USABLE_LIMIT_FRACTION, clock)
        # When the service last served a request, and when it last failed to, by `clock`; None if never.
        self.last_success_at: float | None = None
        self.last_failure_at: float | None = None
        self.malformed_responses = 0

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        *,
        params: dict[str, str] | None = None,
        timeout_s: float | None = None,
        urgent: bool = False,
        max_wait_s: float | None = None,
        is_watch: bool = False,
    ) -> HttpResponse:
        """Send one request and return its response; `StoreError` without one, or for status 400, 429 and 5xx."""
        if urgent:
            self.request_bucket.consume(1)
        else:
            await self._wait_for_request_budget(max_wait_s)
        try:
            response = await self.exchange(method, path, body, params, timeout_s or self.limits.timeout_s, urgent)
        except ConnectError as error:
            self.last_failure_at = self.clock()
            raise StoreUnavailableError(f"no connection: {error}") from None
        except (HttpError, TimeoutError) as error:
            self.last_failure_at = self.clock()
            raise OutcomeUnknownError(f"no response: {error!r}") from None
        self._require_served(response)
        if not is_watch:
            # A watch that was opened before an outage may end during it, so its response does not prove that the
            # service is available.
            self.last_success_at = self.clock()
        if response.status == HTTPStatus.BAD_REQUEST:
            raise self._rejection_error(f"{method} {path}", response)
        return response

    async def _wait_for_request_budget(self, max_wait_s: float | None) -> None:
        """Wait for the request rate limit; `StoreUnavailableError` if that would take longer than `max_wait_s`."""
        while True:
            delay = self.request_bucket.delay_s(1)
            if delay <= 0:
                break
            if max_wait_s is not None and delay > max_wait_s:
                raise StoreUnavailableError("client rate limit: the request would wait too long")
            await asyncio.sleep(delay)
        self.request_bucket.consume(1)

    async def exchange(
        self,
        method: str,
        path: str,
        body: bytes | None,
        params: dict[str, str] | None,
        timeout_s: float,
        urgent: bool,
    ) -> HttpResponse:
        """Send one request over the lease connections if urgent, else over the others; return any response."""
        client = self.lease_client if urgent else self.client
        target = quote(path) + (f"?{urlencode(params)}" if params else "")
        return await client.request(method, self.address, target, body, timeout_s)

    def _require_served(self, response: HttpResponse) -> None:
        """Raise `StoreUnavailableError` if the status (429 or 5xx) says that the request was not carried out."""
        if response.status == HTTPStatus.TOO_MANY_REQUESTS:
            raise StoreUnavailableError("too many requests")
        if response.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            self.last_failure_at = self.clock()
            raise StoreUnavailableError(f"status {response.status}")

    def _rejection_error(self, request: str, response: HttpResponse) -> StoreError:
        """Return the error for a response with status 400."""
        if LEASE_NOT_FOUND_TEXT in response.body:
            return LeaseNotFoundError("no such lease")
        return RequestRejectedError(str(self._malformed_error(f"{request}: {response.body[:MAX_QUOTED_BYTES]!r}")))

    def _malformed_error(self, reason: str) -> MalformedResponseError:
        """Log and count a malformed response, and return the error to raise."""
        self.malformed_responses += 1
        log.warning("state service: malformed response: %s", reason)
        return MalformedResponseError(reason)

    def _decode_ok(self, response: HttpResponse, response_type: type[T]) -> T:
        """Return the decoded body; `MalformedResponseError` if the status is not 200."""
        if response.status != HTTPStatus.OK:
            raise self._malformed_error(f"status {response.status}")
        return self._decode_body(response, response_type)

    def _decode_body(self, response: HttpResponse, response_type: type[T]) -> T:
        try:
            return wire.decode(response.body, response_type)
        except wire.WireError as error:
            raise self._malformed_error(str(error)) from None

    async def get(self, key: str, max_wait_s: float | None = None) -> messages.KeyValue | None:
        """Return a key with its value, or None if it does not exist.

        Raises `StoreUnavailableError` if the request would wait longer than `max_wait_s` for the rate limit.
        """
        response = await self._call("GET", f"/store/{key}", max_wait_s=max_wait_s)
        if response.status == HTTPStatus.NOT_FOUND:
            return None
        return self._decode_ok(response, messages.KeyValue)

    async def list_page(
        self, prefix: str, after: str | None, limit: int, timeout_s: float | None = None
    ) -> messages.KeyValuePage:
        """Return up to `limit` keys under a prefix in key order, starting behind the key `after`."""
        params = {"under": prefix, "page": str(limit)}
        if after is not None:
            params["from"] = after
        response = await self._call(
            "GET", "/store", params=params, timeout_s=timeout_s or self.limits.timeout_s * LIST_TIMEOUT_FACTOR
        )
        return self._decode_ok(response, messages.KeyValuePage)

    async def list_all(self, prefix: str, limit: int = LIST_PAGE_KEYS) -> list[messages.KeyValue]:
        """Return all keys under a prefix, read in pages of `limit` keys; the pages may be of different revisions."""
        key_values: list[messages.KeyValue] = []
        after: str | None = None
        while True:
            page = await self.list_page(prefix, after, limit)
            key_values.extend(page.key_values)
            if not page.more or not page.key_values:
                return key_values
            after = page.key_values[-1].key

    async def watch(self, prefix: str, revision: int, wait_s: float) -> messages.WatchResponse | None:
        """Wait up to `wait_s` seconds for a change under a prefix after `revision`; None if that is compacted."""
        params = {"under": prefix, "from": str(revision), "waitMs": str(round(wait_s * 1000))}
        response = await self._call(
            "GET", "/watch", params=params, timeout_s=wait_s + self.limits.timeout_s, is_watch=True
        )
        if response.status == HTTPStatus.GONE:
            return None
        return self._decode_ok(response, messages.WatchResponse)

    async def commit(self, transaction: messages.Transaction) -> int:
        """Commit a compare-and-swap transaction and return its revision; `CompareFailedError` if a compare fails."""
        return await self.commit_encoded(wire.encode(transaction), len(transaction.operations))

    async def commit_encoded(self, body: bytes, changes: int) -> int:
        """Commit an encoded transaction with `changes` puts and deletes; see `commit`."""
        await self.write_bucket.acquire(changes)
        response = await self._call("POST", "/txn", body)
        if response.status == HTTPStatus.CONFLICT:
            raise CompareFailedError(self._decode_body(response, messages.CompareFailure).failed_keys)
        return self._decode_ok(response, messages.TransactionCommitted).revision

    async def grant_lease(self, ttl_s: float) -> int:
        """Create a lease with this TTL and return its id."""
        body = wire.encode(messages.LeaseGrantRequest(round(ttl_s * 1000)))
        response = await self._call("POST", "/leases", body, urgent=True)
        return self._decode_ok(response, messages.LeaseGrantResponse).lease_id

    async def keep_lease_alive(self, lease: int, timeout_s: float) -> None:
        """Restore the full TTL of a lease; `LeaseNotFoundError` if it has expired."""
        response = await self._call("POST", f"/leases/{lease}/renew", b"{}", timeout_s=timeout_s, urgent=True)
        if response.status == HTTPStatus.NOT_FOUND:
            raise LeaseNotFoundError(f"lease {lease} has expired")
        if response.status != HTTPStatus.OK:
            raise self._malformed_error(f"lease {lease}: keep-alive response has status {response.status}")

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease; the service deletes the keys attached to it."""
        await self._call("DELETE", f"/leases/{lease}", urgent=True)
