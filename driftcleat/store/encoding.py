"""Encodes a batch as one transaction of the state service."""

from typing import Any

from driftcleat import wire
from driftcleat.cluster.batch import Batch
from driftcleat.cluster.jobs import JobState
from driftcleat.errors import DriftcleatError
from driftcleat.store.keys import BATCH_MARKER_KEY, ENDED_JOBS_PREFIX, JOBS_PREFIX, LEADER_KEY, chunk_key
from driftcleat.store.layout import RecordLayout
from driftcleat.store.records import BatchMarker, EndedJobRecord
from driftcleat.wire import state as messages


class EncodedBatch:
    """A batch as one transaction, ready to be sent any number of times."""

    def __init__(self, body: bytes, changes: int, marker: BatchMarker, garbage: list[str]) -> None:
        self.body, self.operation_count, self.marker, self.obsolete_keys = body, changes, marker, garbage


class BatchTooLargeError(DriftcleatError):
    """A batch that the store would not take."""


def encode_batch(batch: Batch, layout: RecordLayout, token: int, number: int, mark_version: int) -> EncodedBatch:
    """Return the transaction: conditional on leader key, batch key and every record it touches."""
    marker = BatchMarker(token, number)
    conditions = [messages.Compare(LEADER_KEY, token), messages.Compare(BATCH_MARKER_KEY, mark_version)]
    changes: list[Any] = [messages.Put(BATCH_MARKER_KEY, marker)]
    garbage: list[str] = []
    for job_id in sorted(batch.changed_jobs):
        job = batch.jobs[job_id]
        new = job_id in batch.created
        conditions.append(messages.Compare(JOBS_PREFIX + job_id, 0 if new else job.mod_revision))
        if new:
            conditions.append(messages.Compare(ENDED_JOBS_PREFIX + job_id, 0))
        if job.state in (JobState.DONE, JobState.TERMINATED):
            final = JobState.DONE if job.state is JobState.DONE else JobState.CANCELLED
            changes.append(messages.Put(ENDED_JOBS_PREFIX + job_id, EndedJobRecord(final.value, job.tasks_done)))
            if not new:
                changes.append(messages.Delete(JOBS_PREFIX + job_id))
            garbage.extend(chunk_key(job_id, chunk, job.tasks_per_record) for chunk in job.chunk_mod_revisions)
            continue
        if job_id in batch.changed_heads:
            changes.append(messages.Put(JOBS_PREFIX + job_id, layout.head_record(job)))
        for chunk in sorted(batch.changed_chunks.get(job_id, ())):
            key = chunk_key(job_id, chunk, job.tasks_per_record)
            conditions.append(messages.Compare(key, job.chunk_mod_revisions.get(chunk, 0)))
            changes.append(messages.Put(key, layout.chunk_record(job, chunk)))
    changes.extend(messages.Put(key, value) for key, value in batch.puts.items())
    changes.extend(messages.Delete(key) for key in batch.deletes)
    for change in changes:
        if isinstance(change, messages.Put) and len(wire.encode(change.value)) > layout.max_value_bytes:
            raise BatchTooLargeError(f"{change.key} is above {layout.max_value_bytes} bytes")
    body = wire.encode(messages.Transaction(conditions, changes))
    if len(body) > 64 * 1024 or len(changes) > layout.max_operations:
        raise BatchTooLargeError(f"{len(changes)} changes in {len(body)} bytes")
    return EncodedBatch(body, len(changes), marker, garbage)
