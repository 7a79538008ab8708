"""Reads of single jobs from the store, with a cache of final states."""

from driftcleat import wire
from driftcleat.cluster import Job
from driftcleat.cluster.bounded_cache import BoundedCache
from driftcleat.store.client import StoreClient
from driftcleat.store.decoding import decode_head
from driftcleat.store.keys import ENDED_JOBS_PREFIX, JOBS_PREFIX
from driftcleat.store.records import EndedJobRecord
from driftcleat.wire.users import JobStatus

# Job states that never change.
FINAL_STATES = ("done", "cancelled")
MAX_CACHED_FINAL_STATES = 5000


class JobRecords:
    """Reads records of jobs; reads raise `StoreError`, or `wire.WireError` for a record that cannot be decoded."""

    def __init__(self, store: StoreClient, max_wait_s: float) -> None:
        """Set up reads that fail if they would wait longer than `max_wait_s` for the store's rate limit."""
        self._store = store
        self.max_wait_s = max_wait_s
        self._final_statuses: BoundedCache[JobStatus] = BoundedCache(MAX_CACHED_FINAL_STATES)

    def cached_final_status(self, job_id: str) -> JobStatus | None:
        """Return the final status of a job if it is cached."""
        return self._final_statuses.get(job_id)

    def cache_if_final(self, status: JobStatus) -> None:
        """Cache a status if its state is final; beyond the maximum size the oldest entries are dropped."""
        if status.state in FINAL_STATES:
            self._final_statuses.put(status.id, status)

    async def read_head(self, job_id: str) -> Job | None:
        """Return the job of a head record; None if the store has no head record of this job."""
        key_value = await self._store.get(JOBS_PREFIX + job_id, self.max_wait_s)
        return decode_head(key_value) if key_value is not None else None

    async def read_final_status(self, job_id: str) -> JobStatus | None:
        """Return the final status of a job from the cache or the store; None if it has not ended."""
        status = self._final_statuses.get(job_id)
        if status is not None:
            return status
        key_value = await self._store.get(ENDED_JOBS_PREFIX + job_id, self.max_wait_s)
        if key_value is None:
            return None
        record = wire.decode(bytes(key_value.value), EndedJobRecord)
        return JobStatus(job_id, record.state, record.tasks_done, 0)
