"""Sockets: how many each use may open, which of those that came in are kept, and the HTTP client."""

from .budget import Allowance, SocketBudget
from .http_client import HttpClient
from .http_connection import ConnectError, HttpAnswer, HttpError
from .limiter import ConnectionLimiter

__all__ = [
    "Allowance",
    "ConnectError",
    "ConnectionLimiter",
    "HttpAnswer",
    "HttpClient",
    "HttpError",
    "SocketBudget",
]
