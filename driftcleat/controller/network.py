"""The network side of a controller: its clients, and the listeners on `bind` (front) and `back`."""

from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, AsyncExitStack, asynccontextmanager, nullcontext
from typing import Protocol

from driftcleat.api import Listener
from driftcleat.api.server import Handler
from driftcleat.controller.clients import ControllerClients, make_clients
from driftcleat.net import SocketBudget
from driftcleat.settings import Platform
from driftcleat.wire.users import MAX_BODY_BYTES

# The path to which workers send their heartbeats.
HEARTBEAT_PATH = "/agent/beat"
# The largest message between controllers, in bytes.
MAX_PEER_BODY_BYTES = 256 * 1024


class Network(Protocol):
    """The network as a controller uses it: its clients, and the listener for users and workers."""

    @property
    def clients(self) -> ControllerClients:
        """Return the clients with which the controller sends requests."""
        ...

    @property
    def front(self) -> Listener:
        """Return the listener for users and workers; its limiter bounds the number of open connections."""
        ...

    def serve(self) -> AbstractAsyncContextManager[None]:
        """Listen while the context lasts; listeners and clients are closed at its end."""
        ...


# Takes the platform, the clock, and the handlers of requests at `bind` and at `back`.
NetworkFactory = Callable[[Platform, Callable[[], float], Handler, Handler], Network]


class ProcessNetwork:
    """The network of a process with one controller, which owns its clients and listeners."""

    def __init__(self, platform: Platform, clock: Callable[[], float], front: Handler, back: Handler) -> None:
        sockets = SocketBudget(platform.fd_limit, len(platform.peers))
        process_clients = make_clients(platform, sockets, clock)
        self.clients = process_clients.for_controller(platform)
        self.front = Listener(front, sockets.max_front_connections, MAX_BODY_BYTES, HEARTBEAT_PATH)
        self._back = Listener(back, sockets.max_back_connections, MAX_PEER_BODY_BYTES, None)
        self._platform = platform
        self._connections = process_clients.connections

    @asynccontextmanager
    async def serve(self) -> AsyncIterator[None]:
        """Listen on `bind` and `back` while the context lasts; `OSError` if an address cannot be bound."""
        async with AsyncExitStack() as stack:
            for client in reversed(self._connections):
                stack.push_async_callback(client.close)
            for address, listener in ((self._platform.bind, self.front), (self._platform.back, self._back)):
                await listener.start(address)
                stack.push_async_callback(listener.stop)
            yield


class SharedNetwork:
    """Clients and a listener that several controllers of a process share; their owner opens and closes them."""

    def __init__(self, clients: ControllerClients, front: Listener) -> None:
        self.clients = clients
        self.front = front

    def serve(self) -> AbstractAsyncContextManager[None]:
        """Return a context that does nothing, since the owner opens and closes the listener."""
        return nullcontext()
