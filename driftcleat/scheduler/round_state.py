"""What one placement round has found out so far."""

from collections.abc import Callable

from driftcleat.cluster import Machine
from driftcleat.placement.candidates import Candidate
from driftcleat.placement.fair_share import FairShareOrder
from driftcleat.placement.placement_round import PlacementRound
from driftcleat.placement.quota import QuotaHeadroom
from driftcleat.placement.victims import PreemptibleTasks


class RoundState:
    """The candidates as this round leaves them, what teams may still take, and who could be stopped."""

    def __init__(self, work: PlacementRound, order: FairShareOrder, now: float) -> None:
        self.work, self.order, self.now = work, order, now
        self.limits: dict[str, QuotaHeadroom] = {}
        # Worked out when it is first needed.
        self.victims: PreemptibleTasks | None = None
        self._candidates = {candidate.name: candidate for candidate in work.candidates}

    def candidate(self, make: Callable[[Machine, float], Candidate], machine: Machine) -> Candidate:
        """Return a machine as this round leaves it."""
        candidate = self._candidates.get(machine.name)
        if candidate is None:
            candidate = self._candidates[machine.name] = make(machine, self.now)
        return candidate
