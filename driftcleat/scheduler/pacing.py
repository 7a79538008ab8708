"""When the next placement round is due."""

from collections.abc import Callable

from driftcleat.settings import Platform, Tuning


class RoundPacing:
    """A round is due once something changed that it could use, and after the pause that the last round has earned."""

    def __init__(self, platform: Platform, tuning: Tuning, place_from: float) -> None:
        self.platform, self.tuning = platform, tuning
        # Before this moment workers have not reported yet, and nothing is placed.
        self.placement_starts_at = place_from
        self.requested = True
        self._again_at = 0.0
        self._not_before = 0.0
        # What each round gives way by while reports are late; set by whoever measures it.
        self.overload_pause_s: Callable[[], float] = lambda: 0.0

    @property
    def budget_s(self) -> float:
        """Return the seconds that one round may take."""
        return self.platform.report_s * self.tuning.budget

    def record_change(self) -> None:
        """Something came or went: a round may find more than the last one did."""
        self.requested = True
        self._again_at = 0.0

    def request_round(self) -> None:
        """The round under way leaves something to the next one."""
        self.requested = True

    def request_round_at(self, moment: float) -> None:
        """The next round is worth its while from a moment on, should nothing change before."""
        self.requested = True
        self._again_at = moment

    def due(self, now: float) -> bool:
        """Tell whether a round is to be played now."""
        return self.requested and now >= max(self.placement_starts_at, self._again_at, self._not_before)

    def begin(self) -> None:
        """A round begins and looks at all that has changed."""
        self.requested = False

    def end(self, began_at: float, now: float) -> None:
        """A round has ended: one that cost much is followed by a pause in which reports and users are served."""
        spent = min(now - began_at, 2 * self.budget_s)
        pause_s = spent / (self.platform.core_share * self.tuning.share) + self.overload_pause_s()
        self._not_before = began_at + pause_s
