"""A campaign: one try to become the leader, from the grant of a lease to the end of recovery."""

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
    """Puts the leader key, attached to a lease of ours, if nobody else holds it."""

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
        """Campaign once: afterwards this controller is the leader, or a follower again.

        Raises `StoreError` in the role campaigning or recovering if the store fails in between: the caller has to
        step down and revoke the lease.
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
        """Return the transaction that makes this controller the leader, if nobody is."""
        value = LeaderRecord(self._state.label, self._incarnation)
        return messages.Transaction([messages.Compare(LEADER_KEY, 0)], [messages.Put(LEADER_KEY, value, lease)])

    async def _put_leader_key(self, lease: int) -> int | None:
        """Return the revision of our put, which is the fencing token; None if the campaign is lost."""
        try:
            return await self._store.commit(self.transaction(lease))
        except CompareFailedError:
            await self._lose(lease, "another controller holds the leader key")
            return None
        except StoreError:
            # The outcome is unknown: the leader key tells.
            key_value = await self._store.get(LEADER_KEY)
            if key_value is None or key_value.lease_id != lease:
                await self._lose(lease, "the leader key was not put")
                return None
            return key_value.mod_revision

    async def _lose(self, lease: int, why: str) -> None:
        self._leader_loop.step_down(why)
        await self._leader_loop.revoke_lease(lease)

    def _begin_term(self, token: int) -> None:
        state = self._state
        state.fencing_token = token
        state.leader_fencing_token = token
        state.leader = state.label
        state.has_read_leader_key = True
        self._leader_loop.begin_term()
        state.transition(Role.RECOVERING)
