"""The change to the second data version: its latch, and the records that were written before it.

After the latch no record keeps the layout of the first version: jobs are moved one after the other, in pieces that
the lower limits allow.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field

from driftcleat.model import Batch, Job
from driftcleat.store.records import DATA_VERSION, VERSION, chunk_key

from .context import TermContext
from .housekeeping import Housekeeping
from .pacing import RoundPacing

log = logging.getLogger(__name__)


@dataclass(slots=True)
class Move:
    """A job's records on their way to another split: all chunks first, the head that names them last."""

    job_id: str
    split: int
    written: int = 1
    # The chunks' versions; 0 for those in the batch under way.
    versions: dict[int, int] = field(default_factory=dict)


class Migration:
    """Writes the latch, and moves one job's records at a time."""

    def __init__(self, context: TermContext, housekeeping: Housekeeping, pacing: RoundPacing) -> None:
        self._cluster, self._layout = context.cluster, context.layout
        self._housekeeping, self._pacing = housekeeping, pacing
        # Whether every controller is known to write data version 2, so that it may begin.
        self.latch_wanted = False
        self.unmoved = {job.id for job in self._cluster.jobs.values() if self._layout.must_move(job)}
        self._move: Move | None = None
        # Jobs that something waits for until their records are moved.
        self._urgent: dict[str, None] = {}

    @property
    def must_latch(self) -> bool:
        """Whether data version 2 is to begin with the next batch."""
        return self.latch_wanted and not self._layout.switched

    @property
    def pending(self) -> bool:
        """Whether a job's records wait to be moved."""
        return self._next_job() is not None

    def take_latch(self, batch: Batch) -> None:
        """Put the latch into a batch of its own."""
        batch.put(VERSION, DATA_VERSION)
        batch.after.append(self._switch)

    def _switch(self) -> None:
        """Data version 2 is in force: there is no way back."""
        log.info("data version %d begins", DATA_VERSION)
        self._layout.switched = True
        for job in self._cluster.jobs.values():
            self._layout.take_in(job)
        self.unmoved = {job.id for job in self._cluster.jobs.values() if self._layout.must_move(job)}
        self._pacing.note_change()

    def move_first(self, job_ids: set[str]) -> None:
        """Something waits for the records of these jobs."""
        self._urgent.update(dict.fromkeys(sorted(job_ids)))

    def note_commit(self, revision: int) -> None:
        """A batch was committed: what it held of the move under way has its version."""
        if self._move is not None:
            for chunk, version in self._move.versions.items():
                self._move.versions[chunk] = version or revision

    def note_discard(self) -> None:
        """A batch was not carried out: chunks of the move under way are garbage, or written once more."""
        self._move = None

    def _next_job(self) -> Job | None:
        """Return the job whose records are to be moved next: one that something waits for, if there is any."""
        if not self.unmoved:
            return None
        if self._move is not None and self._move.job_id in self._cluster.jobs:
            return self._cluster.jobs[self._move.job_id]
        self._move = None
        self.unmoved &= self._cluster.jobs.keys()
        self._urgent = {job_id: None for job_id in self._urgent if job_id in self.unmoved}
        return self._cluster.jobs[min(self._urgent or self.unmoved)] if self.unmoved else None

    def take(self, batch: Batch) -> None:
        """Write the records of jobs of the first data version anew, in pieces that the limits to come allow.

        A job does not change meanwhile, so its chunks may be written in several batches. Until the head names them
        they are garbage, and the old ones valid; a leader that ends in between leaves it at that.
        """
        if batch.ops_left <= 0:
            return
        job = self._next_job()
        if job is None:
            return
        move = self._move or self._begin(job)
        chunks = -(-job.spec.tasks // move.split)
        while move.written < chunks and batch.has_room_for_keys():
            chunk = self._layout.chunk_in(job, move.split, move.written)
            batch.put(chunk_key(job.id, move.written, move.split), chunk)
            move.versions[move.written] = 0
            move.written += 1
        if move.written < chunks or not batch.has_room_for_keys():
            return
        batch.rewrite_split(job.id, move.split, move.versions)
        batch.after.append(self._end_later(job))

    def _begin(self, job: Job) -> Move:
        split = self._layout.own_split(job)
        self._move = Move(job.id, split)
        # An earlier leader may have left some of the very keys: they are no garbage from now on.
        prefix = chunk_key(job.id, 0, split)[:-1]
        garbage = self._housekeeping.garbage
        garbage[:] = [key for key in garbage if not key.startswith(prefix)]
        return self._move

    def _end_later(self, job: Job) -> Callable[[], None]:
        old = [chunk_key(job.id, chunk, job.split) for chunk in job.chunk_versions]

        def ended() -> None:
            self._housekeeping.garbage.extend(old)
            self._move = None
            self.unmoved.discard(job.id)
            self._pacing.note_change()

        return ended
