"""The moment by which a request must have its answer."""

from collections.abc import Callable


class Deadline:
    """A moment on the steady clock that every step of one request keeps to."""

    __slots__ = ("_clock", "_ends_at")

    def __init__(self, clock: Callable[[], float], seconds: float) -> None:
        self._clock = clock
        self._ends_at = clock() + seconds

    @property
    def left_s(self) -> float:
        """Return the seconds that are left, never less than none."""
        return max(0.0, self._ends_at - self._clock())
