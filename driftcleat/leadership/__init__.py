"""Leadership: one leader by a key attached to a lease; the revision of the winning put is the token."""

from driftcleat.leadership.active_term import ActiveTerm
from driftcleat.leadership.election import Election
from driftcleat.leadership.leader_key import LeaderRecord
from driftcleat.leadership.lease import LeaseClock
from driftcleat.leadership.peer_survey import PeerSurvey
from driftcleat.leadership.role import Role

__all__ = ["ActiveTerm", "Election", "LeaderRecord", "LeaseClock", "PeerSurvey", "Role"]
