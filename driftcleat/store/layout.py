"""How a job is divided into records."""

import msgspec

from driftcleat import wire
from driftcleat.cluster.batch import ENTRY_BYTES, HEAD_BYTES
from driftcleat.cluster.jobs import Job, TaskPlacement, TaskState
from driftcleat.store.index_ranges import format_ranges
from driftcleat.store.records import ChunkRecord, JobRecord, PlacementRow
from driftcleat.wire.job_ids import encode_job_ids
from driftcleat.wire.users import JobSpec


class RecordLayout:
    """How many tasks go into one record, from the store's limits.

    Until the switch to data version 2 jobs are split as the first version does, by today's limits; from then on each
    new job by the lower ones, and jobs of before are moved.
    """

    def __init__(
        self,
        value_bytes: int,
        txn_ops: int,
        first_value_bytes: int | None = None,
        first_txn_ops: int | None = None,
        zones: tuple[str, ...] = (),
    ) -> None:
        self.value_bytes, self.txn_ops = value_bytes, txn_ops
        self.first_value_bytes = first_value_bytes if first_value_bytes is not None else value_bytes
        self.first_txn_ops = first_txn_ops if first_txn_ops is not None else txn_ops
        self.base = max(1, (self.first_value_bytes - HEAD_BYTES) // ENTRY_BYTES)
        # The most that a row for one task takes: names of machine and zone, attempt, index, grace.
        self.row_bytes = 46 + max((len(wire.encode(zone)) for zone in zones), default=24)
        self.version_2_active = False

    def tasks_per_record(self, job: Job) -> int:
        """Return the tasks a record of this job holds; a gang must fit into one batch, so its may hold more."""
        if job.tasks_per_record:
            return job.tasks_per_record
        if job.is_gang:
            return max(self.base, -(-job.spec.tasks // max(1, self.first_txn_ops // 2)))
        return self.base

    def preferred_tasks_per_record(self, job: Job) -> int:
        """Return the tasks a record of this job is to hold in data version 2."""
        split = max(1, (self.value_bytes - self.head_bytes(job.spec)) // self.row_bytes)
        if job.is_gang:
            # What may change with one task is the whole gang: head (which may end), all chunks, the batch's own key.
            split = max(split, -(-job.spec.tasks // max(1, self.txn_ops - 2)))
        return split

    @staticmethod
    def head_bytes(spec: JobSpec) -> int:
        """Return what a job's head takes beside its tasks, with numbers at their longest."""
        return len(wire.encode(without_dependencies(spec))) + len(encode_job_ids(spec.dependencies or ())) + 160

    def spec_fits(self, spec: JobSpec) -> bool:
        """Whether a job's head, with its first task, fits a value under every limit."""
        return self.head_bytes(spec) + self.row_bytes <= self.value_bytes

    def assign_tasks_per_record(self, job: Job) -> None:
        """Give a job the split of the data version in force, if that changes none of its records."""
        if self.version_2_active and not job.tasks_per_record and not job.chunk_mod_revisions:
            split = self.preferred_tasks_per_record(job)
            if not job.mod_revision or job.spec.tasks <= min(split, self.tasks_per_record(job)):
                job.tasks_per_record = split

    def needs_migration(self, job: Job) -> bool:
        """Whether a job's records must be written anew, in other pieces, before any of them may change."""
        return self.version_2_active and not job.tasks_per_record

    @property
    def max_value_bytes(self) -> int:
        """The largest value that may be written now."""
        return self.value_bytes if self.version_2_active else self.first_value_bytes

    @property
    def max_operations(self) -> int:
        """The most changes that a transaction may hold now."""
        return self.txn_ops if self.version_2_active else self.first_txn_ops

    def chunk_of(self, job: Job, index: int) -> int:
        """Return the number of the record that holds a task (0: the head)."""
        return index // self.tasks_per_record(job)

    def _tasks(self, job: Job, chunk: int, size: int) -> tuple[str, list[PlacementRow]]:
        low, high = chunk * size, min((chunk + 1) * size, job.spec.tasks)
        done = [index for index in range(low, high) if job.task_states[index] == TaskState.DONE]
        groups: dict[TaskPlacement, list[int]] = {}
        for index in range(low, high):
            if job.task_states[index] == TaskState.PLACED:
                groups.setdefault(job.placements[index], []).append(index)
        rows = [
            (placement.machine, placement.zone, placement.attempt, format_ranges(group), placement.stop_grace_s)
            for placement, group in groups.items()
        ]
        return format_ranges(done), rows

    def head_record(self, job: Job) -> JobRecord:
        """Return a job's head record."""
        done, rows = self._tasks(job, 0, self.tasks_per_record(job))
        return JobRecord(
            without_dependencies(job.spec),
            job.submitted_at,
            job.state.value,
            job.cancelled_at,
            job.last_attempt,
            done,
            rows,
            job.tasks_per_record,
            encode_job_ids(job.spec.dependencies or ()),
        )

    def chunk_record(self, job: Job, number: int) -> ChunkRecord:
        """Return one of a job's further records."""
        return self.chunk_record_in_split(job, self.tasks_per_record(job), number)

    def chunk_record_in_split(self, job: Job, split: int, number: int) -> ChunkRecord:
        """Return one of the further records that a job has in a given split."""
        return ChunkRecord(*self._tasks(job, number, split))


def without_dependencies(spec: JobSpec) -> JobSpec:
    """Return what was asked for without what it needs, which is stored in short."""
    return msgspec.structs.replace(spec, dependencies=None) if spec.dependencies else spec
