"""The division of a job's tasks into records, and the contents of each record."""

import msgspec

from driftcleat import wire
from driftcleat.cluster.batch import MAX_ENTRY_BYTES, MAX_HEAD_BYTES
from driftcleat.cluster.jobs import Job, TaskPlacement, TaskState
from driftcleat.store.index_ranges import format_ranges
from driftcleat.store.records import ChunkRecord, JobRecord, PlacementRow
from driftcleat.wire.job_ids import encode_job_ids
from driftcleat.wire.users import JobSpec

# The largest size of one task's `PlacementRow` without its zone: machine, attempt, index and grace period.
MAX_ROW_BYTES_WITHOUT_ZONE = 46
# The assumed size of the zone in a row if the zones are not known.
DEFAULT_ZONE_BYTES = 24
# The largest size of a head record without specification, dependencies and placements, with the longest numbers.
MAX_HEAD_FIELDS_BYTES = 160
# Operations in a batch that changes a whole gang, besides one for each of its records: the batch marker, and a second
# operation for the head if the job ends (its final state is put, its head is deleted).
EXTRA_GANG_OPERATIONS = 2


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
        self._version_1_tasks_per_record = max(1, (self.version_1_value_bytes - MAX_HEAD_BYTES) // MAX_ENTRY_BYTES)
        zone_bytes = max((len(wire.encode(zone)) for zone in zones), default=DEFAULT_ZONE_BYTES)
        self._max_row_bytes = MAX_ROW_BYTES_WITHOUT_ZONE + zone_bytes

    def tasks_per_record(self, job: Job) -> int:
        """Return the number of tasks in a record of this job; more for a large gang, which must fit one batch."""
        if job.tasks_per_record:
            return job.tasks_per_record
        if job.is_gang:
            return max(self._version_1_tasks_per_record, -(-job.spec.tasks // max(1, self.version_1_txn_ops // 2)))
        return self._version_1_tasks_per_record

    def preferred_tasks_per_record(self, job: Job) -> int:
        """Return the number of tasks that a record of this job should hold in data version 2."""
        tasks = max(1, (self.value_bytes - self.head_bytes(job.spec)) // self._max_row_bytes)
        if job.is_gang:
            # A change of one task may change all tasks of the gang, so all its records must fit into one batch.
            tasks = max(tasks, -(-job.spec.tasks // max(1, self.txn_ops - EXTRA_GANG_OPERATIONS)))
        return tasks

    @staticmethod
    def head_bytes(spec: JobSpec) -> int:
        """Return the largest size, in bytes, of a job's head record without placements."""
        encoded_dependencies = encode_job_ids(spec.dependencies or ())
        return len(wire.encode(without_dependencies(spec))) + len(encoded_dependencies) + MAX_HEAD_FIELDS_BYTES

    def spec_fits(self, spec: JobSpec) -> bool:
        """Return whether a job's head record with one task fits into a value under the lowest limit."""
        return self.head_bytes(spec) + self._max_row_bytes <= self.value_bytes

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


def without_dependencies(spec: JobSpec) -> JobSpec:
    """Return a specification without its dependencies, which a head record holds in encoded form."""
    return msgspec.structs.replace(spec, dependencies=None) if spec.dependencies else spec
