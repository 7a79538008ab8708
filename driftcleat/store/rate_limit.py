"""A token bucket, for limits that are kept on the client's side."""

from collections.abc import Callable


class TokenBucket:
    """Permits `rate` units a second with bursts worth `burst_s`."""

    def __init__(self, rate: float, clock: Callable[[], float], burst_s: float = 1.0) -> None:
        self.rate, self.clock, self.capacity = rate, clock, rate * burst_s
        self.tokens, self.refilled_at = self.capacity, clock()

    def _fill(self) -> None:
        now = self.clock()
        self.tokens = min(self.capacity, self.tokens + (now - self.refilled_at) * self.rate)
        self.refilled_at = now

    def delay_s(self, units: float) -> float:
        """Return how long to wait until `units` are there (a request above the burst waits for a full one)."""
        self._fill()
        return max(0.0, (min(units, self.capacity) - self.tokens) / self.rate)

    def available(self) -> float:
        """Return the units that are there."""
        self._fill()
        return self.tokens

    def consume(self, units: float) -> None:
        """Use up `units`; the level may go below zero."""
        self._fill()
        self.tokens -= units
