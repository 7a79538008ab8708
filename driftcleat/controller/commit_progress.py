"""Watches whether pending changes are committed, and reports once when nothing is committed any more."""

import logging
from collections.abc import Callable

log = logging.getLogger(__name__)


class CommitProgress:
    """Measures for how long the leader has had changes to commit and has committed none."""

    def __init__(self, clock: Callable[[], float], report_after_s: float) -> None:
        """`report_after_s` is the time without a commit, in seconds, after which an error is logged."""
        self._clock = clock
        self._report_after_s = report_after_s
        # When the first batch since the last commit was built; None if none was.
        self._waiting_since: float | None = None
        self._is_reported = False

    @property
    def stalled_s(self) -> float:
        """Return for how many seconds batches have been built and none was committed."""
        return 0.0 if self._waiting_since is None else self._clock() - self._waiting_since

    def reset(self) -> None:
        """Start over: there is nothing to commit, or a new term has begun."""
        self._waiting_since = None
        self._is_reported = False

    def record_batch(self) -> None:
        """Record that a batch with changes was built."""
        if self._waiting_since is None:
            self._waiting_since = self._clock()

    def record_failure(self, error: Exception) -> None:
        """Record that the batch was not committed; log it once per stall, after the time for a report."""
        if not self._is_reported and self.stalled_s >= self._report_after_s:
            self._is_reported = True
            log.error("nothing has been committed for %.0f s: %s", self.stalled_s, error)

    def record_commit(self) -> None:
        """Record a commit; log the end of a stall that was reported."""
        if self._is_reported:
            log.info("changes are committed again, after %.0f s", self.stalled_s)
        self.reset()
