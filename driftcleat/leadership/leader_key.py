"""Reading and watching the leader key, which says who leads."""

import asyncio
import logging

import msgspec

from driftcleat import wire
from driftcleat.leadership.permissions import LeadershipState
from driftcleat.store.client import StoreClient
from driftcleat.store.errors import StoreError
from driftcleat.store.keys import LEADER_KEY
from driftcleat.wire import state as messages

log = logging.getLogger(__name__)

# Attempts to revoke the lease of a previous incarnation at the start, and the pause between two of them as a part of
# the leader lease.
REVOKE_ATTEMPTS = 3
REVOKE_RETRY_PAUSE = 0.1


class LeaderRecord(msgspec.Struct, array_like=True):
    """The leader key's value: the controller that holds it, and the incarnation of that controller."""

    controller_id: str
    incarnation: str


class LeaderKey:
    """The leader key as the store shows it; what is read goes into the leadership state."""

    def __init__(self, state: LeadershipState, store: StoreClient) -> None:
        self._state = state
        self._store = store
        # The store's revision as of the last read, from which the watch starts.
        self._revision = 0

    async def read(self) -> messages.KeyValue | None:
        """Return the leader key; None if nobody leads."""
        # A read that hangs must not outlast the workers' leases.
        page = await self._store.list_page(LEADER_KEY, None, 1, self._state.ttl_s)
        self._revision = page.revision
        return page.key_values[0] if page.key_values else None

    async def wait_for_change(self) -> None:
        """Wait until the leader key changes after the last read, for the time of a leader lease at most."""
        answer = await self._store.watch(LEADER_KEY, self._revision, self._state.ttl_s)
        if answer is not None and answer.events:
            log.debug("term %d: leader key changed", self._state.leader_fencing_token)

    def record(self, key_value: messages.KeyValue) -> None:
        """Note who leads by a leader key that was read."""
        state = self._state
        label = _decode(key_value).controller_id
        if label != state.leader:
            log.info("term %d: leader is controller %s", key_value.mod_revision, label)
        state.leader = label
        state.leader_fencing_token = key_value.mod_revision
        state.has_read_leader_key = True

    async def revoke_if_ours(self, key_value: messages.KeyValue) -> bool:
        """Revoke the lease of a leader key that a previous incarnation of this controller has put.

        To be called while this incarnation does not lead. Return whether the key was such a one.
        """
        if key_value.lease_id is None or _decode(key_value).controller_id != self._state.label:
            return False
        log.info("lease %d: revoking: held by a previous incarnation of this controller", key_value.lease_id)
        await self._store.revoke_lease(key_value.lease_id)
        return True

    async def revoke_previous_incarnation(self) -> None:
        """Revoke the lease of a leader that was restarted, so that nobody waits for it to expire."""
        for _ in range(REVOKE_ATTEMPTS):
            try:
                key_value = await self._store.get(LEADER_KEY)
                if key_value is not None:
                    await self.revoke_if_ours(key_value)
            except (StoreError, wire.WireError) as error:
                log.debug("controller %s: lease of a previous incarnation: %s", self._state.label, error)
                await asyncio.sleep(self._state.ttl_s * REVOKE_RETRY_PAUSE)
            else:
                return


def _decode(key_value: messages.KeyValue) -> LeaderRecord:
    return wire.decode(bytes(key_value.value), LeaderRecord)
