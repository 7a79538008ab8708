"""How a job of another share stands, read from that share's records."""

from driftcleat import wire
from driftcleat.model import JobState
from driftcleat.store.client import StoreClient
from driftcleat.store.records import ENDED, JOBS, EndedRecord, load_head

from .keys import in_share


async def state_elsewhere(store: StoreClient, home: int, job_id: str, most_wait_s: float | None = None) -> str | None:
    """Return "active", "done" or "cancelled"; None if the job was claimed and never accepted.

    The head is read first, so that a job that ends in between is still found.
    """
    head = await store.get(in_share(home, JOBS + job_id), most_wait_s)
    if head is not None:
        cancelled = load_head(head).state is JobState.CANCELLED
        return (JobState.CANCELLED if cancelled else JobState.ACTIVE).value
    ended = await store.get(in_share(home, ENDED + job_id), most_wait_s)
    return wire.decode(bytes(ended.value), EndedRecord).state if ended is not None else None
