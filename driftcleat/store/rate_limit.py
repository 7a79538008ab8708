"""A token bucket for client-side rate limits."""

import asyncio
from collections.abc import Callable


class TokenBucket:
    """Permits `rate` units per second on average, with bursts of up to `rate * burst_s` units."""

    def __init__(self, rate: float, clock: Callable[[], float], burst_s: float = 1.0) -> None:
        self.rate = rate
        self.clock = clock
        self.capacity = rate * burst_s
        self.tokens = self.capacity
        self.refilled_at = clock()

    def _refill(self) -> None:
        now = self.clock()
        self.tokens = min(self.capacity, self.tokens + (now - self.refilled_at) * self.rate)
        self.refilled_at = now

    def delay_s(self, units: float) -> float:
        """Return the seconds until `units` are available; above the capacity, until the bucket is full."""
        self._refill()
        return max(0.0, (min(units, self.capacity) - self.tokens) / self.rate)

    def available(self) -> float:
        """Return the number of available units; negative after `consume` has taken more than there were."""
        self._refill()
        return self.tokens

    def consume(self, units: float) -> None:
        """Take `units` without waiting; `available` may become negative."""
        self._refill()
        self.tokens -= units

    async def acquire(self, units: float) -> None:
        """Wait until `units` are available and take them."""
        while True:
            delay = self.delay_s(units)
            if delay <= 0:
                break
            await asyncio.sleep(delay)
        self.consume(units)
