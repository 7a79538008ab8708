"""The client side between controllers, over each other's `back` address."""

import asyncio

from driftcleat import wire
from driftcleat.errors import DriftcleatError
from driftcleat.net import HttpAnswer, HttpClient, HttpError
from driftcleat.settings import Platform
from driftcleat.store.records import DATA_VERSION
from driftcleat.wire import peers as messages

PATH = "/peer"


class PeerError(DriftcleatError):
    """A controller that gave no usable answer; what was asked may still be carried out."""


class PeerClient:
    """Speaks to the other controllers."""

    def __init__(self, client: HttpClient, platform: Platform, path: str = PATH) -> None:
        self.client, self.path = client, path
        self.label = platform.label
        self.addresses = {peer.label: peer.address for peer in platform.peers}

    async def send(self, label: str, message: messages.PeerMessage, timeout_s: float) -> messages.PeerMessage:
        """Send one message; return the answer."""
        address = self.addresses.get(label)
        if address is None:
            raise PeerError(f"unknown controller {label}")
        try:
            answer = await self.exchange(address, wire.encode(message), timeout_s)
        except (HttpError, TimeoutError) as error:
            raise PeerError(f"no answer: {error!r}") from None
        if answer.status != 200:
            raise PeerError(f"status {answer.status}")
        try:
            return wire.decode(answer.body, messages.PeerMessage)  # type: ignore[arg-type]
        except wire.WireError as error:
            raise PeerError(str(error)) from None

    async def exchange(self, address: str, body: bytes, timeout_s: float) -> HttpAnswer:
        """Send one request."""
        return await self.client.request("POST", address, self.path, body, timeout_s)

    async def ping(self, labels: list[str], timeout_s: float) -> list[messages.Pong]:
        """Ask controllers who leads; those that answer are returned."""
        question = messages.Ping(self.label, DATA_VERSION)
        answers = await asyncio.gather(
            *(self.send(label, question, timeout_s) for label in labels), return_exceptions=True
        )
        return [answer for answer in answers if isinstance(answer, messages.Pong)]

    async def views(self, timeout_s: float) -> list[messages.ViewResponse]:
        """Ask every other controller how it sees the world; those that answer are returned."""
        answers = await asyncio.gather(
            *(
                self.send(label, messages.ViewRequest(self.label, DATA_VERSION), timeout_s)
                for label in self.addresses
            ),
            return_exceptions=True,
        )
        return [answer for answer in answers if isinstance(answer, messages.ViewResponse)]
