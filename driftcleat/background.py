"""Work beside a controller's loops: contained, so that no failure of it ends the process."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

log = logging.getLogger(__name__)


class Background:
    """Tasks on the side."""

    def __init__(self) -> None:
        self.tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Awaitable[None]) -> None:
        """Run something on the side; its failure is logged."""
        task = asyncio.ensure_future(self._contained(work))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    @staticmethod
    async def _contained(work: Awaitable[None]) -> None:
        try:
            await work
        except Exception:
            log.exception("side task failed")


async def run_for_ever(loop: Callable[[], Awaitable[None]], pause_s: float) -> None:
    """Run a loop for ever; what it raises is logged, the process never ends itself."""
    while True:
        try:
            await loop()
        except asyncio.CancelledError:
            raise
        except Exception:
            log.exception("loop %s failed, it goes on", getattr(loop, "__qualname__", loop))
        await asyncio.sleep(pause_s)
