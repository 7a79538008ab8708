"""Tasks and loops beside a controller's main work, contained: an error in one is logged and ends nothing else."""

import asyncio
import logging
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from typing import TypeVar

log = logging.getLogger(__name__)

T = TypeVar("T")


class BackgroundTasks:
    """Background tasks, kept until they end."""

    def __init__(self) -> None:
        self.tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Awaitable[None]) -> None:
        """Run something in the background; its error is logged."""
        task = asyncio.ensure_future(self._contained(work))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    @staticmethod
    async def _contained(work: Awaitable[None]) -> None:
        try:
            await work
        except Exception:
            log.exception("background task failed")


async def run_forever(loop: Callable[[], Awaitable[None]], pause_s: float) -> None:
    """Run a loop, and run it again after a pause when it ends or raises; errors are logged, cancellation ends it."""
    while True:
        try:
            await loop()
        except asyncio.CancelledError:
            raise
        except Exception:
            log.exception("loop %s failed, running it again", getattr(loop, "__qualname__", loop))
        await asyncio.sleep(pause_s)


async def in_slices(items: Iterable[T], slice_size: int) -> AsyncIterator[T]:
    """Iterate over items; other tasks may run after each slice of `slice_size` items."""
    for number, item in enumerate(items, 1):
        yield item
        if number % slice_size == 0:
            await asyncio.sleep(0)
