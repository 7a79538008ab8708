"""What the other controllers say when asked."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PeerSurvey:
    """What the other controllers say when asked.

    Whether one of them is served by the store or leads; as of when a leader among them was sure of it, and which
    cancelled jobs' tasks it had not seen gone; the highest token that any of them knows and whose it is; whether
    every one of them has read a leader key since it was started, and so can say what it knows.
    """

    peer_reaches_store: bool = False
    leader_confirmed_at: float = float("-inf")
    cancelled_jobs: frozenset[str] = frozenset()
    highest_fencing_token: int = 0
    leader: str | None = None
    all_have_read_leader_key: bool = False
