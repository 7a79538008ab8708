"""Recovery from a batch that cannot be sent: later batches hold fewer changes, until the one at fault is alone."""

from collections.abc import Callable
from dataclasses import dataclass

from driftcleat.cluster import Batch, Job
from driftcleat.scheduler.context import Counters

# The limit on changes doubles with each commit, and is lifted when it would exceed this.
MAX_LIMITED_CHANGES = 64
# Limits of the pause before a postponed job is tried again, in heartbeat intervals; it doubles each time.
MIN_PAUSE_INTERVALS = 2
MAX_PAUSE_INTERVALS = 32


@dataclass(frozen=True, slots=True)
class Postponement:
    """A job whose changes are not put into batches until `until`, by the monotonic clock; the pause is in seconds."""

    until: float
    pause_s: float


class BatchSplitter:
    """Limits the changes in the next batches, and postpones jobs whose records cannot be written."""

    def __init__(self, clock: Callable[[], float], report_s: float, counters: Counters) -> None:
        """`report_s` is the heartbeat interval in seconds."""
        self._clock = clock
        self._report_s = report_s
        self._counters = counters
        # The maximum number of jobs and other keys that the next batch changes; None for no limit.
        self.max_changes: int | None = None
        self._postponed: dict[str, Postponement] = {}

    def record_commit(self, batch: Batch) -> None:
        """Raise the limit after a commit, and forget that jobs which the batch wrote were postponed."""
        if self.max_changes is not None:
            doubled = self.max_changes * 2
            self.max_changes = doubled if doubled <= MAX_LIMITED_CHANGES else None
        if self._postponed:
            for job_id in batch.changed_jobs:
                self._postponed.pop(job_id, None)

    def record_rejection(self, batch: Batch) -> None:
        """Halve the number of changes that the next batch may hold."""
        self._counters.batches_rejected += 1
        self.max_changes = max(1, batch.change_count // 2)

    def postpone(self, job_id: str) -> float:
        """Leave a job out of the next batches, longer each time; return the pause in seconds."""
        before = self._postponed.get(job_id)
        pause_s = self._report_s * MIN_PAUSE_INTERVALS
        if before is not None:
            pause_s = min(before.pause_s * 2, self._report_s * MAX_PAUSE_INTERVALS)
        self._postponed[job_id] = Postponement(self._clock() + pause_s, pause_s)
        return pause_s

    def is_postponed(self, job: Job) -> bool:
        """Return whether a job must be left out of the next batch."""
        postponement = self._postponed.get(job.id)
        return postponement is not None and postponement.until > self._clock()

    @property
    def postponed_count(self) -> int:
        """Return how many jobs have changes that could not be written."""
        return len(self._postponed)
