"""The state of one placement round."""

from driftcleat.cluster import Machine
from driftcleat.placement.candidates import Candidate
from driftcleat.placement.fair_share import FairShareOrder
from driftcleat.placement.placement_round import PlacementRound
from driftcleat.placement.quota import QuotaHeadroom
from driftcleat.placement.victims import PreemptibleTasks
from driftcleat.scheduler.machine_candidates import MachineCandidates
from driftcleat.wire.cloud import MachineType


class RoundState:
    """The candidates and quota headroom as this round's decisions leave them, and the preemptible tasks."""

    def __init__(
        self,
        placement_round: PlacementRound,
        machine_candidates: MachineCandidates,
        order: FairShareOrder,
        now: float,
    ) -> None:
        self.placement_round = placement_round
        self.order = order
        self.now = now
        self.quotas: dict[str, QuotaHeadroom] = {}
        # Collected when first needed.
        self.preemptible: PreemptibleTasks | None = None
        self._machine_candidates = machine_candidates
        self._candidates = {candidate.name: candidate for candidate in placement_round.candidates}

    def candidate(self, machine: Machine, machine_type: MachineType) -> Candidate:
        """Return a machine as this round leaves it; one with too few free resources to be a candidate is created."""
        candidate = self._candidates.get(machine.name)
        if candidate is None:
            candidate = self._machine_candidates.candidate_for(machine, machine_type, self.now)
            self._candidates[machine.name] = candidate
        return candidate
