"""Sockets: how many each use may open, and which of those that came in are kept."""

from .budget import Allowance, SocketBudget
from .door import Door

__all__ = ["Allowance", "Door", "SocketBudget"]
