"""A batch: copies of the jobs that one transaction changes, and the callbacks for its commit or its discard."""

from collections.abc import Callable
from typing import NamedTuple

from driftcleat.cluster.batch_budget import BatchBudget
from driftcleat.cluster.jobs import Job, JobState, TaskPlacement, TaskState, transition_job, transition_task

# Upper bounds of what a transaction writes, in bytes: the head of a record or another small value, each task range or
# placement in a record, and a deleted key.
MAX_HEAD_BYTES = 2600
MAX_ENTRY_BYTES = 110
MAX_DELETE_BYTES = 256
# The estimate of a head's size counts at most this many placements.
MAX_PLACEMENTS_IN_ESTIMATE = 64


class TaskTransition(NamedTuple):
    """A task's placement before and after a change of its state; None if the task is not placed."""

    job_id: str
    task_index: int
    before: TaskPlacement | None
    after: TaskPlacement | None


class Batch:
    """Collects changes up to the store's limits for one transaction. Nothing in it is visible before the commit."""

    def __init__(
        self,
        committed: dict[str, Job],
        chunk_of: Callable[[Job, int], int],
        operations: int,
        size_bytes: int,
        awaits_migration: Callable[[Job], bool] = lambda job: False,
    ) -> None:
        """Begin an empty batch.

        `chunk_of` returns the chunk record of a task, 0 for the head; `operations` and `size_bytes` are the limits;
        `awaits_migration` returns whether a job's records must be migrated before they can change.
        """
        self.committed_jobs = committed
        self.chunk_of = chunk_of
        self._awaits_migration = awaits_migration
        self._budget = BatchBudget(operations, size_bytes)
        self.jobs: dict[str, Job] = {}
        self.created: set[str] = set()
        # By job created in this batch: its dependencies that are not done yet.
        self.unmet_dependencies: dict[str, set[str]] = {}
        # All jobs that change, and those whose head is written: a change of a task may need to write only a chunk.
        self.changed_jobs: set[str] = set()
        self.changed_heads: set[str] = set()
        self.changed_chunks: dict[str, set[int]] = {}
        self.task_transitions: list[TaskTransition] = []
        self.puts: dict[str, object] = {}
        self.deletes: list[str] = []
        self.on_commit: list[Callable[[], None]] = []
        # Callbacks that requeue requests if this batch is not written; called in reverse order.
        self.on_discard: list[Callable[[], None]] = []
        # Jobs whose change was rejected because their records must be migrated first.
        self.awaiting_migration: set[str] = set()
        # Jobs whose records this batch migrates: it contains their tasks already and takes no change of them.
        self.migrated: set[str] = set()

    @property
    def operations_left(self) -> int:
        """The number of operations that the transaction may still take."""
        return self._budget.operations_left

    @operations_left.setter
    def operations_left(self, operations: int) -> None:
        self._budget.operations_left = operations

    @property
    def bytes_left(self) -> int:
        """The number of bytes that the transaction may still take."""
        return self._budget.bytes_left

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to write."""
        return not (self.changed_jobs or self.puts or self.deletes)

    def must_migrate_first(self, job: Job) -> bool:
        """Return whether a job must be migrated before it changes; if so, add it to `awaiting_migration`."""
        if not self._awaits_migration(job) and job.id not in self.migrated:
            return False
        self.awaiting_migration.add(job.id)
        return True

    def job(self, job_id: str) -> Job | None:
        """Return a job with the changes of this batch; None if there is no such job."""
        return self.jobs.get(job_id) or self.committed_jobs.get(job_id)

    def has_room_for_exit(self, job: Job, index: int) -> bool:
        """Return whether the exit of a task fits, with the stops that it may cause for the rest of its gang."""
        if self.must_migrate_first(job):
            return False
        indices = [index, *job.placements] if job.is_gang else [index]
        chunks = {self.chunk_of(job, other) for other in indices}
        head = job.is_gang or 0 in chunks or job.id in self.changed_heads
        operations = head + len((chunks - {0}) | self.changed_chunks.get(job.id, set()))
        if len(job.placements) == 1 and (job.state is JobState.CANCELLED or job.tasks_done + 1 == job.spec.tasks):
            operations = max(operations, 2)
        return self._budget.fits_job(job.id, operations, self._change_bytes(job, 1))

    def has_room(self, job: Job, entries: int = 1, chunks: int = 0, may_end_job: bool = False) -> bool:
        """Return whether a change of a job's head and of `entries` of its tasks fits.

        `chunks` is the number of the job's chunk records that this batch writes after the change. `may_end_job` tells
        whether the change may end the job, which takes up to two operations.
        """
        if self.must_migrate_first(job):
            return False
        operations = max(1 + max(chunks, len(self.changed_chunks.get(job.id, ()))), 2 if may_end_job else 0)
        return self._budget.fits_job(job.id, operations, self._change_bytes(job, entries))

    def has_room_for_keys(self, count: int = 1) -> bool:
        """Return whether puts of `count` small values that belong to no job fit."""
        return self._budget.fits(count, count * MAX_HEAD_BYTES)

    def _change_bytes(self, job: Job, entries: int) -> int:
        """Return an upper bound of the bytes that a change of `entries` tasks of a job may add."""
        head = (
            0
            if job.id in self.changed_jobs
            else MAX_HEAD_BYTES + MAX_ENTRY_BYTES * min(len(job.placements), MAX_PLACEMENTS_IN_ESTIMATE)
        )
        return head + entries * MAX_ENTRY_BYTES

    def _charge(self, job_id: str) -> None:
        """Charge a job's operations as of now: its changed records, or its final state and their removal."""
        job = self.jobs[job_id]
        if job.state in (JobState.DONE, JobState.TERMINATED):
            operations = 1 if job_id in self.created else 2
        else:
            operations = (job_id in self.changed_heads) + len(self.changed_chunks.get(job_id, ()))
        self._budget.charge_job(job_id, operations)

    def _open_for_change(self, job_id: str, head: bool = True) -> Job:
        """Return this batch's copy of a job for a change; `head` tells whether the change writes the job's head."""
        job = self.jobs.get(job_id)
        if job is None:
            job = self.committed_jobs[job_id].copy()
            self.jobs[job_id] = job
        if job_id not in self.changed_jobs:
            self._budget.charge_bytes(self._change_bytes(job, 0))
            self.changed_jobs.add(job_id)
        if head:
            self.changed_heads.add(job_id)
        self._charge(job_id)
        return job

    def create_job(self, job: Job, unmet: set[str] | None = None) -> None:
        """Add an accepted job; `unmet` are its dependencies that are not done yet."""
        self.jobs[job.id] = job
        self.created.add(job.id)
        self.unmet_dependencies[job.id] = unmet or set()
        self._open_for_change(job.id)

    def cancel_job(self, job_id: str, wall_clock_s: float) -> None:
        """Cancel a job; `wall_clock_s` is the wall-clock time in seconds."""
        job = self._open_for_change(job_id)
        job.cancelled_at = wall_clock_s
        transition_job(job, JobState.CANCELLED)
        self.finish_job_if_complete(job_id)

    def next_attempt(self, job_id: str) -> int:
        """Allocate the next attempt number of a job and return it."""
        job = self._open_for_change(job_id)
        job.last_attempt += 1
        return job.last_attempt

    def transition_task(self, job_id: str, index: int, to: TaskState, placement: TaskPlacement | None = None) -> None:
        """Change a task's state; `placement` is required if the new state is PLACED."""
        chunk = self.chunk_of(self.jobs.get(job_id) or self.committed_jobs[job_id], index)
        if chunk > 0:
            self.changed_chunks.setdefault(job_id, set()).add(chunk)
        job = self._open_for_change(job_id, head=chunk == 0)
        before = job.placements.get(index)
        transition_task(job, index, to, placement)
        after = placement if to is TaskState.PLACED else None
        self.task_transitions.append(TaskTransition(job_id, index, before, after))
        self._budget.charge_bytes(MAX_ENTRY_BYTES)

    def migrate_job(self, job_id: str, tasks_per_record: int, mod_revisions: dict[int, int]) -> None:
        """Rewrite a job's head for `tasks_per_record`; its chunks are committed already or in this batch."""
        job = self._open_for_change(job_id)
        job.tasks_per_record = tasks_per_record
        job.chunk_mod_revisions = mod_revisions
        self.migrated.add(job_id)

    def stop_task(self, job_id: str, index: int, grace_s: float) -> None:
        """Stop a placed task with a grace period in seconds; a task that is already being stopped keeps its own."""
        job = self.job(job_id)
        if job is None:
            return
        placement = job.placements[index]
        if placement.stop_grace_s is None:
            self.transition_task(
                job_id,
                index,
                TaskState.PLACED,
                TaskPlacement(placement.machine, placement.zone, placement.attempt, grace_s),
            )

    def finish_job_if_complete(self, job_id: str) -> None:
        """End a job if all its tasks are done or if it is cancelled and none of its tasks is placed any more."""
        job = self.jobs[job_id]
        if job.state is JobState.ACTIVE and job.tasks_done == job.spec.tasks:
            transition_job(job, JobState.DONE)
        elif job.state is JobState.CANCELLED and not job.placements:
            transition_job(job, JobState.TERMINATED)
        self._charge(job_id)

    def put(self, key: str, value: object) -> None:
        """Write a small value under a key that is not a job's record."""
        self.puts[key] = value
        self._budget.charge(1, MAX_HEAD_BYTES)

    def delete(self, key: str) -> None:
        """Remove a key that is not a job's record."""
        self.deletes.append(key)
        self._budget.charge(1, MAX_DELETE_BYTES)
