"""Divides the file descriptors of a process among its uses; one reserved for a use is never used for another."""

from dataclasses import dataclass

from driftcleat.net.http_client import HttpClient
from driftcleat.net.limiter import SOFT_LIMIT_SHARE, WORKER_SHARE

# Descriptors for the event loop, the log, the listeners and what libraries keep open.
PROCESS_DESCRIPTORS = 24
# Lease keep-alives must never wait for a descriptor, even while an earlier attempt hangs.
LEASE_CONNECTIONS = 4
CLOUD_CONNECTIONS = 6


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits on the outgoing connections of one use: in total, and to one address."""

    max_total: int
    max_per_address: int

    def make_client(self, idle_timeout_s: float) -> HttpClient:
        """Return a client with these limits, which does not reuse connections idle for `idle_timeout_s` or longer."""
        return HttpClient(self.max_total, self.max_per_address, idle_timeout_s)


class SocketBudget:
    """How many connections each use may open within the descriptor limit of a process.

    A fleet may have more machines than a controller may have sockets. Without a budget, the connections of heartbeats
    take the descriptors that lease keep-alives need.
    """

    def __init__(self, fd_limit: int, peers: int) -> None:
        per_peer = max(4, fd_limit // 50)
        self.lease = ConnectionLimits(LEASE_CONNECTIONS, LEASE_CONNECTIONS)
        self.store = ConnectionLimits(max(8, fd_limit // 40), max(8, fd_limit // 40))
        self.cloud = ConnectionLimits(CLOUD_CONNECTIONS, CLOUD_CONNECTIONS)
        self.peers = ConnectionLimits(per_peer * max(1, peers), per_peer)
        self.workers = ConnectionLimits(max(8, fd_limit // 15), 2)
        # Each peer may open as many connections to this process as this process to it; 4 more are for operators.
        self.max_back_connections = per_peer * peers + 4
        outgoing = sum(part.max_total for part in (self.lease, self.store, self.cloud, self.peers, self.workers))
        # Incoming connections of workers and users.
        self.max_front_connections = max(16, fd_limit - PROCESS_DESCRIPTORS - outgoing - self.max_back_connections)

    @property
    def max_user_connections(self) -> int:
        """Return the part of `max_front_connections` that is reserved for users."""
        return max(1, int(self.max_front_connections * SOFT_LIMIT_SHARE * (1 - WORKER_SHARE)))
