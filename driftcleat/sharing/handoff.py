"""Hand-offs of shards, at the target and at the source. `docs/sharing.md` shows the states."""

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

# Pause between two attempts of a target, and how long it waits for the source's response, as fractions of the
# heartbeat interval.
RETRY_INTERVAL = 1 / 10
RELEASE_TIMEOUT = 1 / 3


class HandoffState(StrEnum):
    """State of a shard at one controller."""

    # This controller does not lead the shard and is not the target of a move.
    ELSEWHERE = "elsewhere"
    # This controller leads the shard.
    OWNED = "owned"
    # This controller is the target of a move and the source has not released the shard yet.
    PREPARING = "preparing"
    # This controller has released the shard and waits for the target to acquire it.
    RELEASING = "handing over"
    # This controller has become the leader and is recovering the shard's state from the store.
    ACQUIRING = "taking over"


class Handoffs:
    """Acquires the shards that move to this controller and releases those that move away."""

    def __init__(self, host: "ShardHost") -> None:
        self._host = host
        self._client = SharingClient(host)
        self._woken = asyncio.Event()
        # Number of moves completed with this controller as the target, and how long the last one took from its first
        # attempt.
        self.acquired_count = 0
        self.last_move_s = 0.0
        self._started_at: dict[int, float] = {}

    def wake(self) -> None:
        """Look for moves to this controller now, since the assignment may have changed."""
        self._woken.set()

    def state(self, shard: int) -> HandoffState:
        """Return the state of a shard at this controller."""
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

    # At the target.

    async def run(self) -> None:
        """Run until cancelled: acquire the shards that move to this controller."""
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
            # The shard has no leader: this controller campaigns in the ordinary election.
            return
        try:
            response = await self._client.send(
                source,
                ReleaseRequest(move.shard, host.platform.label, move.number),
                host.platform.report_s * RELEASE_TIMEOUT,
            )
        except PeerError as error:
            log.debug("shard %d: release request to %s failed: %s", move.shard, source, error)
            return
        if not isinstance(response, ReleaseResponse) or response.mod_revision is None:
            log.debug("shard %d: %s did not release the shard: %s", move.shard, source, response)
            return
        log.info("shard %d: released by %s, acquiring it", move.shard, source)
        engine.shard_election.acquire(response.mod_revision)
        await self._await_outcome(move)

    async def _await_outcome(self, move: Move) -> None:
        """Wait until this controller leads the shard, for at most one leader lease."""
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
        """Read the assignment, which this controller's own transaction changed, so that the move is not repeated."""
        try:
            await self._host.view.refresh()
        except StoreError as error:
            log.debug("sharing records could not be read after a move: %s", error)

    # At the source.

    async def release(self, message: ReleaseRequest) -> SharingMessage:
        """Release a shard to the target of its move, unless the request does not match the move in progress."""
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
        log.info("shard %d: released to %s", message.shard, message.target)
        return ReleaseResponse(mod_revision)
