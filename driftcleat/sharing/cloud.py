"""The cloud as one shard sees it: a machine belongs to the shard named in the store, for as long as it exists.

One key per machine names its shard. The key is only written if it is absent, so a machine never belongs to two
shards. The shard that created a machine writes it before it uses the machine; the leader of the first shard writes it
for machines that stay unregistered.
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

# Age from which the first shard takes an unregistered machine, as a multiple of the lag of the cloud's list: until
# then the shard that created the machine may still register it.
UNREGISTERED_GRACE_LAGS = 2.0
# Time without being listed after which a machine's key is removed, as a multiple of the lag of the cloud's list.
UNREGISTER_LAGS = 12.0


class MachineRegistry:
    """Reads and writes the keys that name the machines' shards."""

    def __init__(self, store: StoreClient, view: SharingView, platform: Platform) -> None:
        self._store, self._view = store, view
        self._max_names_per_transaction = max(1, platform.txn_ops)

    async def register(self, names: Sequence[str], shard: int) -> list[str]:
        """Register machines with a shard, except those of other shards; return the shard's.

        Raises `StoreError` if a write failed or its outcome is unknown.
        """
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
        """Register each machine in a transaction of its own, since some are registered already."""
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
        """Read a machine's shard from the store; None if the machine is not registered."""
        key_value = await self._store.get(MACHINE_SHARDS_PREFIX + name)
        if key_value is None:
            return None
        shard = int(bytes(key_value.value))
        self._view.machines[name] = shard
        return shard

    async def unregister(self, names: Sequence[str]) -> None:
        """Remove the keys of machines that no longer exist."""
        known = [name for name in names if name in self._view.machines]
        for start in range(0, len(known), self._max_names_per_transaction):
            batch = known[start : start + self._max_names_per_transaction]
            operations: list[Any] = [messages.Delete(MACHINE_SHARDS_PREFIX + name) for name in batch]
            await self._store.commit(messages.Transaction([], operations))


class ShardCloud(CloudClient):
    """A cloud client that is restricted to the machines of one shard; calls go to the client of the process."""

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
        # The shard's part of the cloud's request rate. It bounds the sizes of plans and the rate of list requests.
        self.rate_limit = TokenBucket(platform.cloud_rps * 0.9, clock, burst_s=2.0)

    @property
    def malformed_responses(self) -> int:  # type: ignore[override]
        """Return how many responses of the cloud were malformed."""
        return self._inner.malformed_responses

    async def list_machine_types(self) -> tuple[wire_cloud.MachineType, ...]:
        """Return the machine types that the cloud offers."""
        return await self._inner.list_machine_types()

    async def create_machines(self, request: wire_cloud.CreateMachinesRequest) -> tuple[str, ...]:
        """Create machines and register them with this shard; return those that the shard got.

        Raises `CloudError` if they could not be registered: the caller then repeats the request under the same id.
        """
        # Fencing tokens are unique over all shards, and so are the machine names that begin with them.
        names = await self._inner.create_machines(request)
        try:
            return tuple(await self._registry.register(names, self._shard))
        except StoreError as error:
            raise CloudError(f"created machines could not be registered: {error}") from None

    async def delete_machines(self, names: list[str]) -> None:
        """Delete machines, except those that are registered with another shard."""
        await self._inner.delete_machines(
            [name for name in names if self._view.shard_of(name) in (self._shard, None)]
        )
        try:
            await self._registry.unregister(names)
        except StoreError as error:
            log.debug("deleted machines could not be unregistered: %s", error)

    async def list_machines(self) -> list[wire_cloud.ListedMachine]:
        """List the shard's machines; the first shard also registers machines that stayed unregistered."""
        listed = await self._inner.list_machines()
        if self._shard == FIRST_SHARD:
            await self._register_unowned(listed)
        return [machine for machine in listed if self._view.shard_of(machine.name) == self._shard]

    async def _register_unowned(self, listed: list[wire_cloud.ListedMachine]) -> None:
        unowned = [
            machine.name
            for machine in listed
            if self._view.shard_of(machine.name) is None and machine.age_s > self._lag_s * UNREGISTERED_GRACE_LAGS
        ]
        try:
            await self._registry.register(unowned, FIRST_SHARD)
            await self._unregister_unlisted({machine.name for machine in listed})
        except StoreError as error:
            raise CloudError(f"machines could not be registered: {error}") from None

    async def _unregister_unlisted(self, listed: set[str]) -> None:
        """Remove the keys of machines that have not been listed for long, such as reclaimed or failed ones."""
        now = self._clock()
        unlisted = [name for name in self._view.machines if name not in listed]
        self._unlisted_since = {name: self._unlisted_since.get(name, now) for name in unlisted}
        gone = [name for name, since in self._unlisted_since.items() if now - since > self._lag_s * UNREGISTER_LAGS]
        await self._registry.unregister(gone)
