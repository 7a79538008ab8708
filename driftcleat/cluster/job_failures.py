"""Failures of jobs in one leader term: when a job may be tried again, and when machines may be added for it."""

import logging
from dataclasses import dataclass, field

log = logging.getLogger(__name__)

# Exponential backoff of a job whose tasks fail: base and maximum delay in seconds, and the largest exponent of two.
BASE_RETRY_S = 0.5
MAX_RETRY_S = 60.0
MAX_RETRY_EXPONENT = 10
# Maximum delay, in seconds, before machines are added again for a job that has failed on several ones.
MAX_MACHINES_DELAY_S = 120.0
# Number of machines in a row that failed a job from which on the job itself is suspected, not the machines.
SUSPECT_MACHINES = 3
# Seconds for which a machine that failed a job is not used for it. Shorter than users wait for a job that has room.
EXCLUSION_S = 60.0
# Seconds without a failure after which earlier ones no longer count.
FAILURE_MEMORY_S = 600.0


@dataclass(slots=True)
class _FailureRecord:
    """The failures of one job since one of its tasks was done; times by the monotonic clock in seconds."""

    # Machines that failed it, one after the other.
    count: int = 0
    last_failed_at: float = 0.0
    retry_at: float = 0.0
    # By machine: until when further failures there are those of the same fault.
    counted_until: dict[str, float] = field(default_factory=dict)

    def delay_next_attempt(self, now: float) -> None:
        """Count one more failure, and delay the next attempt accordingly."""
        self.count += 1
        self.retry_at = now + min(MAX_RETRY_S, _delay_s(self.count))


class JobFailures:
    """Counts the machines on which jobs failed, and derives the delays of further attempts.

    A faulty machine fails all tasks that it has of a job, so that these count as one failure. A faulty job fails on
    every machine: it is tried again with a growing delay, and takes one machine, or those of one gang, at a time.
    """

    def __init__(self) -> None:
        self._records: dict[str, _FailureRecord] = {}

    def __contains__(self, job_id: str) -> bool:
        """Return whether a job has failed since one of its tasks was done."""
        record = self._records.get(job_id)
        return record is not None and record.count > 0

    def record(self, job_id: str, machine: str, now: float) -> None:
        """Record that a machine failed a task of a job at `now`, and delay the job's next attempt."""
        record = self._record_failure_at(job_id, now)
        record.counted_until = {name: until for name, until in record.counted_until.items() if until > now}
        if machine in record.counted_until:
            return
        record.counted_until[machine] = now + EXCLUSION_S
        record.delay_next_attempt(now)
        if record.count >= SUSPECT_MACHINES:
            log.info("job %s: failed on %d machines in a row, the last one is %s", job_id, record.count, machine)

    def record_refusal(self, job_id: str, now: float) -> None:
        """Record that a worker refused a task for a reason that says nothing of its machine."""
        record = self._record_failure_at(job_id, now)
        if record.retry_at <= now:
            record.delay_next_attempt(now)

    def _record_failure_at(self, job_id: str, now: float) -> _FailureRecord:
        """Return the record of a job that has failed at `now`, without failures that are too old to count."""
        record = self._records.setdefault(job_id, _FailureRecord())
        if now - record.last_failed_at > FAILURE_MEMORY_S:
            record.count = 0
        record.last_failed_at = now
        return record

    def record_success(self, job_id: str) -> None:
        """Record that a task of a job is done; a delay that has begun goes on."""
        record = self._records.get(job_id)
        if record is not None:
            record.count = 0
            record.counted_until.clear()

    def forget(self, job_id: str) -> None:
        """Remove a job that has ended."""
        self._records.pop(job_id, None)

    def retry_at(self, job_id: str) -> float:
        """Return the time from which on a job's tasks may be placed; 0.0 if its tasks have not failed."""
        record = self._records.get(job_id)
        return record.retry_at if record is not None else 0.0

    def is_suspect(self, job_id: str, now: float) -> bool:
        """Return whether a job has failed on so many machines that it may fail on all of them."""
        record = self._records.get(job_id)
        return (
            record is not None
            and record.count >= SUSPECT_MACHINES
            and now - record.last_failed_at <= FAILURE_MEMORY_S
        )

    def machines_at(self, job_id: str) -> float:
        """Return the time from which on machines may be added for a suspect job."""
        record = self._records.get(job_id)
        if record is None:
            return 0.0
        return record.last_failed_at + min(MAX_MACHINES_DELAY_S, _delay_s(record.count))


def _delay_s(count: int) -> float:
    """Return the delay in seconds after `count` failures, without an upper limit of its own."""
    return BASE_RETRY_S * float(2 ** min(count, MAX_RETRY_EXPONENT))
