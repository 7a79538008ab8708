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
from driftcleat.store.records import LEADER
from driftcleat.wire import state as messages

from .assignment import complete_move
from .keys import ASSIGNMENT, FIRST_SHARE
from .process_lease import ProcessLease
from .view import SharingView

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

    def _claim(self, lease: int) -> messages.Txn:
        """Return the transaction that makes this controller the share's leader, and completes a move to it."""
        txn = super()._claim(lease)
        if self._replaces is not None:
            txn.conditions[0] = messages.Condition(LEADER, self._replaces)
        assignment = self._view.assignment
        move = assignment.move_of(self._share) if assignment is not None else None
        if assignment is not None and move is not None and move.receiver == self.platform.label:
            txn.conditions.append(messages.Condition(ASSIGNMENT, self._view.assignment_version))
            txn.changes.append(messages.Put(ASSIGNMENT, complete_move(assignment, self._share)))
        return txn

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
            return self.token
        if not self.holds:
            return None
        now = self.clock()
        self._handing_over_until = now + self.ttl_s * HANDOVER_LIMIT
        self.lease.give_up(now)
        self._confirmed_at = float("-inf")
        self.change(Role.UNSURE)
        self._wake.set()
        return self.token

    async def _keep(self) -> None:
        if self._handing_over_until is not None:
            await self._await_receiver(self._handing_over_until)
            return
        if not self.may_lead:
            self.ask_resign("the share is assigned to another controller")
        await super()._keep()

    async def _await_receiver(self, until: float) -> None:
        """Wait until the key is replaced; give the key up if nobody takes it, and campaign for it again."""
        item = await self.store.get(LEADER)
        if item is None or item.version != self.token:
            self._step_down("handed over" if item is not None else "the lease has ended")
        elif self.clock() > until or not self.answers_workers:
            lease = item.lease
            self._step_down("nobody took the share over")
            if lease is not None:
                await self._drop_lease(lease)
        else:
            await asyncio.sleep(self.ttl_s * HANDOVER_LOOK)

    def _step_down(self, why: str) -> None:
        super()._step_down(why)
        self._handing_over_until = None

    # -- the lease ----------------------------------------------------------------------------------------

    async def _renew(self) -> None:
        """Renew the lease of the process; what counts is when that request was sent, by whichever share."""
        lease = self.lease.lease
        sent_at = await self._process_lease.renew(lease if lease is not None else -1)
        if not self.handing_over:
            self.lease.renewed(sent_at)
