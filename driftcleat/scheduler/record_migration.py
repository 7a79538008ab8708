"""The change to the second data version: its latch, and the records that were written before it.

After the latch no record keeps the layout of the first version: jobs are moved one after the other, in pieces that
the lower limits allow.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field

from driftcleat.cluster import Batch, Job
from driftcleat.scheduler.context import SchedulerContext
from driftcleat.scheduler.garbage_collection import GarbageCollector
from driftcleat.scheduler.pacing import RoundPacing
from driftcleat.store.keys import DATA_VERSION_KEY, chunk_key
from driftcleat.store.records import DATA_VERSION

log = logging.getLogger(__name__)


@dataclass(slots=True)
class JobMigration:
    """A job's records on their way to another split: all chunks first, the head that names them last."""

    job_id: str
    split: int
    written: int = 1
    # The chunks' versions; 0 for those in the batch under way.
    versions: dict[int, int] = field(default_factory=dict)


class RecordMigration:
    """Writes the latch, and moves one job's records at a time."""

    def __init__(self, context: SchedulerContext, garbage_collector: GarbageCollector, pacing: RoundPacing) -> None:
        self._cluster, self._layout = context.cluster, context.layout
        self._garbage_collector, self._pacing = garbage_collector, pacing
        # Whether every controller is known to write data version 2, so that it may begin.
        self._latch_requested = False
        self.jobs_to_migrate = {job.id for job in self._cluster.jobs.values() if self._layout.needs_migration(job)}
        self._move: JobMigration | None = None
        # Jobs that something waits for until their records are moved.
        self._urgent: dict[str, None] = {}

    @property
    def latch_requested(self) -> bool:
        """Whether the latch was requested in this term, whether or not it is stored yet."""
        return self._latch_requested

    def request_latch(self) -> None:
        """Have the next batch begin data version 2, unless it is in force already.

        Only for callers who know that every controller can write it: there is no way back.
        """
        self._latch_requested = True

    @property
    def latch_due(self) -> bool:
        """Whether data version 2 is to begin with the next batch."""
        return self._latch_requested and not self._layout.version_2_active

    @property
    def pending(self) -> bool:
        """Whether a job's records wait to be moved."""
        return self._next_job() is not None

    def append_latch(self, batch: Batch) -> None:
        """Put the latch into a batch of its own."""
        batch.put(DATA_VERSION_KEY, DATA_VERSION)
        batch.on_commit.append(self._switch)

    def _switch(self) -> None:
        """Data version 2 is in force: there is no way back."""
        log.info("data version %d begins", DATA_VERSION)
        self._layout.version_2_active = True
        for job in self._cluster.jobs.values():
            self._layout.assign_tasks_per_record(job)
        self.jobs_to_migrate = {job.id for job in self._cluster.jobs.values() if self._layout.needs_migration(job)}
        self._pacing.record_change()

    def prioritise(self, job_ids: set[str]) -> None:
        """Something waits for the records of these jobs."""
        self._urgent.update(dict.fromkeys(sorted(job_ids)))

    def record_commit(self, revision: int) -> None:
        """A batch was committed: what it held of the move under way has its version."""
        if self._move is not None:
            for chunk, version in self._move.versions.items():
                self._move.versions[chunk] = version or revision

    def record_discard(self) -> None:
        """A batch was not carried out: chunks of the move under way are garbage, or written once more."""
        self._move = None

    def _next_job(self) -> Job | None:
        """Return the job whose records are to be moved next: one that something waits for, if there is any."""
        if not self.jobs_to_migrate:
            return None
        if self._move is not None and self._move.job_id in self._cluster.jobs:
            return self._cluster.jobs[self._move.job_id]
        self._move = None
        self.jobs_to_migrate &= self._cluster.jobs.keys()
        self._urgent = {job_id: None for job_id in self._urgent if job_id in self.jobs_to_migrate}
        return self._cluster.jobs[min(self._urgent or self.jobs_to_migrate)] if self.jobs_to_migrate else None

    def append_to(self, batch: Batch) -> None:
        """Write the records of jobs of the first data version anew, in pieces that the limits to come allow.

        A job does not change meanwhile, so its chunks may be written in several batches. Until the head names them
        they are garbage, and the old ones valid; a leader that ends in between leaves it at that.
        """
        if batch.operations_left <= 0:
            return
        job = self._next_job()
        if job is None:
            return
        migration = self._move or self._begin(job)
        chunks = -(-job.spec.tasks // migration.split)
        while migration.written < chunks and batch.has_room_for_keys():
            chunk = self._layout.chunk_record_in_split(job, migration.split, migration.written)
            batch.put(chunk_key(job.id, migration.written, migration.split), chunk)
            migration.versions[migration.written] = 0
            migration.written += 1
        if migration.written < chunks or not batch.has_room_for_keys():
            return
        batch.migrate_job(job.id, migration.split, migration.versions)
        batch.on_commit.append(self._end_later(job))

    def _begin(self, job: Job) -> JobMigration:
        split = self._layout.preferred_tasks_per_record(job)
        self._move = JobMigration(job.id, split)
        # An earlier leader may have left some of the very keys: they are no garbage from now on.
        self._garbage_collector.cancel_deletes(chunk_key(job.id, 0, split)[:-1])
        return self._move

    def _end_later(self, job: Job) -> Callable[[], None]:
        old = [chunk_key(job.id, chunk, job.tasks_per_record) for chunk in job.chunk_mod_revisions]

        def ended() -> None:
            self._garbage_collector.delete_later(old)
            self._move = None
            self.jobs_to_migrate.discard(job.id)
            self._pacing.record_change()

        return ended
