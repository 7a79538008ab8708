"""Placement: a pure function from jobs, rooms and limits to places. It changes nothing itself."""

from .engine import PlacementRound, Preemption
from .rooms import Room, allowed, fits

__all__ = ["PlacementRound", "Preemption", "Room", "allowed", "fits"]
