"""How jobs lie in the store: compact task ranges, big jobs in chunks, ended jobs as a tiny final state."""

from typing import Any

import msgspec

from driftcleat import wire
from driftcleat.cluster.batch import ENTRY_BYTES, HEAD_BYTES, Batch
from driftcleat.cluster.jobs import Job, JobState, TaskPlacement, TaskState
from driftcleat.errors import DriftcleatError
from driftcleat.runtime.background import in_slices
from driftcleat.wire import state as messages
from driftcleat.wire.users import JobSpec, decode_job_ids, encode_job_ids

ROOT_PREFIX = "driftcleat/"
LEADER_KEY = ROOT_PREFIX + "leader"
BATCH_MARKER_KEY = ROOT_PREFIX + "batch"
MACHINE_TYPES_KEY = ROOT_PREFIX + "types"
JOBS_PREFIX = ROOT_PREFIX + "jobs/"
CHUNKS_PREFIX = ROOT_PREFIX + "chunks/"
ENDED_JOBS_PREFIX = ROOT_PREFIX + "ended/"
SCALE_OUTS_PREFIX = ROOT_PREFIX + "rentals/"
MACHINE_IMAGES_PREFIX = ROOT_PREFIX + "machines/"
DATA_VERSION_KEY = ROOT_PREFIX + "version"

# The newest version of the records that this program writes. 1: until every controller is known to write more. 2: a
# job's record says how many tasks each of its records holds, and what it needs; all keeps to the limits to come.
DATA_VERSION = 2

# Records that a full read decodes before it lets others go on.
RECORDS_AT_ONCE = 20

PlacementRow = tuple[str, str, int, str, float | None]


class JobRecord(msgspec.Struct, array_like=True):
    """A job's head: what was asked for, its state, and its first tasks."""

    spec: JobSpec
    submitted_at: float
    state: str
    cancelled_at: float
    last_attempt: int
    done_ranges: str
    placements: list[PlacementRow]
    # From data version 2 on; a controller of the first drops them when it rewrites a record.
    tasks_per_record: int = 0
    dependencies: str = ""


class ChunkRecord(msgspec.Struct, array_like=True):
    """Further tasks of a big job."""

    done_ranges: str
    placements: list[PlacementRow]


class EndedJobRecord(msgspec.Struct, array_like=True):
    """What is kept for ever of a job that is over: its state and how many tasks were done."""

    state: str
    tasks_done: int


class ScaleOutRecord(msgspec.Struct, array_like=True):
    """A rental request that may still have to be repeated."""

    machine_type: str
    zone: str
    spot: bool
    count: int
    requested_at: float


class MachineImagesRecord(msgspec.Struct, array_like=True):
    """The images a machine has fetched, least recently used first; only a hint for placement."""

    images: list[tuple[str, float]]


class BatchMarker(msgspec.Struct, array_like=True):
    """Names the last batch, so that an unknown outcome can be read back."""

    fencing_token: int
    sequence: int


def format_ranges(indices: list[int]) -> str:
    """Return sorted indices as text: 0-3,7."""
    parts: list[str] = []
    start = last = -2
    for index in indices:
        if index == last + 1:
            last = index
            continue
        if start >= 0:
            parts.append(str(start) if start == last else f"{start}-{last}")
        start = last = index
    if start >= 0:
        parts.append(str(start) if start == last else f"{start}-{last}")
    return ",".join(parts)


def parse_ranges(text: str) -> list[int]:
    """Return the indices that `ranges` wrote."""
    out: list[int] = []
    for part in text.split(",") if text else ():
        first, _, last = part.partition("-")
        out.extend(range(int(first), int(last or first) + 1))
    return out


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


def chunk_key(job_id: str, number: int, split: int = 0) -> str:
    """Return the key of a chunk; those of different splits cannot be mistaken for one another."""
    return f"{CHUNKS_PREFIX}{job_id}/{split}.{number}" if split else f"{CHUNKS_PREFIX}{job_id}/{number}"


def parse_chunk_key(key: str) -> tuple[str, int, int]:
    """Return job, split and number of a chunk's key."""
    job_id, _, rest = key[len(CHUNKS_PREFIX) :].rpartition("/")
    split, dot, number = rest.rpartition(".")
    return job_id, int(split) if dot else 0, int(number)


def _fill(job: Job, done: str, rows: list[PlacementRow]) -> None:
    for index in parse_ranges(done):
        job.task_states[index] = TaskState.DONE
        job.tasks_done += 1
    for machine, zone, attempt, group, stop in rows:
        placement = TaskPlacement(machine, zone, attempt, stop)
        for index in parse_ranges(group):
            job.task_states[index] = TaskState.PLACED
            job.placements[index] = placement


def decode_head(key_value: messages.KeyValue) -> Job:
    """Return the job of a head record."""
    record = wire.decode(bytes(key_value.value), JobRecord)
    needs = decode_job_ids(record.dependencies) or None
    job = Job(msgspec.structs.replace(record.spec, dependencies=needs) if needs else record.spec, record.submitted_at)
    job.tasks_per_record = record.tasks_per_record
    job.state = JobState(record.state)
    job.cancelled_at, job.last_attempt, job.mod_revision = (
        record.cancelled_at,
        record.last_attempt,
        key_value.mod_revision,
    )
    _fill(job, record.done_ranges, record.placements)
    return job


async def decode_jobs(
    heads: list[messages.KeyValue], chunks: list[messages.KeyValue]
) -> tuple[dict[str, Job], list[str]]:
    """Return the jobs of a full read, and the keys of chunks that have no job any more, or whose job's head names
    another split: those of a move that ended in the middle, or that was finished.

    Records are decoded a few at a time. Guards against a leader that loses its lease over the records of thousands of
    machines' work.
    """
    jobs: dict[str, Job] = {}
    async for key_value in in_slices(heads, RECORDS_AT_ONCE):
        job = decode_head(key_value)
        jobs[job.id] = job
    orphans: list[str] = []
    async for key_value in in_slices(chunks, RECORDS_AT_ONCE):
        if not _load_chunk(jobs, key_value):
            orphans.append(key_value.key)
    return jobs, orphans


def _load_chunk(jobs: dict[str, Job], key_value: messages.KeyValue) -> bool:
    """Fill in the tasks of one chunk; False if no job has it."""
    job_id, split, number = parse_chunk_key(key_value.key)
    job = jobs.get(job_id)
    if job is None or job.tasks_per_record != split:
        return False
    record = wire.decode(bytes(key_value.value), ChunkRecord)
    _fill(job, record.done_ranges, record.placements)
    job.chunk_mod_revisions[number] = key_value.mod_revision
    return True


class EncodedBatch:
    """A batch as one transaction, ready to be sent any number of times."""

    def __init__(self, body: bytes, changes: int, marker: BatchMarker, garbage: list[str]) -> None:
        self.body, self.operation_count, self.marker, self.obsolete_keys = body, changes, marker, garbage


class BatchTooLargeError(DriftcleatError):
    """A batch that the store would not take."""


def encode_batch(batch: Batch, layout: RecordLayout, token: int, number: int, mark_version: int) -> EncodedBatch:
    """Return the transaction: conditional on leader key, batch key and every record it touches."""
    marker = BatchMarker(token, number)
    conditions = [messages.Compare(LEADER_KEY, token), messages.Compare(BATCH_MARKER_KEY, mark_version)]
    changes: list[Any] = [messages.Put(BATCH_MARKER_KEY, marker)]
    garbage: list[str] = []
    for job_id in sorted(batch.changed_jobs):
        job = batch.jobs[job_id]
        new = job_id in batch.created
        conditions.append(messages.Compare(JOBS_PREFIX + job_id, 0 if new else job.mod_revision))
        if new:
            conditions.append(messages.Compare(ENDED_JOBS_PREFIX + job_id, 0))
        if job.state in (JobState.DONE, JobState.TERMINATED):
            final = JobState.DONE if job.state is JobState.DONE else JobState.CANCELLED
            changes.append(messages.Put(ENDED_JOBS_PREFIX + job_id, EndedJobRecord(final.value, job.tasks_done)))
            if not new:
                changes.append(messages.Delete(JOBS_PREFIX + job_id))
            garbage.extend(chunk_key(job_id, chunk, job.tasks_per_record) for chunk in job.chunk_mod_revisions)
            continue
        if job_id in batch.changed_heads:
            changes.append(messages.Put(JOBS_PREFIX + job_id, layout.head_record(job)))
        for chunk in sorted(batch.changed_chunks.get(job_id, ())):
            key = chunk_key(job_id, chunk, job.tasks_per_record)
            conditions.append(messages.Compare(key, job.chunk_mod_revisions.get(chunk, 0)))
            changes.append(messages.Put(key, layout.chunk_record(job, chunk)))
    changes.extend(messages.Put(key, value) for key, value in batch.puts.items())
    changes.extend(messages.Delete(key) for key in batch.deletes)
    for change in changes:
        if isinstance(change, messages.Put) and len(wire.encode(change.value)) > layout.max_value_bytes:
            raise BatchTooLargeError(f"{change.key} is above {layout.max_value_bytes} bytes")
    body = wire.encode(messages.Transaction(conditions, changes))
    if len(body) > 64 * 1024 or len(changes) > layout.max_operations:
        raise BatchTooLargeError(f"{len(changes)} changes in {len(body)} bytes")
    return EncodedBatch(body, len(changes), marker, garbage)
