"""Counters and latency histograms of one controller, served at `/status` and `/metrics` on the `back` address."""

from typing import Any

from hdrh.histogram import HdrHistogram

# Histograms record durations in microseconds, from 1 microsecond to 1 minute, with two significant digits.
MICROSECONDS_PER_S = 1e6
MAX_MICROSECONDS = 60_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50, 95, 99, 100)


class Timing:
    """A histogram of durations."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, MAX_MICROSECONDS, SIGNIFICANT_DIGITS)

    def record(self, seconds: float) -> None:
        """Record one duration; shorter and longer ones than the histogram covers are clamped."""
        self._histogram.record_value(max(1, min(MAX_MICROSECONDS, round(seconds * MICROSECONDS_PER_S))))

    def summary(self) -> dict[str, float]:
        """Return the count, and the percentiles in milliseconds."""
        out: dict[str, float] = {"count": self._histogram.get_total_count()}
        for percentile in PERCENTILES:
            out[f"p{percentile}_ms"] = self._histogram.get_value_at_percentile(percentile) / 1000
        return out


class Metrics:
    """Counters and histograms since the process started."""

    def __init__(self) -> None:
        self.batch_build_time = Timing()
        self.commit_latency = Timing()
        self.user_request_latency = Timing()
        self.heartbeat_latency = Timing()
        # How late the event loop runs its callbacks; every other task is delayed by as much.
        self.loop_delay = Timing()
        # Seconds of computation, without waiting, in each part of the leader's work.
        self.seconds_by_part: dict[str, float] = {}
        self.malformed_heartbeats = 0
        self.stale_heartbeats = 0
        self.malformed_peer_messages = 0

    def record_part(self, part: str, seconds: float) -> None:
        """Add the computation time of a part of the leader's work."""
        self.seconds_by_part[part] = self.seconds_by_part.get(part, 0.0) + seconds

    def durations(self) -> dict[str, Any]:
        """Return the histograms and the seconds by part, under the keys of `/status`."""
        return {
            "build": self.batch_build_time.summary(),
            "batch": self.commit_latency.summary(),
            "users": self.user_request_latency.summary(),
            "reports": self.heartbeat_latency.summary(),
            "loop_delay": self.loop_delay.summary(),
            "parts_s": {part: round(seconds, 3) for part, seconds in sorted(self.seconds_by_part.items())},
        }

    def rejected_messages(self) -> dict[str, int]:
        """Return how many messages were malformed or stale, under the keys of `/status`."""
        return {
            "bad_reports": self.malformed_heartbeats,
            "stale_reports": self.stale_heartbeats,
            "bad_peer_messages": self.malformed_peer_messages,
        }
