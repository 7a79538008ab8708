"""The leader's loop: keeps the lease alive, queries peers for confirmation if the store fails, steps down."""

import asyncio
import logging
from collections.abc import Iterator
from contextlib import contextmanager

from driftcleat.leadership.callbacks import ElectionCallbacks
from driftcleat.leadership.permissions import LeadershipState
from driftcleat.leadership.role import Role
from driftcleat.settings import Platform, Tuning
from driftcleat.store.client import StoreClient
from driftcleat.store.errors import LeaseNotFoundError, StoreError

log = logging.getLogger(__name__)

# In TTLs of the leader lease: the timeout of a keep-alive request, the pause after one that failed, and the remaining
# validity below which a leader becomes unconfirmed if a keep-alive fails.
KEEP_ALIVE_TIMEOUT_TTLS = 0.5
KEEP_ALIVE_RETRY_PAUSE_TTLS = 0.1
UNCONFIRMED_BELOW_TTLS = 0.4


class LeaderLoop:
    """Holds leadership in the roles recovering, leader and unconfirmed leader."""

    def __init__(
        self,
        state: LeadershipState,
        store: StoreClient,
        callbacks: ElectionCallbacks,
        platform: Platform,
        tuning: Tuning,
    ) -> None:
        self._state = state
        self._store = store
        self._callbacks = callbacks
        # How long this controller does not campaign after it stepped down in favour of another one: a worker lease.
        self._back_off_s = platform.lease_s
        self._keep_alive_pause_s = state.ttl_s * tuning.keep_alive_pause_ttls
        self._step_down_reason: str | None = None
        # Set to end the pause between two keep-alive requests early.
        self._wake = asyncio.Event()

    def begin_term(self) -> None:
        """Reset the state of the previous term; to be called once this controller has created the leader key."""
        self._step_down_reason = None
        self._state.peers_confirmed_at = float("-inf")

    async def step(self) -> None:
        """Keep the lease alive once, then pause until the next keep-alive or until a step-down is requested."""
        if self._step_down_reason is not None:
            await self._resign(self._step_down_reason)
            return
        pause_s = await self._keep_alive_or_step_down()
        if pause_s is None:
            return
        if self._state.role is Role.UNCONFIRMED_LEADER:
            await self._confirm_with_peers()
        try:
            self._wake.clear()
            await asyncio.wait_for(self._wake.wait(), pause_s)
        except TimeoutError:
            pass

    async def _keep_alive_or_step_down(self) -> float | None:
        """Keep the lease alive; return the seconds until the next keep-alive, None if the lease has expired."""
        state = self._state
        try:
            await self.keep_alive()
        except LeaseNotFoundError:
            self.step_down("lease expired")
            return None
        except StoreError as error:
            log.debug("term %d: lease keep-alive failed: %s", state.fencing_token, error)
            if (
                state.role is Role.LEADER
                and state.lease.remaining_s(state.clock()) < state.ttl_s * UNCONFIRMED_BELOW_TTLS
            ):
                state.transition(Role.UNCONFIRMED_LEADER)
            return state.ttl_s * KEEP_ALIVE_RETRY_PAUSE_TTLS
        if state.role is Role.UNCONFIRMED_LEADER:
            state.transition(Role.LEADER)
        return self._keep_alive_pause_s

    async def _confirm_with_peers(self) -> None:
        """Without the store, remain an unconfirmed leader until another controller leads or the bound is reached.

        Workers' leases are kept for as long as all peers confirm that there is no later leader. A leader that
        stepped down after two worker leases would lose all running work in a store outage of one minute.

        A peer may have led later, and confirmed cancellations, before it lost the store too. So a peer that knows a
        higher fencing token ends this term at once. A peer that does not respond, or has restarted and not yet read
        the leader key, confirms nothing. A peer that still reaches the store is no reason to step down: it cannot
        lead before this lease has expired, and if it lost the store before that, no controller would keep the leases.
        """
        state = self._state
        sent_at = state.clock()
        survey = await self._callbacks.query_peers()
        if survey.highest_fencing_token > state.fencing_token:
            state.back_off_until = state.clock() + self._back_off_s
            self.step_down(f"a controller has seen term {survey.highest_fencing_token}")
            state.observe_leader(survey.leader, survey.highest_fencing_token)
            return
        if survey.all_have_read_leader_key:
            state.peers_confirmed_at = sent_at
        if not state.may_respond_to_heartbeats:
            # If another controller reaches the store, a new leader has sent its token to the workers by now, unless
            # they and this controller are partitioned from it together.
            self.step_down("unconfirmed for too long")

    async def keep_alive(self) -> None:
        """Keep the lease alive once; `LeaseNotFoundError` if it has expired, `StoreError` if the request fails."""
        lease = self._state.lease.lease_id
        if lease is None:
            raise LeaseNotFoundError(f"controller {self._state.label} holds no lease")
        sent_at = self._state.clock()
        await self._store.keep_lease_alive(lease, self._state.ttl_s * KEEP_ALIVE_TIMEOUT_TTLS)
        self._state.lease.record_keep_alive(sent_at)

    @contextmanager
    def keeping_alive(self) -> Iterator[None]:
        """Keep the lease alive in the background within the context: a recovery may take longer than a TTL."""
        keep_alive_task = asyncio.ensure_future(self._keep_alive_forever())
        try:
            yield
        finally:
            keep_alive_task.cancel()

    async def _keep_alive_forever(self) -> None:
        while True:
            await asyncio.sleep(self._keep_alive_pause_s)
            try:
                await self.keep_alive()
            except StoreError as error:
                log.debug("term %d: lease keep-alive failed: %s", self._state.fencing_token, error)

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease, so that the next leader need not wait for its expiry; a failure is only logged."""
        try:
            await self._store.revoke_lease(lease)
        except StoreError as error:
            log.debug("lease %d: not revoked: %s", lease, error)

    def request_step_down(self, reason: str) -> None:
        """Step down in the next step of the loop, if this controller leads."""
        if self._state.is_leader:
            self._step_down_reason = reason
            self._wake.set()

    async def _resign(self, reason: str) -> None:
        """Step down in favour of another controller: revoke the lease, and back off from campaigning."""
        state = self._state
        lease = state.lease.lease_id
        state.back_off_until = state.clock() + self._back_off_s
        self.step_down(reason)
        if lease is not None:
            await self.revoke_lease(lease)

    def step_down(self, reason: str) -> None:
        """Become a follower at once, from any role; the caller revokes the lease if it has to be revoked."""
        state = self._state
        if state.role is Role.FOLLOWER:
            return
        was_leader = state.is_leader
        if was_leader:
            log.info("term %d: stepping down: %s", state.fencing_token, reason)
        else:
            log.info("term %d: role %s abandoned: %s", state.leader_fencing_token, state.role.log_name, reason)
        # If this controller becomes partitioned next, its bound counts from the last confirmation of its own term.
        state.leader_contact_at = state.last_confirmed_at
        state.transition(Role.FOLLOWER)
        # As a partitioned follower it must not go on to keep these leases: either the bound is used up, or another
        # controller leads.
        state.superseded = True
        state.lease.clear()
        if state.leader == state.label:
            state.leader = None
        self._step_down_reason = None
        if was_leader:
            self._callbacks.on_step_down()
