"""The store as one share sees it: its own prefix, its part of the changes a second, the process's one lease."""

import asyncio
import logging
from typing import Any

import msgspec

from driftcleat import wire
from driftcleat.store.client import StoreClient, StoreLimits, TokenBucket
from driftcleat.store.records import LEADER
from driftcleat.wire import state as messages

from .keys import in_share, without_share
from .process_lease import ProcessLease

log = logging.getLogger(__name__)


class _RawChange(msgspec.Struct, omit_defaults=True):
    """A change whose value is not looked at."""

    put: str | None = None
    v: msgspec.Raw | msgspec.UnsetType = msgspec.UNSET
    berth: int | None = None
    remove: str | None = None


class _RawCondition(msgspec.Struct):
    key: str
    entry: int


class _RawTxn(msgspec.Struct):
    conditions: list[_RawCondition] = msgspec.field(name="if")
    changes: list[_RawChange] = msgspec.field(name="then")


class ShareStore(StoreClient):
    """Passes requests to the process's client, with the keys of a share.

    The parts of a controller that read and write records need not know of shares.
    """

    def __init__(self, inner: StoreClient, share: int, lease: ProcessLease, limits: StoreLimits) -> None:
        self._inner, self._share, self._lease = inner, share, lease
        self.limits, self.clock = limits, inner.clock
        self.writes = TokenBucket(limits.write_rps * 0.9, inner.clock)

    # -- what the process's client has noted ---------------------------------------------------------------

    @property
    def served_at(self) -> float | None:  # type: ignore[override]
        """Return when the store last served this process."""
        return self._inner.served_at

    @property
    def refused_at(self) -> float | None:  # type: ignore[override]
        """Return when the store last refused this process."""
        return self._inner.refused_at

    @property
    def malformed(self) -> int:  # type: ignore[override]
        """Return how many answers of the store were malformed."""
        return self._inner.malformed

    # -- reading ------------------------------------------------------------------------------------------

    async def get(self, key: str, most_wait_s: float | None = None) -> messages.Item | None:
        """Return a key of this share."""
        item = await self._inner.get(in_share(self._share, key), most_wait_s)
        return self._own(item) if item is not None else None

    async def page(self, prefix: str, after: str | None, limit: int, timeout_s: float | None = None) -> messages.Page:
        """Return a page of the share's keys under a prefix."""
        begin = in_share(self._share, after) if after is not None else None
        page = await self._inner.page(in_share(self._share, prefix), begin, limit, timeout_s)
        return msgspec.structs.replace(page, items=tuple(map(self._own, page.items)))

    async def watch(self, prefix: str, revision: int, wait_s: float) -> messages.WatchAnswer | None:
        """Wait for a change under a prefix of the share; the keys in the answer are those of the store."""
        return await self._inner.watch(in_share(self._share, prefix), revision, wait_s)

    def _own(self, item: messages.Item) -> messages.Item:
        return msgspec.structs.replace(item, key=without_share(self._share, item.key))

    # -- writing ------------------------------------------------------------------------------------------

    async def txn_raw(self, body: bytes, changes: int) -> int:
        """Carry out an encoded transaction on the share's keys."""
        while (delay := self.writes.delay(changes)) > 0:
            await asyncio.sleep(delay)
        self.writes.take(changes)
        return await self._inner.txn_raw(self._rekeyed(body), changes)

    def _rekeyed(self, body: bytes) -> bytes:
        txn = wire.decode(body, _RawTxn)
        for condition in txn.conditions:
            condition.key = in_share(self._share, condition.key)
        for change in txn.changes:
            if change.put is not None:
                change.put = in_share(self._share, change.put)
            elif change.remove is not None:
                change.remove = in_share(self._share, change.remove)
        return wire.encode(txn)

    # -- the lease ----------------------------------------------------------------------------------------

    async def grant(self, ttl_s: float) -> int:
        """Return the process's lease with its full time."""
        return await self._lease.hold()

    async def renew(self, lease: int, timeout_s: float) -> None:
        """Renew the process's lease."""
        await self._lease.renew(lease)

    async def end(self, lease: int) -> None:
        """Take this share's leader key off the process's lease; a lease of an earlier life is ended as a whole."""
        if lease != self._lease.lease:
            await self._inner.end(lease)
            return
        item = await self.get(LEADER)
        if item is not None and item.lease == lease:
            changes: list[Any] = [messages.Remove(LEADER)]
            await self.txn(messages.Txn([messages.Condition(LEADER, item.version)], changes))
