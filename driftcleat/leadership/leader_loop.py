"""Holding leadership: keeping the lease alive, being confirmed by peers without the store, stepping down."""

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

# Times as parts of the leader lease: how long a keep-alive may take, the pause after one that failed, and the
# remaining time of the lease below which a leader whose keep-alive failed decides nothing more.
KEEP_ALIVE_TIMEOUT = 0.5
KEEP_ALIVE_RETRY_PAUSE = 0.1
UNCONFIRMED_BELOW = 0.4


class LeaderLoop:
    """Holds leadership, in the roles recovering, leader and unconfirmed leader."""

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
        # How long we do not campaign after we stepped down in favour of another controller: a worker lease.
        self._back_off_s = platform.lease_s
        self._keep_alive_pause_s = state.ttl_s * tuning.keep_alive_pause_ttls
        self._step_down_reason: str | None = None
        # Set to end the pause between two keep-alives.
        self._wake = asyncio.Event()

    def begin_term(self) -> None:
        """The leader key is won: nothing that concerned an earlier term counts any more."""
        self._step_down_reason = None
        self._state.peers_confirmed_at = float("-inf")

    # -- the loop -----------------------------------------------------------------------------------------

    async def step(self) -> None:
        """Keep the lease alive once, then pause until the next time, or until asked to step down."""
        if self._step_down_reason is not None:
            await self._resign(self._step_down_reason)
            return
        pause_s = await self._renew()
        if pause_s is None:
            return
        if self._state.role is Role.UNCONFIRMED_LEADER:
            await self._confirm_with_peers()
        try:
            self._wake.clear()
            await asyncio.wait_for(self._wake.wait(), pause_s)
        except TimeoutError:
            pass

    async def _renew(self) -> float | None:
        """Keep the lease alive; return the pause until the next time in seconds, None if the lease has expired."""
        state = self._state
        try:
            await self.keep_alive()
        except LeaseNotFoundError:
            self.step_down("lease expired")
            return None
        except StoreError as error:
            log.debug("term %d: lease keep-alive failed: %s", state.fencing_token, error)
            if state.role is Role.LEADER and state.lease.remaining_s(state.clock()) < state.ttl_s * UNCONFIRMED_BELOW:
                state.transition(Role.UNCONFIRMED_LEADER)
            return state.ttl_s * KEEP_ALIVE_RETRY_PAUSE
        if state.role is Role.UNCONFIRMED_LEADER:
            state.transition(Role.LEADER)
        return self._keep_alive_pause_s

    async def _confirm_with_peers(self) -> None:
        """The store does not serve us: go on until another controller leads.

        While every controller confirms that nobody leads after us, workers' leases are kept for as long as that
        lasts. Guards against an outage of a minute that cost all running work, seen on the bench: the leader stepped
        down after two worker leases. But a peer may have led after us before the store refused it too, and have
        confirmed cancellations: a peer that knows a higher token ends our term at once, and a peer that does not
        answer, or was started since and has not read the leader key, confirms nothing. That the store serves a peer
        is no reason yet to step down: it cannot lead before our lease has expired, and if an outage comes first,
        nobody would keep the leases.
        """
        state = self._state
        asked_at = state.clock()
        survey = await self._callbacks.ask_peers()
        if survey.highest_fencing_token > state.fencing_token:
            state.back_off_until = state.clock() + self._back_off_s
            self.step_down(f"a controller has seen term {survey.highest_fencing_token}")
            state.observe_leader(survey.leader, survey.highest_fencing_token)
            return
        if survey.all_have_read_leader_key:
            state.peers_confirmed_at = asked_at
        if not state.may_answer_heartbeats:
            # If the store serves another controller, a new leader has shown our workers its token by now, unless all
            # of us here are partitioned from it.
            self.step_down("unconfirmed for too long")

    # -- the lease ----------------------------------------------------------------------------------------

    async def keep_alive(self) -> None:
        """Keep the lease alive. Raises `LeaseNotFoundError` if it has expired, else `StoreError` on failure."""
        lease = self._state.lease.lease_id
        if lease is None:
            raise LeaseNotFoundError(f"controller {self._state.label} holds no lease")
        sent_at = self._state.clock()
        await self._store.keep_lease_alive(lease, self._state.ttl_s * KEEP_ALIVE_TIMEOUT)
        self._state.lease.record_keep_alive(sent_at)

    @contextmanager
    def keeping_alive(self) -> Iterator[None]:
        """Keep the lease alive in the background, for a recovery that takes longer than the lease."""
        renewal = asyncio.ensure_future(self._keep_alive_for_ever())
        try:
            yield
        finally:
            renewal.cancel()

    async def _keep_alive_for_ever(self) -> None:
        while True:
            await asyncio.sleep(self._keep_alive_pause_s)
            try:
                await self.keep_alive()
            except StoreError as error:
                log.debug("term %d: lease keep-alive failed: %s", self._state.fencing_token, error)

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease, so that nobody waits for it to expire; a failure is only logged."""
        try:
            await self._store.revoke_lease(lease)
        except StoreError as error:
            log.debug("lease %d: not revoked: %s", lease, error)

    # -- stepping down ------------------------------------------------------------------------------------

    def request_step_down(self, why: str) -> None:
        """Step down as soon as possible, if this controller leads."""
        if self._state.is_leader:
            self._step_down_reason = why
            self._wake.set()

    async def _resign(self, why: str) -> None:
        """Step down and have another controller lead: it need not wait for the lease, and we back off."""
        state = self._state
        lease = state.lease.lease_id
        state.back_off_until = state.clock() + self._back_off_s
        self.step_down(why)
        if lease is not None:
            await self.revoke_lease(lease)

    def step_down(self, why: str) -> None:
        """Become a follower from any role, at once; the lease is left to the caller."""
        state = self._state
        if state.role is Role.FOLLOWER:
            return
        was_leader = state.is_leader
        if was_leader:
            log.info("term %d: stepping down: %s", state.fencing_token, why)
        else:
            log.info("term %d: %s ends: %s", state.leader_fencing_token, state.role.log_name, why)
        # What was confirmed so far counts, should we be partitioned next.
        state.leader_contact_at = state.last_confirmed_at
        state.transition(Role.FOLLOWER)
        # Leases that we kept as a leader are not kept on in a partition: the bound is used up, or another leads.
        state.superseded = True
        state.lease.clear()
        if state.leader == state.label:
            state.leader = None
        self._step_down_reason = None
        if was_leader:
            self._callbacks.on_step_down()
