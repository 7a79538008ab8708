"""Sockets: how many each use may open, and which of those that came in are kept."""

from .budget import Allowance, SocketBudget
from .limiter import ConnectionLimiter

__all__ = ["Allowance", "ConnectionLimiter", "SocketBudget"]
