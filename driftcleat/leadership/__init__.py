"""Leader election on the state service.

The leader key is attached to a lease, so at most one controller leads. The mod revision of the put that created the
key is the fencing token of the term.
"""

from driftcleat.leadership.active_term import ActiveTerm
from driftcleat.leadership.campaign import Campaign
from driftcleat.leadership.election import Election
from driftcleat.leadership.follower_loop import FollowerLoop
from driftcleat.leadership.leader_key import LeaderRecord
from driftcleat.leadership.leader_loop import LeaderLoop
from driftcleat.leadership.lease import LeaseClock
from driftcleat.leadership.peer_survey import PeerSurvey
from driftcleat.leadership.role import IllegalRoleTransitionError, Role

__all__ = [
    "ActiveTerm",
    "Campaign",
    "Election",
    "FollowerLoop",
    "IllegalRoleTransitionError",
    "LeaderLoop",
    "LeaderRecord",
    "LeaseClock",
    "PeerSurvey",
    "Role",
]
