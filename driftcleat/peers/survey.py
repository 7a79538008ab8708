"""What the other controllers say of the store and of who leads, gathered for the election."""

from collections.abc import Callable

from driftcleat.leadership import ActiveTerm, PeerSurvey, Role
from driftcleat.peers.client import PeerClient
from driftcleat.scheduler import Scheduler
from driftcleat.settings import Platform
from driftcleat.wire import peers as messages

# Roles in which a controller answers reports in its own right.
LEADING_ROLES = frozenset((Role.RECOVERING.value, Role.LEADER.value, Role.UNCONFIRMED_LEADER.value))
# A controller that the store served so many seconds ago is served by it.
SERVED_S = 0.5
# How long to wait for answers: to a question about the store of the leader's lease, to a ping of a report interval.
VIEW_WAIT = 0.4
PING_WAIT = 1 / 10


class PeerSurveyor:
    """Asks the other controllers."""

    def __init__(
        self, platform: Platform, peers: PeerClient, active_term: ActiveTerm[Scheduler], clock: Callable[[], float]
    ) -> None:
        self._platform, self._peers = platform, peers
        self._active_term, self._clock = active_term, clock

    async def ask_all(self) -> PeerSurvey:
        """Ask the other controllers how they see the store and who leads."""
        asked_at = self._clock()
        views = await self._peers.views(self._active_term.election.ttl_s * VIEW_WAIT)
        highest = max(views, key=lambda view: view.fencing_token, default=None)
        contact_at, cancelled = _contact(asked_at, [view.leader_status for view in views])
        return PeerSurvey(
            peer_reaches_store=any(_served(view) or view.role in LEADING_ROLES for view in views),
            leader_confirmed_at=contact_at,
            cancelled_jobs=cancelled,
            highest_fencing_token=highest.fencing_token if highest else 0,
            leader=highest.leader if highest else None,
            all_have_read_leader_key=len(views) == len(self._platform.peers)
            and all(view.has_read_leader_key for view in views),
        )

    async def ask_leader(self) -> PeerSurvey:
        """Ask the leader how it stands."""
        asked_at, leader = self._clock(), self._active_term.leader
        if leader is None or leader not in self._peers.addresses:
            return PeerSurvey()
        pongs = await self._peers.ping([leader], self._platform.report_s * PING_WAIT)
        contact_at, cancelled = _contact(asked_at, [pong.leader_status for pong in pongs])
        return PeerSurvey(leader_confirmed_at=contact_at, cancelled_jobs=cancelled)

    async def reaches_leader(self) -> bool:
        """Ask the leader whether it leads; if it does not, learn from the others who does."""
        timeout_s = self._platform.report_s * PING_WAIT
        leader = self._active_term.leader
        if leader is not None and leader in self._peers.addresses:
            pongs = await self._peers.ping([leader], timeout_s)
            if any(pong.leads for pong in pongs):
                return True
        others = [label for label in self._peers.addresses if label != leader]
        for pong in await self._peers.ping(others, timeout_s):
            self._active_term.election.observe_leader(pong.sender if pong.leads else pong.leader, pong.fencing_token)
        return False


def _contact(asked_at: float, statuses: list[messages.LeaderStatus | None]) -> tuple[float, frozenset[str]]:
    """Return as of when the surest leader that was asked was certain, and the cancelled jobs it named."""
    known = [status for status in statuses if status is not None and status.cancelled_jobs is not None]
    if not known:
        return float("-inf"), frozenset()
    surest = min(known, key=lambda status: status.confirmed_age_s)
    return asked_at - surest.confirmed_age_s, frozenset(surest.cancelled_jobs or ())


def _served(view: messages.ViewResponse) -> bool:
    """Whether the store has served this controller just now."""
    return 0 <= view.store_success_age_s < SERVED_S
