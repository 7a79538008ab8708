"""The division of a job's tasks into records, and the contents of each record."""

import bisect

import msgspec

from driftcleat import wire
from driftcleat.cluster.jobs import Job, TaskPlacement, TaskState
from driftcleat.store.index_ranges import format_ranges
from driftcleat.store.records import ChunkRecord, JobRecord, PlacementRow, without_dependencies
from driftcleat.store.size_bounds import (
    CHUNK_FIELDS_BYTES,
    KEY_FRAMING_BYTES,
    MAX_BATCH_BYTES,
    MAX_DONE_TASK_BYTES,
    SizeBounds,
)
from driftcleat.wire.job_ids import encode_job_ids
from driftcleat.wire.users import JobKind, JobSpec

# The division into records in data version 1 allows this many bytes for a head and for each task. Earlier versions
# divide by the same numbers, so these must not change.
VERSION_1_HEAD_BYTES = 2600
VERSION_1_TASK_BYTES = 110
# Operations in a batch that changes a whole gang, besides one for each of its records: the batch marker.
EXTRA_GANG_OPERATIONS = 1


class RecordLayout:
    """Derives the number of tasks in a record from the state service's limits, and builds the records.

    In data version 1, jobs are divided according to the current limits (`version_1_value_bytes`,
    `version_1_txn_ops`). In data version 2, new jobs are divided according to the announced lower limits
    (`value_bytes`, `txn_ops`), and the records of older jobs are migrated.
    """

    def __init__(
        self,
        value_bytes: int,
        txn_ops: int,
        version_1_value_bytes: int | None = None,
        version_1_txn_ops: int | None = None,
        zones: tuple[str, ...] = (),
    ) -> None:
        self.value_bytes = value_bytes
        self.txn_ops = txn_ops
        self.version_1_value_bytes = version_1_value_bytes if version_1_value_bytes is not None else value_bytes
        self.version_1_txn_ops = version_1_txn_ops if version_1_txn_ops is not None else txn_ops
        self.version_2_active = False
        self._version_1_tasks_per_record = max(
            1, (self.version_1_value_bytes - VERSION_1_HEAD_BYTES) // VERSION_1_TASK_BYTES
        )
        self._bounds = SizeBounds(zones)

    def tasks_per_record(self, job: Job) -> int:
        """Return the number of tasks in a record of this job; more for a large gang, which must fit one batch."""
        if job.tasks_per_record:
            return job.tasks_per_record
        return (
            self._version_1_gang_tasks_per_record(job.spec.tasks) if job.is_gang else self._version_1_tasks_per_record
        )

    def _version_1_gang_tasks_per_record(self, tasks: int) -> int:
        return max(self._version_1_tasks_per_record, -(-tasks // max(1, self.version_1_txn_ops // 2)))

    def preferred_tasks_per_record(self, job: Job) -> int:
        """Return the number of tasks that a record of this job should hold in data version 2."""
        tasks = self._max_tasks_per_record(job.spec, self.value_bytes)
        if job.is_gang:
            # A change of one task may change all tasks of the gang, so all its records must be changed by one batch.
            # A gang above `max_gang_tasks`, accepted by an earlier version, gets larger records for that: they fit if
            # enough of its tasks share machines.
            tasks = max(tasks, -(-job.spec.tasks // self._max_gang_records))
        return tasks

    def _max_tasks_per_record(self, spec: JobSpec, value_bytes: int) -> int:
        """Return how many tasks a job's head, and so any of its records, always holds; at least 1."""
        row_bytes = self._bounds.row_bytes(spec)
        # The exit of a task is charged with a row of its own.
        record_bytes = min(value_bytes, MAX_BATCH_BYTES - self._bounds.framing_bytes(spec.id) - row_bytes)
        return max(1, (record_bytes - self._bounds.head_bytes(spec)) // row_bytes)

    @property
    def _max_gang_records(self) -> int:
        """The number of records of one gang that a batch may change under the announced limits."""
        return max(1, self.txn_ops - EXTRA_GANG_OPERATIONS)

    def max_gang_tasks(self, spec: JobSpec) -> int:
        """Return the largest number of tasks, up to its own, with which a gang fits under all limits to come.

        The placement of a gang is one batch, and so is each exit, which may stop all other tasks.
        """
        if self._gang_fits(spec):
            return spec.tasks

        def is_too_large(tasks: int) -> bool:
            return not self._gang_fits(msgspec.structs.replace(spec, tasks=tasks))

        return bisect.bisect_left(range(1, spec.tasks), True, key=is_too_large)

    def _gang_fits(self, spec: JobSpec) -> bool:
        """Return whether all records of a gang fit, in each data version, if each task has a machine of its own."""
        if not self._gang_records_fit(spec, self._max_tasks_per_record(spec, self.value_bytes)):
            return False
        if self.version_2_active or spec.dependencies:
            return True
        per_record = self._version_1_gang_tasks_per_record(spec.tasks)
        head_tasks = min(spec.tasks, per_record)
        return head_tasks <= self._max_tasks_per_record(spec, self.version_1_value_bytes) and self._gang_records_fit(
            spec, per_record
        )

    def _gang_records_fit(self, spec: JobSpec, tasks_per_record: int) -> bool:
        """Return whether all records of a gang fit into one batch, together with the exit of one of its tasks."""
        records = -(-spec.tasks // tasks_per_record)
        size_bytes = (
            self._bounds.head_bytes(spec)
            + (records - 1) * CHUNK_FIELDS_BYTES
            + records * self._bounds.framing_bytes(spec.id)
            + (spec.tasks + 1) * self._bounds.row_bytes(spec)
        )
        return records <= self._max_gang_records and size_bytes <= MAX_BATCH_BYTES

    def spec_fits(self, spec: JobSpec) -> bool:
        """Return whether a job's records fit into values and into a batch, under the limits that will apply to it.

        Of a gang, `max_gang_tasks` tells whether all of its records fit at once. A job with dependencies is stored in
        data version 2 only, where the number of tasks in a record follows from the size of its head.
        """
        head_bytes = self._bounds.head_bytes(spec)
        row_bytes = self._bounds.row_bytes(spec)
        if not self.version_2_active and not spec.dependencies and spec.kind is not JobKind.GANG:
            tasks_in_head = min(spec.tasks, self._version_1_tasks_per_record)
            if head_bytes + tasks_in_head * row_bytes > self.version_1_value_bytes:
                return False
        return head_bytes + row_bytes <= min(self.value_bytes, MAX_BATCH_BYTES - self._bounds.framing_bytes(spec.id))

    # The interface `RecordSizes` of a batch.

    def record_bytes(self, job: Job, number: int) -> int:
        """Return an upper bound of the bytes that writing record `number` of a job adds to a transaction."""
        tasks_per_record = self.tasks_per_record(job)
        first = number * tasks_per_record
        end = first + tasks_per_record
        placed = job.task_states.count(TaskState.PLACED, first, end)
        done = job.task_states.count(TaskState.DONE, first, end)
        fields = self._job_head_bytes(job) if number == 0 else CHUNK_FIELDS_BYTES
        return fields + placed * self.row_bytes(job) + done * MAX_DONE_TASK_BYTES + self._bounds.framing_bytes(job.id)

    def max_head_bytes(self, job: Job, tasks_per_record: int) -> int:
        """Return an upper bound of the bytes for a job's head if a record held `tasks_per_record` tasks."""
        tasks = min(len(job.placements), tasks_per_record) * self.row_bytes(job)
        done = min(job.tasks_done, tasks_per_record) * MAX_DONE_TASK_BYTES
        return self._job_head_bytes(job) + tasks + done + self._bounds.framing_bytes(job.id)

    def row_bytes(self, job: Job) -> int:
        """Return an upper bound of the bytes that a change of one task adds to its record."""
        if not job.row_bytes:
            job.row_bytes = self._bounds.row_bytes(job.spec)
        return job.row_bytes

    def put_bytes(self, key: str, value: object) -> int:
        """Return an upper bound of the bytes for a put of a key that is not a record of a changed job."""
        return len(key) + len(wire.encode(value)) + KEY_FRAMING_BYTES

    def delete_bytes(self, key: str) -> int:
        """Return an upper bound of the bytes for a delete of a key."""
        return len(key) + KEY_FRAMING_BYTES

    def _job_head_bytes(self, job: Job) -> int:
        """Return `head_bytes` of a job; the encoding is done once, since every change of the job asks for it."""
        if not job.head_bytes:
            job.head_bytes = self._bounds.head_bytes(job.spec)
        return job.head_bytes

    def assign_tasks_per_record(self, job: Job) -> None:
        """Set a job's tasks per record in data version 2, unless records that are stored already would change."""
        if self.version_2_active and not job.tasks_per_record and not job.chunk_mod_revisions:
            tasks = self.preferred_tasks_per_record(job)
            if not job.mod_revision or job.spec.tasks <= min(tasks, self.tasks_per_record(job)):
                job.tasks_per_record = tasks

    def needs_migration(self, job: Job) -> bool:
        """Return whether a job's records must be migrated to data version 2 before any of them may change."""
        return self.version_2_active and not job.tasks_per_record

    def chunk_of(self, job: Job, index: int) -> int:
        """Return the number of the record that holds a task; 0 is the head."""
        return index // self.tasks_per_record(job)

    @property
    def max_value_bytes(self) -> int:
        """The largest value that may be written in the active data version, in bytes."""
        return self.value_bytes if self.version_2_active else self.version_1_value_bytes

    @property
    def max_operations(self) -> int:
        """The largest number of operations in a transaction in the active data version."""
        return self.txn_ops if self.version_2_active else self.version_1_txn_ops

    def head_record(self, job: Job) -> JobRecord:
        """Return a job's head record, which holds its first tasks."""
        tasks = self.chunk_record(job, 0)
        return JobRecord(
            without_dependencies(job.spec),
            job.submitted_at,
            job.state.value,
            job.cancelled_at,
            job.last_attempt,
            tasks.done_ranges,
            tasks.placements,
            job.tasks_per_record,
            encode_job_ids(job.spec.dependencies or ()),
        )

    def chunk_record(self, job: Job, number: int) -> ChunkRecord:
        """Return the tasks in a job's record `number`, with its current number of tasks per record."""
        return self.chunk_record_in_split(job, self.tasks_per_record(job), number)

    def chunk_record_in_split(self, job: Job, tasks_per_record: int, number: int) -> ChunkRecord:
        """Return the tasks in a job's record `number` as if records held `tasks_per_record`; for migrations."""
        indices = range(number * tasks_per_record, min((number + 1) * tasks_per_record, job.spec.tasks))
        done = [index for index in indices if job.task_states[index] == TaskState.DONE]
        groups: dict[TaskPlacement, list[int]] = {}
        for index in indices:
            if job.task_states[index] == TaskState.PLACED:
                groups.setdefault(job.placements[index], []).append(index)
        rows = [
            PlacementRow(
                placement.machine, placement.zone, placement.attempt, format_ranges(group), placement.stop_grace_s
            )
            for placement, group in groups.items()
        ]
        return ChunkRecord(format_ranges(done), rows)
