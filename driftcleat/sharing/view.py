"""A replica of what all shares have in common: the assignment, the machines' shares, the teams' allotments.

Read as a whole, then kept up to date by a watch. It may be late, never wrong: the assignment and allotments are only
changed on condition of their versions, and a machine's share never changes.
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
    """One change in the answer to a watch."""

    entry: int
    put: str | None = None
    remove: str | None = None
    v: Any = None


class SharingView:
    """The replica."""

    def __init__(self, store: StoreClient, labels: Collection[str], watch_timeout_s: float) -> None:
        self._store, self._labels, self._watch_timeout_s = store, labels, watch_timeout_s
        self._revision = 0
        # Whether the whole was read since the start of this process.
        self.loaded = False
        self.assignment: ShardAssignment | None = None
        self.assignment_mod_revision = 0
        # Why the stored assignment cannot be acted on.
        self.refusal: str | None = None
        self.machines: dict[str, int] = {}
        self.allocations: dict[str, QuotaAllocation] = {}
        self.allocation_mod_revisions: dict[str, int] = {}
        self.on_change: Callable[[], None] = lambda: None

    def shard_of(self, machine: str) -> int | None:
        """Return the share that has a machine, None if that is not known (yet)."""
        known_shard = self.machines.get(machine)
        if known_shard is not None:
            return known_shard
        if self.assignment is None:
            # Without an assignment there is one share, unless we have not read whether there is one.
            return FIRST_SHARD if self.loaded else None
        return FIRST_SHARD if machine <= self.assignment.first_shard_last_machine else None

    async def run(self) -> None:
        """Keep the replica for ever."""
        while True:
            try:
                await self._load()
                while await self._follow_changes():
                    pass
            except (StoreError, wire.WireError) as error:
                log.debug("sharing: %s", error)
                await asyncio.sleep(self._watch_timeout_s / 10)

    async def _load(self) -> None:
        """Read everything. What changes meanwhile comes again with the watch, which goes on from the first page."""
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
        """Take in what changes next; False if everything has to be read again."""
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
        """Take in a key as it is stored; an older version than the one known changes nothing."""
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
        """Take in the assignment; one that cannot be acted on leaves the one before in force, and is said."""
        self.assignment_mod_revision = mod_revision
        try:
            self.assignment = decode_assignment(value, self._labels)
            self.refusal = None
        except AssignmentError as error:
            if self.refusal != str(error):
                log.error("the assignment of shares is refused: %s", error)
            self.refusal = str(error)

    async def refresh(self) -> None:
        """Read assignment and allotments once more: for who must not act on what was true a moment ago."""
        for prefix in (ASSIGNMENT_KEY, ALLOCATIONS_PREFIX):
            for key_value in (await self._store.list_page(prefix, None, PAGE_SIZE)).key_values:
                self._apply(key_value.key, bytes(key_value.value), key_value.mod_revision)
