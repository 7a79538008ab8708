"""The store as one share sees it: its own prefix, its part of the changes a second, the process's one lease."""

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
    """A change whose value is not looked at."""

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
    """Passes requests to the process's client, with the keys of a share.

    The parts of a controller that read and write records need not know of shares.
    """

    def __init__(self, inner: StoreClient, shard: int, lease: ProcessLease, limits: StoreLimits) -> None:
        self._inner, self._shard, self._lease = inner, shard, lease
        self.limits, self.clock = limits, inner.clock
        self.write_bucket = TokenBucket(limits.write_rps * 0.9, inner.clock)

    # -- what the process's client has noted ---------------------------------------------------------------

    @property
    def last_success_at(self) -> float | None:  # type: ignore[override]
        """Return when the store last served this process."""
        return self._inner.last_success_at

    @property
    def last_failure_at(self) -> float | None:  # type: ignore[override]
        """Return when the store last refused this process."""
        return self._inner.last_failure_at

    @property
    def malformed_responses(self) -> int:  # type: ignore[override]
        """Return how many answers of the store were malformed."""
        return self._inner.malformed_responses

    # -- reading ------------------------------------------------------------------------------------------

    async def get(self, key: str, most_wait_s: float | None = None) -> messages.KeyValue | None:
        """Return a key of this share."""
        key_value = await self._inner.get(shard_key(self._shard, key), most_wait_s)
        return self._without_shard_key(key_value) if key_value is not None else None

    async def list_page(
        self, prefix: str, after: str | None, limit: int, timeout_s: float | None = None
    ) -> messages.KeyValuePage:
        """Return a page of the share's keys under a prefix."""
        start = shard_key(self._shard, after) if after is not None else None
        page = await self._inner.list_page(shard_key(self._shard, prefix), start, limit, timeout_s)
        return msgspec.structs.replace(page, key_values=tuple(map(self._without_shard_key, page.key_values)))

    async def watch(self, prefix: str, revision: int, wait_s: float) -> messages.WatchResponse | None:
        """Wait for a change under a prefix of the share; the keys in the answer are those of the store."""
        return await self._inner.watch(shard_key(self._shard, prefix), revision, wait_s)

    def _without_shard_key(self, key_value: messages.KeyValue) -> messages.KeyValue:
        return msgspec.structs.replace(key_value, key=unsharded_key(self._shard, key_value.key))

    # -- writing ------------------------------------------------------------------------------------------

    async def commit_encoded(self, body: bytes, changes: int) -> int:
        """Carry out an encoded transaction on the share's keys."""
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

    # -- the lease ----------------------------------------------------------------------------------------

    async def grant_lease(self, ttl_s: float) -> int:
        """Return the process's lease with its full time."""
        return await self._lease.renew_or_grant()

    async def keep_lease_alive(self, lease: int, timeout_s: float) -> None:
        """Renew the process's lease."""
        await self._lease.keep_alive(lease)

    async def revoke_lease(self, lease: int) -> None:
        """Take this share's leader key off the process's lease; a lease of an earlier life is ended as a whole."""
        if lease != self._lease.lease:
            await self._inner.revoke_lease(lease)
            return
        key_value = await self.get(LEADER_KEY)
        if key_value is not None and key_value.lease_id == lease:
            changes: list[Any] = [messages.Delete(LEADER_KEY)]
            await self.commit(messages.Transaction([messages.Compare(LEADER_KEY, key_value.mod_revision)], changes))
