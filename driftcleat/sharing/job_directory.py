"""The job directory: one key per job names its home shard. The key is created once and never changes."""

from typing import Any

from driftcleat import wire
from driftcleat.cluster.bounded_cache import BoundedCache
from driftcleat.sharing.keys import FIRST_SHARD, JOB_DIRECTORY_PREFIX
from driftcleat.store.client import StoreClient
from driftcleat.store.errors import CompareFailedError, OutcomeUnknownError
from driftcleat.store.keys import ENDED_JOBS_PREFIX, JOBS_PREFIX
from driftcleat.wire import state as messages

# Bound of the cache. Cached entries never go stale, since a home shard never changes.
MAX_CACHED_HOMES = 50_000


class JobDirectory:
    """Looks up and registers home shards.

    A job without an entry, of which the first shard has a record, was submitted before sharing started: its home is
    the first shard.
    """

    def __init__(self, store: StoreClient) -> None:
        self._store = store
        self._homes: BoundedCache[int] = BoundedCache(MAX_CACHED_HOMES)

    def cached_home(self, job_id: str) -> int | None:
        """Return the home shard of a job if this process has looked it up or registered it before."""
        return self._homes.get(job_id)

    async def home_shard(self, job_id: str, max_wait_s: float | None = None) -> int | None:
        """Return the home shard of a job, None if the job is unknown; `StoreError` if the store cannot be read."""
        cached_home = self.cached_home(job_id)
        if cached_home is not None:
            return cached_home
        key_value = await self._store.get(JOB_DIRECTORY_PREFIX + job_id, max_wait_s)
        if key_value is not None:
            return self._homes.put(job_id, wire.decode(bytes(key_value.value), int))
        for prefix in (JOBS_PREFIX, ENDED_JOBS_PREFIX):
            if await self._store.get(prefix + job_id, max_wait_s) is not None:
                return self._homes.put(job_id, FIRST_SHARD)
        return None

    async def register(self, job_id: str, shard: int) -> int:
        """Make a shard the home of a job unless the job has one; return the job's home shard."""
        compares = [
            messages.Compare(prefix + job_id, 0) for prefix in (JOB_DIRECTORY_PREFIX, JOBS_PREFIX, ENDED_JOBS_PREFIX)
        ]
        operations: list[Any] = [messages.Put(JOB_DIRECTORY_PREFIX + job_id, shard)]
        try:
            await self._store.commit(messages.Transaction(compares, operations))
        except (CompareFailedError, OutcomeUnknownError):
            home_shard = await self.home_shard(job_id)
            if home_shard is None:
                raise
            return home_shard
        return self._homes.put(job_id, shard)
