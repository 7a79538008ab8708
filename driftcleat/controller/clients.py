"""The clients of one process: each use has connections of its own, so what hangs in one takes none from another."""

from collections.abc import Callable
from dataclasses import dataclass

from driftcleat.cloud.client import CloudClient
from driftcleat.net import HttpClient, SocketBudget
from driftcleat.settings import Platform
from driftcleat.store.client import StoreClient, StoreLimits
from driftcleat.workers import WorkerClient

# A request to the store has this part of a report interval.
STORE_TIMEOUT = 0.5


@dataclass(frozen=True, slots=True)
class Clients:
    """Clients of store, cloud and workers, connections to other controllers, and what is to be closed in the end."""

    store: StoreClient
    cloud: CloudClient
    workers: WorkerClient
    peers: HttpClient
    connections: list[HttpClient]


def store_limits(platform: Platform) -> StoreLimits:
    """Return what the store takes of a process."""
    return StoreLimits(platform.state_rps, platform.write_rps, platform.report_s * STORE_TIMEOUT)


def connect(platform: Platform, sockets: SocketBudget, clock: Callable[[], float]) -> Clients:
    """Make the clients of a process."""
    store, lease, cloud, peers, workers = connections = [
        part.client(platform.lease_s)
        for part in (sockets.store, sockets.lease, sockets.cloud, sockets.peers, sockets.workers)
    ]
    return Clients(
        StoreClient(store, lease, platform.state, store_limits(platform), clock),
        CloudClient(cloud, platform.cloud, platform.cloud_rps, platform.report_s, clock),
        WorkerClient(workers, platform.report_s, sockets.workers.total),
        peers,
        connections,
    )
