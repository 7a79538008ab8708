"""Commands sent straight to workers: stops that cannot wait for a report, and our token after a take-over.

Starts never go this way: a command held back by a cut is carried out late, a report's answer never is.
"""

import asyncio
import logging

from driftcleat import wire
from driftcleat.net import HttpAnswer, HttpClient, HttpError
from driftcleat.wire.workers import Command, CommandRequest, Heartbeat

log = logging.getLogger(__name__)


class WorkerClient:
    """Speaks to workers' own addresses.

    Machines that may well be silent have slots of their own and less time. Guards against a stop that a cancellation
    waits for behind hundreds of calls to machines that are gone, each taking its full time.
    """

    def __init__(self, client: HttpClient, timeout_s: float, at_once: int) -> None:
        self.client, self.timeout_s = client, timeout_s
        self.prompt, self.likely_unreachable = (
            asyncio.Semaphore(max(1, at_once // 2)),
            asyncio.Semaphore(max(1, at_once // 2)),
        )
        self.asking: set[str] = set()

    async def send(
        self, addr: str, token: int, session_number: int, commands: list[Command], likely_unreachable: bool = False
    ) -> Heartbeat | None:
        """Send commands; return the report of a worker that refused them, None if it took them or is silent.

        What goes to a `likely_unreachable` machine is left out while an earlier call to it is still open.
        """
        if likely_unreachable and addr in self.asking:
            return None
        body = wire.encode(CommandRequest(token, session_number, commands))
        if likely_unreachable:
            self.asking.add(addr)
        try:
            async with self.likely_unreachable if likely_unreachable else self.prompt:
                return await self._post(addr, body, self.timeout_s / 3 if likely_unreachable else self.timeout_s)
        finally:
            if likely_unreachable:
                self.asking.discard(addr)

    async def _post(self, addr: str, body: bytes, timeout_s: float) -> Heartbeat | None:
        try:
            answer = await self.exchange(addr, body, timeout_s)
            if answer.status == 409:
                return wire.decode(answer.body, Heartbeat)
        except (HttpError, TimeoutError, wire.WireError) as error:
            log.debug("worker %s: %r", addr, error)
        return None

    async def exchange(self, addr: str, body: bytes, timeout_s: float) -> HttpAnswer:
        """Send one request."""
        # Several workers may be behind one port, told apart by the path in their address.
        host, slash, path = addr.partition("/")
        return await self.client.request("POST", host, f"{slash}{path}/commands", body, timeout_s)
