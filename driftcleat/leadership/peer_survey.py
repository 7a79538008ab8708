"""The result of a query to the other controllers about the store and the leader."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PeerSurvey:
    """The combined responses of the other controllers; the defaults stand for no response."""

    # Whether at least one of them reaches the store, or leads.
    peer_reaches_store: bool = False
    # When the leader among them was last confirmed, in seconds of this process's clock; minus infinity if no leader
    # responded.
    leader_confirmed_at: float = float("-inf")
    # Cancelled jobs whose tasks that leader had not yet seen terminated.
    cancelled_jobs: frozenset[str] = frozenset()
    # The highest fencing token that any of them knows, and the label of the leader of that term.
    highest_fencing_token: int = 0
    leader: str | None = None
    # Whether all of them responded and have read a leader key since their start. Otherwise one of them may have led,
    # before a restart, in a term that it no longer knows.
    all_have_read_leader_key: bool = False
