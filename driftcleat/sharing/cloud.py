"""The cloud as one share sees it: machines are a share's once the store says so, and for as long as they exist.

A machine's share is a key that is created if it is absent: whoever rented it writes it before anybody acts on it, the
coordinator writes it for machines that nobody has. Two shares can never have one machine.
"""

import logging
from collections.abc import Callable, Sequence
from typing import Any

from driftcleat.cloud.client import CloudClient, CloudError
from driftcleat.settings import Platform
from driftcleat.sharing.keys import FIRST_SHARD, MACHINE_SHARDS_PREFIX
from driftcleat.sharing.view import SharingView
from driftcleat.store.client import StoreClient
from driftcleat.store.errors import CompareFailedError, StoreError
from driftcleat.store.rate_limit import TokenBucket
from driftcleat.wire import cloud as wire_cloud
from driftcleat.wire import state as messages

log = logging.getLogger(__name__)

# A machine that nobody has is taken by the first share once it is this old, as a multiple of the list's lag: until
# then whoever rented it may be about to say so.
UNOWNED_GRACE_LAGS = 2.0
# Keys of machines that are gone for certain may be removed after this many lags without being listed.
UNREGISTER_LAGS = 12.0


class MachineRegistry:
    """Writes which share a machine belongs to."""

    def __init__(self, store: StoreClient, view: SharingView, platform: Platform) -> None:
        self._store, self._view = store, view
        self._max_names_per_transaction = max(1, platform.txn_ops)

    async def register(self, names: Sequence[str], shard: int) -> list[str]:
        """Make machines a share's; return those that are. `StoreError` if that cannot be said."""
        owned: list[str] = []
        for start in range(0, len(names), self._max_names_per_transaction):
            owned += await self._register(names[start : start + self._max_names_per_transaction], shard)
        return owned

    async def _register(self, names: Sequence[str], shard: int) -> list[str]:
        unknown = [name for name in names if self._view.shard_of(name) is None]
        if unknown:
            compares = [messages.Compare(MACHINE_SHARDS_PREFIX + name, 0) for name in unknown]
            operations: list[Any] = [messages.Put(MACHINE_SHARDS_PREFIX + name, shard) for name in unknown]
            try:
                await self._store.commit(messages.Transaction(compares, operations))
            except CompareFailedError:
                return await self._register_one_by_one(names, shard)
            for name in unknown:
                self._view.machines[name] = shard
        return [name for name in names if self._view.shard_of(name) == shard]

    async def _register_one_by_one(self, names: Sequence[str], shard: int) -> list[str]:
        """Some of them are registered already: by ourselves before, or to another share."""
        for name in names:
            if self._view.shard_of(name) is not None:
                continue
            try:
                operations: list[Any] = [messages.Put(MACHINE_SHARDS_PREFIX + name, shard)]
                await self._store.commit(
                    messages.Transaction([messages.Compare(MACHINE_SHARDS_PREFIX + name, 0)], operations)
                )
                self._view.machines[name] = shard
            except CompareFailedError:
                await self.look_up(name)
        return [name for name in names if self._view.shard_of(name) == shard]

    async def look_up(self, name: str) -> int | None:
        """Return a machine's share as the store has it just now."""
        key_value = await self._store.get(MACHINE_SHARDS_PREFIX + name)
        if key_value is None:
            return None
        shard = int(bytes(key_value.value))
        self._view.machines[name] = shard
        return shard

    async def unregister(self, names: Sequence[str]) -> None:
        """Remove machines that are gone for good."""
        known = [name for name in names if name in self._view.machines]
        for start in range(0, len(known), self._max_names_per_transaction):
            batch = known[start : start + self._max_names_per_transaction]
            operations: list[Any] = [messages.Delete(MACHINE_SHARDS_PREFIX + name) for name in batch]
            await self._store.commit(messages.Transaction([], operations))


class ShardCloud(CloudClient):
    """Passes calls to the process's client; sees the machines of one share only."""

    def __init__(
        self,
        inner: CloudClient,
        shard: int,
        view: SharingView,
        registry: MachineRegistry,
        platform: Platform,
        clock: Callable[[], float],
    ) -> None:
        self._inner, self._shard, self._view, self._registry = inner, shard, view, registry
        self._lag_s = platform.list_lag_s
        self._clock = clock
        self._unlisted_since: dict[str, float] = {}
        # This share's part of the cloud's calls, by which the sizes of plans and the pace of lists go.
        self.rate_limit = TokenBucket(platform.cloud_rps * 0.9, clock, burst_s=2.0)

    @property
    def malformed_responses(self) -> int:  # type: ignore[override]
        """Return how many answers of the cloud were malformed."""
        return self._inner.malformed_responses

    async def list_machine_types(self) -> tuple[wire_cloud.MachineType, ...]:
        """Return the types on offer."""
        return await self._inner.list_machine_types()

    async def create_machines(self, request: wire_cloud.CreateMachinesRequest) -> tuple[str, ...]:
        """Rent machines and make them this share's; those that another share has are left to it.

        Until the store says whose they are the rental is not settled: it is repeated under its name.
        """
        # Tokens are unique over all shares, and so are the names that begin with them.
        names = await self._inner.create_machines(request)
        try:
            return tuple(await self._registry.register(names, self._shard))
        except StoreError as error:
            raise CloudError(f"rented machines could not be registered: {error}") from None

    async def delete_machines(self, names: list[str]) -> None:
        """Return machines of this share; those of another are never named."""
        await self._inner.delete_machines(
            [name for name in names if self._view.shard_of(name) in (self._shard, None)]
        )
        try:
            await self._registry.unregister(names)
        except StoreError as error:
            log.debug("machines that are gone are still registered: %s", error)

    async def list_machines(self) -> list[wire_cloud.ListedMachine]:
        """Return this share's machines in the list; the first share takes those that nobody has."""
        listed = await self._inner.list_machines()
        if self._shard == FIRST_SHARD:
            await self._register_unowned(listed)
        return [machine for machine in listed if self._view.shard_of(machine.name) == self._shard]

    async def _register_unowned(self, listed: list[wire_cloud.ListedMachine]) -> None:
        unowned = [
            machine.name
            for machine in listed
            if self._view.shard_of(machine.name) is None and machine.age_s > self._lag_s * UNOWNED_GRACE_LAGS
        ]
        try:
            await self._registry.register(unowned, FIRST_SHARD)
            await self._unregister_unlisted({machine.name for machine in listed})
        except StoreError as error:
            raise CloudError(f"machines could not be registered: {error}") from None

    async def _unregister_unlisted(self, listed: set[str]) -> None:
        """Remove keys of machines that nobody returned and that the list has lacked for long: taken, or failed."""
        now = self._clock()
        unlisted = [name for name in self._view.machines if name not in listed]
        self._unlisted_since = {name: self._unlisted_since.get(name, now) for name in unlisted}
        gone = [name for name, since in self._unlisted_since.items() if now - since > self._lag_s * UNREGISTER_LAGS]
        await self._registry.unregister(gone)
