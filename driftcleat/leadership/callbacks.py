"""Callbacks from the election into the rest of the controller."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from driftcleat.leadership.peer_survey import PeerSurvey


@dataclass(slots=True)
class ElectionCallbacks:
    """Functions of the controller that the election calls."""

    # Reads all records and begins the term with this fencing token.
    recover: Callable[[int], Awaitable[None]]
    # Called after the term has ended.
    on_step_down: Callable[[], None]
    # Queries every other controller.
    query_peers: Callable[[], Awaitable[PeerSurvey]]
    # Queries only the known leader.
    query_leader: Callable[[], Awaitable[PeerSurvey]]
