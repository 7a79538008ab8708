"""What other controllers and operators ask about shares, at `back`."""

import logging
from typing import TYPE_CHECKING

import msgspec

from driftcleat import wire
from driftcleat.api import Response
from driftcleat.peers.client import PeerError
from driftcleat.sharing.messages import LetGo, MoveAnswer, MoveRequest, SharingMessage, Status
from driftcleat.sharing.sharing_client import PATH, SharingClient

if TYPE_CHECKING:
    from driftcleat.sharing.host import SharingHost

log = logging.getLogger(__name__)


class ShareRow(msgspec.Struct):
    """One share, as this controller sees it."""

    share: int
    owner: str | None
    leader: str | None
    token: int
    state: str
    machines: int | None
    moving_to: str | None
    refused: str | None


class SharesView(msgspec.Struct):
    """All shares, as this controller sees them."""

    controller: str
    coordinator: str | None
    begun: bool
    refusal: str | None
    moves_received: int
    last_move_s: float
    lease_requests: int
    shares: list[ShareRow]


class MoveOrder(msgspec.Struct):
    """What an operator sends to move a share."""

    share: int
    receiver: str


class OperatorApi:
    """Answers messages about shares."""

    def __init__(self, host: "SharingHost") -> None:
        self._host = host
        self._client = SharingClient(host)
        self.malformed = 0

    async def handle(self, method: str, path: str, body: bytes) -> Response | None:
        """Answer a request; None if the path is not ours."""
        wanted = {PATH: "POST", "/shares": "GET", "/shares/move": "POST"}.get(path)
        if wanted is None:
            return None
        if method != wanted:
            return Response.error(405, f"only {wanted} is allowed here")
        if path == "/shares":
            return Response(200, wire.encode(self.view()))
        try:
            if path == PATH:
                return await self._answer(wire.decode(body, SharingMessage))  # type: ignore[arg-type]
            return await self._order(wire.decode(body, MoveOrder))
        except wire.WireError as error:
            self.malformed += 1
            log.info("malformed message about shares: %s", error)
            return Response.error(400, str(error))

    async def _answer(self, message: SharingMessage) -> Response:
        """Answer another controller."""
        host = self._host
        if isinstance(message, Status):
            return Response(200, wire.encode(host.duties.take_status(message)))
        if isinstance(message, LetGo):
            return Response(200, wire.encode(await host.transfers.let_go(message)))
        if isinstance(message, MoveRequest):
            return Response(200, wire.encode(await host.duties.move(message)))
        return Response.error(400, "not a question")

    async def _order(self, order: MoveOrder) -> Response:
        """Carry out an operator's order, or pass it on to the coordinator."""
        host = self._host
        request = MoveRequest(order.share, order.receiver)
        coordinator = host.coordinator
        if host.may_decide:
            answer: SharingMessage = await host.duties.move(request)
        elif coordinator is None or coordinator == host.platform.label:
            return Response.error(503, "there is no coordinator now", retry_after_s=1)
        else:
            try:
                answer = await self._client.send(coordinator, request, host.platform.report_s)
            except PeerError as error:
                return Response.error(503, f"the coordinator {coordinator}: {error}", retry_after_s=1)
        if not isinstance(answer, MoveAnswer):
            return Response.error(503, "the coordinator's answer is not one", retry_after_s=1)
        return Response(200, b"{}") if answer.begun else Response.error(409, answer.why)

    def view(self) -> SharesView:
        """Return all shares as this controller sees them."""
        host = self._host
        return SharesView(
            host.platform.label,
            host.coordinator,
            host.view.assignment is not None,
            host.view.refusal,
            host.transfers.received,
            host.transfers.last_took_s,
            host.process_lease.requests,
            [self._row(share) for share in sorted(host.engines) if host.is_set_up(share)],
        )

    def _row(self, share: int) -> ShareRow:
        host = self._host
        engine, assignment = host.engines[share], host.view.assignment
        scheduler = engine.active_term.scheduler
        move = assignment.move_of(share) if assignment is not None else None
        return ShareRow(
            share,
            assignment.owner(share) if assignment is not None else None,
            engine.leader,
            engine.election.leader_fencing_token,
            host.transfers.state(share).value,
            len(scheduler.cluster.machines) if scheduler is not None else None,
            move.receiver if move is not None else None,
            host.duties.coordinator.refusals.get(share),
        )
