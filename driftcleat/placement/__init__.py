"""Placement: a pure function from jobs, candidate machines and limits to places. It changes nothing itself."""

from driftcleat.placement.candidates import Candidate, allowed, fits
from driftcleat.placement.placement_round import PlacementRound
from driftcleat.placement.preemption_plan import PreemptionPlan

__all__ = ["Candidate", "PlacementRound", "PreemptionPlan", "allowed", "fits"]
