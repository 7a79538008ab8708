"""Background tasks and loops whose errors are logged and stop nothing else."""

import asyncio
import logging
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from typing import TypeVar

log = logging.getLogger(__name__)

T = TypeVar("T")


class BackgroundTasks:
    """Runs background tasks and holds a reference to each until it ends."""

    def __init__(self) -> None:
        self.tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Awaitable[None]) -> None:
        """Run `work` as a task; if it raises, the error is logged."""
        task = asyncio.ensure_future(self._log_errors(work))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    @staticmethod
    async def _log_errors(work: Awaitable[None]) -> None:
        try:
            await work
        except Exception:
            log.exception("background task failed")


async def run_forever(loop: Callable[[], Awaitable[None]], pause_s: float) -> None:
    """Run a loop, and restart it after `pause_s` whenever it returns or raises; only cancellation ends it."""
    while True:
        try:
            await loop()
        except asyncio.CancelledError:
            raise
        except Exception:
            log.exception("loop %s failed, restarting it", getattr(loop, "__qualname__", loop))
        await asyncio.sleep(pause_s)


async def in_slices(items: Iterable[T], slice_size: int) -> AsyncIterator[T]:
    """Iterate over items and yield to the event loop after every `slice_size` of them."""
    for number, item in enumerate(items, 1):
        yield item
        if number % slice_size == 0:
            await asyncio.sleep(0)
