"""Leadership: one leader by a key attached to a lease; the revision of the winning put is the token."""

from driftcleat.leadership.active_term import ActiveTerm
from driftcleat.leadership.election import Election, LeaderRecord, PeerSurvey, Role
from driftcleat.leadership.lease import LeaseClock

__all__ = ["ActiveTerm", "Election", "LeaderRecord", "LeaseClock", "PeerSurvey", "Role"]
