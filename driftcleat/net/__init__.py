"""Networking: the budget of sockets, the limiter of incoming connections, and the pooling HTTP client."""

from driftcleat.net.budget import ConnectionLimits, SocketBudget
from driftcleat.net.http_client import HttpClient
from driftcleat.net.http_connection import ConnectError, HttpError, HttpResponse
from driftcleat.net.limiter import ConnectionLimiter

__all__ = [
    "ConnectError",
    "ConnectionLimiter",
    "ConnectionLimits",
    "HttpClient",
    "HttpError",
    "HttpResponse",
    "SocketBudget",
]
