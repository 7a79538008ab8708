"""The cloud's client: pooled connections, a time-out on every call, its rate kept on our side."""

import asyncio
import logging
from collections.abc import Callable
from typing import TypeVar

from driftcleat import wire
from driftcleat.errors import DriftcleatError
from driftcleat.net import HttpAnswer, HttpClient, HttpError
from driftcleat.store.rate_limit import TokenBucket
from driftcleat.wire import cloud as messages

log = logging.getLogger(__name__)

T = TypeVar("T")

# The most machines that the cloud lists at once, and that it takes back at once.
PAGE = 500
MOST_RETURNED = 100


class CloudError(DriftcleatError):
    """The cloud gave no usable answer; the request may still be carried out."""


class NoCapacityError(CloudError):
    """None available of this type, zone and kind."""


class CloudClient:
    """Speaks to the cloud."""

    def __init__(
        self, client: HttpClient, address: str, rps: float, timeout_s: float, clock: Callable[[], float]
    ) -> None:
        self.client, self.address, self.timeout_s, self.clock = client, address, timeout_s, clock
        self.malformed_responses = 0
        # The cloud permits bursts worth two seconds.
        self.requests = TokenBucket(rps * 0.9, clock, burst_s=2.0)

    async def _call(self, method: str, path: str, body: bytes | None, kind: type[T]) -> T:
        while (delay := self.requests.delay_s(1)) > 0:
            await asyncio.sleep(delay)
        self.requests.consume(1)
        try:
            answer = await self.exchange(method, path, body)
        except (HttpError, TimeoutError) as error:
            raise CloudError(f"no answer: {error!r}") from None
        if answer.status == 503 and b"no capacity" in answer.body:
            raise NoCapacityError(answer.body.decode("utf-8", "replace"))
        if answer.status != 200:
            raise CloudError(f"status {answer.status}")
        try:
            return wire.decode(answer.body, kind)
        except wire.WireError as error:
            self.malformed_responses += 1
            log.warning("cloud: malformed answer: %s", error)
            raise CloudError(f"malformed answer: {error}") from None

    async def exchange(self, method: str, path: str, body: bytes | None) -> HttpAnswer:
        """Send one request."""
        return await self.client.request(method, self.address, path, body, self.timeout_s)

    async def list_machine_types(self) -> tuple[messages.MachineType, ...]:
        """Return the types on offer."""
        return (await self._call("GET", "/machine_types", None, messages.MachineTypesResponse)).types

    async def create_machines(self, request: messages.CreateMachinesRequest) -> tuple[str, ...]:
        """Rent machines; repeated under the same name it gives the same answer."""
        return (await self._call("POST", "/rentals", wire.encode(request), messages.CreateMachinesResponse)).machines

    async def delete_machines(self, names: list[str]) -> None:
        """Return machines; once this returns they are gone with all that is on them."""
        await self._call("POST", "/rentals/return", wire.encode(messages.DeleteMachinesRequest(names)), object)

    async def list_machines(self) -> list[messages.ListedMachine]:
        """Return the whole machine list, as it was some time ago."""
        out: list[messages.ListedMachine] = []
        after = ""
        while True:
            path = f"/rentals?page={PAGE}" + (f"&from={after}" if after else "")
            page = await self._call("GET", path, None, messages.MachineListResponse)
            out.extend(page.machines)
            if not page.more or not page.machines:
                return out
            after = page.machines[-1].name
