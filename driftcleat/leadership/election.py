"""The election: the entry point of this package, and the loop that runs the steps of the current role."""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable

from driftcleat.leadership.callbacks import ElectionCallbacks
from driftcleat.leadership.campaign import Campaign
from driftcleat.leadership.follower_loop import FollowerLoop
from driftcleat.leadership.leader_key import LeaderKey
from driftcleat.leadership.leader_loop import LeaderLoop
from driftcleat.leadership.peer_survey import PeerSurvey
from driftcleat.leadership.permissions import LeadershipState
from driftcleat.leadership.role import Role
from driftcleat.settings import Platform, Tuning
from driftcleat.store.client import StoreClient
from driftcleat.store.errors import StoreError

log = logging.getLogger(__name__)

# In TTLs of the leader lease: the bounds of the random pause after a failed request to the store, and the pause after
# an unexpected error.
MIN_STORE_ERROR_PAUSE_TTLS = 0.05
MAX_STORE_ERROR_PAUSE_TTLS = 0.12
UNEXPECTED_ERROR_PAUSE_TTLS = 0.2


class Election(LeadershipState):
    """Campaigns for leadership, holds it once it is won, and follows the leader otherwise.

    A subclass of the leadership state, so that the permission checks of each heartbeat cost a single call. The parts
    that change the state are created by the `make_...` methods, which a subclass with other rules may override.
    """

    def __init__(
        self,
        platform: Platform,
        tuning: Tuning,
        store: StoreClient,
        rng: random.Random,
        clock: Callable[[], float],
        recover: Callable[[int], Awaitable[None]],
        on_step_down: Callable[[], None],
        query_peers: Callable[[], Awaitable[PeerSurvey]],
        query_leader: Callable[[], Awaitable[PeerSurvey]],
    ) -> None:
        super().__init__(platform, tuning, clock)
        self.callbacks = ElectionCallbacks(recover, on_step_down, query_peers, query_leader)
        self.leader_key = LeaderKey(self, store)
        self.leader_loop = self.make_leader_loop(store, platform, tuning)
        self.campaign = self.make_campaign(store, f"{rng.getrandbits(64):016x}")
        self.follower_loop = self.make_follower_loop(rng)
        self._rng = rng

    def make_leader_loop(self, store: StoreClient, platform: Platform, tuning: Tuning) -> LeaderLoop:
        """Return the loop that holds leadership."""
        return LeaderLoop(self, store, self.callbacks, platform, tuning)

    def make_campaign(self, store: StoreClient, incarnation: str) -> Campaign:
        """Return the campaign for the leader key."""
        return Campaign(self, store, self.leader_loop, self.callbacks, incarnation)

    def make_follower_loop(self, rng: random.Random) -> FollowerLoop:
        """Return the loop that follows the leader."""
        return FollowerLoop(self, self.leader_key, self.campaign, self.callbacks, rng)

    def request_step_down(self, reason: str) -> None:
        """Step down as soon as possible, if this controller leads."""
        self.leader_loop.request_step_down(reason)

    async def run(self) -> None:
        """Run the election forever; after an error of the store or an unexpected one, log it, pause and go on."""
        await self.leader_key.revoke_previous_incarnation()
        while True:
            try:
                await self._step()
            except StoreError as error:
                log.debug("term %d: election: store request failed: %s", self.leader_fencing_token, error)
                await self._handle_store_error(error)
                await asyncio.sleep(
                    self.ttl_s * self._rng.uniform(MIN_STORE_ERROR_PAUSE_TTLS, MAX_STORE_ERROR_PAUSE_TTLS)
                )
            except Exception:
                log.exception("term %d: election: unexpected error", self.leader_fencing_token)
                self.leader_loop.step_down("unexpected error")
                await asyncio.sleep(self.ttl_s * UNEXPECTED_ERROR_PAUSE_TTLS)

    async def _step(self) -> None:
        if self.role in (Role.FOLLOWER, Role.PARTITIONED):
            await self.follower_loop.step()
        elif self.role in (Role.LEADER, Role.UNCONFIRMED_LEADER):
            await self.leader_loop.step()
        else:
            # An earlier run of this loop was interrupted within a campaign.
            self.leader_loop.step_down(f"{self.role.log_name} was interrupted")

    async def _handle_store_error(self, error: StoreError) -> None:
        """Abandon a campaign whose request failed; as a follower, check whether this controller is partitioned."""
        if self.role in (Role.CAMPAIGNING, Role.RECOVERING):
            lease = self.lease.lease_id
            self.leader_loop.step_down(str(error))
            if lease is not None:
                await self.leader_loop.revoke_lease(lease)
        elif self.role in (Role.FOLLOWER, Role.PARTITIONED):
            await self.follower_loop.check_partition()
