"""Placement: a pure function from jobs, candidate machines and limits to places. It changes nothing itself."""

from .candidates import Candidate, allowed, fits
from .engine import PlacementRound, PreemptionPlan

__all__ = ["Candidate", "PlacementRound", "PreemptionPlan", "allowed", "fits"]
