"""How long work that can wait is put off so that workers' reports are answered in time."""

# The event loop is late if it was held up for this part of a report interval.
LATE = 0.02
# Reports that may be missing, of those that are due, and how much of a report interval each further share costs.
TOLERANCE = 0.03
GAIN = 5.0


class OverloadDetector:
    """Compares the reports of each interval with the machines that are alive.

    Guards against a leader whose placement rounds and sizing take the processor's time from reports, seen at 4,000
    machines on a quarter of a core: 2,003 workers' leases ran out while their tasks were being placed. Reports wait
    in the kernel's queue then, where their delay cannot be measured; but fewer of them come in than are due.
    """

    def __init__(self, report_s: float) -> None:
        self._report_s = report_s
        # What a placement round, or a round of sizing, is to wait longer than it would.
        self.pause_s = 0.0

    def record_interval(self, reports: int, machines: int, delay_s: float) -> None:
        """Take in one report interval: reports taken in, machines alive, and how late the event loop was at worst.

        Machines behind a cut are missing as well, but they leave the event loop idle.
        """
        if not machines or delay_s < self._report_s * LATE:
            self.pause_s = 0.0
            return
        missing = max(0.0, 1.0 - reports / machines - TOLERANCE)
        self.pause_s = self._report_s * min(1.0, missing * GAIN)
