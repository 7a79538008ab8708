"""How long placement and sizing are put off so that workers' heartbeats are answered in time."""

# The event loop is late if it was held up for this fraction of a heartbeat interval.
LATE = 0.02
# The fraction of the heartbeats due that may be missing; work is put off by so many heartbeat intervals times the
# fraction that is missing beyond it.
TOLERANCE = 0.03
GAIN = 5.0


class OverloadDetector:
    """Compares the heartbeats of each interval with the machines that are alive.

    Guards against a leader whose placement rounds and sizing take the processor's time from heartbeats, seen at 4,000
    machines on a quarter of a core: 2,003 workers' leases expired while their tasks were being placed. Heartbeats
    wait in the kernel's queue then, where their delay cannot be measured; but fewer of them come in than are due.
    """

    def __init__(self, heartbeat_interval_s: float) -> None:
        self._heartbeat_interval_s = heartbeat_interval_s
        # By how many seconds the next placement round, or round of sizing, is to be put off.
        self.pause_s = 0.0

    def record_interval(self, heartbeats: int, machines: int, max_delay_s: float) -> None:
        """Take in one heartbeat interval: heartbeats received, machines alive, the event loop's longest delay.

        Machines behind a partition are missing as well, but they leave the event loop idle.
        """
        if not machines or max_delay_s < self._heartbeat_interval_s * LATE:
            self.pause_s = 0.0
            return
        missing = max(0.0, 1.0 - heartbeats / machines - TOLERANCE)
        self.pause_s = self._heartbeat_interval_s * min(1.0, missing * GAIN)
