"""Reads the state of a job on another shard from that shard's records."""

from driftcleat import wire
from driftcleat.cluster import JobState
from driftcleat.sharing.keys import shard_key
from driftcleat.store.client import StoreClient
from driftcleat.store.decoding import decode_head
from driftcleat.store.keys import ENDED_JOBS_PREFIX, JOBS_PREFIX
from driftcleat.store.records import EndedJobRecord


async def read_job_state(
    store: StoreClient, home_shard: int, job_id: str, max_wait_s: float | None = None
) -> str | None:
    """Return "active", "done" or "cancelled"; None if the job is in the job directory but was never accepted.

    The head is read before the record of the ended job, so that a job that ends between the two reads is still found.
    """
    head = await store.get(shard_key(home_shard, JOBS_PREFIX + job_id), max_wait_s)
    if head is not None:
        cancelled = decode_head(head).state is JobState.CANCELLED
        return (JobState.CANCELLED if cancelled else JobState.ACTIVE).value
    ended = await store.get(shard_key(home_shard, ENDED_JOBS_PREFIX + job_id), max_wait_s)
    return wire.decode(bytes(ended.value), EndedJobRecord).state if ended is not None else None
