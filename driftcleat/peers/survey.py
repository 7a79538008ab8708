"""Survey of the other controllers' views of the store and the leader, for the election."""

from collections.abc import Callable
from typing import NamedTuple

from driftcleat.leadership import ActiveTerm, PeerSurvey
from driftcleat.leadership.role import LEADING_ROLES
from driftcleat.peers.client import PeerClient
from driftcleat.scheduler import Scheduler
from driftcleat.settings import Platform
from driftcleat.wire import peers as messages

# A controller counts as reaching the store if its last successful request is younger than this.
MAX_STORE_SUCCESS_AGE_S = 0.5
# Timeout of a view request, as a fraction of the leader lease's time to live.
VIEW_TIMEOUT_FRACTION = 0.4
# Timeout of a ping, as a fraction of the heartbeat interval.
PING_TIMEOUT_FRACTION = 1 / 10


class LeaderContact(NamedTuple):
    """Status of the leader whose leadership was confirmed last, among the controllers that responded."""

    # Time on our clock; minus infinity if no leader responded.
    confirmed_at: float
    cancelled_jobs: frozenset[str]


class PeerSurveyor:
    """Queries the other controllers about the store and the leader."""

    def __init__(
        self, platform: Platform, peers: PeerClient, active_term: ActiveTerm[Scheduler], clock: Callable[[], float]
    ) -> None:
        self._platform = platform
        self._peers = peers
        self._active_term = active_term
        self._clock = clock

    async def query_all(self) -> PeerSurvey:
        """Query all other controllers for their views of the store and the leader."""
        asked_at = self._clock()
        views = await self._peers.request_views(self._active_term.election.ttl_s * VIEW_TIMEOUT_FRACTION)
        highest = max(views, key=lambda view: view.fencing_token, default=None)
        contact = _leader_contact(asked_at, [view.leader_status for view in views])
        return PeerSurvey(
            peer_reaches_store=any(_reaches_store(view) or view.role in LEADING_ROLES for view in views),
            leader_confirmed_at=contact.confirmed_at,
            cancelled_jobs=contact.cancelled_jobs,
            highest_fencing_token=highest.fencing_token if highest else 0,
            leader=highest.leader if highest else None,
            all_have_read_leader_key=len(views) == len(self._platform.peers)
            and all(view.has_read_leader_key for view in views),
        )

    async def query_leader(self) -> PeerSurvey:
        """Query the leader when its leadership was last confirmed."""
        asked_at = self._clock()
        leader = self._active_term.leader
        if leader is None or leader not in self._peers.addresses:
            return PeerSurvey()
        pongs = await self._peers.ping([leader], self._platform.report_s * PING_TIMEOUT_FRACTION)
        contact = _leader_contact(asked_at, [pong.leader_status for pong in pongs])
        return PeerSurvey(leader_confirmed_at=contact.confirmed_at, cancelled_jobs=contact.cancelled_jobs)

    async def reaches_leader(self) -> bool:
        """Return whether the known leader confirms that it leads; if not, query the other controllers who leads."""
        timeout_s = self._platform.report_s * PING_TIMEOUT_FRACTION
        leader = self._active_term.leader
        if leader is not None and leader in self._peers.addresses:
            pongs = await self._peers.ping([leader], timeout_s)
            if any(pong.leads for pong in pongs):
                return True
        others = [label for label in self._peers.addresses if label != leader]
        for pong in await self._peers.ping(others, timeout_s):
            self._active_term.election.observe_leader(pong.sender if pong.leads else pong.leader, pong.fencing_token)
        return False


def _leader_contact(asked_at: float, statuses: list[messages.LeaderStatus | None]) -> LeaderContact:
    """Return the status that was confirmed last; one without the list of cancelled jobs is ignored."""
    complete = [status for status in statuses if status is not None and status.cancelled_jobs is not None]
    if not complete:
        return LeaderContact(float("-inf"), frozenset())
    latest = min(complete, key=lambda status: status.confirmed_age_s)
    return LeaderContact(asked_at - latest.confirmed_age_s, frozenset(latest.cancelled_jobs or ()))


def _reaches_store(view: messages.ViewResponse) -> bool:
    """Return whether a controller has reached the store recently."""
    return 0 <= view.store_success_age_s < MAX_STORE_SUCCESS_AGE_S
