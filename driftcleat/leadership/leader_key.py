"""Reads and watches the leader key, which names the current leader."""

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

# At startup: attempts to revoke the lease of the previous incarnation, and the pause between two of them, in TTLs of
# the leader lease.
MAX_REVOKE_ATTEMPTS = 3
REVOKE_RETRY_PAUSE_TTLS = 0.1


class LeaderRecord(msgspec.Struct, array_like=True):
    """The leader key's value: the controller that holds it, and the incarnation of that controller."""

    controller_id: str
    incarnation: str


class LeaderKey:
    """Reads the leader key from the store, and records the leader in the leadership state."""

    def __init__(self, state: LeadershipState, store: StoreClient) -> None:
        self._state = state
        self._store = store
        # The store's revision at the last read; the watch starts from it.
        self._revision = 0

    async def read(self) -> messages.KeyValue | None:
        """Return the leader key; None if there is no leader."""
        # The timeout is one TTL, so that a read that hangs ends before the workers' leases expire.
        page = await self._store.list_page(LEADER_KEY, None, 1, self._state.ttl_s)
        self._revision = page.revision
        return page.key_values[0] if page.key_values else None

    async def wait_for_change(self) -> None:
        """Wait until the leader key changes after the last read, for at most one TTL of the leader lease."""
        response = await self._store.watch(LEADER_KEY, self._revision, self._state.ttl_s)
        if response is not None and response.events:
            log.debug("term %d: leader key changed", self._state.leader_fencing_token)

    def record(self, key_value: messages.KeyValue) -> None:
        """Record the leader and the fencing token from a leader key that was read."""
        state = self._state
        label = _decode(key_value).controller_id
        if label != state.leader:
            log.info("term %d: leader is controller %s", key_value.mod_revision, label)
        state.leader = label
        state.leader_fencing_token = key_value.mod_revision
        state.has_read_leader_key = True

    async def revoke_if_ours(self, key_value: messages.KeyValue) -> bool:
        """Revoke the lease of a leader key that a previous incarnation of this controller created.

        To be called only while this incarnation does not lead. Return whether the key belonged to this controller.
        """
        if key_value.lease_id is None or _decode(key_value).controller_id != self._state.label:
            return False
        log.info("lease %d: revoking: held by a previous incarnation of this controller", key_value.lease_id)
        await self._store.revoke_lease(key_value.lease_id)
        return True

    async def revoke_previous_incarnation(self) -> None:
        """Revoke a leader lease held before a restart, so that the next leader need not wait for its expiry."""
        for _ in range(MAX_REVOKE_ATTEMPTS):
            try:
                key_value = await self._store.get(LEADER_KEY)
                if key_value is not None:
                    await self.revoke_if_ours(key_value)
            except (StoreError, wire.WireError) as error:
                log.debug("controller %s: lease of a previous incarnation not revoked: %s", self._state.label, error)
                await asyncio.sleep(self._state.ttl_s * REVOKE_RETRY_PAUSE_TTLS)
            else:
                return


def _decode(key_value: messages.KeyValue) -> LeaderRecord:
    return wire.decode(bytes(key_value.value), LeaderRecord)
