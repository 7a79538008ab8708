"""Moves of shares, at the receiver and at the giver: `docs/sharing.md` shows the states."""

import asyncio
import logging
from enum import StrEnum
from typing import TYPE_CHECKING

from driftcleat.leadership import Role
from driftcleat.peers.client import PeerError
from driftcleat.sharing.assignment import Move
from driftcleat.sharing.messages import LetGo, LetGoAnswer, SharingMessage
from driftcleat.sharing.sharing_client import SharingClient
from driftcleat.store.errors import StoreError

if TYPE_CHECKING:
    from driftcleat.sharing.host import SharingHost

log = logging.getLogger(__name__)

# How often a receiver tries, and how long it waits for the giver's answer, of the report interval.
TRY_PAUSE = 1 / 10
GIVER_WAIT = 1 / 3


class TransferState(StrEnum):
    """Where a share stands at one controller."""

    # This controller does not lead the share and is not to.
    ELSEWHERE = "elsewhere"
    OWNED = "owned"
    # This controller is the receiver and has not been given the share yet.
    PREPARING = "preparing"
    # This controller has let the share go and waits for the receiver to take it.
    HANDING_OVER = "handing over"
    # This controller has taken the share and reads its records.
    TAKING_OVER = "taking over"


class Transfers:
    """Takes over the shares that are moved here, and lets go of those that are moved away."""

    def __init__(self, host: "SharingHost") -> None:
        self._host = host
        self._client = SharingClient(host)
        self._woken = asyncio.Event()
        # Moves that were completed here, and for measurements how long each took from its first try.
        self.received = 0
        self.last_took_s = 0.0
        self._began_at: dict[int, float] = {}

    def wake(self) -> None:
        """The assignment may have changed."""
        self._woken.set()

    def state(self, share: int) -> TransferState:
        """Return where a share stands here."""
        host = self._host
        engine, assignment = host.engines[share], host.view.assignment
        if not host.is_set_up(share):
            return TransferState.ELSEWHERE
        if engine.share_election.handing_over:
            return TransferState.HANDING_OVER
        if engine.election.role is Role.RECOVERING:
            return TransferState.TAKING_OVER
        if engine.election.is_leader:
            return TransferState.OWNED
        move = assignment.move_of(share) if assignment is not None else None
        receiving = move is not None and move.receiver == host.platform.label
        return TransferState.PREPARING if receiving else TransferState.ELSEWHERE

    # -- the receiver -------------------------------------------------------------------------------------

    async def run(self) -> None:
        """Take over what is moved here, for ever."""
        pause_s = self._host.platform.report_s * TRY_PAUSE
        while True:
            self._woken.clear()
            for move in self._incoming():
                await self._receive(move)
            try:
                await asyncio.wait_for(self._woken.wait(), pause_s if self._incoming() else pause_s * 10)
            except TimeoutError:
                pass

    def _incoming(self) -> list[Move]:
        assignment = self._host.view.assignment
        label = self._host.platform.label
        return [move for move in assignment.moves if move.receiver == label] if assignment is not None else []

    async def _receive(self, move: Move) -> None:
        host = self._host
        if not host.is_set_up(move.share):
            return
        engine = host.engines[move.share]
        if engine.election.role is not Role.FOLLOWER:
            return
        self._began_at.setdefault(move.number, host.clock())
        giver = engine.leader
        if giver is None or giver == host.platform.label:
            # Nobody leads the share: the election is open to us as it is.
            return
        try:
            answer = await self._client.send(
                giver, LetGo(move.share, host.platform.label, move.number), host.platform.report_s * GIVER_WAIT
            )
        except PeerError as error:
            log.debug("share %d: %s: %s", move.share, giver, error)
            return
        if not isinstance(answer, LetGoAnswer) or answer.version is None:
            log.debug("share %d: %s keeps it: %s", move.share, giver, answer)
            return
        log.info("share %d: %s has let go, taking over", move.share, giver)
        engine.share_election.take_over(answer.version)
        await self._await_outcome(move)

    async def _await_outcome(self, move: Move) -> None:
        """Wait until the move is completed, or dropped."""
        host = self._host
        engine = host.engines[move.share]
        end = host.clock() + engine.election.ttl_s
        while host.clock() < end:
            if engine.election.is_leader:
                self.received += 1
                self.last_took_s = host.clock() - self._began_at.pop(move.number, host.clock())
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

    async def let_go(self, message: LetGo) -> SharingMessage:
        """Answer the receiver of a move."""
        host = self._host
        assignment = host.view.assignment
        move = assignment.move_of(message.share) if assignment is not None else None
        if move is None or move.number < message.number:
            try:
                await host.view.refresh()
            except StoreError:
                return LetGoAnswer(None, "the state service does not answer")
            assignment = host.view.assignment
            move = assignment.move_of(message.share) if assignment is not None else None
        if move is None or (move.number, move.receiver) != (message.number, message.receiver):
            return LetGoAnswer(None, "no such move is under way")
        if not host.is_set_up(message.share):
            return LetGoAnswer(None, "starting")
        version = host.engines[message.share].share_election.let_go()
        if version is None:
            return LetGoAnswer(None, "not led here")
        log.info("share %d: let go for %s", message.share, message.receiver)
        return LetGoAnswer(version)
