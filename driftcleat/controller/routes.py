"""The HTTP routes of a controller: users and workers at `bind` (front), other controllers and operators at `back`."""

from collections.abc import Callable

from driftcleat import wire
from driftcleat.api import Response
from driftcleat.api.server import ResponseOrAwaitable
from driftcleat.controller.assembly import ControllerComponents
from driftcleat.controller.network import HEARTBEAT_PATH
from driftcleat.controller.status import StatusReport
from driftcleat.peers.client import PEER_PATH
from driftcleat.settings import Platform, Tuning

READY_PATH = "/ready"
STATUS_PATHS = ("/metrics", "/status")


class Routes:
    """Dispatches each HTTP request to the component of the controller that handles it."""

    def __init__(
        self, platform: Platform, tuning: Tuning, clock: Callable[[], float], components: ControllerComponents
    ) -> None:
        self._clock = clock
        self._election = components.election
        self._surveyor = components.surveyor
        self._users = components.users
        self._heartbeats = components.heartbeats
        self._peer_api = components.peer_api
        self._metrics = components.metrics
        self._status = StatusReport(platform.label, clock, components)
        # How long a controller stays ready, in seconds, after it last led or reached the leader.
        self._readiness_grace_s = platform.lease_s * tuning.readiness_grace_leases
        self._leader_reached_at = float("-inf")

    def reply_front(self, method: str, path: str, body: bytes) -> ResponseOrAwaitable:
        """Handle a request at `bind`; heartbeats, the most frequent ones, are handled without a task if possible."""
        if path == HEARTBEAT_PATH and method == "POST":
            return self._heartbeats.handle(body)
        return self.handle_front(method, path, body)

    async def handle_front(self, method: str, path: str, body: bytes) -> Response:
        """Handle a request at `bind`."""
        if path == HEARTBEAT_PATH:
            if method != "POST":
                return _method_not_allowed("POST")
            reply = self._heartbeats.handle(body)
            return reply if isinstance(reply, Response) else await reply
        if path == READY_PATH:
            if method != "GET":
                return _method_not_allowed("GET")
            return (
                Response(200, b'{"ready":true}') if await self._is_ready() else self._users.unavailable("not ready")
            )
        started_at = self._clock()
        response = await self._users.handle(method, path, body)
        self._metrics.user_request_latency.record(self._clock() - started_at)
        return response if response is not None else _not_found()

    async def _is_ready(self) -> bool:
        """Whether this controller leads or has reached the leader recently, so that a short failover does not matter.

        A follower that is rejected by the leader, or that takes a dead controller for the leader, is not ready: it
        would receive a part of the users' requests and could serve none of them.
        """
        if self._election.may_respond_to_heartbeats or await self._surveyor.reaches_leader():
            self._leader_reached_at = self._clock()
        return self._clock() - self._leader_reached_at < self._readiness_grace_s

    async def handle_back(self, method: str, path: str, body: bytes) -> Response:
        """Handle a request at `back`."""
        if path == PEER_PATH:
            return await self.handle_peer(body) if method == "POST" else _method_not_allowed("POST")
        if path in STATUS_PATHS:
            return Response(200, wire.encode(self._status.read())) if method == "GET" else _method_not_allowed("GET")
        return _not_found()

    async def handle_peer(self, body: bytes) -> Response:
        """Handle another controller's message."""
        return await self._peer_api.handle(body)


def _method_not_allowed(allowed: str) -> Response:
    return Response.error(405, f"only {allowed} is allowed here")


def _not_found() -> Response:
    return Response.error(404, "no such path")
