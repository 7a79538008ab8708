"""The deadline of a request."""

from collections.abc import Callable


class Deadline:
    """A point on the monotonic clock that bounds all steps of one request together."""

    __slots__ = ("_clock", "_ends_at")

    def __init__(self, clock: Callable[[], float], seconds: float) -> None:
        self._clock = clock
        self._ends_at = clock() + seconds

    @property
    def left_s(self) -> float:
        """Return the remaining time in seconds, at least 0."""
        return max(0.0, self._ends_at - self._clock())
