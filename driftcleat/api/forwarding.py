"""Forwarding of users' requests from a follower to the leader."""

import logging
from typing import Protocol

from driftcleat.api.responses import Response, RetryResponses
from driftcleat.api.user_requests import UserRequest, is_cancellation
from driftcleat.leadership import ActiveTerm
from driftcleat.peers.client import PeerError
from driftcleat.scheduler import Scheduler
from driftcleat.wire import peers as peer_messages

log = logging.getLogger(__name__)

# Fraction of a poll's remaining time after which forwarding times out; the rest is left to read the records.
LEADER_POLL_FRACTION = 0.7


class ForwardingClient(Protocol):
    """A client that sends messages to other controllers."""

    async def send(
        self, label: str, message: peer_messages.ForwardRequest, timeout_s: float
    ) -> peer_messages.PeerMessage:
        """Send a message to the controller `label`; return the response, `PeerError` if there is no usable one."""


class LeaderForwarder:
    """Forwards requests to the leader, a bounded number concurrently."""

    def __init__(
        self,
        label: str,
        peers: ForwardingClient,
        active_term: ActiveTerm[Scheduler],
        responses: RetryResponses,
        max_in_progress: int,
    ) -> None:
        """Set up forwarding from the controller `label`."""
        self._label = label
        self._peers = peers
        self._active_term = active_term
        self._responses = responses
        self._max_in_progress = max_in_progress
        self._in_progress = 0
        # Number of requests refused because too many others were waiting for the leader.
        self.requests_rejected = 0

    @property
    def is_saturated(self) -> bool:
        """Return whether the maximum number of requests is waiting for the leader."""
        return self._in_progress >= self._max_in_progress

    @property
    def knows_other_leader(self) -> bool:
        """Return whether another controller is known as the leader."""
        return self._active_term.leader not in (None, self._label)

    async def forward(self, request: UserRequest, body: bytes = b"") -> Response:
        """Return the leader's response to a request, which is sent with `body`.

        If there is none, the response asks the client to retry. Cancellations are forwarded beyond the limit too.
        """
        leader = self._active_term.leader
        if request.forwarded or leader is None or leader == self._label:
            return self._responses.unavailable_here("no leader")
        if self.is_saturated and not is_cancellation(request.path):
            self.requests_rejected += 1
            return self._responses.unavailable("too many requests wait for the leader")
        message = peer_messages.ForwardRequest(request.method, request.path, body.decode("utf-8", "replace"))
        # If the leader does not respond to a poll, the status can still be read from the records.
        timeout_s = request.deadline.left_s * (LEADER_POLL_FRACTION if request.method == "GET" else 1.0)
        self._in_progress += 1
        try:
            response = await self._peers.send(leader, message, timeout_s)
        except PeerError as error:
            log.debug("user request not forwarded: %s", error)
            return self._responses.unavailable_here("the leader does not answer")
        finally:
            self._in_progress -= 1
        if not isinstance(response, peer_messages.ForwardResponse):
            return self._responses.unavailable("the leader's answer is not one")
        return Response(response.status, response.body.encode(), response.retry_after_s)
