"""The election of one share: only its assigned controller campaigns, and a share in order is handed over.

A move is one transaction: on condition that the giver's leader key and the assignment are as they were, the key
becomes the receiver's and the assignment says so. Everything before it can be dropped; everything after it is an
ordinary failover.

The giver's lease goes on when its key is replaced, so the lease proves nothing from the moment at which the giver has
let go: it decides nothing any more under that token, whether or not the move comes about. To go on it has to campaign
again, which also makes a late transaction of the receiver fail.
"""

import asyncio
import random
from typing import Any

from driftcleat.leadership import Campaign, Election, FollowerLoop, LeaderLoop, Role
from driftcleat.settings import Platform, Tuning
from driftcleat.sharing.assignment import complete_move
from driftcleat.sharing.keys import ASSIGNMENT_KEY, FIRST_SHARD
from driftcleat.sharing.process_lease import ProcessLease
from driftcleat.sharing.view import SharingView
from driftcleat.store.client import StoreClient
from driftcleat.store.keys import LEADER_KEY
from driftcleat.wire import state as messages

# Times as parts of the leader lease: how long a giver waits for its key to be replaced, how often it looks, and the
# pause of a controller that may not campaign.
HANDOFF_TIMEOUT = 1.0
HANDOFF_POLL_PAUSE = 0.05
INELIGIBLE_PAUSE = 0.1


class ShardCandidacy:
    """Whether this controller may campaign for a share."""

    def __init__(self, shard: int, view: SharingView, label: str) -> None:
        self.shard = shard
        self.view = view
        self._label = label

    @property
    def may_campaign(self) -> bool:
        """Whether this controller may campaign: the first share is anybody's, the others are assigned."""
        if self.shard == FIRST_SHARD:
            return True
        assignment = self.view.assignment
        if assignment is None:
            return False
        move = assignment.move_of(self.shard)
        return assignment.owner(self.shard) == self._label or (move is not None and move.target == self._label)


class ShardCampaign(Campaign):
    """Campaigns for a share that is assigned to this controller, or completes a move to it."""

    def __init__(self, candidacy: ShardCandidacy, *arguments: Any) -> None:
        super().__init__(*arguments)
        self._candidacy = candidacy
        # The mod revision of the giver's leader key that is to be replaced by ours.
        self.replaced_mod_revision: int | None = None

    async def run(self) -> None:
        """As in every election, if this controller may lead the share."""
        if not self._candidacy.may_campaign:
            await asyncio.sleep(self._state.ttl_s * INELIGIBLE_PAUSE)
            return
        try:
            await super().run()
        finally:
            self.replaced_mod_revision = None

    def transaction(self, lease: int) -> messages.Transaction:
        """Return the transaction that makes this controller the share's leader, and completes a move to it."""
        transaction = super().transaction(lease)
        if self.replaced_mod_revision is not None:
            transaction.compares[0] = messages.Compare(LEADER_KEY, self.replaced_mod_revision)
        view, shard = self._candidacy.view, self._candidacy.shard
        assignment = view.assignment
        move = assignment.move_of(shard) if assignment is not None else None
        if assignment is not None and move is not None and move.target == self._state.label:
            transaction.compares.append(messages.Compare(ASSIGNMENT_KEY, view.assignment_mod_revision))
            transaction.operations.append(messages.Put(ASSIGNMENT_KEY, complete_move(assignment, shard)))
        return transaction


class ShardFollowerLoop(FollowerLoop):
    """Follows the share's leader; as the receiver of a move it campaigns once the giver has let go."""

    def __init__(self, campaign: ShardCampaign, *arguments: Any) -> None:
        super().__init__(*arguments)
        self._shard_campaign = campaign
        # Set by a hand-over to end the wait for the leader key.
        self._acquire_requested = asyncio.Event()

    def acquire(self, released_mod_revision: int) -> None:
        """The giver has let go of its leader key, which has this mod revision: replace it."""
        if self._state.role is Role.FOLLOWER:
            self._shard_campaign.replaced_mod_revision = released_mod_revision
            self._acquire_requested.set()

    async def wait_for_change(self) -> None:
        """As in every election; a hand-over ends the wait and starts a campaign."""
        self._acquire_requested.clear()
        if self._shard_campaign.replaced_mod_revision is None:
            watching = asyncio.ensure_future(super().wait_for_change())
            acquire_requested = asyncio.ensure_future(self._acquire_requested.wait())
            try:
                await asyncio.wait((watching, acquire_requested), return_when=asyncio.FIRST_COMPLETED)
                if watching.done():
                    watching.result()
            finally:
                watching.cancel()
                acquire_requested.cancel()
        if self._shard_campaign.replaced_mod_revision is not None:
            await self._shard_campaign.run()


class ShardLeaderLoop(LeaderLoop):
    """Holds leadership of a share with the lease of the process, until the share is handed over."""

    def __init__(self, candidacy: ShardCandidacy, process_lease: ProcessLease, *arguments: Any) -> None:
        super().__init__(*arguments)
        self._candidacy = candidacy
        self._process_lease = process_lease
        # While the share is handed over: until when this leader waits for its key to be replaced.
        self._release_deadline: float | None = None

    @property
    def is_releasing(self) -> bool:
        """Whether this leader has let go of its key and waits for the receiver."""
        return self._release_deadline is not None

    def release(self) -> int | None:
        """Decide nothing more under this token; return it, None if this controller does not lead for certain.

        Workers' leases are kept until the receiver leads, or until the bound of an unconfirmed leader.
        """
        state = self._state
        if self.is_releasing:
            return state.fencing_token
        if not state.may_decide:
            return None
        now = state.clock()
        self._release_deadline = now + state.ttl_s * HANDOFF_TIMEOUT
        state.lease.surrender(now)
        state.peers_confirmed_at = float("-inf")
        state.transition(Role.UNCONFIRMED_LEADER)
        self._wake.set()
        return state.fencing_token

    async def step(self) -> None:
        """As in every election, unless the share is handed over or no longer assigned to this controller."""
        if self._release_deadline is not None:
            await self._await_target(self._release_deadline)
            return
        if not self._candidacy.may_campaign:
            self.request_step_down("the share is assigned to another controller")
        await super().step()

    async def _await_target(self, deadline: float) -> None:
        """Wait until the key is replaced; give the key up if nobody takes it, and campaign for it again."""
        key_value = await self._store.get(LEADER_KEY)
        if key_value is None or key_value.mod_revision != self._state.fencing_token:
            self.step_down("the share is handed over" if key_value is not None else "lease expired")
        elif self._state.clock() > deadline or not self._state.may_answer_heartbeats:
            lease = key_value.lease_id
            self.step_down("no controller took the share over")
            if lease is not None:
                await self.revoke_lease(lease)
        else:
            await asyncio.sleep(self._state.ttl_s * HANDOFF_POLL_PAUSE)

    def step_down(self, why: str) -> None:
        """As in every election; a hand-over is over too."""
        super().step_down(why)
        self._release_deadline = None

    async def keep_alive(self) -> None:
        """Keep the lease of the process alive; what counts is when that request was sent, by whichever share."""
        lease = self._state.lease.lease_id
        sent_at = await self._process_lease.keep_alive(lease if lease is not None else -1)
        if not self.is_releasing:
            self._state.lease.record_renewal(sent_at)


class ShardElection(Election):
    """Takes part in the election of one share."""

    leader_loop: ShardLeaderLoop
    campaign: ShardCampaign
    follower_loop: ShardFollowerLoop

    def __init__(
        self, shard: int, view: SharingView, process_lease: ProcessLease, platform: Platform, *arguments: Any
    ) -> None:
        # Before the common parts, which are made with these.
        self._candidacy = ShardCandidacy(shard, view, platform.label)
        self._process_lease = process_lease
        super().__init__(platform, *arguments)

    def make_leader_loop(self, store: StoreClient, platform: Platform, tuning: Tuning) -> ShardLeaderLoop:
        """Return what holds leadership of the share."""
        return ShardLeaderLoop(self._candidacy, self._process_lease, self, store, self.callbacks, platform, tuning)

    def make_campaign(self, store: StoreClient, incarnation: str) -> ShardCampaign:
        """Return what campaigns for the share."""
        return ShardCampaign(self._candidacy, self, store, self.leader_loop, self.callbacks, incarnation)

    def make_follower_loop(self, rng: random.Random) -> ShardFollowerLoop:
        """Return what follows the share's leader."""
        return ShardFollowerLoop(self.campaign, self, self.leader_key, self.campaign, self.callbacks, rng)

    def acquire(self, released_mod_revision: int) -> None:
        """The giver has let go of its leader key, which has this mod revision: replace it."""
        self.follower_loop.acquire(released_mod_revision)

    @property
    def is_releasing(self) -> bool:
        """Whether this leader has let go of its key and waits for the receiver."""
        return self.leader_loop.is_releasing

    def release(self) -> int | None:
        """Decide nothing more under this token; return it, None if this controller does not lead for certain."""
        return self.leader_loop.release()
