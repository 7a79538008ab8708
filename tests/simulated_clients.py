"""A controller's clients without sockets: they pass their requests to a simulation."""

import asyncio
from collections.abc import Callable
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

from driftcleat.cloud.client import CloudClient
from driftcleat.controller.clients import ControllerClients, store_limits
from driftcleat.net import ConnectionLimiter, HttpResponse
from driftcleat.peers import PeerClient
from driftcleat.settings.platform import Platform
from driftcleat.store.client import StoreClient
from driftcleat.workers import WorkerClient

if TYPE_CHECKING:
    from .simulation import Simulation


class SimulatedStoreClient(StoreClient):
    """A store client that passes its requests to the simulation."""

    simulation: "Simulation"
    label: str

    async def exchange(
        self,
        method: str,
        path: str,
        body: bytes | None,
        params: dict[str, str] | None,
        timeout_s: float,
        urgent: bool,
    ) -> HttpResponse:
        response = await asyncio.wait_for(
            self.simulation.to_store(self.label, method, path, params or {}, body or b""), timeout_s
        )
        return HttpResponse(*response)


class SimulatedCloudClient(CloudClient):
    simulation: "Simulation"
    label: str

    async def exchange(self, method: str, path: str, body: bytes | None) -> HttpResponse:
        return HttpResponse(
            *await asyncio.wait_for(self.simulation.to_cloud(method, path, body or b""), self.timeout_s)
        )


class SimulatedPeerClient(PeerClient):
    simulation: "Simulation"

    async def exchange(self, address: str, body: bytes, timeout_s: float) -> HttpResponse:
        return HttpResponse(
            *await asyncio.wait_for(self.simulation.to_peer(self.label, address, body, self.path), timeout_s)
        )


class SimulatedWorkerClient(WorkerClient):
    simulation: "Simulation"
    label: str

    async def exchange(self, addr: str, body: bytes, timeout_s: float) -> HttpResponse:
        return HttpResponse(*await asyncio.wait_for(self.simulation.to_worker(self.label, addr, body), timeout_s))


def simulated_clients(simulation: "Simulation", platform: Platform, clock: Callable[[], float]) -> ControllerClients:
    """Return a controller's clients, which pass their requests to the simulation."""
    none: Any = SimpleNamespace()
    clients = ControllerClients(
        store=SimulatedStoreClient(none, none, "", store_limits(platform), clock),
        cloud=SimulatedCloudClient(none, "", platform.cloud_rps, platform.report_s, clock),
        workers=SimulatedWorkerClient(none, platform.report_s, 64),
        peers=SimulatedPeerClient(none, platform),
    )
    for client in (clients.store, clients.cloud, clients.workers, clients.peers):
        attach_to_simulation(client, simulation, platform)
    return clients


def attach_to_simulation(client: Any, simulation: "Simulation", platform: Platform) -> None:
    """Make a client pass its requests to the simulation, with this controller as the sender."""
    client.simulation = simulation
    client.label = platform.label


def simulated_listener() -> Any:
    """Return a listener without sockets, with the connection limiter that a controller reads."""
    return SimpleNamespace(limiter=ConnectionLimiter(1000, lambda guest: None))
