"""A campaign: one attempt to become the leader, from the grant of a lease to the end of recovery."""

from driftcleat.leadership.callbacks import ElectionCallbacks
from driftcleat.leadership.leader_key import LeaderRecord
from driftcleat.leadership.leader_loop import LeaderLoop
from driftcleat.leadership.permissions import LeadershipState
from driftcleat.leadership.role import Role
from driftcleat.store.client import StoreClient
from driftcleat.store.errors import CompareFailedError, StoreError
from driftcleat.store.keys import LEADER_KEY
from driftcleat.wire import state as messages


class Campaign:
    """Creates the leader key, attached to a lease of this controller, unless another controller holds the key."""

    def __init__(
        self,
        state: LeadershipState,
        store: StoreClient,
        leader_loop: LeaderLoop,
        callbacks: ElectionCallbacks,
        incarnation: str,
    ) -> None:
        self._state = state
        self._store = store
        self._leader_loop = leader_loop
        self._callbacks = callbacks
        self._incarnation = incarnation

    async def run(self) -> None:
        """Campaign once; afterwards this controller is either the leader or a follower again.

        Raises `StoreError` if a request to the store fails. The role is then still campaigning or recovering, and the
        caller must step down and revoke the lease.
        """
        state = self._state
        state.transition(Role.CAMPAIGNING)
        sent_at = state.clock()
        lease = await self._store.grant_lease(state.ttl_s)
        state.lease.record_grant(lease, sent_at)
        token = await self._put_leader_key(lease)
        if token is None:
            return
        self._begin_term(token)
        with self._leader_loop.keeping_alive():
            await self._callbacks.recover(token)
        if not state.lease.is_valid(state.clock()):
            self._leader_loop.step_down("lease expired during recovery")
            return
        state.transition(Role.LEADER)

    def transaction(self, lease: int) -> messages.Transaction:
        """Return the transaction that creates the leader key; its compare fails if the key exists."""
        value = LeaderRecord(self._state.label, self._incarnation)
        return messages.Transaction([messages.Compare(LEADER_KEY, 0)], [messages.Put(LEADER_KEY, value, lease)])

    async def _put_leader_key(self, lease: int) -> int | None:
        """Return the mod revision of the new leader key, which is the fencing token; None if the campaign is lost."""
        try:
            return await self._store.commit(self.transaction(lease))
        except CompareFailedError:
            await self._abandon(lease, "another controller holds the leader key")
            return None
        except StoreError:
            # The put may have been carried out: read the key, and check whether it is attached to this lease.
            key_value = await self._store.get(LEADER_KEY)
            if key_value is None or key_value.lease_id != lease:
                await self._abandon(lease, "the leader key was not created")
                return None
            return key_value.mod_revision

    async def _abandon(self, lease: int, reason: str) -> None:
        self._leader_loop.step_down(reason)
        await self._leader_loop.revoke_lease(lease)

    def _begin_term(self, token: int) -> None:
        state = self._state
        state.fencing_token = token
        state.leader_fencing_token = token
        state.leader = state.label
        state.has_read_leader_key = True
        self._leader_loop.begin_term()
        if not state.has_leader_contact:
            # A new process may keep the leases of workers from its first recovery on, bounded like any other.
            state.leader_contact_at = state.clock()
        state.transition(Role.RECOVERING)
