"""Commands sent straight to workers: stops that cannot wait for a report, and our token after a take-over.

Starts never go this way: a command held back by a cut is carried out late, a report's answer never is.
"""

import asyncio
import logging

import aiohttp

from driftcleat import wire
from driftcleat.wire.workers import DirectOrders, Report, Signal

log = logging.getLogger(__name__)


class WorkerClient:
    """Speaks to workers' own addresses."""

    def __init__(self, session: aiohttp.ClientSession, timeout_s: float, at_once: int) -> None:
        self.session, self.timeout_s = session, timeout_s
        self.slots = asyncio.Semaphore(at_once)

    async def send(self, addr: str, token: int, session_number: int, signals: list[Signal]) -> Report | None:
        """Send commands; return the report of a worker that refused them, None if it took them or is silent."""
        body = wire.encode(DirectOrders(token, session_number, signals))
        async with self.slots:
            try:
                async with self.session.post(f"http://{addr}/commands", data=body,
                                             timeout=aiohttp.ClientTimeout(total=self.timeout_s)) as response:
                    data = await response.read()
                    if response.status == 409:
                        return wire.decode(data, Report)
            except (aiohttp.ClientError, TimeoutError, OSError, wire.WireError) as error:
                log.debug("worker %s: %r", addr, error)
        return None
