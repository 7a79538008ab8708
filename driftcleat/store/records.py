"""How jobs lie in the store: compact task ranges, big jobs in chunks, ended jobs as a tiny final state."""

from typing import Any

import msgspec

from driftcleat import wire
from driftcleat.background import in_slices
from driftcleat.errors import DriftcleatError
from driftcleat.model.batch import ENTRY_BYTES, HEAD_BYTES, Batch
from driftcleat.model.jobs import Job, JobState, Place, TaskState
from driftcleat.wire import state as messages
from driftcleat.wire.users import Submission, pack_ids, unpack_ids

ROOT = "driftcleat/"
LEADER = ROOT + "leader"
BATCH = ROOT + "batch"
TYPES = ROOT + "types"
JOBS = ROOT + "jobs/"
CHUNKS = ROOT + "chunks/"
ENDED = ROOT + "ended/"
RENTALS = ROOT + "rentals/"
MACHINES = ROOT + "machines/"
VERSION = ROOT + "version"

# The newest version of the records that this program writes. 1: until every controller is known to write more. 2: a
# job's record says how many tasks each of its records holds, and what it needs; all keeps to the limits to come.
DATA_VERSION = 2

# Records that a full read decodes before it lets others go on.
RECORDS_AT_ONCE = 20

PlaceRow = tuple[str, str, int, str, float | None]


class JobRecord(msgspec.Struct, array_like=True):
    """A job's head: what was asked for, its state, and its first tasks."""

    spec: Submission
    submitted: float
    state: str
    cancelled_at: float
    launch: int
    done: str
    places: list[PlaceRow]
    # From data version 2 on; a controller of the first drops them when it rewrites a record.
    split: int = 0
    needs: str = ""


class ChunkRecord(msgspec.Struct, array_like=True):
    """Further tasks of a big job."""

    done: str
    places: list[PlaceRow]


class EndedRecord(msgspec.Struct, array_like=True):
    """What is kept for ever of a job that is over: its state and how many tasks were done."""

    state: str
    done: int


class RentalRecord(msgspec.Struct, array_like=True):
    """A rental request that may still have to be repeated."""

    type: str
    zone: str
    spot: bool
    count: int
    at: float


class MachineRecord(msgspec.Struct, array_like=True):
    """The images a machine has fetched, least recently used first; only a hint for placement."""

    images: list[tuple[str, float]]


class BatchMark(msgspec.Struct, array_like=True):
    """Names the last batch, so that an unknown outcome can be read back."""

    token: int
    number: int


def ranges(indices: list[int]) -> str:
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


def indices(text: str) -> list[int]:
    """Return the indices that `ranges` wrote."""
    out: list[int] = []
    for part in text.split(",") if text else ():
        first, _, last = part.partition("-")
        out.extend(range(int(first), int(last or first) + 1))
    return out


class Layout:
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
        self.switched = False

    def chunk_tasks(self, job: Job) -> int:
        """Return the tasks a record of this job holds; a gang must fit into one batch, so its may hold more."""
        if job.split:
            return job.split
        if job.is_gang:
            return max(self.base, -(-job.spec.tasks // max(1, self.first_txn_ops // 2)))
        return self.base

    def own_split(self, job: Job) -> int:
        """Return the tasks a record of this job is to hold in data version 2."""
        split = max(1, (self.value_bytes - self.head_bytes(job.spec)) // self.row_bytes)
        if job.is_gang:
            # What may change with one task is the whole gang: head (which may end), all chunks, the batch's own key.
            split = max(split, -(-job.spec.tasks // max(1, self.txn_ops - 2)))
        return split

    @staticmethod
    def head_bytes(spec: Submission) -> int:
        """Return what a job's head takes beside its tasks, with numbers at their longest."""
        return len(wire.encode(spec_alone(spec))) + len(pack_ids(spec.needs or ())) + 160

    def fits(self, spec: Submission) -> bool:
        """Whether a job's head, with its first task, fits a value under every limit."""
        return self.head_bytes(spec) + self.row_bytes <= self.value_bytes

    def take_in(self, job: Job) -> None:
        """Give a job the split of the data version in force, if that changes none of its records."""
        if self.switched and not job.split and not job.chunk_versions:
            split = self.own_split(job)
            if not job.version or job.spec.tasks <= min(split, self.chunk_tasks(job)):
                job.split = split

    def must_move(self, job: Job) -> bool:
        """Whether a job's records must be written anew, in other pieces, before any of them may change."""
        return self.switched and not job.split

    @property
    def most_value_bytes(self) -> int:
        """The largest value that may be written now."""
        return self.value_bytes if self.switched else self.first_value_bytes

    @property
    def most_ops(self) -> int:
        """The most changes that a transaction may hold now."""
        return self.txn_ops if self.switched else self.first_txn_ops

    def chunk_of(self, job: Job, index: int) -> int:
        """Return the number of the record that holds a task (0: the head)."""
        return index // self.chunk_tasks(job)

    def _tasks(self, job: Job, chunk: int, size: int) -> tuple[str, list[PlaceRow]]:
        low, high = chunk * size, min((chunk + 1) * size, job.spec.tasks)
        done = [index for index in range(low, high) if job.status[index] == TaskState.DONE]
        groups: dict[Place, list[int]] = {}
        for index in range(low, high):
            if job.status[index] == TaskState.PLACED:
                groups.setdefault(job.places[index], []).append(index)
        rows = [
            (place.machine, place.zone, place.attempt, ranges(group), place.stop) for place, group in groups.items()
        ]
        return ranges(done), rows

    def head(self, job: Job) -> JobRecord:
        """Return a job's head record."""
        done, rows = self._tasks(job, 0, self.chunk_tasks(job))
        return JobRecord(
            spec_alone(job.spec),
            job.submitted,
            job.state.value,
            job.cancelled_at,
            job.launch,
            done,
            rows,
            job.split,
            pack_ids(job.spec.needs or ()),
        )

    def chunk(self, job: Job, number: int) -> ChunkRecord:
        """Return one of a job's further records."""
        return self.chunk_in(job, self.chunk_tasks(job), number)

    def chunk_in(self, job: Job, split: int, number: int) -> ChunkRecord:
        """Return one of the further records that a job has in a given split."""
        return ChunkRecord(*self._tasks(job, number, split))


def spec_alone(spec: Submission) -> Submission:
    """Return what was asked for without what it needs, which is stored in short."""
    return msgspec.structs.replace(spec, needs=None) if spec.needs else spec


def chunk_key(job_id: str, number: int, split: int = 0) -> str:
    """Return the key of a chunk; those of different splits cannot be mistaken for one another."""
    return f"{CHUNKS}{job_id}/{split}.{number}" if split else f"{CHUNKS}{job_id}/{number}"


def split_chunk_key(key: str) -> tuple[str, int, int]:
    """Return job, split and number of a chunk's key."""
    job_id, _, rest = key[len(CHUNKS) :].rpartition("/")
    split, dot, number = rest.rpartition(".")
    return job_id, int(split) if dot else 0, int(number)


def _fill(job: Job, done: str, rows: list[PlaceRow]) -> None:
    for index in indices(done):
        job.status[index] = TaskState.DONE
        job.done += 1
    for machine, zone, attempt, group, stop in rows:
        place = Place(machine, zone, attempt, stop)
        for index in indices(group):
            job.status[index] = TaskState.PLACED
            job.places[index] = place


def load_head(item: messages.Item) -> Job:
    """Return the job of a head record."""
    record = wire.decode(bytes(item.value), JobRecord)
    needs = unpack_ids(record.needs) or None
    job = Job(msgspec.structs.replace(record.spec, needs=needs) if needs else record.spec, record.submitted)
    job.split = record.split
    job.state = JobState(record.state)
    job.cancelled_at, job.launch, job.version = record.cancelled_at, record.launch, item.version
    _fill(job, record.done, record.places)
    return job


async def load_jobs(heads: list[messages.Item], chunks: list[messages.Item]) -> tuple[dict[str, Job], list[str]]:
    """Return the jobs of a full read, and the keys of chunks that have no job any more, or whose job's head names
    another split: those of a move that ended in the middle, or that was finished.

    Records are decoded a few at a time. Guards against a leader that loses its lease over the records of thousands of
    machines' work.
    """
    jobs: dict[str, Job] = {}
    async for item in in_slices(heads, RECORDS_AT_ONCE):
        job = load_head(item)
        jobs[job.id] = job
    orphans: list[str] = []
    async for item in in_slices(chunks, RECORDS_AT_ONCE):
        if not _load_chunk(jobs, item):
            orphans.append(item.key)
    return jobs, orphans


def _load_chunk(jobs: dict[str, Job], item: messages.Item) -> bool:
    """Fill in the tasks of one chunk; False if no job has it."""
    job_id, split, number = split_chunk_key(item.key)
    job = jobs.get(job_id)
    if job is None or job.split != split:
        return False
    record = wire.decode(bytes(item.value), ChunkRecord)
    _fill(job, record.done, record.places)
    job.chunk_versions[number] = item.version
    return True


class EncodedBatch:
    """A batch as one transaction, ready to be sent any number of times."""

    def __init__(self, body: bytes, changes: int, mark: BatchMark, garbage: list[str]) -> None:
        self.body, self.changes, self.mark, self.garbage = body, changes, mark, garbage


class TooLargeError(DriftcleatError):
    """A batch that the store would not take."""


def encode_batch(batch: Batch, layout: Layout, token: int, number: int, mark_version: int) -> EncodedBatch:
    """Return the transaction: conditional on leader key, batch key and every record it touches."""
    mark = BatchMark(token, number)
    conditions = [messages.Condition(LEADER, token), messages.Condition(BATCH, mark_version)]
    changes: list[Any] = [messages.Put(BATCH, mark)]
    garbage: list[str] = []
    for job_id in sorted(batch.heads):
        job = batch.jobs[job_id]
        new = job_id in batch.created
        conditions.append(messages.Condition(JOBS + job_id, 0 if new else job.version))
        if new:
            conditions.append(messages.Condition(ENDED + job_id, 0))
        if job.state in (JobState.DONE, JobState.GONE):
            final = JobState.DONE if job.state is JobState.DONE else JobState.CANCELLED
            changes.append(messages.Put(ENDED + job_id, EndedRecord(final.value, job.done)))
            if not new:
                changes.append(messages.Remove(JOBS + job_id))
            garbage.extend(chunk_key(job_id, chunk, job.split) for chunk in job.chunk_versions)
            continue
        if job_id in batch.head_written:
            changes.append(messages.Put(JOBS + job_id, layout.head(job)))
        for chunk in sorted(batch.chunks.get(job_id, ())):
            key = chunk_key(job_id, chunk, job.split)
            conditions.append(messages.Condition(key, job.chunk_versions.get(chunk, 0)))
            changes.append(messages.Put(key, layout.chunk(job, chunk)))
    changes.extend(messages.Put(key, value) for key, value in batch.extra_puts.items())
    changes.extend(messages.Remove(key) for key in batch.removes)
    for change in changes:
        if isinstance(change, messages.Put) and len(wire.encode(change.value)) > layout.most_value_bytes:
            raise TooLargeError(f"{change.key} is above {layout.most_value_bytes} bytes")
    body = wire.encode(messages.Txn(conditions, changes))
    if len(body) > 64 * 1024 or len(changes) > layout.most_ops:
        raise TooLargeError(f"{len(changes)} changes in {len(body)} bytes")
    return EncodedBatch(body, len(changes), mark, garbage)
