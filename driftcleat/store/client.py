"""The state service's client: pooled connections, a time-out on every call, its limits kept on our side."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar
from urllib.parse import quote, urlencode

from driftcleat import wire
from driftcleat.net import ConnectError, HttpAnswer, HttpClient, HttpError
from driftcleat.store.errors import (
    CompareFailedError,
    LeaseNotFoundError,
    MalformedResponseError,
    OutcomeUnknownError,
    RequestRejectedError,
    StoreUnavailableError,
)
from driftcleat.store.rate_limit import TokenBucket
from driftcleat.wire import state as messages

log = logging.getLogger(__name__)

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """What the store takes, with a little kept back for what is counted on its side of the network."""

    rps: float
    write_rps: float
    timeout_s: float


class StoreClient:
    """Speaks to the state service; what concerns the lease goes over connections of its own.

    Guards against a renewal that waits for a free connection behind reads and watches that hang.
    """

    def __init__(
        self,
        client: HttpClient,
        lease_client: HttpClient,
        address: str,
        limits: StoreLimits,
        clock: Callable[[], float],
    ) -> None:
        self.client, self.lease_client = client, lease_client
        self.address, self.limits, self.clock = address, limits, clock
        self.request_bucket = TokenBucket(limits.rps * 0.9, clock)
        self.write_bucket = TokenBucket(limits.write_rps * 0.9, clock)
        self.last_success_at: float | None = None
        self.last_failure_at: float | None = None
        self.malformed_responses = 0

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        timeout_s: float | None = None,
        params: dict[str, str] | None = None,
        urgent: bool = False,
        most_wait_s: float | None = None,
        watching: bool = False,
    ) -> tuple[int, bytes]:
        if not urgent:
            while (delay := self.request_bucket.delay_s(1)) > 0:
                if most_wait_s is not None and delay > most_wait_s:
                    raise StoreUnavailableError("too many requests wait for the store")
                await asyncio.sleep(delay)
        self.request_bucket.consume(1)
        try:
            answer = await self.exchange(method, path, body, params, timeout_s or self.limits.timeout_s, urgent)
        except ConnectError as error:
            self.last_failure_at = self.clock()
            raise StoreUnavailableError(f"no connection: {error}") from None
        except (HttpError, TimeoutError) as error:
            self.last_failure_at = self.clock()
            raise OutcomeUnknownError(f"no answer: {error!r}") from None
        status, data = answer.status, answer.body
        if status == 429:
            raise StoreUnavailableError("too many requests")
        if status >= 500:
            self.last_failure_at = self.clock()
            raise StoreUnavailableError(f"status {status}")
        if not watching:
            # A watch that was open before an outage may still end in it: that is no service.
            self.last_success_at = self.clock()
        if status == 400:
            if b"no such lease" in data:
                raise LeaseNotFoundError("no such lease")
            raise RequestRejectedError(str(self._bad(f"{method} {path}: {data[:200]!r}")))
        return status, data

    async def exchange(
        self,
        method: str,
        path: str,
        body: bytes | None,
        params: dict[str, str] | None,
        timeout_s: float,
        urgent: bool,
    ) -> HttpAnswer:
        """Send one request."""
        client = self.lease_client if urgent else self.client
        target = quote(path) + (f"?{urlencode(params)}" if params else "")
        return await client.request(method, self.address, target, body, timeout_s)

    def _bad(self, why: str) -> MalformedResponseError:
        self.malformed_responses += 1
        log.warning("state service: %s", why)
        return MalformedResponseError(why)

    def _expect(self, status: int, data: bytes, kind: type[T]) -> T:
        if status != 200:
            raise self._bad(f"status {status}")
        try:
            return wire.decode(data, kind)
        except wire.WireError as error:
            raise self._bad(str(error)) from None

    async def get(self, key: str, most_wait_s: float | None = None) -> messages.KeyValue | None:
        """Return a key, or None when it does not exist; `StoreUnavailableError` if it would wait too long."""
        status, data = await self._call("GET", f"/store/{key}", most_wait_s=most_wait_s)
        if status == 404:
            return None
        return self._expect(status, data, messages.KeyValue)

    async def list_page(
        self, prefix: str, after: str | None, limit: int, timeout_s: float | None = None
    ) -> messages.KeyValuePage:
        """Return a page of the keys under a prefix."""
        params = {"under": prefix, "page": str(limit)}
        if after is not None:
            params["from"] = after
        status, data = await self._call(
            "GET", "/store", params=params, timeout_s=timeout_s or self.limits.timeout_s * 3
        )
        return self._expect(status, data, messages.KeyValuePage)

    async def list_all(self, prefix: str, limit: int = 500) -> list[messages.KeyValue]:
        """Return all keys under a prefix."""
        key_values: list[messages.KeyValue] = []
        after: str | None = None
        while True:
            page = await self.list_page(prefix, after, limit)
            key_values.extend(page.key_values)
            if not page.more or not page.key_values:
                return key_values
            after = page.key_values[-1].key

    async def commit(self, transaction: messages.Transaction) -> int:
        """Carry out a transaction; return its revision."""
        return await self.commit_encoded(wire.encode(transaction), len(transaction.operations))

    async def commit_encoded(self, body: bytes, changes: int) -> int:
        """Carry out an encoded transaction; return its revision."""
        while (delay := self.write_bucket.delay_s(changes)) > 0:
            await asyncio.sleep(delay)
        self.write_bucket.consume(changes)
        status, data = await self._call("POST", "/txn", body)
        if status == 409:
            raise CompareFailedError(self._expect(200, data, messages.CompareFailure).failed_keys)
        return self._expect(status, data, messages.TransactionCommitted).revision

    async def grant_lease(self, ttl_s: float) -> int:
        """Return a new lease."""
        body = wire.encode(messages.LeaseGrantRequest(round(ttl_s * 1000)))
        status, data = await self._call("POST", "/leases", body, urgent=True)
        return self._expect(status, data, messages.LeaseGrantResponse).lease_id

    async def keep_lease_alive(self, lease: int, timeout_s: float) -> None:
        """Give a lease its full time again; `LeaseNotFoundError` once it has ended."""
        status, _ = await self._call("POST", f"/leases/{lease}/renew", b"{}", timeout_s, urgent=True)
        if status == 404:
            raise LeaseNotFoundError(f"lease {lease} has ended")
        if status != 200:
            raise self._bad(f"renewal got status {status}")

    async def revoke_lease(self, lease: int) -> None:
        """End a lease at once."""
        await self._call("DELETE", f"/leases/{lease}", urgent=True)

    async def watch(self, prefix: str, revision: int, wait_s: float) -> messages.WatchResponse | None:
        """Wait for a change under a prefix; None when the revision is too old."""
        params = {"under": prefix, "from": str(revision), "waitMs": str(round(wait_s * 1000))}
        status, data = await self._call(
            "GET", "/watch", params=params, timeout_s=wait_s + self.limits.timeout_s, watching=True
        )
        if status == 410:
            return None
        return self._expect(status, data, messages.WatchResponse)
