"""The server for messages of other controllers: pings, views, and forwarded user requests."""

import asyncio
import logging
from collections.abc import Callable

from driftcleat import wire
from driftcleat.api.responses import Response
from driftcleat.api.users import UserApi
from driftcleat.leadership import ActiveTerm
from driftcleat.runtime.metrics import Metrics
from driftcleat.scheduler import Scheduler
from driftcleat.settings import Platform
from driftcleat.store.client import StoreClient
from driftcleat.store.errors import StoreError
from driftcleat.store.keys import LEADER_KEY
from driftcleat.store.records import DATA_VERSION
from driftcleat.wire import peers as messages

log = logging.getLogger(__name__)

# Size limit of the list of cancelled jobs in a response, and the encoded size of one job id. A longer list is not
# sent at all: a follower may extend the leases of workers in its partition only if it has the whole list.
MAX_CANCELLED_JOBS_BYTES = 128 * 1024
JOB_ID_BYTES = 16
MAX_CANCELLED_JOBS = MAX_CANCELLED_JOBS_BYTES // JOB_ID_BYTES
# Timeout of the read of the store before a view is sent, as a fraction of the leader lease's time to live.
STORE_READ_FRACTION = 0.3
# Age that is sent for an event that has not happened.
NO_AGE_S = -1.0


class PeerApi:
    """Responds to messages of other controllers."""

    def __init__(
        self,
        platform: Platform,
        store: StoreClient,
        users: UserApi,
        active_term: ActiveTerm[Scheduler],
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._platform = platform
        self._store = store
        self._users = users
        self._active_term = active_term
        self._metrics = metrics
        self._clock = clock
        # Latest data version that each controller announced to be able to write, by controller label.
        self._data_versions: dict[str, int] = {}

    async def handle(self, body: bytes) -> Response:
        """Return the response to one message; 400 if it is malformed or is no request."""
        try:
            message: messages.PeerMessage = wire.decode(body, messages.PeerMessage)  # type: ignore[arg-type]
        except wire.WireError as error:
            self._metrics.malformed_peer_messages += 1
            log.info("controller message rejected: malformed: %s", error)
            return Response.error(400, str(error))
        if isinstance(message, messages.ForwardRequest):
            return Response(200, wire.encode(await self._handle_forwarded(message)))
        if isinstance(message, messages.Ping):
            self.record_data_version(message.sender, message.data_version)
            return Response(200, wire.encode(self._pong()))
        if isinstance(message, messages.ViewRequest):
            self.record_data_version(message.sender, message.data_version)
            return Response(200, wire.encode(await self._view()))
        return Response.error(400, "not a question")

    async def _handle_forwarded(self, message: messages.ForwardRequest) -> messages.ForwardResponse:
        """Handle a user's request that another controller has forwarded."""
        response = await self._users.handle(message.method, message.path, message.body.encode(), forwarded=True)
        if response is None:
            response = Response.error(404, "no such path")
        return messages.ForwardResponse(response.status, response.body.decode(), response.retry_after_s)

    def record_data_version(self, label: str, version: int) -> None:
        """Record the newest data version that a controller can write.

        Once all controllers can write ours, the leader requests the latch of the record migration. A controller is
        never downgraded, so versions that were announced at different times may be combined.
        """
        self._data_versions[label] = version
        scheduler = self._active_term.scheduler
        if scheduler is None or scheduler.migration.latch_requested:
            return
        if all(self._data_versions.get(peer.label, 1) >= DATA_VERSION for peer in self._platform.peers):
            scheduler.migration.request_latch()
            self._active_term.wake_committer()

    def _pong(self) -> messages.Pong:
        election = self._active_term.election
        return messages.Pong(
            self._platform.label,
            election.may_respond_to_heartbeats,
            election.leader,
            election.leader_fencing_token,
            self._leader_status(),
            DATA_VERSION,
        )

    async def _view(self) -> messages.ViewResponse:
        """Return our view of the leader and of the store, which is read first."""
        election = self._active_term.election
        try:
            await asyncio.wait_for(self._store.get(LEADER_KEY), election.ttl_s * STORE_READ_FRACTION)
        except (StoreError, TimeoutError):
            pass
        return messages.ViewResponse(
            self._platform.label,
            election.role.value,
            election.leader,
            election.leader_fencing_token,
            self._age(self._store.last_success_at),
            self._age(self._store.last_failure_at),
            election.has_read_leader_key,
            self._leader_status(),
            DATA_VERSION,
        )

    def _age(self, time: float | None) -> float:
        """Return the seconds since a time of the monotonic clock; negative if it is None."""
        return self._clock() - time if time is not None else NO_AGE_S

    def _leader_status(self) -> messages.LeaderStatus | None:
        """Return our status as a leader, with the cancelled jobs that are still placed; None if we do not lead."""
        scheduler = self._active_term.scheduler
        election = self._active_term.election
        if scheduler is None or not election.is_leader:
            return None
        cancelled_jobs = sorted(scheduler.cancellations.jobs_still_placed())
        listed_jobs = cancelled_jobs if len(cancelled_jobs) <= MAX_CANCELLED_JOBS else None
        return messages.LeaderStatus(self._clock() - election.last_confirmed_at, listed_jobs)
