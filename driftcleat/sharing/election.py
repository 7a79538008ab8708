"""The election of one share: only who it is assigned to campaigns, and a share in order goes from hand to hand.

A move is one transaction: on condition that the giver's leader key and the assignment are as they were, the key
becomes the receiver's and the assignment says so. Everything before it can be dropped; everything after it is an
ordinary take-over.

The giver's lease goes on when its key is replaced, so the lease proves nothing from the moment at which the giver has
let go: it decides nothing any more under that token, whether or not the move comes about. To go on it has to campaign
again, which also makes a late transaction of the receiver fail.
"""

import asyncio
import logging
from typing import Any

from driftcleat.leadership import Election, Role
from driftcleat.sharing.assignment import complete_move
from driftcleat.sharing.keys import ASSIGNMENT, FIRST_SHARE
from driftcleat.sharing.process_lease import ProcessLease
from driftcleat.sharing.view import SharingView
from driftcleat.store.keys import LEADER_KEY
from driftcleat.wire import state as messages

log = logging.getLogger(__name__)

# How long a giver waits for its key to be replaced, and how often it looks, as parts of the leader's lease.
HANDOVER_LIMIT = 1.0
HANDOVER_LOOK = 0.05
# The pause of who may not campaign, of the leader's lease.
WAIT = 0.1


class ShareElection(Election):
    """Takes part in the election of one share."""

    def __init__(self, share: int, view: SharingView, process_lease: ProcessLease, *parts: Any) -> None:
        super().__init__(*parts)
        self._share, self._view, self._process_lease = share, view, process_lease
        # While the share is handed over: until when this leader waits for its key to be replaced.
        self._handing_over_until: float | None = None
        # The version of the giver's leader key that is to be replaced by ours.
        self._replaces: int | None = None
        self._called = asyncio.Event()

    # -- who may lead -------------------------------------------------------------------------------------

    @property
    def may_lead(self) -> bool:
        """Whether this controller may campaign: the first share is anybody's, the others are assigned."""
        if self._share == FIRST_SHARE:
            return True
        assignment = self._view.assignment
        if assignment is None:
            return False
        move = assignment.move_of(self._share)
        label = self.platform.label
        return assignment.owner(self._share) == label or (move is not None and move.receiver == label)

    async def _campaign(self) -> None:
        if not self.may_lead:
            await asyncio.sleep(self.ttl_s * WAIT)
            return
        try:
            await super()._campaign()
        finally:
            self._replaces = None

    def _campaign_transaction(self, lease: int) -> messages.Transaction:
        """Return the transaction that makes this controller the share's leader, and completes a move to it."""
        transaction = super()._campaign_transaction(lease)
        if self._replaces is not None:
            transaction.compares[0] = messages.Compare(LEADER_KEY, self._replaces)
        assignment = self._view.assignment
        move = assignment.move_of(self._share) if assignment is not None else None
        if assignment is not None and move is not None and move.receiver == self.platform.label:
            transaction.compares.append(messages.Compare(ASSIGNMENT, self._view.assignment_version))
            transaction.operations.append(messages.Put(ASSIGNMENT, complete_move(assignment, self._share)))
        return transaction

    # -- receiving ----------------------------------------------------------------------------------------

    def take_over(self, held_version: int) -> None:
        """The giver has let go of its key, which has this version: replace it."""
        if self.role is Role.FOLLOWER:
            self._replaces = held_version
            self._called.set()

    async def _watch_leader(self) -> None:
        """As in every election; a hand-over ends the wait."""
        self._called.clear()
        if self._replaces is None:
            watching = asyncio.ensure_future(super()._watch_leader())
            called = asyncio.ensure_future(self._called.wait())
            try:
                await asyncio.wait((watching, called), return_when=asyncio.FIRST_COMPLETED)
                if watching.done():
                    watching.result()
            finally:
                watching.cancel()
                called.cancel()
        if self._replaces is not None:
            await self._campaign()

    # -- giving -------------------------------------------------------------------------------------------

    @property
    def handing_over(self) -> bool:
        """Whether this leader has let go of its key and waits for the receiver."""
        return self._handing_over_until is not None

    def let_go(self) -> int | None:
        """Decide nothing more under this token; return it, None if this controller does not lead for certain.

        Workers' leases are kept until the receiver leads, or until the bound of an unsure leader.
        """
        if self.handing_over:
            return self.fencing_token
        if not self.may_decide:
            return None
        now = self.clock()
        self._handing_over_until = now + self.ttl_s * HANDOVER_LIMIT
        self.lease.surrender(now)
        self._confirmed_at = float("-inf")
        self.transition(Role.UNCONFIRMED_LEADER)
        self._wake.set()
        return self.fencing_token

    async def _hold_leadership(self) -> None:
        if self._handing_over_until is not None:
            await self._await_receiver(self._handing_over_until)
            return
        if not self.may_lead:
            self.request_step_down("the share is assigned to another controller")
        await super()._hold_leadership()

    async def _await_receiver(self, until: float) -> None:
        """Wait until the key is replaced; give the key up if nobody takes it, and campaign for it again."""
        key_value = await self.store.get(LEADER_KEY)
        if key_value is None or key_value.mod_revision != self.fencing_token:
            self._step_down("handed over" if key_value is not None else "the lease has ended")
        elif self.clock() > until or not self.may_answer_heartbeats:
            lease = key_value.lease_id
            self._step_down("nobody took the share over")
            if lease is not None:
                await self._revoke_lease(lease)
        else:
            await asyncio.sleep(self.ttl_s * HANDOVER_LOOK)

    def _step_down(self, why: str) -> None:
        super()._step_down(why)
        self._handing_over_until = None

    # -- the lease ----------------------------------------------------------------------------------------

    async def _keep_alive(self) -> None:
        """Renew the lease of the process; what counts is when that request was sent, by whichever share."""
        lease = self.lease.lease_id
        sent_at = await self._process_lease.renew(lease if lease is not None else -1)
        if not self.handing_over:
            self.lease.record_renewal(sent_at)
