"""The clients of one process. Each purpose has its own connections, so a hanging request blocks no other purpose."""

from collections.abc import Callable
from typing import NamedTuple

from driftcleat.cloud.client import CloudClient
from driftcleat.net import HttpClient, SocketBudget
from driftcleat.peers import PeerClient
from driftcleat.settings import Platform
from driftcleat.store.client import StoreClient, StoreLimits
from driftcleat.workers import WorkerClient

# The timeout of a request to the state service, in heartbeat intervals.
STORE_TIMEOUT_INTERVALS = 0.5


class ControllerClients(NamedTuple):
    """The clients that one controller, or the engine of one shard, sends its requests with."""

    store: StoreClient
    cloud: CloudClient
    workers: WorkerClient
    peers: PeerClient


class ProcessClients(NamedTuple):
    """The clients of a process; `peers` is the HTTP client that every `PeerClient` of the process uses."""

    store: StoreClient
    cloud: CloudClient
    workers: WorkerClient
    peers: HttpClient
    # All HTTP clients, in the order in which they are closed.
    connections: list[HttpClient]

    def for_controller(self, platform: Platform) -> ControllerClients:
        """Return the clients of the only controller of this process."""
        return ControllerClients(self.store, self.cloud, self.workers, PeerClient(self.peers, platform))


def store_limits(platform: Platform) -> StoreLimits:
    """Return the limits on requests to the state service: rates per second, and the timeout in seconds."""
    return StoreLimits(platform.state_rps, platform.write_rps, platform.report_s * STORE_TIMEOUT_INTERVALS)


def make_clients(platform: Platform, sockets: SocketBudget, clock: Callable[[], float]) -> ProcessClients:
    """Return the clients of a process; they connect at their first request."""
    store, lease, cloud, peers, workers = connections = [
        allowance.make_client(platform.lease_s)
        for allowance in (sockets.store, sockets.lease, sockets.cloud, sockets.peers, sockets.workers)
    ]
    return ProcessClients(
        store=StoreClient(store, lease, platform.state, store_limits(platform), clock),
        cloud=CloudClient(cloud, platform.cloud, platform.cloud_rps, platform.report_s, clock),
        workers=WorkerClient(workers, platform.report_s, sockets.workers.max_total),
        peers=peers,
        connections=connections,
    )
