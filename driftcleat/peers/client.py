"""The client for messages to other controllers, at their `back` addresses."""

import asyncio

from driftcleat import wire
from driftcleat.errors import DriftcleatError
from driftcleat.net import HttpClient, HttpError, HttpResponse
from driftcleat.settings import Platform
from driftcleat.store.records import DATA_VERSION
from driftcleat.wire import peers as messages

PEER_PATH = "/peer"
HTTP_OK = 200


class PeerError(DriftcleatError):
    """A controller gave no usable response; it may still have carried out the request."""


class PeerClient:
    """Sends messages to the other controllers."""

    def __init__(self, client: HttpClient, platform: Platform, path: str = PEER_PATH) -> None:
        self.path = path
        self._client = client
        self.label = platform.label
        self.addresses = {peer.label: peer.address for peer in platform.peers}

    async def send(self, label: str, message: messages.PeerMessage, timeout_s: float) -> messages.PeerMessage:
        """Send one message to the controller `label`; return the response, `PeerError` if there is no usable one."""
        address = self.addresses.get(label)
        if address is None:
            raise PeerError(f"controller {label}: unknown")
        try:
            response = await self.exchange(address, wire.encode(message), timeout_s)
        except (HttpError, TimeoutError) as error:
            raise PeerError(f"controller {label}: no response: {error!r}") from None
        if response.status != HTTP_OK:
            raise PeerError(f"controller {label}: status {response.status}")
        try:
            return wire.decode(response.body, messages.PeerMessage)  # type: ignore[arg-type]
        except wire.WireError as error:
            raise PeerError(f"controller {label}: malformed response: {error}") from None

    async def exchange(self, address: str, body: bytes, timeout_s: float) -> HttpResponse:
        """Send one HTTP request and return its response; a subclass may replace the transport."""
        return await self._client.request("POST", address, self.path, body, timeout_s)

    async def ping(self, labels: list[str], timeout_s: float) -> list[messages.Pong]:
        """Ping controllers to learn who leads; return the responses that arrive in time."""
        ping = messages.Ping(self.label, DATA_VERSION)
        responses = await asyncio.gather(
            *(self.send(label, ping, timeout_s) for label in labels), return_exceptions=True
        )
        return [response for response in responses if isinstance(response, messages.Pong)]

    async def request_views(self, timeout_s: float) -> list[messages.ViewResponse]:
        """Request the views of all other controllers; return the responses that arrive in time."""
        responses = await asyncio.gather(
            *(
                self.send(label, messages.ViewRequest(self.label, DATA_VERSION), timeout_s)
                for label in self.addresses
            ),
            return_exceptions=True,
        )
        return [response for response in responses if isinstance(response, messages.ViewResponse)]
