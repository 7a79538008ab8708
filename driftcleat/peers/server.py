"""The server side between controllers: questions about who leads, and users' requests that are passed on."""

import asyncio
import logging
from collections.abc import Callable

from driftcleat import wire
from driftcleat.api.answers import Answer
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

# The most bytes of an answer that name cancelled jobs, what one name takes, and so how many are named: a follower
# that is not told all of them cannot keep the leases of workers that are cut off together with it.
NAMES_BYTES = 128 * 1024
NAME_BYTES = 16
MOST_NAMED = NAMES_BYTES // NAME_BYTES
# How long the store may take before a question about it is answered, of the leader's lease.
STORE_WAIT = 0.3


class PeerApi:
    """Answers the other controllers."""

    def __init__(
        self,
        platform: Platform,
        store: StoreClient,
        users: UserApi,
        active_term: ActiveTerm[Scheduler],
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._platform, self._store, self._users = platform, store, users
        self._active_term, self._metrics, self._clock = active_term, metrics, clock
        # The data versions that the other controllers have said they can write.
        self._versions: dict[str, int] = {}

    async def answer(self, body: bytes) -> Answer:
        """Answer one message."""
        try:
            message: messages.PeerMessage = wire.decode(body, messages.PeerMessage)  # type: ignore[arg-type]
        except wire.WireError as error:
            self._metrics.malformed_peer_messages += 1
            log.info("malformed message of a controller: %s", error)
            return Answer.error(400, str(error))
        if isinstance(message, messages.ForwardRequest):
            return Answer(200, wire.encode(await self._carry_out(message)))
        if isinstance(message, messages.Ping):
            self.note_version(message.sender, message.data_version)
            return Answer(200, wire.encode(self._pong()))
        if isinstance(message, messages.ViewRequest):
            self.note_version(message.sender, message.data_version)
            return Answer(200, wire.encode(await self._view()))
        return Answer.error(400, "not a question")

    async def _carry_out(self, message: messages.ForwardRequest) -> messages.ForwardResponse:
        """Answer a user's request that another controller passes on."""
        answer = await self._users.handle(message.method, message.path, message.body.encode(), forwarded=True)
        if answer is None:
            answer = Answer.error(404, "no such path")
        return messages.ForwardResponse(answer.status, answer.body.decode(), answer.retry_after_s)

    def note_version(self, label: str, version: int) -> None:
        """A controller has said which data version it can write; once all write ours, it may begin.

        Nobody goes back after it was upgraded, so answers may be gathered over time.
        """
        self._versions[label] = version
        scheduler = self._active_term.scheduler
        if scheduler is None or scheduler.migration.latch_requested:
            return
        if all(self._versions.get(peer.label, 1) >= DATA_VERSION for peer in self._platform.peers):
            scheduler.migration.request_latch()
            self._active_term.wake_committer()

    def _pong(self) -> messages.Pong:
        election = self._active_term.election
        return messages.Pong(
            self._platform.label,
            election.may_answer_heartbeats,
            election.leader,
            election.leader_fencing_token,
            self._leader_status(),
            DATA_VERSION,
        )

    async def _view(self) -> messages.ViewResponse:
        """Return how we see the store, asked just now."""
        election = self._active_term.election
        try:
            await asyncio.wait_for(self._store.get(LEADER_KEY), election.ttl_s * STORE_WAIT)
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

    def _age(self, moment: float | None) -> float:
        """Return how long ago something happened; negative: never."""
        return self._clock() - moment if moment is not None else -1.0

    def _leader_status(self) -> messages.LeaderStatus | None:
        """Tell how we stand, if we lead."""
        scheduler, election = self._active_term.scheduler, self._active_term.election
        if scheduler is None or not election.is_leader:
            return None
        cancelled = sorted(scheduler.cancellations.jobs_still_placed())
        named = cancelled if len(cancelled) <= MOST_NAMED else None
        return messages.LeaderStatus(self._clock() - election.last_confirmed_at, named)
