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

# The state service's limit on the size of a transaction.
MAX_TRANSACTION_BYTES = 64 * 1024


class BatchTooLargeError(DriftcleatError):
    """A batch exceeds the state service's limits on value size, transaction size or number of operations.

    `key` names the record that exceeds the limit on values; None if the transaction as a whole is too large.
    """

    def __init__(self, message: str, key: str | None = None) -> None:
        super().__init__(message)
        self.key = key


@dataclass(frozen=True, slots=True)
class EncodedBatch:
    """A batch as one encoded transaction, which may be sent repeatedly."""

    # The encoded `Transaction`, and its number of puts and deletes.
    body: bytes
    operation_count: int
    marker: BatchMarker
    # Keys of the chunk records of jobs that end with this batch, to be deleted after the commit.
    obsolete_keys: list[str]


def encode_batch(
    batch: Batch, layout: RecordLayout, fencing_token: int, sequence: int, marker_mod_revision: int
) -> EncodedBatch:
    """Return a batch as a transaction; `BatchTooLargeError` if the state service would reject it for its size.

    The transaction compares the mod revisions of the leader key, of the batch marker and of every job record that it
    changes. So it is committed at most once, only by the leader, and only on the records that the batch is based on.
    """
    marker = BatchMarker(fencing_token, sequence)
    transaction = _BatchTransaction(batch, layout)
    transaction.compares.append(messages.Compare(LEADER_KEY, fencing_token))
    transaction.compares.append(messages.Compare(BATCH_MARKER_KEY, marker_mod_revision))
    transaction.operations.append(messages.Put(BATCH_MARKER_KEY, marker))
    # Sorted, so that the encoding does not depend on the iteration order of a set.
    for job_id in sorted(batch.changed_jobs):
        transaction.add_job(batch.jobs[job_id])
    transaction.add_other_keys()
    return EncodedBatch(transaction.encode(), len(transaction.operations), marker, transaction.obsolete_keys)


class _BatchTransaction:
    """Builds the transaction of a batch."""

    def __init__(self, batch: Batch, layout: RecordLayout) -> None:
        self._batch = batch
        self._layout = layout
        self.compares: list[messages.Compare] = []
        self.operations: list[Any] = []
        self.obsolete_keys: list[str] = []

    def add_job(self, job: Job) -> None:
        """Add a changed job: its final state if it has ended, else its changed records."""
        created = job.id in self._batch.created
        self.compares.append(messages.Compare(JOBS_PREFIX + job.id, 0 if created else job.mod_revision))
        if created:
            # A late retry of a submission must not start again a job that has ended.
            self.compares.append(messages.Compare(ENDED_JOBS_PREFIX + job.id, 0))
        if job.state in (JobState.DONE, JobState.TERMINATED):
            self._add_ended_job(job, created)
        else:
            self._add_changed_records(job)

    def _add_ended_job(self, job: Job, created: bool) -> None:
        """Replace the head record of an ended job by its final state; garbage collection deletes the chunks."""
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
        """Add the puts and deletes of the batch that are not records of changed jobs."""
        self.operations.extend(messages.Put(key, value) for key, value in self._batch.puts.items())
        self.operations.extend(messages.Delete(key) for key in self._batch.deletes)

    def encode(self) -> bytes:
        """Return the encoded transaction; `BatchTooLargeError` if it or one of its values exceeds a limit."""
        max_value_bytes = self._layout.max_value_bytes
        for operation in self.operations:
            if isinstance(operation, messages.Put) and len(wire.encode(operation.value)) > max_value_bytes:
                raise BatchTooLargeError(
                    f"record {operation.key}: the value is larger than {max_value_bytes} bytes", operation.key
                )
        body = wire.encode(messages.Transaction(self.compares, self.operations))
        if len(body) > MAX_TRANSACTION_BYTES or len(self.operations) > self._layout.max_operations:
            raise BatchTooLargeError(f"batch: {len(self.operations)} operations in {len(body)} bytes")
        return body
