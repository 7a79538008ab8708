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
from driftcleat.sharing.assignment import Assignment, AssignmentError, read_assignment
from driftcleat.sharing.keys import ALLOTMENTS, ASSIGNMENT, FIRST_SHARE, MACHINES, SHARING
from driftcleat.sharing.quota import Allotment
from driftcleat.store.client import StoreClient
from driftcleat.store.errors import StoreError

log = logging.getLogger(__name__)

PAGE = 500


class Change(msgspec.Struct, frozen=True):
    """One change in the answer to a watch."""

    entry: int
    put: str | None = None
    remove: str | None = None
    v: Any = None


class SharingView:
    """The replica."""

    def __init__(self, store: StoreClient, labels: Collection[str], wait_s: float) -> None:
        self._store, self._labels, self._wait_s = store, labels, wait_s
        self._revision = 0
        # Whether the whole was read since the start of this process.
        self.loaded = False
        self.assignment: Assignment | None = None
        self.assignment_version = 0
        # Why the stored assignment cannot be acted on.
        self.refusal: str | None = None
        self.machines: dict[str, int] = {}
        self.allotments: dict[str, Allotment] = {}
        self.allotment_versions: dict[str, int] = {}
        self.on_change: Callable[[], None] = lambda: None

    def share_of(self, machine: str) -> int | None:
        """Return the share that has a machine, None if that is not known (yet)."""
        known = self.machines.get(machine)
        if known is not None:
            return known
        if self.assignment is None:
            # Without an assignment there is one share, unless we have not read whether there is one.
            return FIRST_SHARE if self.loaded else None
        return FIRST_SHARE if machine <= self.assignment.first_share_until else None

    async def run(self) -> None:
        """Keep the replica for ever."""
        while True:
            try:
                await self._load()
                while await self._follow():
                    pass
            except (StoreError, wire.WireError) as error:
                log.debug("sharing: %s", error)
                await asyncio.sleep(self._wait_s / 10)

    async def _load(self) -> None:
        """Read everything. What changes meanwhile comes again with the watch, which goes on from the first page."""
        before: int | None = None
        seen: set[str] = set()
        after: str | None = None
        while True:
            page = await self._store.list_page(SHARING, after, PAGE)
            before = page.revision if before is None else before
            for key_value in page.key_values:
                seen.add(key_value.key)
                self._take(key_value.key, bytes(key_value.value), key_value.mod_revision)
            if not page.more or not page.key_values:
                break
            after = page.key_values[-1].key
        for name in [name for name in self.machines if MACHINES + name not in seen]:
            del self.machines[name]
        self._revision = before
        self.loaded = True
        self.on_change()

    async def _follow(self) -> bool:
        """Take in what changes next; False if everything has to be read again."""
        answer = await self._store.watch(SHARING, self._revision, self._wait_s)
        if answer is None:
            return False
        for event in answer.events:
            change = wire.convert(event, Change)
            if change.put is not None:
                self._take(change.put, wire.encode(change.v), change.entry)
            elif change.remove is not None:
                self.machines.pop(change.remove[len(MACHINES) :], None)
        self._revision = max(self._revision, answer.revision)
        if answer.events:
            self.on_change()
        return True

    def _take(self, key: str, value: bytes, version: int) -> None:
        """Take in a key as it is stored; an older version than the one known changes nothing."""
        if key == ASSIGNMENT:
            if version >= self.assignment_version:
                self.take_assignment(value, version)
        elif key.startswith(MACHINES):
            self.machines[key[len(MACHINES) :]] = wire.decode(value, int)
        elif key.startswith(ALLOTMENTS):
            team = key[len(ALLOTMENTS) :]
            if version >= self.allotment_versions.get(team, 0):
                self.allotments[team] = wire.decode(value, Allotment)
                self.allotment_versions[team] = version

    def take_assignment(self, value: bytes, version: int) -> None:
        """Take in the assignment; one that cannot be acted on leaves the one before in force, and is said."""
        self.assignment_version = version
        try:
            self.assignment = read_assignment(value, self._labels)
            self.refusal = None
        except AssignmentError as error:
            if self.refusal != str(error):
                log.error("the assignment of shares is refused: %s", error)
            self.refusal = str(error)

    async def refresh(self) -> None:
        """Read assignment and allotments once more: for who must not act on what was true a moment ago."""
        for prefix in (ASSIGNMENT, ALLOTMENTS):
            for key_value in (await self._store.list_page(prefix, None, PAGE)).key_values:
                self._take(key_value.key, bytes(key_value.value), key_value.mod_revision)
