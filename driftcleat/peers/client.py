"""The client side between controllers, over each other's `back` address."""

import asyncio

from driftcleat import wire
from driftcleat.errors import DriftcleatError
from driftcleat.net import HttpClient, HttpError
from driftcleat.settings import Platform
from driftcleat.store.records import DATA_VERSION
from driftcleat.wire import peers as messages

PATH = "/peer"


class PeerError(DriftcleatError):
    """A controller that gave no usable answer; what was asked may still be carried out."""


class PeerClient:
    """Speaks to the other controllers."""

    def __init__(self, client: HttpClient, platform: Platform) -> None:
        self.client = client
        self.label = platform.label
        self.addresses = {peer.label: peer.address for peer in platform.peers}

    async def send(self, label: str, message: messages.PeerMessage, timeout_s: float) -> messages.PeerMessage:
        """Send one message; return the answer."""
        address = self.addresses.get(label)
        if address is None:
            raise PeerError(f"unknown controller {label}")
        try:
            status, data = await self._exchange(address, wire.encode(message), timeout_s)
        except (HttpError, TimeoutError) as error:
            raise PeerError(f"no answer: {error!r}") from None
        if status != 200:
            raise PeerError(f"status {status}")
        try:
            return wire.decode(data, messages.PeerMessage)  # type: ignore[arg-type]
        except wire.WireError as error:
            raise PeerError(str(error)) from None

    async def _exchange(self, address: str, body: bytes, timeout_s: float) -> tuple[int, bytes]:
        """Send one request; return status and body."""
        answer = await self.client.request("POST", address, PATH, body, timeout_s)
        return answer.status, answer.body

    async def ping(self, labels: list[str], timeout_s: float) -> list[messages.Pong]:
        """Ask controllers who leads; those that answer are returned."""
        question = messages.Ping(self.label, DATA_VERSION)
        answers = await asyncio.gather(
            *(self.send(label, question, timeout_s) for label in labels), return_exceptions=True
        )
        return [answer for answer in answers if isinstance(answer, messages.Pong)]

    async def views(self, timeout_s: float) -> list[messages.View]:
        """Ask every other controller how it sees the world; those that answer are returned."""
        answers = await asyncio.gather(
            *(self.send(label, messages.Ask(self.label, DATA_VERSION), timeout_s) for label in self.addresses),
            return_exceptions=True,
        )
        return [answer for answer in answers if isinstance(answer, messages.View)]
