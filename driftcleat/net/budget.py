"""How the descriptors that a process may have are shared out; what is kept for one use nothing else can take."""

from dataclasses import dataclass

from driftcleat.net.http_client import HttpClient
from driftcleat.net.limiter import KEPT, WORKERS

# The event loop, the log, the listeners and what the libraries keep open.
OWN = 24
# What must never wait for a descriptor: the lease's renewal beside an attempt that hangs.
LEASE = 4
CLOUD = 6


@dataclass(frozen=True, slots=True)
class Allowance:
    """Connections out for one use: in all, and to one address."""

    total: int
    each: int

    def client(self, keep_s: float) -> HttpClient:
        """Return a client that keeps to it; what is idle for longer is not used again."""
        return HttpClient(self.total, self.each, keep_s)


class SocketBudget:
    """Shares of the platform's limit.

    Guards against one controller of a fleet that has more machines than it may have sockets: reports took what the
    lease's renewal needed.
    """

    def __init__(self, fd_limit: int, peers: int) -> None:
        peer = max(4, fd_limit // 50)
        self.lease = Allowance(LEASE, LEASE)
        self.store = Allowance(max(8, fd_limit // 40), max(8, fd_limit // 40))
        self.cloud = Allowance(CLOUD, CLOUD)
        self.peers = Allowance(peer * max(1, peers), peer)
        self.workers = Allowance(max(8, fd_limit // 15), 2)
        # Every other controller may have as many connections to us as we to it, and an operator some.
        self.back = peer * peers + 4
        out = sum(part.total for part in (self.lease, self.store, self.cloud, self.peers, self.workers))
        # Connections in: workers' and users'.
        self.front = max(16, fd_limit - OWN - out - self.back)

    @property
    def users(self) -> int:
        """Return how many of the connections in are users' share."""
        return max(1, int(self.front * KEPT * (1 - WORKERS)))
