"""HTTP API of sharing at `back`: messages of other controllers, and requests of operators."""

import logging
from typing import TYPE_CHECKING

import msgspec

from driftcleat import wire
from driftcleat.api import Response
from driftcleat.peers.client import PeerError
from driftcleat.sharing.messages import ControllerStatus, MoveRequest, MoveResponse, ReleaseRequest, SharingMessage
from driftcleat.sharing.sharing_client import PATH, SharingClient

if TYPE_CHECKING:
    from driftcleat.sharing.host import ShardHost

log = logging.getLogger(__name__)


class ShardRow(msgspec.Struct):
    """One shard as this controller sees it, in the response to an operator."""

    share: int
    owner: str | None
    leader: str | None
    token: int
    state: str
    machines: int | None
    moving_to: str | None
    refused: str | None


class ShardsView(msgspec.Struct):
    """All shards as this controller sees them, in the response to an operator."""

    controller: str
    coordinator: str | None
    begun: bool
    refusal: str | None
    moves_received: int
    last_move_s: float
    lease_requests: int
    shares: list[ShardRow]


class OperatorMoveRequest(msgspec.Struct):
    """An operator's request to move a shard."""

    share: int
    receiver: str


class OperatorApi:
    """Handles requests of operators and messages of other controllers."""

    def __init__(self, host: "ShardHost") -> None:
        self._host = host
        self._client = SharingClient(host)
        self.malformed = 0

    async def handle(self, method: str, path: str, body: bytes) -> Response | None:
        """Return the response to a request; None if the path does not belong to sharing."""
        allowed_method = {PATH: "POST", "/shares": "GET", "/shares/move": "POST"}.get(path)
        if allowed_method is None:
            return None
        if method != allowed_method:
            return Response.error(405, f"only {allowed_method} is allowed here")
        if path == "/shares":
            return Response(200, wire.encode(self.view()))
        try:
            if path == PATH:
                return await self._handle_message(wire.decode(body, SharingMessage))  # type: ignore[arg-type]
            return await self._handle_move(wire.decode(body, OperatorMoveRequest))
        except wire.WireError as error:
            self.malformed += 1
            log.info("malformed sharing message or move request: %s", error)
            return Response.error(400, str(error))

    async def _handle_message(self, message: SharingMessage) -> Response:
        """Handle a message of another controller."""
        host = self._host
        if isinstance(message, ControllerStatus):
            return Response(200, wire.encode(host.coordinator_loops.handle_status(message)))
        if isinstance(message, ReleaseRequest):
            return Response(200, wire.encode(await host.handoffs.release(message)))
        if isinstance(message, MoveRequest):
            return Response(200, wire.encode(await host.coordinator_loops.move(message)))
        return Response.error(400, "not a question")

    async def _handle_move(self, move: OperatorMoveRequest) -> Response:
        """Carry out an operator's request, or forward it to the coordinator."""
        host = self._host
        request = MoveRequest(move.share, move.receiver)
        coordinator = host.coordinator
        if host.may_decide:
            response: SharingMessage = await host.coordinator_loops.move(request)
        elif coordinator is None or coordinator == host.platform.label:
            return Response.error(503, "there is no coordinator now", retry_after_s=1)
        else:
            try:
                response = await self._client.send(coordinator, request, host.platform.report_s)
            except PeerError as error:
                return Response.error(503, f"the coordinator {coordinator}: {error}", retry_after_s=1)
        if not isinstance(response, MoveResponse):
            return Response.error(503, "the coordinator's answer is not one", retry_after_s=1)
        return Response(200, b"{}") if response.accepted else Response.error(409, response.reason)

    def view(self) -> ShardsView:
        """Return all shards as this controller sees them."""
        host = self._host
        return ShardsView(
            host.platform.label,
            host.coordinator,
            host.view.assignment is not None,
            host.view.refusal,
            host.handoffs.acquired_count,
            host.handoffs.last_move_s,
            host.process_lease.requests,
            [self._row(shard) for shard in sorted(host.engines) if host.is_serving(shard)],
        )

    def _row(self, shard: int) -> ShardRow:
        host = self._host
        engine, assignment = host.engines[shard], host.view.assignment
        scheduler = engine.active_term.scheduler
        move = assignment.move_of(shard) if assignment is not None else None
        return ShardRow(
            shard,
            assignment.owner(shard) if assignment is not None else None,
            engine.leader,
            engine.election.leader_fencing_token,
            host.handoffs.state(shard).value,
            len(scheduler.cluster.machines) if scheduler is not None else None,
            move.target if move is not None else None,
            host.coordinator_loops.coordinator.refusals.get(shard),
        )
