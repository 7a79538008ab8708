"""The state service's client: pooled connections, a timeout for every request, rate limits kept on our side."""

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

# The part of the service's rate limits that we use: the service counts on its side of the network, so a little is
# kept back.
USABLE_LIMIT_FRACTION = 0.9
# A page of keys takes longer than other requests: its timeout, in timeouts of those.
LIST_TIMEOUT_FACTOR = 3
# Keys in a page when all keys under a prefix are read.
LIST_PAGE_KEYS = 500
# What the 400 for a lease that does not exist contains; every other 400 rejects the request itself.
LEASE_NOT_FOUND_TEXT = b"no such lease"
# The most bytes of an answer that are quoted in a log line.
QUOTED_BYTES = 200


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """The state service's limits: requests and changes (puts and deletes) a second; the timeout of a request."""

    rps: float
    write_rps: float
    timeout_s: float


class StoreClient:
    """Sends requests to the state service.

    Every method raises `StoreError`: `StoreUnavailableError` if the request was certainly not carried out,
    `OutcomeUnknownError` if nobody can tell, `MalformedResponseError` for an answer that is not understood.

    What concerns the lease is urgent: it goes over connections of its own and does not wait for the rate limit.
    Guards against a keep-alive that waits for a free connection behind reads and open watches.
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
        # When the service last served us, and last failed to; None: it never did. By `clock`.
        self.last_success_at: float | None = None
        self.last_failure_at: float | None = None
        self.malformed_responses = 0

    # -- requests -----------------------------------------------------------------------------------------

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        *,
        params: dict[str, str] | None = None,
        timeout_s: float | None = None,
        urgent: bool = False,
        most_wait_s: float | None = None,
        watching: bool = False,
    ) -> HttpResponse:
        """Send one request and return its answer; `StoreError` for 400, 429 and 5xx."""
        if urgent:
            self.request_bucket.consume(1)
        else:
            await self._acquire_request(most_wait_s)
        try:
            answer = await self.exchange(method, path, body, params, timeout_s or self.limits.timeout_s, urgent)
        except ConnectError as error:
            self.last_failure_at = self.clock()
            raise StoreUnavailableError(f"no connection: {error}") from None
        except (HttpError, TimeoutError) as error:
            self.last_failure_at = self.clock()
            raise OutcomeUnknownError(f"no answer: {error!r}") from None
        self._require_served(answer)
        if not watching:
            # A watch that was open before an outage may end within it, so its answer does not prove service.
            self.last_success_at = self.clock()
        if answer.status == HTTPStatus.BAD_REQUEST:
            raise self._rejection(f"{method} {path}", answer)
        return answer

    async def _acquire_request(self, most_wait_s: float | None) -> None:
        """Wait until the rate limit permits a request; `StoreUnavailableError` if that takes above `most_wait_s`."""
        while True:
            delay = self.request_bucket.delay_s(1)
            if delay <= 0:
                break
            if most_wait_s is not None and delay > most_wait_s:
                raise StoreUnavailableError("too many requests wait for the store")
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
        """Send one request over the connections that it belongs to, and return the answer whatever its status."""
        client = self.lease_client if urgent else self.client
        target = quote(path) + (f"?{urlencode(params)}" if params else "")
        return await client.request(method, self.address, target, body, timeout_s)

    # -- answers ------------------------------------------------------------------------------------------

    def _require_served(self, answer: HttpResponse) -> None:
        """Raise `StoreUnavailableError` for a status which says that the request was not carried out."""
        if answer.status == HTTPStatus.TOO_MANY_REQUESTS:
            raise StoreUnavailableError("too many requests")
        if answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            self.last_failure_at = self.clock()
            raise StoreUnavailableError(f"status {answer.status}")

    def _rejection(self, request: str, answer: HttpResponse) -> StoreError:
        """Return the error of a 400."""
        if LEASE_NOT_FOUND_TEXT in answer.body:
            return LeaseNotFoundError("no such lease")
        return RequestRejectedError(str(self._malformed(f"{request}: {answer.body[:QUOTED_BYTES]!r}")))

    def _malformed(self, reason: str) -> MalformedResponseError:
        """Log and count an answer that is not understood, and return its error."""
        self.malformed_responses += 1
        log.warning("state service: malformed response: %s", reason)
        return MalformedResponseError(reason)

    def _decode_ok(self, answer: HttpResponse, kind: type[T]) -> T:
        """Return the body of an answer that must have status 200."""
        if answer.status != HTTPStatus.OK:
            raise self._malformed(f"status {answer.status}")
        return self._decode_body(answer, kind)

    def _decode_body(self, answer: HttpResponse, kind: type[T]) -> T:
        try:
            return wire.decode(answer.body, kind)
        except wire.WireError as error:
            raise self._malformed(str(error)) from None

    # -- reads --------------------------------------------------------------------------------------------

    async def get(self, key: str, most_wait_s: float | None = None) -> messages.KeyValue | None:
        """Return a key, or None when it does not exist.

        `StoreUnavailableError` if the request would wait longer than `most_wait_s` for the rate limit.
        """
        answer = await self._call("GET", f"/store/{key}", most_wait_s=most_wait_s)
        if answer.status == HTTPStatus.NOT_FOUND:
            return None
        return self._decode_ok(answer, messages.KeyValue)

    async def list_page(
        self, prefix: str, after: str | None, limit: int, timeout_s: float | None = None
    ) -> messages.KeyValuePage:
        """Return up to `limit` keys under a prefix in order, from the first one behind `after` on."""
        params = {"under": prefix, "page": str(limit)}
        if after is not None:
            params["from"] = after
        answer = await self._call(
            "GET", "/store", params=params, timeout_s=timeout_s or self.limits.timeout_s * LIST_TIMEOUT_FACTOR
        )
        return self._decode_ok(answer, messages.KeyValuePage)

    async def list_all(self, prefix: str, limit: int = LIST_PAGE_KEYS) -> list[messages.KeyValue]:
        """Return all keys under a prefix, read in pages of `limit` keys. The pages are no common snapshot."""
        key_values: list[messages.KeyValue] = []
        after: str | None = None
        while True:
            page = await self.list_page(prefix, after, limit)
            key_values.extend(page.key_values)
            if not page.more or not page.key_values:
                return key_values
            after = page.key_values[-1].key

    async def watch(self, prefix: str, revision: int, wait_s: float) -> messages.WatchResponse | None:
        """Wait up to `wait_s` for a change under a prefix after `revision`; None when the revision is compacted."""
        params = {"under": prefix, "from": str(revision), "waitMs": str(round(wait_s * 1000))}
        answer = await self._call(
            "GET", "/watch", params=params, timeout_s=wait_s + self.limits.timeout_s, watching=True
        )
        if answer.status == HTTPStatus.GONE:
            return None
        return self._decode_ok(answer, messages.WatchResponse)

    # -- transactions -------------------------------------------------------------------------------------

    async def commit(self, transaction: messages.Transaction) -> int:
        """Carry out a transaction and return its revision; `CompareFailedError` if a compare fails."""
        return await self.commit_encoded(wire.encode(transaction), len(transaction.operations))

    async def commit_encoded(self, body: bytes, changes: int) -> int:
        """Carry out an encoded transaction with so many puts and deletes; see `commit`."""
        await self.write_bucket.acquire(changes)
        answer = await self._call("POST", "/txn", body)
        if answer.status == HTTPStatus.CONFLICT:
            raise CompareFailedError(self._decode_body(answer, messages.CompareFailure).failed_keys)
        return self._decode_ok(answer, messages.TransactionCommitted).revision

    # -- leases -------------------------------------------------------------------------------------------

    async def grant_lease(self, ttl_s: float) -> int:
        """Return the id of a new lease."""
        body = wire.encode(messages.LeaseGrantRequest(round(ttl_s * 1000)))
        answer = await self._call("POST", "/leases", body, urgent=True)
        return self._decode_ok(answer, messages.LeaseGrantResponse).lease_id

    async def keep_lease_alive(self, lease: int, timeout_s: float) -> None:
        """Renew a lease for its full time; `LeaseNotFoundError` once it has expired."""
        answer = await self._call("POST", f"/leases/{lease}/renew", b"{}", timeout_s=timeout_s, urgent=True)
        if answer.status == HTTPStatus.NOT_FOUND:
            raise LeaseNotFoundError(f"lease {lease} has expired")
        if answer.status != HTTPStatus.OK:
            raise self._malformed(f"lease {lease}: keep-alive answered with status {answer.status}")

    async def revoke_lease(self, lease: int) -> None:
        """End a lease at once; the service deletes the keys attached to it."""
        await self._call("DELETE", f"/leases/{lease}", urgent=True)
