"""Encodes a batch as one transaction of the state service."""

from dataclasses import dataclass
from typing import Any

from driftcleat import wire
from driftcleat.cluster.batch import Batch
from driftcleat.cluster.jobs import Job, JobState
from driftcleat.errors import DriftcleatError
from driftcleat.store.keys import BATCH_MARKER_KEY, ENDED_JOBS_PREFIX, JOBS_PREFIX, LEADER_KEY, chunk_key
from driftcleat.store.layout import RecordLayout
from driftcleat.store.records import BatchMarker, EndedJobRecord
from driftcleat.wire import state as messages

# The state service's limit for a whole transaction.
MAX_TRANSACTION_BYTES = 64 * 1024


class BatchTooLargeError(DriftcleatError):
    """A batch that exceeds the state service's limits."""


@dataclass(frozen=True, slots=True)
class EncodedBatch:
    """A batch as one transaction, ready to be sent any number of times."""

    # The encoded `Transaction`, and its number of puts and deletes.
    body: bytes
    operation_count: int
    marker: BatchMarker
    # Chunk records of jobs that end with this batch: garbage once it is committed.
    obsolete_keys: list[str]


def encode_batch(
    batch: Batch, layout: RecordLayout, fencing_token: int, sequence: int, marker_mod_revision: int
) -> EncodedBatch:
    """Return a batch as a transaction; `BatchTooLargeError` if the state service would reject it for its size.

    It compares the mod revisions of the leader key, of the batch marker and of every job record it touches, so that
    it is committed at most once, by the leader, on the records that the batch was built on.
    """
    marker = BatchMarker(fencing_token, sequence)
    transaction = _BatchTransaction(batch, layout)
    transaction.compares.append(messages.Compare(LEADER_KEY, fencing_token))
    transaction.compares.append(messages.Compare(BATCH_MARKER_KEY, marker_mod_revision))
    transaction.operations.append(messages.Put(BATCH_MARKER_KEY, marker))
    # Sorted: the transaction depends on the batch alone, not on the order of a set.
    for job_id in sorted(batch.changed_jobs):
        transaction.add_job(batch.jobs[job_id])
    transaction.add_other_keys()
    return EncodedBatch(transaction.encode(), len(transaction.operations), marker, transaction.obsolete_keys)


class _BatchTransaction:
    """The transaction of a batch while it is put together."""

    def __init__(self, batch: Batch, layout: RecordLayout) -> None:
        self._batch = batch
        self._layout = layout
        self.compares: list[messages.Compare] = []
        self.operations: list[Any] = []
        self.obsolete_keys: list[str] = []

    def add_job(self, job: Job) -> None:
        """Add a changed job: its final state if it has ended, or else its changed records."""
        created = job.id in self._batch.created
        self.compares.append(messages.Compare(JOBS_PREFIX + job.id, 0 if created else job.mod_revision))
        if created:
            # Guards against a late repeat of a submission that starts a job which has ended long ago.
            self.compares.append(messages.Compare(ENDED_JOBS_PREFIX + job.id, 0))
        if job.state in (JobState.DONE, JobState.TERMINATED):
            self._add_ended_job(job, created)
        else:
            self._add_changed_records(job)

    def _add_ended_job(self, job: Job, created: bool) -> None:
        """Replace a job's records by its final state; chunks are left to garbage collection."""
        final_state = JobState.DONE if job.state is JobState.DONE else JobState.CANCELLED
        record = EndedJobRecord(final_state.value, job.tasks_done)
        self.operations.append(messages.Put(ENDED_JOBS_PREFIX + job.id, record))
        if not created:
            self.operations.append(messages.Delete(JOBS_PREFIX + job.id))
        self.obsolete_keys.extend(chunk_key(job.id, chunk, job.tasks_per_record) for chunk in job.chunk_mod_revisions)

    def _add_changed_records(self, job: Job) -> None:
        if job.id in self._batch.changed_heads:
            self.operations.append(messages.Put(JOBS_PREFIX + job.id, self._layout.head_record(job)))
        for chunk in sorted(self._batch.changed_chunks.get(job.id, ())):
            key = chunk_key(job.id, chunk, job.tasks_per_record)
            self.compares.append(messages.Compare(key, job.chunk_mod_revisions.get(chunk, 0)))
            self.operations.append(messages.Put(key, self._layout.chunk_record(job, chunk)))

    def add_other_keys(self) -> None:
        """Add the keys that are not records of changed jobs."""
        self.operations.extend(messages.Put(key, value) for key, value in self._batch.puts.items())
        self.operations.extend(messages.Delete(key) for key in self._batch.deletes)

    def encode(self) -> bytes:
        """Return the encoded transaction; `BatchTooLargeError` if a value or the whole exceeds a limit."""
        max_value_bytes = self._layout.max_value_bytes
        for operation in self.operations:
            if isinstance(operation, messages.Put) and len(wire.encode(operation.value)) > max_value_bytes:
                raise BatchTooLargeError(f"record {operation.key}: the value is above {max_value_bytes} bytes")
        body = wire.encode(messages.Transaction(self.compares, self.operations))
        if len(body) > MAX_TRANSACTION_BYTES or len(self.operations) > self._layout.max_operations:
            raise BatchTooLargeError(f"batch: {len(self.operations)} operations in {len(body)} bytes")
        return body
