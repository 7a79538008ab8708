"""Client for the messages of sharing."""

from typing import TYPE_CHECKING

from driftcleat import wire
from driftcleat.net import HttpError
from driftcleat.peers.client import PeerError
from driftcleat.sharing.messages import SharingMessage

if TYPE_CHECKING:
    from driftcleat.sharing.host import ShardHost

PATH = "/sharing"


class SharingClient:
    """Sends messages of sharing to other controllers."""

    def __init__(self, host: "ShardHost") -> None:
        self._peers = host.make_sharing_client(PATH)

    async def send(self, label: str, message: SharingMessage, timeout_s: float) -> SharingMessage:
        """Send a message and return the response; `PeerError` if there is none or it is malformed."""
        address = self._peers.addresses.get(label)
        if address is None:
            raise PeerError(f"unknown controller {label}")
        try:
            response = await self._peers.exchange(address, wire.encode(message), timeout_s)
        except (HttpError, TimeoutError) as error:
            raise PeerError(f"no response: {error!r}") from None
        if response.status != 200:
            raise PeerError(f"status {response.status}")
        try:
            return wire.decode(response.body, SharingMessage)  # type: ignore[arg-type]
        except wire.WireError as error:
            raise PeerError(str(error)) from None
