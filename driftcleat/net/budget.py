"""How the descriptors that a process may have are shared out; what is kept for one use nothing else can take."""

from dataclasses import dataclass

from driftcleat.net.http_client import HttpClient
from driftcleat.net.limiter import SOFT_LIMIT_SHARE, WORKER_SHARE

# The event loop, the log, the listeners and what the libraries keep open.
PROCESS_DESCRIPTORS = 24
# What must never wait for a descriptor: the lease's renewal beside an attempt that hangs.
LEASE_CONNECTIONS = 4
CLOUD_CONNECTIONS = 6


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Connections out for one use: in all, and to one address."""

    max_total: int
    max_per_address: int

    def make_client(self, keep_s: float) -> HttpClient:
        """Return a client that keeps to it; what is idle for longer is not used again."""
        return HttpClient(self.max_total, self.max_per_address, keep_s)


class SocketBudget:
    """Shares of the platform's limit.

    Guards against one controller of a fleet that has more machines than it may have sockets: reports took what the
    lease's renewal needed.
    """

    def __init__(self, fd_limit: int, peers: int) -> None:
        peer = max(4, fd_limit // 50)
        self.lease = ConnectionLimits(LEASE_CONNECTIONS, LEASE_CONNECTIONS)
        self.store = ConnectionLimits(max(8, fd_limit // 40), max(8, fd_limit // 40))
        self.cloud = ConnectionLimits(CLOUD_CONNECTIONS, CLOUD_CONNECTIONS)
        self.peers = ConnectionLimits(peer * max(1, peers), peer)
        self.workers = ConnectionLimits(max(8, fd_limit // 15), 2)
        # Every other controller may have as many connections to us as we to it, and an operator some.
        self.max_back_connections = peer * peers + 4
        out = sum(part.max_total for part in (self.lease, self.store, self.cloud, self.peers, self.workers))
        # Connections in: workers' and users'.
        self.max_front_connections = max(16, fd_limit - PROCESS_DESCRIPTORS - out - self.max_back_connections)

    @property
    def max_user_connections(self) -> int:
        """Return how many of the connections in are users' share."""
        return max(1, int(self.max_front_connections * SOFT_LIMIT_SHARE * (1 - WORKER_SHARE)))
