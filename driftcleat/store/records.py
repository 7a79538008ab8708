"""How jobs lie in the store: compact task ranges, big jobs in chunks, ended jobs as a tiny final state."""

from typing import Any

import msgspec

from driftcleat import wire
from driftcleat.model.batch import ENTRY_BYTES, HEAD_BYTES, Batch
from driftcleat.model.jobs import Job, JobState, Place, TaskState
from driftcleat.wire import state as messages
from driftcleat.wire.users import Submission

ROOT = "driftcleat/"
LEADER = ROOT + "leader"
BATCH = ROOT + "batch"
TYPES = ROOT + "types"
JOBS = ROOT + "jobs/"
CHUNKS = ROOT + "chunks/"
ENDED = ROOT + "ended/"
RENTALS = ROOT + "rentals/"
MACHINES = ROOT + "machines/"

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
    """How many tasks go into one record, from the store's limits."""

    def __init__(self, value_bytes: int, txn_ops: int) -> None:
        self.value_bytes, self.txn_ops = value_bytes, txn_ops
        self.base = max(1, (value_bytes - HEAD_BYTES) // ENTRY_BYTES)

    def chunk_tasks(self, job: Job) -> int:
        """Return the tasks a record of this job holds; a gang must fit into one batch, so its may hold more."""
        if job.is_gang:
            return max(self.base, -(-job.spec.tasks // max(1, self.txn_ops // 2)))
        return self.base

    def chunk_of(self, job: Job, index: int) -> int:
        """Return the number of the record that holds a task (0: the head)."""
        return index // self.chunk_tasks(job)

    def _tasks(self, job: Job, chunk: int) -> tuple[str, list[PlaceRow]]:
        size = self.chunk_tasks(job)
        low, high = chunk * size, min((chunk + 1) * size, job.spec.tasks)
        done = [index for index in range(low, high) if job.status[index] == TaskState.DONE]
        groups: dict[Place, list[int]] = {}
        for index in range(low, high):
            if job.status[index] == TaskState.PLACED:
                groups.setdefault(job.places[index], []).append(index)
        rows = [(place.machine, place.zone, place.attempt, ranges(group), place.stop)
                for place, group in groups.items()]
        return ranges(done), rows

    def head(self, job: Job) -> JobRecord:
        """Return a job's head record."""
        done, rows = self._tasks(job, 0)
        return JobRecord(job.spec, job.submitted, job.state.value, job.cancelled_at, job.launch, done, rows)

    def chunk(self, job: Job, number: int) -> ChunkRecord:
        """Return one of a job's further records."""
        return ChunkRecord(*self._tasks(job, number))


def chunk_key(job_id: str, number: int) -> str:
    """Return the key of a chunk."""
    return f"{CHUNKS}{job_id}/{number}"


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
    job = Job(record.spec, record.submitted)
    job.state = JobState(record.state)
    job.cancelled_at, job.launch, job.version = record.cancelled_at, record.launch, item.version
    _fill(job, record.done, record.places)
    return job


def load_jobs(heads: list[messages.Item], chunks: list[messages.Item]) -> tuple[dict[str, Job], list[str]]:
    """Return the jobs of a full read, and the keys of chunks that have no job any more."""
    jobs = {job.id: job for job in map(load_head, heads)}
    orphans: list[str] = []
    for item in chunks:
        job_id, _, number = item.key[len(CHUNKS):].rpartition("/")
        job = jobs.get(job_id)
        if job is None:
            orphans.append(item.key)
            continue
        record = wire.decode(bytes(item.value), ChunkRecord)
        _fill(job, record.done, record.places)
        job.chunk_versions[int(number)] = item.version
    return jobs, orphans


class EncodedBatch:
    """A batch as one transaction, ready to be sent any number of times."""

    def __init__(self, body: bytes, changes: int, mark: BatchMark, garbage: list[str]) -> None:
        self.body, self.changes, self.mark, self.garbage = body, changes, mark, garbage


class TooLarge(Exception):
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
            garbage.extend(chunk_key(job_id, chunk) for chunk in job.chunk_versions)
            continue
        changes.append(messages.Put(JOBS + job_id, layout.head(job)))
        for chunk in sorted(batch.chunks.get(job_id, ())):
            conditions.append(messages.Condition(chunk_key(job_id, chunk), job.chunk_versions.get(chunk, 0)))
            changes.append(messages.Put(chunk_key(job_id, chunk), layout.chunk(job, chunk)))
    changes.extend(messages.Put(key, value) for key, value in batch.extra_puts.items())
    changes.extend(messages.Remove(key) for key in batch.removes)
    for change in changes:
        if isinstance(change, messages.Put) and len(wire.encode(change.value)) > layout.value_bytes:
            raise TooLarge(f"{change.key} is above {layout.value_bytes} bytes")
    body = wire.encode(messages.Txn(conditions, changes))
    if len(body) > 64 * 1024 or len(changes) > layout.txn_ops:
        raise TooLarge(f"{len(changes)} changes in {len(body)} bytes")
    return EncodedBatch(body, len(changes), mark, garbage)
