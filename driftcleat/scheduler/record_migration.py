"""The record migration from data version 1 to data version 2, and the latch that starts it.

The latch is a key in the store. Once it is committed, data version 2 is active and cannot be undone: every job whose
records have the layout of data version 1 is migrated, one after the other, in transactions within the lower limits.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from driftcleat.cluster import Batch, Job
from driftcleat.scheduler.context import SchedulerContext
from driftcleat.scheduler.garbage_collection import GarbageCollector
from driftcleat.scheduler.pacing import RoundPacing
from driftcleat.store.keys import DATA_VERSION_KEY, chunk_key
from driftcleat.store.records import DATA_VERSION

log = logging.getLogger(__name__)


@dataclass(slots=True)
class JobMigration:
    """The progress of one job's migration: all chunk records are written first, then the head that names them."""

    job_id: str
    tasks_per_record: int
    # The number of the next chunk to write; chunk 0 is part of the head.
    next_chunk: int = 1
    # Mod revisions of the written chunks; 0 for those in the batch in flight.
    mod_revisions: dict[int, int] = field(default_factory=dict)


class RecordMigration:
    """Stores the latch, then migrates the records of the remaining jobs, one job at a time."""

    def __init__(
        self,
        context: SchedulerContext,
        garbage_collector: GarbageCollector,
        pacing: RoundPacing,
        is_postponed: Callable[[Job], bool],
    ) -> None:
        """`is_postponed` returns whether a job's records cannot be written for now."""
        self._cluster = context.cluster
        self._layout = context.layout
        self._garbage_collector = garbage_collector
        self._pacing = pacing
        self._is_postponed = is_postponed
        self._latch_requested = False
        self.jobs_to_migrate = self._jobs_in_old_layout()
        self._current: JobMigration | None = None
        # Jobs with pending changes that cannot be committed before the migration of their records.
        self._prioritised: dict[str, None] = {}

    def _jobs_in_old_layout(self) -> set[str]:
        return {job.id for job in self._cluster.jobs.values() if self._layout.needs_migration(job)}

    @property
    def latch_requested(self) -> bool:
        """Return whether the latch was requested in this term, stored or not."""
        return self._latch_requested

    def request_latch(self) -> None:
        """Have the next batch activate data version 2, unless it is active already.

        Callers must know that every controller can write data version 2, since the activation cannot be undone.
        """
        self._latch_requested = True

    @property
    def latch_due(self) -> bool:
        """Return whether the next batch must contain the latch."""
        return self._latch_requested and not self._layout.version_2_active

    @property
    def pending(self) -> bool:
        """Return whether there is a job to migrate."""
        return self._next_job() is not None

    def append_latch(self, batch: Batch) -> None:
        """Append the latch to a batch, which must contain no other change."""
        batch.put(DATA_VERSION_KEY, DATA_VERSION)
        batch.on_commit.append(self._activate_version_2)

    def _activate_version_2(self) -> None:
        """Switch to the layout of data version 2 after the commit of the latch; this cannot be undone."""
        log.info("data version %d is active", DATA_VERSION)
        self._layout.version_2_active = True
        for job in self._cluster.jobs.values():
            self._layout.assign_tasks_per_record(job)
        self.jobs_to_migrate = self._jobs_in_old_layout()
        self._pacing.record_change()

    def prioritise(self, job_ids: set[str]) -> None:
        """Migrate these jobs next, since other changes to them are pending until then."""
        self._prioritised.update(dict.fromkeys(sorted(job_ids)))

    def record_commit(self, revision: int) -> None:
        """Record the mod revision of the chunks that the committed batch wrote."""
        if self._current is not None:
            for chunk, mod_revision in self._current.mod_revisions.items():
                self._current.mod_revisions[chunk] = mod_revision or revision

    def record_discard(self) -> None:
        """Restart the current job after a discarded batch; chunks written before are overwritten or are garbage."""
        self._current = None

    def _next_job(self) -> Job | None:
        """Return the job to migrate next: the current one, then a prioritised one, then any; None if none can be."""
        if not self.jobs_to_migrate:
            return None
        if self._current is not None and self._current.job_id in self._cluster.jobs:
            return self._cluster.jobs[self._current.job_id]
        self._current = None
        self.jobs_to_migrate &= self._cluster.jobs.keys()
        self._prioritised = {job_id: None for job_id in self._prioritised if job_id in self.jobs_to_migrate}
        for candidates in (self._prioritised, self.jobs_to_migrate):
            ready = [job_id for job_id in candidates if not self._is_postponed(self._cluster.jobs[job_id])]
            if ready:
                return self._cluster.jobs[min(ready)]
        return None

    def append_to(self, batch: Batch) -> None:
        """Append records of the job that is being migrated, as many as the batch has room for.

        A job does not change during its migration, so its chunks may be written in several batches. Until the head
        names the new chunks they are garbage and the old ones are valid; if the term ends in between, they stay so.
        """
        if batch.operations_left <= 0:
            return
        job = self._next_job()
        if job is None:
            return
        migration = self._current or self._begin(job)
        chunk_count = -(-job.spec.tasks // migration.tasks_per_record)
        while migration.next_chunk < chunk_count:
            chunk = migration.next_chunk
            key = chunk_key(job.id, chunk, migration.tasks_per_record)
            record = self._layout.chunk_record_in_split(job, migration.tasks_per_record, chunk)
            if not batch.has_room_for_put(key, record):
                return
            batch.put(key, record)
            migration.mod_revisions[chunk] = 0
            migration.next_chunk += 1
        if not batch.has_room_for_head(self._layout.max_head_bytes(job, migration.tasks_per_record)):
            return
        batch.migrate_job(job.id, migration.tasks_per_record, migration.mod_revisions)
        old_chunk_keys = [chunk_key(job.id, chunk, job.tasks_per_record) for chunk in job.chunk_mod_revisions]
        batch.on_commit.append(partial(self._complete, job.id, old_chunk_keys))

    def _begin(self, job: Job) -> JobMigration:
        tasks_per_record = self._layout.preferred_tasks_per_record(job)
        self._current = JobMigration(job.id, tasks_per_record)
        # An earlier leader may have written some of the same keys, which must no longer be deleted as garbage.
        self._garbage_collector.cancel_deletes(chunk_key(job.id, 0, tasks_per_record)[:-1])
        return self._current

    def _complete(self, job_id: str, old_chunk_keys: list[str]) -> None:
        """Finish a job's migration after the commit of its new head record."""
        self._garbage_collector.delete_later(old_chunk_keys)
        self._current = None
        self.jobs_to_migrate.discard(job_id)
        self._pacing.record_change()
