"""The client for the cloud: typed requests over pooled connections, with a timeout and a client-side rate limit."""

import logging
from collections.abc import Callable
from typing import TypeVar

from driftcleat import wire
from driftcleat.errors import DriftcleatError
from driftcleat.net import HttpClient, HttpError, HttpResponse
from driftcleat.store.rate_limit import TokenBucket
from driftcleat.wire import cloud as messages

log = logging.getLogger(__name__)

T = TypeVar("T")

# The maximum number of machines that the cloud lists in one response, and deletes in one request.
LIST_PAGE_SIZE = 500
MAX_MACHINES_PER_DELETE = 100
# The fraction of the cloud's rate limit that is used, and the size of a burst as seconds of that rate.
RATE_LIMIT_SHARE = 0.9
BURST_S = 2.0

STATUS_OK = 200
STATUS_UNAVAILABLE = 503
# The body of a 503 response contains this text if the cloud has no machines left, rather than an outage.
NO_CAPACITY_TEXT = b"no capacity"


class CloudError(DriftcleatError):
    """The cloud gave no usable response; it may still have carried out the request."""


class NoCapacityError(CloudError):
    """The cloud has no machine of the requested type, zone and kind."""


class CloudClient:
    """Sends requests to the cloud. All of them raise `CloudError` if there is no usable response."""

    def __init__(
        self, client: HttpClient, address: str, rps: float, timeout_s: float, clock: Callable[[], float]
    ) -> None:
        """Set up a client for a cloud that permits `rps` requests a second; a request times out after `timeout_s`."""
        self.client = client
        self.address = address
        self.timeout_s = timeout_s
        self.malformed_responses = 0
        self.rate_limit = TokenBucket(rps * RATE_LIMIT_SHARE, clock, burst_s=BURST_S)

    async def _call(self, method: str, path: str, body: bytes | None, response_type: type[T]) -> T:
        """Send one request within the rate limit and decode its response."""
        await self.rate_limit.acquire(1)
        try:
            response = await self.exchange(method, path, body)
        except (HttpError, TimeoutError) as error:
            raise CloudError(f"{method} {path}: no response: {error!r}") from None
        if response.status == STATUS_UNAVAILABLE and NO_CAPACITY_TEXT in response.body:
            raise NoCapacityError(f"{method} {path}: {response.body.decode('utf-8', 'replace')}")
        if response.status != STATUS_OK:
            raise CloudError(f"{method} {path}: status {response.status}")
        try:
            return wire.decode(response.body, response_type)
        except wire.WireError as error:
            self.malformed_responses += 1
            log.warning("cloud: %s %s: malformed response: %s", method, path, error)
            raise CloudError(f"{method} {path}: malformed response: {error}") from None

    async def exchange(self, method: str, path: str, body: bytes | None) -> HttpResponse:
        """Send one HTTP request and return its response with any status; `HttpError` if there is none."""
        return await self.client.request(method, self.address, path, body, self.timeout_s)

    async def list_machine_types(self) -> tuple[messages.MachineType, ...]:
        """Return the machine types that the cloud offers."""
        return (await self._call("GET", "/machine_types", None, messages.MachineTypesResponse)).types

    async def create_machines(self, request: messages.CreateMachinesRequest) -> tuple[str, ...]:
        """Create machines and return their names, which may be fewer than requested; idempotent by `request_id`.

        `NoCapacityError` if the cloud can create none of them.
        """
        return (await self._call("POST", "/rentals", wire.encode(request), messages.CreateMachinesResponse)).machines

    async def delete_machines(self, names: list[str]) -> None:
        """Delete at most `MAX_MACHINES_PER_DELETE` machines; no task runs on them once this returns."""
        await self._call("POST", "/rentals/return", wire.encode(messages.DeleteMachinesRequest(names)), object)

    async def list_machines(self) -> list[messages.ListedMachine]:
        """Return the whole machine list in order of names; it may be outdated by the list's lag."""
        machines: list[messages.ListedMachine] = []
        after = ""
        while True:
            path = f"/rentals?page={LIST_PAGE_SIZE}" + (f"&from={after}" if after else "")
            page = await self._call("GET", path, None, messages.MachineListResponse)
            machines.extend(page.machines)
            if not page.more or not page.machines:
                return machines
            after = page.machines[-1].name
