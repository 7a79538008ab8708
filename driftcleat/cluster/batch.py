"""A batch: copies of the jobs that one transaction changes, and what follows once it is committed."""

from collections.abc import Callable
from typing import NamedTuple

from driftcleat.cluster.jobs import Job, JobState, TaskPlacement, TaskState, transition_job, transition_task

# What one record takes at the most, in bytes: its head, and each entry of a range or a place.
HEAD_BYTES = 2600
ENTRY_BYTES = 110


class TaskTransition(NamedTuple):
    """A task's placement before and after its change; None where it has none."""

    job_id: str
    task_index: int
    before: TaskPlacement | None
    after: TaskPlacement | None


class Batch:
    """Collects changes until the store's limits are reached. Nothing in it is visible before the commit."""

    def __init__(
        self,
        committed: dict[str, Job],
        chunk_of: Callable[[Job, int], int],
        ops: int,
        size: int,
        awaits_migration: Callable[[Job], bool] = lambda job: False,
    ) -> None:
        self.committed_jobs, self.chunk_of, self._awaits_migration = committed, chunk_of, awaits_migration
        self.operations_left, self.bytes_left = ops, size
        self.jobs: dict[str, Job] = {}
        self.created: set[str] = set()
        # What the jobs created here need and is not done yet.
        self.unmet_dependencies: dict[str, set[str]] = {}
        # Every job that changes, and those of them whose head is written: a task's change may lie in a chunk alone.
        self.changed_jobs: set[str] = set()
        self.changed_heads: set[str] = set()
        self._charged: dict[str, int] = {}
        self.changed_chunks: dict[str, set[int]] = {}
        self.task_transitions: list[TaskTransition] = []
        self.puts: dict[str, object] = {}
        self.deletes: list[str] = []
        self.on_commit: list[Callable[[], None]] = []
        # What undoes the taking of requests, should this batch not be written.
        self.on_discard: list[Callable[[], None]] = []
        # Jobs that wait for their records to be moved before they can change.
        self.awaiting_migration: set[str] = set()
        # Jobs whose records this batch moves: it has written their tasks already.
        self.migrated: set[str] = set()

    def must_migrate_first(self, job: Job) -> bool:
        """Whether a job's records must be moved first; it is noted that something waits for that."""
        if not self._awaits_migration(job) and job.id not in self.migrated:
            return False
        self.awaiting_migration.add(job.id)
        return True

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to write."""
        return not (self.changed_jobs or self.puts or self.deletes)

    def job(self, job_id: str) -> Job | None:
        """Return a job as this batch leaves it."""
        return self.jobs.get(job_id) or self.committed_jobs.get(job_id)

    def has_room_for_exit(self, job: Job, index: int) -> bool:
        """Tell whether a task's leaving its place still fits, and the stops of its gang, which may have to follow."""
        if self.must_migrate_first(job):
            return False
        indices = [index, *job.placements] if job.is_gang else [index]
        chunks = {self.chunk_of(job, other) for other in indices}
        head = job.is_gang or 0 in chunks or job.id in self.changed_heads
        ops = head + len((chunks - {0}) | self.changed_chunks.get(job.id, set()))
        if len(job.placements) == 1 and (job.state is JobState.CANCELLED or job.tasks_done + 1 == job.spec.tasks):
            ops = max(ops, 2)
        return ops - self._charged.get(job.id, 0) <= self.operations_left and self._cost(job, 1) <= self.bytes_left

    def has_room(self, job: Job, entries: int = 1, chunks: int = 0, ends: bool = False) -> bool:
        """Tell whether a change of a job's head and of that many tasks still fits; `ends` if it may end the job.

        `chunks` counts the records beside the head that it opens or has opened in this batch.
        """
        if self.must_migrate_first(job):
            return False
        ops = max(1 + max(chunks, len(self.changed_chunks.get(job.id, ()))), 2 if ends else 0)
        return (
            ops - self._charged.get(job.id, 0) <= self.operations_left and self._cost(job, entries) <= self.bytes_left
        )

    def _cost(self, job: Job, entries: int) -> int:
        """Return the bytes that a change of some tasks may add."""
        head = 0 if job.id in self.changed_jobs else HEAD_BYTES + ENTRY_BYTES * min(len(job.placements), 64)
        return head + entries * ENTRY_BYTES

    def _charge(self, job_id: str) -> None:
        """Count the changes that a job takes as it stands: its records, or its final state and their removal."""
        job = self.jobs[job_id]
        if job.state in (JobState.DONE, JobState.TERMINATED):
            ops = 1 if job_id in self.created else 2
        else:
            ops = (job_id in self.changed_heads) + len(self.changed_chunks.get(job_id, ()))
        self.operations_left -= ops - self._charged.get(job_id, 0)
        self._charged[job_id] = ops

    def has_room_for_keys(self, ops: int = 1) -> bool:
        """Tell whether that many small keys still fit."""
        return self.operations_left >= ops and self.bytes_left >= ops * HEAD_BYTES

    def _open(self, job_id: str, head: bool = True) -> Job:
        """Return a job's copy, to be changed; `head` if its head must be written for that."""
        job = self.jobs.get(job_id)
        if job is None:
            job = self.committed_jobs[job_id].copy()
            self.jobs[job_id] = job
        if job_id not in self.changed_jobs:
            self.bytes_left -= self._cost(job, 0)
            self.changed_jobs.add(job_id)
        if head:
            self.changed_heads.add(job_id)
        self._charge(job_id)
        return job

    def create_job(self, job: Job, unmet: set[str] | None = None) -> None:
        """Add a job that was accepted."""
        self.jobs[job.id] = job
        self.created.add(job.id)
        self.unmet_dependencies[job.id] = unmet or set()
        self._open(job.id)

    def cancel_job(self, job_id: str, wall: float) -> None:
        """Cancel a job."""
        job = self._open(job_id)
        job.cancelled_at = wall
        transition_job(job, JobState.CANCELLED)
        self.finish_job_if_complete(job_id)

    def next_attempt(self, job_id: str) -> int:
        """Return a new attempt number of a job."""
        job = self._open(job_id)
        job.last_attempt += 1
        return job.last_attempt

    def transition_task(self, job_id: str, index: int, to: TaskState, placement: TaskPlacement | None = None) -> None:
        """Change a task's state."""
        chunk = self.chunk_of(self.jobs.get(job_id) or self.committed_jobs[job_id], index)
        if chunk > 0:
            self.changed_chunks.setdefault(job_id, set()).add(chunk)
        job = self._open(job_id, head=chunk == 0)
        old = job.placements.get(index)
        transition_task(job, index, to, placement)
        self.task_transitions.append(
            TaskTransition(job_id, index, old, placement if to is TaskState.PLACED else None)
        )
        self.bytes_left -= ENTRY_BYTES

    def migrate_job(self, job_id: str, split: int, versions: dict[int, int]) -> None:
        """Write a job's head in another split, whose chunks are written already, or in this batch."""
        job = self._open(job_id)
        job.tasks_per_record, job.chunk_mod_revisions = split, versions
        self.migrated.add(job_id)

    def stop_task(self, job_id: str, index: int, grace: float) -> None:
        """Tell a placed task to stop (a task told already keeps its grace)."""
        job = self.job(job_id)
        if job is None:
            return
        placement = job.placements[index]
        if placement.stop_grace_s is None:
            self.transition_task(
                job_id,
                index,
                TaskState.PLACED,
                TaskPlacement(placement.machine, placement.zone, placement.attempt, grace),
            )

    def finish_job_if_complete(self, job_id: str) -> None:
        """End a job whose tasks are all done, or all proven gone after a cancellation."""
        job = self.jobs[job_id]
        if job.state is JobState.ACTIVE and job.tasks_done == job.spec.tasks:
            transition_job(job, JobState.DONE)
        elif job.state is JobState.CANCELLED and not job.placements:
            transition_job(job, JobState.TERMINATED)
        self._charge(job_id)

    def put(self, key: str, value: object) -> None:
        """Write a small key that is not a job's."""
        self.puts[key] = value
        self.operations_left -= 1
        self.bytes_left -= HEAD_BYTES

    def delete(self, key: str) -> None:
        """Remove a key that is not a job's record."""
        self.deletes.append(key)
        self.operations_left -= 1
        self.bytes_left -= 256
