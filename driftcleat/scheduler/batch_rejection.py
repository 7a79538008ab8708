"""What becomes of the changes of a batch that cannot be sent, so that no later batch fails for the same reason."""

import logging

from driftcleat.cluster import Batch
from driftcleat.scheduler.admission import Admission
from driftcleat.scheduler.batch_splitting import BatchSplitter
from driftcleat.scheduler.garbage_collection import GarbageCollector
from driftcleat.scheduler.record_migration import RecordMigration
from driftcleat.store.keys import JOBS_PREFIX, job_id_of_record

log = logging.getLogger(__name__)


class BatchRejection:
    """Divides rejected batches, and isolates the change that cannot be sent even alone."""

    def __init__(
        self,
        splitter: BatchSplitter,
        admission: Admission,
        migration: RecordMigration,
        garbage_collector: GarbageCollector,
    ) -> None:
        self._splitter = splitter
        self._admission = admission
        self._migration = migration
        self._garbage_collector = garbage_collector

    def record(self, batch: Batch, reason: str, oversized_key: str | None) -> None:
        """Make sure that the next batch differs from a discarded one, which is too large.

        The next batch holds half as many changes. A change that is too large alone, or whose record `oversized_key`
        is above the limit on values, is refused if it is a submission and postponed otherwise.
        """
        self._splitter.record_rejection(batch)
        if self._migration.latch_due:
            # The migration will write smaller records.
            return
        if oversized_key is not None:
            self._isolate(batch, oversized_key, reason)
        elif batch.change_count == 1:
            self._isolate(batch, _only_key(batch), reason)

    def _isolate(self, batch: Batch, key: str, reason: str) -> None:
        """Keep the change of a record that cannot be written out of the next batches."""
        job_id = job_id_of_record(key)
        if job_id is None:
            log.error("record %s is not written: %s", key, reason)
            self._garbage_collector.cancel_put(key)
        elif job_id in batch.created:
            log.error("job %s: submission refused: %s", job_id, reason)
            self._admission.refuse(job_id, "the job is larger than can be stored")
        else:
            pause_s = self._splitter.postpone(job_id)
            log.error("job %s: its changes are not written for %.0f s: %s", job_id, pause_s, reason)


def _only_key(batch: Batch) -> str:
    """Return the key that a batch with a single change writes; for a job, that of its head."""
    job_id = next(iter(batch.changed_jobs), None)
    return JOBS_PREFIX + job_id if job_id is not None else next(iter((*batch.puts, *batch.deletes)))
