"""The state service's client: pooled connections, a time-out on every call, its limits kept on our side."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar
from urllib.parse import quote, urlencode

from driftcleat import wire
from driftcleat.errors import DriftcleatError
from driftcleat.net import ConnectError, HttpAnswer, HttpClient, HttpError
from driftcleat.wire import state as messages

log = logging.getLogger(__name__)

T = TypeVar("T")


class StoreError(DriftcleatError):
    """A request that the store did not answer as asked."""


class RefusedError(StoreError):
    """The request was certainly not carried out (503, 429 or no connection)."""


class UnknownOutcomeError(StoreError):
    """Nobody can say yet whether the request was carried out."""


class MalformedError(StoreError):
    """The store calls the request wrong (400), or its answer is not one."""


class RejectedError(MalformedError):
    """The store calls the request wrong and has not carried it out."""


class ConflictError(StoreError):
    """A transaction whose conditions did not hold."""

    def __init__(self, failed: tuple[str, ...]) -> None:
        super().__init__(f"conditions failed: {', '.join(failed)}")
        self.failed = failed


class NoLeaseError(StoreError):
    """The lease has ended."""


class TokenBucket:
    """Permits `rate` units a second with bursts worth `burst_s`."""

    def __init__(self, rate: float, clock: Callable[[], float], burst_s: float = 1.0) -> None:
        self.rate, self.clock, self.most = rate, clock, rate * burst_s
        self.level, self.at = self.most, clock()

    def _fill(self) -> None:
        now = self.clock()
        self.level = min(self.most, self.level + (now - self.at) * self.rate)
        self.at = now

    def delay(self, units: float) -> float:
        """Return how long to wait until `units` are there (a request above the burst waits for a full one)."""
        self._fill()
        return max(0.0, (min(units, self.most) - self.level) / self.rate)

    def available(self) -> float:
        """Return the units that are there."""
        self._fill()
        return self.level

    def take(self, units: float) -> None:
        """Use up `units`; the level may go below zero."""
        self._fill()
        self.level -= units


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
        self.requests = TokenBucket(limits.rps * 0.9, clock)
        self.writes = TokenBucket(limits.write_rps * 0.9, clock)
        self.served_at: float | None = None
        self.refused_at: float | None = None
        self.malformed = 0

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
            while (delay := self.requests.delay(1)) > 0:
                if most_wait_s is not None and delay > most_wait_s:
                    raise RefusedError("too many requests wait for the store")
                await asyncio.sleep(delay)
        self.requests.take(1)
        try:
            answer = await self.exchange(method, path, body, params, timeout_s or self.limits.timeout_s, urgent)
        except ConnectError as error:
            self.refused_at = self.clock()
            raise RefusedError(f"no connection: {error}") from None
        except (HttpError, TimeoutError) as error:
            self.refused_at = self.clock()
            raise UnknownOutcomeError(f"no answer: {error!r}") from None
        status, data = answer.status, answer.body
        if status == 429:
            raise RefusedError("too many requests")
        if status >= 500:
            self.refused_at = self.clock()
            raise RefusedError(f"status {status}")
        if not watching:
            # A watch that was open before an outage may still end in it: that is no service.
            self.served_at = self.clock()
        if status == 400:
            if b"no such lease" in data:
                raise NoLeaseError("no such lease")
            raise RejectedError(str(self._bad(f"{method} {path}: {data[:200]!r}")))
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

    def _bad(self, why: str) -> MalformedError:
        self.malformed += 1
        log.warning("state service: %s", why)
        return MalformedError(why)

    def _expect(self, status: int, data: bytes, kind: type[T]) -> T:
        if status != 200:
            raise self._bad(f"status {status}")
        try:
            return wire.decode(data, kind)
        except wire.WireError as error:
            raise self._bad(str(error)) from None

    async def get(self, key: str, most_wait_s: float | None = None) -> messages.Item | None:
        """Return a key, or None when it does not exist; `RefusedError` if its turn would come later than asked."""
        status, data = await self._call("GET", f"/store/{key}", most_wait_s=most_wait_s)
        if status == 404:
            return None
        return self._expect(status, data, messages.Item)

    async def page(self, prefix: str, after: str | None, limit: int, timeout_s: float | None = None) -> messages.Page:
        """Return a page of the keys under a prefix."""
        params = {"under": prefix, "page": str(limit)}
        if after is not None:
            params["from"] = after
        status, data = await self._call(
            "GET", "/store", params=params, timeout_s=timeout_s or self.limits.timeout_s * 3
        )
        return self._expect(status, data, messages.Page)

    async def read_all(self, prefix: str, limit: int = 500) -> list[messages.Item]:
        """Return all keys under a prefix."""
        items: list[messages.Item] = []
        after: str | None = None
        while True:
            page = await self.page(prefix, after, limit)
            items.extend(page.items)
            if not page.more or not page.items:
                return items
            after = page.items[-1].key

    async def txn(self, txn: messages.Txn) -> int:
        """Carry out a transaction; return its revision."""
        return await self.txn_raw(wire.encode(txn), len(txn.changes))

    async def txn_raw(self, body: bytes, changes: int) -> int:
        """Carry out an encoded transaction; return its revision."""
        while (delay := self.writes.delay(changes)) > 0:
            await asyncio.sleep(delay)
        self.writes.take(changes)
        status, data = await self._call("POST", "/txn", body)
        if status == 409:
            raise ConflictError(self._expect(200, data, messages.TxnFailed).failed)
        return self._expect(status, data, messages.TxnDone).revision

    async def grant(self, ttl_s: float) -> int:
        """Return a new lease."""
        body = wire.encode(messages.LeaseRequest(round(ttl_s * 1000)))
        status, data = await self._call("POST", "/leases", body, urgent=True)
        return self._expect(status, data, messages.LeaseAnswer).lease

    async def renew(self, lease: int, timeout_s: float) -> None:
        """Give a lease its full time again; `NoLeaseError` once it has ended."""
        status, _ = await self._call("POST", f"/leases/{lease}/renew", b"{}", timeout_s, urgent=True)
        if status == 404:
            raise NoLeaseError(f"lease {lease} has ended")
        if status != 200:
            raise self._bad(f"renewal got status {status}")

    async def end(self, lease: int) -> None:
        """End a lease at once."""
        await self._call("DELETE", f"/leases/{lease}", urgent=True)

    async def watch(self, prefix: str, revision: int, wait_s: float) -> messages.WatchAnswer | None:
        """Wait for a change under a prefix; None when the revision is too old."""
        params = {"under": prefix, "from": str(revision), "waitMs": str(round(wait_s * 1000))}
        status, data = await self._call(
            "GET", "/watch", params=params, timeout_s=wait_s + self.limits.timeout_s, watching=True
        )
        if status == 410:
            return None
        return self._expect(status, data, messages.WatchAnswer)
