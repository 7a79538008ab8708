"""Work beside a controller's loops: contained, so that no failure of it ends the process."""

import asyncio
import logging
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from typing import TypeVar

log = logging.getLogger(__name__)

T = TypeVar("T")


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


async def in_slices(items: Iterable[T], at_once: int) -> AsyncIterator[T]:
    """Go through items, and let others go on after so many at once."""
    for number, item in enumerate(items, 1):
        yield item
        if number % at_once == 0:
            await asyncio.sleep(0)
