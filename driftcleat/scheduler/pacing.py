"""Pacing of placement rounds: when the next round is due, and how long it may take."""

from collections.abc import Callable

from driftcleat.settings import Platform, Tuning

# The pause after a round is proportional to the round's duration, which counts as at most this many round budgets.
MAX_CHARGED_BUDGETS = 2


def no_overload() -> float:
    """Return 0.0 seconds; the default `overload_pause_s` of a controller that is never overloaded."""
    return 0.0


class RoundPacing:
    """Decides when a placement round is due.

    A round is due when one is requested and the pause after the previous round is over. The pause is proportional to
    the duration of that round. All times are readings of the scheduler's monotonic clock, in seconds.
    """

    def __init__(
        self,
        platform: Platform,
        tuning: Tuning,
        placement_starts_at: float,
        overload_pause_s: Callable[[], float] = no_overload,
    ) -> None:
        """Request the first round, for `placement_starts_at`.

        `overload_pause_s` returns the seconds by which each pause is extended while heartbeats are handled late.
        """
        self._platform = platform
        self._tuning = tuning
        # No task is placed before this time, since workers have not sent their heartbeats to this leader yet.
        self.placement_starts_at = placement_starts_at
        self.overload_pause_s = overload_pause_s
        self.requested = True
        self._requested_for = 0.0
        self._pause_until = 0.0

    @property
    def budget_s(self) -> float:
        """Return the time budget of one round in seconds."""
        return self._platform.report_s * self._tuning.round_budget_intervals

    def record_change(self) -> None:
        """Request a round as soon as possible, because capacity or work has changed."""
        self.requested = True
        self._requested_for = 0.0

    def request_round(self) -> None:
        """Request another round for what the current one leaves; an earlier requested time stays."""
        self.requested = True

    def request_round_at(self, moment: float) -> None:
        """Request a round no earlier than `moment`, unless `record_change` is called before."""
        self.requested = True
        self._requested_for = moment

    def due(self, now: float) -> bool:
        """Return whether a round should run now."""
        return self.requested and now >= max(self.placement_starts_at, self._requested_for, self._pause_until)

    def begin(self) -> None:
        """Start a round and clear the pending request, since the round covers all changes so far."""
        self.requested = False

    def end(self, began_at: float, now: float) -> None:
        """End a round; the pause after it, in which heartbeats and users are served, is proportional to its time."""
        spent_s = min(now - began_at, MAX_CHARGED_BUDGETS * self.budget_s)
        pause_s = spent_s / (self._platform.core_share * self._tuning.placement_cpu_share) + self.overload_pause_s()
        self._pause_until = began_at + pause_s
