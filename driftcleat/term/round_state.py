"""What one placement round has found out so far."""

from collections.abc import Callable

from driftcleat.model import Machine
from driftcleat.placement.candidates import Candidate
from driftcleat.placement.engine import Limits, PlacementRound
from driftcleat.placement.order import Order
from driftcleat.placement.victims import Victims


class RoundState:
    """The candidates as this round leaves them, what teams may still take, and who could be stopped."""

    def __init__(self, work: PlacementRound, order: Order, now: float) -> None:
        self.work, self.order, self.now = work, order, now
        self.limits: dict[str, Limits] = {}
        # Worked out when it is first needed.
        self.victims: Victims | None = None
        self._candidates = {candidate.name: candidate for candidate in work.candidates}

    def candidate(self, make: Callable[[Machine, float], Candidate], machine: Machine) -> Candidate:
        """Return a machine as this round leaves it."""
        candidate = self._candidates.get(machine.name)
        if candidate is None:
            candidate = self._candidates[machine.name] = make(machine, self.now)
        return candidate
