"""What the other controllers say about the store and the leader when they are asked."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PeerSurvey:
    """The answers of the other controllers, combined."""

    # Whether the store serves one of them, or one of them leads.
    peer_reaches_store: bool = False
    # As of when a leader among them was confirmed, on our clock; minus infinity if none answered.
    leader_confirmed_at: float = float("-inf")
    # The cancelled jobs whose tasks that leader had not yet seen terminated.
    cancelled_jobs: frozenset[str] = frozenset()
    # The highest fencing token that any of them knows, and the leader whose it is.
    highest_fencing_token: int = 0
    leader: str | None = None
    # Whether all of them answered and have read a leader key since they were started: only then do they know of every
    # term that they may have led.
    all_have_read_leader_key: bool = False
