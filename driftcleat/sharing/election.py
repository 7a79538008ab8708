"""The election of one shard: only its assigned controller campaigns, and a leader can hand its shard off.

A hand-off is one compare-and-swap transaction: if the source's leader key and the assignment are unchanged, it
replaces the leader key by the target's and names the target as the owner. Until then the move can be cancelled; after
it the target recovers as after any failover.

The source's lease stays alive when its leader key is replaced, since all shards of a process use one lease. A valid
lease thus proves nothing once the source has released the shard: it decides nothing under that fencing token, whether
or not the hand-off completes. To lead again it has to campaign, which changes the key's mod revision and thereby
makes a late transaction of the target fail.
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

# Times as fractions of the leader lease's time to live: how long the source waits for its key to be replaced, the
# pause between its reads of the key, and the pause of a controller that may not campaign.
HANDOFF_TIMEOUT = 1.0
HANDOFF_POLL_PAUSE = 0.05
INELIGIBLE_PAUSE = 0.1


class ShardCandidacy:
    """Decides by the shard assignment whether this controller may campaign for a shard."""

    def __init__(self, shard: int, view: SharingView, label: str) -> None:
        self.shard = shard
        self.view = view
        self._label = label

    @property
    def may_campaign(self) -> bool:
        """Return whether this controller may campaign.

        Every controller may campaign for the first shard; for another only its owner and the target of its move.
        """
        if self.shard == FIRST_SHARD:
            return True
        assignment = self.view.assignment
        if assignment is None:
            return False
        move = assignment.move_of(self.shard)
        return assignment.owner(self.shard) == self._label or (move is not None and move.target == self._label)


class ShardCampaign(Campaign):
    """Campaigns for a shard that is assigned to this controller, or completes a move to it."""

    def __init__(self, candidacy: ShardCandidacy, *arguments: Any) -> None:
        super().__init__(*arguments)
        self._candidacy = candidacy
        # Mod revision of the source's leader key, if that key is to be replaced by ours.
        self.replaced_mod_revision: int | None = None

    async def run(self) -> None:
        """Campaign once if this controller may; pause otherwise."""
        if not self._candidacy.may_campaign:
            await asyncio.sleep(self._state.ttl_s * INELIGIBLE_PAUSE)
            return
        try:
            await super().run()
        finally:
            self.replaced_mod_revision = None

    def transaction(self, lease: int) -> messages.Transaction:
        """Return the transaction that makes this controller the shard's leader and completes a move to it."""
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
    """Follows the shard's leader; as the target of a move it campaigns once the source has released the shard."""

    def __init__(self, campaign: ShardCampaign, *arguments: Any) -> None:
        super().__init__(*arguments)
        self._shard_campaign = campaign
        # Set by `acquire` to end the wait for a change of the leader key.
        self._acquire_requested = asyncio.Event()

    def acquire(self, released_mod_revision: int) -> None:
        """Campaign by replacing the leader key that the source has released at this mod revision."""
        if self._state.role is Role.FOLLOWER:
            self._shard_campaign.replaced_mod_revision = released_mod_revision
            self._acquire_requested.set()

    async def wait_for_change(self) -> None:
        """Wait for a change of the leader key; a call of `acquire` ends the wait and starts a campaign."""
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
    """Holds leadership of a shard with the lease of the process, until the shard is handed off."""

    def __init__(self, candidacy: ShardCandidacy, process_lease: ProcessLease, *arguments: Any) -> None:
        super().__init__(*arguments)
        self._candidacy = candidacy
        self._process_lease = process_lease
        # During a hand-off: the time until which this leader waits for its key to be replaced. None otherwise.
        self._release_deadline: float | None = None

    @property
    def is_releasing(self) -> bool:
        """Return whether this leader has released the shard and waits for the target to replace its key."""
        return self._release_deadline is not None

    def release(self) -> int | None:
        """Release the shard: decide nothing more under the current fencing token, and return the token.

        Returns None if this controller is not a confirmed leader. Workers' leases are kept alive until the target
        leads, for no longer than an unconfirmed leader may keep them.
        """
        state = self._state
        if self.is_releasing:
            return state.fencing_token
        if not state.may_decide:
            return None
        now = state.clock()
        self._release_deadline = now + state.ttl_s * HANDOFF_TIMEOUT
        state.lease.invalidate(now)
        state.peers_confirmed_at = float("-inf")
        state.transition(Role.UNCONFIRMED_LEADER)
        self._wake.set()
        return state.fencing_token

    async def step(self) -> None:
        """Hold leadership, but wait for the target during a hand-off and step down if the assignment has changed."""
        if self._release_deadline is not None:
            await self._await_target(self._release_deadline)
            return
        if not self._candidacy.may_campaign:
            self.request_step_down("the shard is assigned to another controller")
        await super().step()

    async def _await_target(self, deadline: float) -> None:
        """Step down once the key is replaced; after the deadline delete it, so that an election can begin."""
        key_value = await self._store.get(LEADER_KEY)
        if key_value is None or key_value.mod_revision != self._state.fencing_token:
            self.step_down("the shard is handed off" if key_value is not None else "lease expired")
        elif self._state.clock() > deadline or not self._state.may_respond_to_heartbeats:
            lease = key_value.lease_id
            self.step_down("no controller acquired the released shard in time")
            if lease is not None:
                await self.revoke_lease(lease)
        else:
            await asyncio.sleep(self._state.ttl_s * HANDOFF_POLL_PAUSE)

    def step_down(self, reason: str) -> None:
        """Step down, which also ends a hand-off."""
        super().step_down(reason)
        self._release_deadline = None

    async def keep_alive(self) -> None:
        """Keep the lease of the process alive; its time counts from when the request was sent, by whichever shard."""
        lease = self._state.lease.lease_id
        sent_at = await self._process_lease.keep_alive(lease if lease is not None else -1)
        if not self.is_releasing:
            self._state.lease.record_keep_alive(sent_at)


class ShardElection(Election):
    """Takes part in the election of one shard's leader."""

    leader_loop: ShardLeaderLoop
    campaign: ShardCampaign
    follower_loop: ShardFollowerLoop

    def __init__(
        self, shard: int, view: SharingView, process_lease: ProcessLease, platform: Platform, *arguments: Any
    ) -> None:
        # Set before the base class calls the `make_` methods, which use them.
        self._candidacy = ShardCandidacy(shard, view, platform.label)
        self._process_lease = process_lease
        super().__init__(platform, *arguments)

    def make_leader_loop(self, store: StoreClient, platform: Platform, tuning: Tuning) -> ShardLeaderLoop:
        """Return the loop that holds leadership of the shard."""
        return ShardLeaderLoop(self._candidacy, self._process_lease, self, store, self.callbacks, platform, tuning)

    def make_campaign(self, store: StoreClient, incarnation: str) -> ShardCampaign:
        """Return the campaign for the shard's leader key."""
        return ShardCampaign(self._candidacy, self, store, self.leader_loop, self.callbacks, incarnation)

    def make_follower_loop(self, rng: random.Random) -> ShardFollowerLoop:
        """Return the loop that follows the shard's leader."""
        return ShardFollowerLoop(self.campaign, self, self.leader_key, self.campaign, self.callbacks, rng)

    def acquire(self, released_mod_revision: int) -> None:
        """Campaign by replacing the leader key that the source has released at this mod revision."""
        self.follower_loop.acquire(released_mod_revision)

    @property
    def is_releasing(self) -> bool:
        """Return whether this leader has released the shard and waits for the target to replace its key."""
        return self.leader_loop.is_releasing

    def release(self) -> int | None:
        """Release the shard for a hand-off; return the fencing token, None if this is not a confirmed leader."""
        return self.leader_loop.release()
