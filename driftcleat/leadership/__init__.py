"""Leadership: one leader by a key attached to a lease; the revision of the winning put is the token."""

from .current import CurrentTerm
from .election import Election, LeaderKey, PeerSurvey, Role
from .lease import LeaseClock

__all__ = ["CurrentTerm", "Election", "LeaderKey", "LeaseClock", "PeerSurvey", "Role"]
