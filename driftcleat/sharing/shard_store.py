"""The store as one shard sees it: the shard's prefix, its part of the write rate, and the process's lease."""

import asyncio
import logging
from typing import Any

import msgspec

from driftcleat import wire
from driftcleat.sharing.keys import shard_key, unsharded_key
from driftcleat.sharing.process_lease import ProcessLease
from driftcleat.store.client import StoreClient, StoreLimits
from driftcleat.store.keys import LEADER_KEY
from driftcleat.store.rate_limit import TokenBucket
from driftcleat.wire import state as messages

log = logging.getLogger(__name__)


class _RawOperation(msgspec.Struct, omit_defaults=True):
    """An operation of a transaction, with its value left encoded."""

    put: str | None = None
    v: msgspec.Raw | msgspec.UnsetType = msgspec.UNSET
    berth: int | None = None
    remove: str | None = None


class _RawCompare(msgspec.Struct):
    key: str
    entry: int


class _RawTransaction(msgspec.Struct):
    compares: list[_RawCompare] = msgspec.field(name="if")
    changes: list[_RawOperation] = msgspec.field(name="then")


class ShardStore(StoreClient):
    """A store client that maps keys to the keys of one shard and passes requests to the client of the process.

    The code of a controller that reads and writes records thereby works without regard to shards.
    """

    def __init__(self, inner: StoreClient, shard: int, lease: ProcessLease, limits: StoreLimits) -> None:
        self._inner, self._shard, self._lease = inner, shard, lease
        self.limits, self.clock = limits, inner.clock
        self.write_bucket = TokenBucket(limits.write_rps * 0.9, inner.clock)

    @property
    def last_success_at(self) -> float | None:  # type: ignore[override]
        """Return when a request of this process last succeeded."""
        return self._inner.last_success_at

    @property
    def last_failure_at(self) -> float | None:  # type: ignore[override]
        """Return when a request of this process last failed."""
        return self._inner.last_failure_at

    @property
    def malformed_responses(self) -> int:  # type: ignore[override]
        """Return how many responses of the store were malformed."""
        return self._inner.malformed_responses

    async def get(self, key: str, max_wait_s: float | None = None) -> messages.KeyValue | None:
        """Return a key of the shard with its value; None if it does not exist."""
        key_value = await self._inner.get(shard_key(self._shard, key), max_wait_s)
        return self._without_shard_key(key_value) if key_value is not None else None

    async def list_page(
        self, prefix: str, after: str | None, limit: int, timeout_s: float | None = None
    ) -> messages.KeyValuePage:
        """Return a page of the shard's keys under a prefix."""
        start = shard_key(self._shard, after) if after is not None else None
        page = await self._inner.list_page(shard_key(self._shard, prefix), start, limit, timeout_s)
        return msgspec.structs.replace(page, key_values=tuple(map(self._without_shard_key, page.key_values)))

    async def watch(self, prefix: str, revision: int, wait_s: float) -> messages.WatchResponse | None:
        """Wait for a change under a prefix of the shard; keys in the response keep the shard's prefix."""
        return await self._inner.watch(shard_key(self._shard, prefix), revision, wait_s)

    def _without_shard_key(self, key_value: messages.KeyValue) -> messages.KeyValue:
        return msgspec.structs.replace(key_value, key=unsharded_key(self._shard, key_value.key))

    async def commit_encoded(self, body: bytes, changes: int) -> int:
        """Commit an encoded transaction on the shard's keys, within the shard's write rate."""
        while (delay := self.write_bucket.delay_s(changes)) > 0:
            await asyncio.sleep(delay)
        self.write_bucket.consume(changes)
        return await self._inner.commit_encoded(self._with_shard_keys(body), changes)

    def _with_shard_keys(self, body: bytes) -> bytes:
        transaction = wire.decode(body, _RawTransaction)
        for compare in transaction.compares:
            compare.key = shard_key(self._shard, compare.key)
        for operation in transaction.changes:
            if operation.put is not None:
                operation.put = shard_key(self._shard, operation.put)
            elif operation.remove is not None:
                operation.remove = shard_key(self._shard, operation.remove)
        return wire.encode(transaction)

    async def grant_lease(self, ttl_s: float) -> int:
        """Return the process's lease with its full time to live; `ttl_s` is ignored."""
        return await self._lease.keep_alive_or_grant()

    async def keep_lease_alive(self, lease: int, timeout_s: float) -> None:
        """Keep the process's lease alive; `timeout_s` is ignored."""
        await self._lease.keep_alive(lease)

    async def revoke_lease(self, lease: int) -> None:
        """Delete the shard's leader key if the lease is the process's, which other shards use; else revoke it."""
        if lease != self._lease.lease:
            await self._inner.revoke_lease(lease)
            return
        key_value = await self.get(LEADER_KEY)
        if key_value is not None and key_value.lease_id == lease:
            changes: list[Any] = [messages.Delete(LEADER_KEY)]
            await self.commit(messages.Transaction([messages.Compare(LEADER_KEY, key_value.mod_revision)], changes))
