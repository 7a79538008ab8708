"""What the election calls in the rest of the controller."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from driftcleat.leadership.peer_survey import PeerSurvey


@dataclass(slots=True)
class ElectionCallbacks:
    """Functions of the controller that the election calls."""

    # Read the records and begin the term with this fencing token.
    recover: Callable[[int], Awaitable[None]]
    # The term is over.
    on_step_down: Callable[[], None]
    # Ask every other controller, or the known leader alone.
    ask_peers: Callable[[], Awaitable[PeerSurvey]]
    ask_leader: Callable[[], Awaitable[PeerSurvey]]
