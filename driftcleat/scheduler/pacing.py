"""Pacing of placement rounds: when the next one is due, and how long it may take."""

from collections.abc import Callable

from driftcleat.settings import Platform, Tuning

# The time of a round that is paid back with a pause is capped at this many round budgets.
MAX_CHARGED_BUDGETS = 2


def no_overload() -> float:
    """Return the pause of a controller that is never overloaded, in seconds."""
    return 0.0


class RoundPacing:
    """Decides when a placement round is due.

    A round is due once something has changed that it could use, and once the pause is over that follows from the
    processor time of the round before. All moments are times of the scheduler's monotonic clock, in seconds.
    """

    def __init__(
        self,
        platform: Platform,
        tuning: Tuning,
        placement_starts_at: float,
        overload_pause_s: Callable[[], float] = no_overload,
    ) -> None:
        """Request the first round, for `placement_starts_at`.

        `overload_pause_s` returns by how much to extend each pause while heartbeats are handled late.
        """
        self._platform = platform
        self._tuning = tuning
        # Before this moment workers have not reported yet, and nothing is placed.
        self.placement_starts_at = placement_starts_at
        self.overload_pause_s = overload_pause_s
        self.requested = True
        self._requested_for = 0.0
        self._pause_until = 0.0

    @property
    def budget_s(self) -> float:
        """Return the seconds that one round may take."""
        return self._platform.report_s * self._tuning.round_budget_intervals

    def record_change(self) -> None:
        """Request a round at once: capacity or work came or went, so it may place more than the last one did."""
        self.requested = True
        self._requested_for = 0.0

    def request_round(self) -> None:
        """Request another round: the current one leaves something to it."""
        self.requested = True

    def request_round_at(self, moment: float) -> None:
        """Request a round for a later moment, should nothing change before."""
        self.requested = True
        self._requested_for = moment

    def due(self, now: float) -> bool:
        """Return whether a round is to run now."""
        return self.requested and now >= max(self.placement_starts_at, self._requested_for, self._pause_until)

    def begin(self) -> None:
        """Start a round: it looks at everything that has changed, so no request is open."""
        self.requested = False

    def end(self, began_at: float, now: float) -> None:
        """End a round, and pause in proportion to its time: heartbeats and users are served meanwhile."""
        spent_s = min(now - began_at, MAX_CHARGED_BUDGETS * self.budget_s)
        pause_s = spent_s / (self._platform.core_share * self._tuning.placement_cpu_share) + self.overload_pause_s()
        self._pause_until = began_at + pause_s
