"""Delays placement and sizing while the leader is overloaded, so that heartbeats get a response in time."""

# The delay of the event loop, in heartbeat intervals, below which the leader is not considered overloaded.
MIN_OVERLOAD_DELAY_INTERVALS = 0.02
# The fraction of the expected heartbeats that may be missing without overload.
TOLERATED_MISSING_FRACTION = 0.03
# The delay of placement and sizing, in heartbeat intervals, is this times the fraction of heartbeats that is missing
# beyond the tolerated one, but one interval at most.
PAUSE_INTERVALS_PER_MISSING_FRACTION = 5.0


class OverloadDetector:
    """Detects overload by comparing the heartbeats received in an interval with the machines that are alive.

    Placement rounds and sizing can use up the CPU time that heartbeats need: with 4,000 machines on a quarter of a
    core, 2,003 workers' leases expired while tasks were being placed. Delayed heartbeats wait in the kernel's socket
    queue, where their delay cannot be measured, but fewer of them are received than expected.
    """

    def __init__(self, heartbeat_interval_s: float) -> None:
        self._heartbeat_interval_s = heartbeat_interval_s
        # The delay of the next placement or sizing round, in seconds; 0.0 without overload.
        self.pause_s = 0.0

    def record_interval(self, heartbeats: int, machines: int, max_delay_s: float) -> None:
        """Update `pause_s` from one interval: heartbeats received, machines alive, longest delay of the event loop.

        The delay distinguishes overload from a partition, where heartbeats are missing but the event loop is idle.
        """
        if not machines or max_delay_s < self._heartbeat_interval_s * MIN_OVERLOAD_DELAY_INTERVALS:
            self.pause_s = 0.0
            return
        missing = max(0.0, 1.0 - heartbeats / machines - TOLERATED_MISSING_FRACTION)
        self.pause_s = self._heartbeat_interval_s * min(1.0, missing * PAUSE_INTERVALS_PER_MISSING_FRACTION)
