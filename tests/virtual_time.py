"""An event loop on virtual time, which a simulation runs on."""

import asyncio
import selectors
from typing import Any


class _VirtualTimeSelector(selectors.BaseSelector):
    """A selector that advances virtual time instead of waiting."""

    def __init__(self) -> None:
        self.inner = selectors.DefaultSelector()
        self.now = 0.0

    def register(self, *args: Any, **more: Any) -> Any:
        return self.inner.register(*args, **more)

    def unregister(self, *args: Any) -> Any:
        return self.inner.unregister(*args)

    def select(self, timeout: float | None = None) -> Any:
        if timeout is None:
            raise RuntimeError("deadlock: no timer is set and no I/O is pending")
        # Advance by at least 1 us per iteration: a timer closer than the clock's resolution would never become due.
        self.now += max(timeout, 1e-6)
        return self.inner.select(0)

    def get_map(self) -> Any:
        return self.inner.get_map()

    def close(self) -> None:
        self.inner.close()


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock advances to the next timer when no callback is ready."""

    def __init__(self) -> None:
        self.instant = _VirtualTimeSelector()
        super().__init__(self.instant)

    def time(self) -> float:
        return 100.0 + self.instant.now
