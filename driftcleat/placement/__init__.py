"""Assigns tasks to candidate machines within quotas. Placement does no I/O and changes no cluster state."""

from driftcleat.placement.candidates import Candidate, fits, satisfies_constraints
from driftcleat.placement.placement_round import PlacementRound
from driftcleat.placement.preemption_plan import PreemptionPlan

__all__ = ["Candidate", "PlacementRound", "PreemptionPlan", "fits", "satisfies_constraints"]
