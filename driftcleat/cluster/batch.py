"""A batch: copies of the jobs that one transaction changes, and the callbacks for its commit or its discard."""

from collections.abc import Callable, Collection
from typing import NamedTuple

from driftcleat.cluster.batch_budget import BatchBudget
from driftcleat.cluster.jobs import Job, JobState, TaskPlacement, TaskState, transition_job, transition_task
from driftcleat.cluster.record_sizes import RecordSizes

HEAD_RECORD = 0


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
        sizes: RecordSizes,
        operations: int,
        size_bytes: int,
        max_changes: int | None = None,
        is_postponed: Callable[[Job], bool] = lambda job: False,
    ) -> None:
        """Begin an empty batch.

        `operations` and `size_bytes` are the limits of its transaction, `max_changes` that on the number of jobs and
        other keys; `is_postponed` returns whether a job must not change in this batch.
        """
        self.committed_jobs = committed
        self._sizes = sizes
        self._budget = BatchBudget(operations, size_bytes, max_changes)
        self._is_postponed = is_postponed
        # Sizes of records as they are committed, by job id and number of the record.
        self._committed_record_bytes: dict[tuple[str, int], int] = {}
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
        # Jobs whose change was rejected because their records must be migrated first, or because they are postponed.
        self.waiting_jobs: set[str] = set()
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

    @property
    def change_count(self) -> int:
        """The number of jobs and other keys that change."""
        return self._budget.changes

    def must_wait(self, job: Job) -> bool:
        """Return whether a job must be migrated before it changes, or is postponed; if so, note it as waiting."""
        must_migrate = self._sizes.needs_migration(job) or job.id in self.migrated
        if not must_migrate and not self._is_postponed(job):
            return False
        self.waiting_jobs.add(job.id)
        return True

    def job(self, job_id: str) -> Job | None:
        """Return a job with the changes of this batch; None if there is no such job."""
        return self.jobs.get(job_id) or self.committed_jobs.get(job_id)

    def has_room_for_exit(self, job: Job, index: int) -> bool:
        """Return whether the exit of a task fits, with the stops that it may cause for the rest of its gang."""
        if self.must_wait(job):
            return False
        indices = [index, *job.placements] if job.is_gang else [index]
        records = {self._sizes.chunk_of(job, other) for other in indices}
        if job.is_gang or job.id in self.changed_heads:
            records.add(HEAD_RECORD)
        operations = len(records | self.changed_chunks.get(job.id, set()))
        if len(job.placements) == 1 and (job.state is JobState.CANCELLED or job.tasks_done + 1 == job.spec.tasks):
            operations = max(operations, 2)
        return self._budget.fits_job(job.id, operations, self._change_bytes(job, records, 1))

    def has_room(self, job: Job, rows: int = 0, chunks: Collection[int] = (), may_end_job: bool = False) -> bool:
        """Return whether a change of a job's head and of tasks with `rows` different placements fits.

        `chunks` are the records that hold the changed tasks. `may_end_job` tells whether the change may end the job,
        which takes up to two operations.
        """
        if self.must_wait(job):
            return False
        records = {HEAD_RECORD, *chunks}
        operations = max(len(records | self.changed_chunks.get(job.id, set())), 2 if may_end_job else 0)
        return self._budget.fits_job(job.id, operations, self._change_bytes(job, records, rows))

    def has_room_for_put(self, key: str, value: object) -> bool:
        """Return whether a put of a key that is not a job's record fits."""
        return self._budget.fits(1, self._sizes.put_bytes(key, value))

    def has_room_for_delete(self, key: str) -> bool:
        """Return whether a delete of a key that is not a job's record fits."""
        return self._budget.fits(1, self._sizes.delete_bytes(key))

    def has_room_for_head(self, head_bytes: int) -> bool:
        """Return whether a job's head record of this size, in bytes, fits in addition to the puts so far."""
        return self._budget.fits(1, head_bytes)

    def _change_bytes(self, job: Job, records: Collection[int], rows: int) -> int:
        """Return an upper bound of the bytes that a change of `rows` placements in these records may add."""
        unwritten = (number for number in records if not self._writes_record(job.id, number))
        return sum(self._record_bytes(job, number) for number in unwritten) + rows * self._sizes.row_bytes(job)

    def _writes_record(self, job_id: str, number: int) -> bool:
        """Return whether this batch writes a record of a job already, so that its size is charged."""
        if number == HEAD_RECORD:
            return job_id in self.changed_heads
        return number in self.changed_chunks.get(job_id, ())

    def _record_bytes(self, job: Job, number: int) -> int:
        """Return the size of a record that this batch does not write yet: its tasks are as they are committed."""
        size = self._committed_record_bytes.get((job.id, number))
        if size is None:
            size = self._committed_record_bytes[job.id, number] = self._sizes.record_bytes(job, number)
        return size

    def _charge(self, job_id: str) -> None:
        """Charge a job's operations as of now: its changed records, or its final state and their removal."""
        job = self.jobs[job_id]
        if job.state in (JobState.DONE, JobState.TERMINATED):
            operations = 1 if job_id in self.created else 2
        else:
            operations = (job_id in self.changed_heads) + len(self.changed_chunks.get(job_id, ()))
        self._budget.charge_job(job_id, operations)

    def _open_for_change(self, job_id: str, record: int = HEAD_RECORD) -> Job:
        """Return this batch's copy of a job for a change of one of its records."""
        job = self.jobs.get(job_id)
        if job is None:
            job = self.committed_jobs[job_id].copy()
            self.jobs[job_id] = job
        if not self._writes_record(job_id, record):
            self._budget.charge_bytes(self._record_bytes(job, record))
        self.changed_jobs.add(job_id)
        if record == HEAD_RECORD:
            self.changed_heads.add(job_id)
        else:
            self.changed_chunks.setdefault(job_id, set()).add(record)
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
        record = self._sizes.chunk_of(self.jobs.get(job_id) or self.committed_jobs[job_id], index)
        job = self._open_for_change(job_id, record)
        before = job.placements.get(index)
        transition_task(job, index, to, placement)
        after = placement if to is TaskState.PLACED else None
        self.task_transitions.append(TaskTransition(job_id, index, before, after))
        self._budget.charge_bytes(self._sizes.row_bytes(job))

    def migrate_job(self, job_id: str, tasks_per_record: int, mod_revisions: dict[int, int]) -> None:
        """Rewrite a job's head for `tasks_per_record`; its chunks are committed already or in this batch."""
        job = self.jobs[job_id] = self.committed_jobs[job_id].copy()
        job.tasks_per_record = tasks_per_record
        job.chunk_mod_revisions = mod_revisions
        self._open_for_change(job_id)
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
        """Write a value under a key that is not a record of a changed job."""
        self.puts[key] = value
        self._budget.charge(1, self._sizes.put_bytes(key, value))

    def delete(self, key: str) -> None:
        """Remove a key that is not a job's record."""
        self.deletes.append(key)
        self._budget.charge(1, self._sizes.delete_bytes(key))
