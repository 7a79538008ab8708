"""The follower's loop: watches the leader key, campaigns if there is no leader, detects a partition."""

import asyncio
import random

from driftcleat.leadership.callbacks import ElectionCallbacks
from driftcleat.leadership.campaign import Campaign
from driftcleat.leadership.leader_key import LeaderKey
from driftcleat.leadership.permissions import LeadershipState
from driftcleat.leadership.role import Role

# In TTLs of the leader lease: the longest sleep while this controller backs off from campaigning, and the longest
# random delay before a campaign, which keeps followers from campaigning at the same moment.
MAX_BACK_OFF_PAUSE_TTLS = 0.25
MAX_CAMPAIGN_JITTER_TTLS = 0.02


class FollowerLoop:
    """Follows the leader in the roles follower and partitioned, and campaigns if there is no leader."""

    def __init__(
        self,
        state: LeadershipState,
        leader_key: LeaderKey,
        campaign: Campaign,
        callbacks: ElectionCallbacks,
        rng: random.Random,
    ) -> None:
        self._state = state
        self._leader_key = leader_key
        self._campaign = campaign
        self._callbacks = callbacks
        self._rng = rng

    async def step(self) -> None:
        """Read the leader key; if there is a leader, wait for the key to change, else campaign.

        Raises `StoreError` if a request to the store fails; the caller should then call `check_partition`.
        """
        key_value = await self._leader_key.read()
        if self._state.role is Role.PARTITIONED:
            self._state.transition(Role.FOLLOWER)
        if key_value is None:
            self._state.leader = None
            await self._campaign_unless_backing_off()
            return
        self._leader_key.record(key_value)
        # A put by the previous incarnation of this controller may be carried out after the check at startup. Without
        # this second check, this controller would follow itself until the lease expires.
        if await self._leader_key.revoke_if_ours(key_value):
            return
        self._state.record_leader_contact(await self._callbacks.query_leader())
        await self.wait_for_change()

    async def wait_for_change(self) -> None:
        """Wait until the leader key changes, for at most one TTL of the leader lease."""
        await self._leader_key.wait_for_change()

    async def _campaign_unless_backing_off(self) -> None:
        state = self._state
        now = state.clock()
        if now < state.back_off_until:
            await asyncio.sleep(min(state.ttl_s * MAX_BACK_OFF_PAUSE_TTLS, state.back_off_until - now))
            return
        await asyncio.sleep(self._rng.uniform(0.0, MAX_CAMPAIGN_JITTER_TTLS) * state.ttl_s)
        await self._campaign.run()

    async def check_partition(self) -> None:
        """Query the other controllers after a request to the store has failed, and adapt the role.

        If no other controller reaches the store either, become partitioned: keep the leases of the workers that send
        heartbeats here.
        """
        state = self._state
        survey = await self._callbacks.query_peers()
        state.observe_leader(survey.leader, survey.highest_fencing_token)
        state.record_leader_contact(survey)
        if survey.peer_reaches_store:
            if state.role is Role.PARTITIONED:
                state.transition(Role.FOLLOWER)
        elif state.may_become_partitioned:
            state.transition(Role.PARTITIONED)
        elif state.role is Role.PARTITIONED and state.lease_keeping_token is None:
            state.transition(Role.FOLLOWER)
