"""The client for command requests to workers: stops that cannot wait for a heartbeat, and the fencing token.

Starts are sent in heartbeat responses only: a partition may delay a request, which the worker then carries out late.
"""

import asyncio
import logging

from driftcleat import wire
from driftcleat.net import HttpClient, HttpError, HttpResponse
from driftcleat.wire.workers import Command, CommandRequest, Heartbeat

log = logging.getLogger(__name__)

# For a likely unreachable worker the timeout is divided by this.
UNREACHABLE_TIMEOUT_DIVISOR = 3
HTTP_CONFLICT = 409


class WorkerClient:
    """Sends command requests to workers' own addresses, a bounded number concurrently.

    Likely unreachable workers have their own half of the fan-out limit and a shorter timeout. This guards against a
    stop of a cancelled job that waits behind hundreds of requests to terminated machines, each of which times out.
    """

    def __init__(self, client: HttpClient, timeout_s: float, fan_out_limit: int) -> None:
        """Set up a client with at most `fan_out_limit` requests in flight."""
        half = max(1, fan_out_limit // 2)
        self._client = client
        self._timeout_s = timeout_s
        self._reachable_slots = asyncio.Semaphore(half)
        self._unreachable_slots = asyncio.Semaphore(half)
        # Addresses of likely unreachable workers with a request in flight.
        self.unreachable_in_flight: set[str] = set()

    async def send(
        self,
        address: str,
        fencing_token: int,
        worker_epoch: int,
        commands: list[Command],
        likely_unreachable: bool = False,
    ) -> Heartbeat | None:
        """Send commands; return the heartbeat of a worker that refused them, None if it accepted or did not respond.

        Nothing is sent to a `likely_unreachable` worker while an earlier request to it is in flight.
        """
        request = CommandRequest(fencing_token, worker_epoch, commands)
        if not likely_unreachable:
            body = wire.encode(request)
            async with self._reachable_slots:
                return await self._post(address, body, self._timeout_s)
        if address in self.unreachable_in_flight:
            return None
        body = wire.encode(request)
        self.unreachable_in_flight.add(address)
        try:
            async with self._unreachable_slots:
                return await self._post(address, body, self._timeout_s / UNREACHABLE_TIMEOUT_DIVISOR)
        finally:
            self.unreachable_in_flight.discard(address)

    async def _post(self, address: str, body: bytes, timeout_s: float) -> Heartbeat | None:
        try:
            response = await self.exchange(address, body, timeout_s)
            if response.status == HTTP_CONFLICT:
                return wire.decode(response.body, Heartbeat)
        except (HttpError, TimeoutError, wire.WireError) as error:
            log.debug("worker %s: command request failed: %r", address, error)
        return None

    async def exchange(self, address: str, body: bytes, timeout_s: float) -> HttpResponse:
        """Send one HTTP request and return its response; a subclass may replace the transport."""
        # Several workers may share a port: the path in an address identifies the worker.
        host, slash, path = address.partition("/")
        return await self._client.request("POST", host, f"{slash}{path}/commands", body, timeout_s)
