"""Moves of shares, at the receiver and at the giver: `docs/sharing.md` shows the states."""

import asyncio
import logging
from enum import StrEnum
from typing import TYPE_CHECKING

from driftcleat.leadership import Role
from driftcleat.peers.client import PeerError
from driftcleat.sharing.assignment import Move
from driftcleat.sharing.messages import ReleaseRequest, ReleaseResponse, SharingMessage
from driftcleat.sharing.sharing_client import SharingClient
from driftcleat.store.errors import StoreError

if TYPE_CHECKING:
    from driftcleat.sharing.host import ShardHost

log = logging.getLogger(__name__)

# How often a receiver tries, and how long it waits for the giver's answer, of the report interval.
RETRY_INTERVAL = 1 / 10
RELEASE_TIMEOUT = 1 / 3


class HandoffState(StrEnum):
    """Where a share stands at one controller."""

    # This controller does not lead the share and is not to.
    ELSEWHERE = "elsewhere"
    OWNED = "owned"
    # This controller is the receiver and has not been given the share yet.
    PREPARING = "preparing"
    # This controller has let the share go and waits for the receiver to take it.
    RELEASING = "handing over"
    # This controller has taken the share and reads its records.
    ACQUIRING = "taking over"


class Handoffs:
    """Takes over the shares that are moved here, and lets go of those that are moved away."""

    def __init__(self, host: "ShardHost") -> None:
        self._host = host
        self._client = SharingClient(host)
        self._woken = asyncio.Event()
        # Moves that were completed here, and for measurements how long each took from its first try.
        self.acquired_count = 0
        self.last_move_s = 0.0
        self._started_at: dict[int, float] = {}

    def wake(self) -> None:
        """The assignment may have changed."""
        self._woken.set()

    def state(self, shard: int) -> HandoffState:
        """Return where a share stands here."""
        host = self._host
        engine, assignment = host.engines[shard], host.view.assignment
        if not host.is_serving(shard):
            return HandoffState.ELSEWHERE
        if engine.shard_election.is_releasing:
            return HandoffState.RELEASING
        if engine.election.role is Role.RECOVERING:
            return HandoffState.ACQUIRING
        if engine.election.is_leader:
            return HandoffState.OWNED
        move = assignment.move_of(shard) if assignment is not None else None
        is_target = move is not None and move.target == host.platform.label
        return HandoffState.PREPARING if is_target else HandoffState.ELSEWHERE

    # -- the receiver -------------------------------------------------------------------------------------

    async def run(self) -> None:
        """Take over what is moved here, for ever."""
        pause_s = self._host.platform.report_s * RETRY_INTERVAL
        while True:
            self._woken.clear()
            for move in self._incoming_moves():
                await self._request_release(move)
            try:
                await asyncio.wait_for(self._woken.wait(), pause_s if self._incoming_moves() else pause_s * 10)
            except TimeoutError:
                pass

    def _incoming_moves(self) -> list[Move]:
        assignment = self._host.view.assignment
        label = self._host.platform.label
        return [move for move in assignment.moves if move.target == label] if assignment is not None else []

    async def _request_release(self, move: Move) -> None:
        host = self._host
        if not host.is_serving(move.shard):
            return
        engine = host.engines[move.shard]
        if engine.election.role is not Role.FOLLOWER:
            return
        self._started_at.setdefault(move.number, host.clock())
        source = engine.leader
        if source is None or source == host.platform.label:
            # Nobody leads the share: the election is open to us as it is.
            return
        try:
            response = await self._client.send(
                source,
                ReleaseRequest(move.shard, host.platform.label, move.number),
                host.platform.report_s * RELEASE_TIMEOUT,
            )
        except PeerError as error:
            log.debug("share %d: %s: %s", move.shard, source, error)
            return
        if not isinstance(response, ReleaseResponse) or response.mod_revision is None:
            log.debug("share %d: %s keeps it: %s", move.shard, source, response)
            return
        log.info("share %d: %s has let go, taking over", move.shard, source)
        engine.shard_election.acquire(response.mod_revision)
        await self._await_outcome(move)

    async def _await_outcome(self, move: Move) -> None:
        """Wait until the move is completed, or dropped."""
        host = self._host
        engine = host.engines[move.shard]
        deadline = host.clock() + engine.election.ttl_s
        while host.clock() < deadline:
            if engine.election.is_leader:
                self.acquired_count += 1
                self.last_move_s = host.clock() - self._started_at.pop(move.number, host.clock())
                await self._refresh()
                return
            await asyncio.sleep(host.platform.report_s / 100)

    async def _refresh(self) -> None:
        """Our own transaction has changed the assignment: do not ask for the same move once more."""
        try:
            await self._host.view.refresh()
        except StoreError as error:
            log.debug("sharing: %s", error)

    # -- the giver ----------------------------------------------------------------------------------------

    async def release(self, message: ReleaseRequest) -> SharingMessage:
        """Answer the receiver of a move."""
        host = self._host
        assignment = host.view.assignment
        move = assignment.move_of(message.shard) if assignment is not None else None
        if move is None or move.number < message.number:
            try:
                await host.view.refresh()
            except StoreError:
                return ReleaseResponse(None, "the state service does not answer")
            assignment = host.view.assignment
            move = assignment.move_of(message.shard) if assignment is not None else None
        if move is None or (move.number, move.target) != (message.number, message.target):
            return ReleaseResponse(None, "no such move is under way")
        if not host.is_serving(message.shard):
            return ReleaseResponse(None, "starting")
        mod_revision = host.engines[message.shard].shard_election.release()
        if mod_revision is None:
            return ReleaseResponse(None, "not led here")
        log.info("share %d: let go for %s", message.shard, message.target)
        return ReleaseResponse(mod_revision)
