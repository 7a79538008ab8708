"""A replica of the records that all shards use: the assignment, the machines' shards, the teams' quota allocations.

The replica is loaded as a whole and then kept up to date by a watch. It may lag behind the store, but acting on it is
safe: assignment and allocations are only written if their mod revisions match, and a machine's shard never changes.
"""

import asyncio
import logging
from collections.abc import Callable, Collection
from typing import Any

import msgspec

from driftcleat import wire
from driftcleat.sharing.assignment import AssignmentError, ShardAssignment, decode_assignment
from driftcleat.sharing.keys import (
    ALLOCATIONS_PREFIX,
    ASSIGNMENT_KEY,
    FIRST_SHARD,
    MACHINE_SHARDS_PREFIX,
    SHARING_PREFIX,
)
from driftcleat.sharing.quota import QuotaAllocation
from driftcleat.store.client import StoreClient
from driftcleat.store.errors import StoreError

log = logging.getLogger(__name__)

PAGE_SIZE = 500


class WatchEvent(msgspec.Struct, frozen=True):
    """One change in the response to a watch; `entry` is its mod revision."""

    entry: int
    put: str | None = None
    remove: str | None = None
    v: Any = None


class SharingView:
    """Replica of the sharing records in this process. Calls `on_change` after it has changed."""

    def __init__(self, store: StoreClient, labels: Collection[str], watch_timeout_s: float) -> None:
        self._store, self._labels, self._watch_timeout_s = store, labels, watch_timeout_s
        self._revision = 0
        # Whether the replica has been loaded since the start of this process.
        self.loaded = False
        self.assignment: ShardAssignment | None = None
        self.assignment_mod_revision = 0
        # Why the stored assignment was rejected; None if it was accepted.
        self.refusal: str | None = None
        self.machines: dict[str, int] = {}
        self.allocations: dict[str, QuotaAllocation] = {}
        self.allocation_mod_revisions: dict[str, int] = {}
        self.on_change: Callable[[], None] = lambda: None

    def shard_of(self, machine: str) -> int | None:
        """Return the shard that a machine belongs to; None if the replica does not have it (yet)."""
        known_shard = self.machines.get(machine)
        if known_shard is not None:
            return known_shard
        if self.assignment is None:
            # If the store has no assignment, all machines are in the first shard; before the load that is unknown.
            return FIRST_SHARD if self.loaded else None
        return FIRST_SHARD if machine <= self.assignment.first_shard_last_machine else None

    async def run(self) -> None:
        """Load the replica and follow changes until cancelled; reload after an error."""
        while True:
            try:
                await self._load()
                while await self._follow_changes():
                    pass
            except (StoreError, wire.WireError) as error:
                log.debug("sharing records could not be read: %s", error)
                await asyncio.sleep(self._watch_timeout_s / 10)

    async def _load(self) -> None:
        """Load all records. The watch starts at the first page's revision, so it repeats changes made meanwhile."""
        first_revision: int | None = None
        seen_keys: set[str] = set()
        after: str | None = None
        while True:
            page = await self._store.list_page(SHARING_PREFIX, after, PAGE_SIZE)
            first_revision = page.revision if first_revision is None else first_revision
            for key_value in page.key_values:
                seen_keys.add(key_value.key)
                self._apply(key_value.key, bytes(key_value.value), key_value.mod_revision)
            if not page.more or not page.key_values:
                break
            after = page.key_values[-1].key
        for name in [name for name in self.machines if MACHINE_SHARDS_PREFIX + name not in seen_keys]:
            del self.machines[name]
        self._revision = first_revision
        self.loaded = True
        self.on_change()

    async def _follow_changes(self) -> bool:
        """Wait for the next changes and apply them; return False if the replica has to be loaded again."""
        response = await self._store.watch(SHARING_PREFIX, self._revision, self._watch_timeout_s)
        if response is None:
            return False
        for event in response.events:
            change = wire.convert(event, WatchEvent)
            if change.put is not None:
                self._apply(change.put, wire.encode(change.v), change.entry)
            elif change.remove is not None:
                self.machines.pop(change.remove[len(MACHINE_SHARDS_PREFIX) :], None)
        self._revision = max(self._revision, response.revision)
        if response.events:
            self.on_change()
        return True

    def _apply(self, key: str, value: bytes, mod_revision: int) -> None:
        """Apply a stored key, unless the replica has a later mod revision of it."""
        if key == ASSIGNMENT_KEY:
            if mod_revision >= self.assignment_mod_revision:
                self.apply_assignment(value, mod_revision)
        elif key.startswith(MACHINE_SHARDS_PREFIX):
            self.machines[key[len(MACHINE_SHARDS_PREFIX) :]] = wire.decode(value, int)
        elif key.startswith(ALLOCATIONS_PREFIX):
            team = key[len(ALLOCATIONS_PREFIX) :]
            if mod_revision >= self.allocation_mod_revisions.get(team, 0):
                self.allocations[team] = wire.decode(value, QuotaAllocation)
                self.allocation_mod_revisions[team] = mod_revision

    def apply_assignment(self, value: bytes, mod_revision: int) -> None:
        """Apply a stored assignment; if it is invalid, log that and keep the previous one in force."""
        self.assignment_mod_revision = mod_revision
        try:
            self.assignment = decode_assignment(value, self._labels)
            self.refusal = None
        except AssignmentError as error:
            if self.refusal != str(error):
                log.error("stored shard assignment rejected: %s", error)
            self.refusal = str(error)

    async def refresh(self) -> None:
        """Read assignment and allocations from the store now, for callers that must not act on outdated ones."""
        for prefix in (ASSIGNMENT_KEY, ALLOCATIONS_PREFIX):
            for key_value in (await self._store.list_page(prefix, None, PAGE_SIZE)).key_values:
                self._apply(key_value.key, bytes(key_value.value), key_value.mod_revision)
