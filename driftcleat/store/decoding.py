"""Decodes the records of jobs into cluster state."""

from typing import NamedTuple

import msgspec

from driftcleat import wire
from driftcleat.cluster.jobs import Job, JobState, TaskPlacement, TaskState
from driftcleat.runtime.background import in_slices
from driftcleat.store.index_ranges import parse_ranges
from driftcleat.store.keys import parse_chunk_key
from driftcleat.store.records import ChunkRecord, JobRecord, PlacementRow
from driftcleat.wire import state as messages
from driftcleat.wire.job_ids import decode_job_ids

# The number of records that `decode_jobs` decodes before it yields to other coroutines.
RECORDS_PER_SLICE = 20


class DecodedJobs(NamedTuple):
    """The jobs of a full read, by id, and the keys of chunk records that belong to none of these jobs."""

    jobs: dict[str, Job]
    orphaned_chunk_keys: list[str]


def decode_head(key_value: messages.KeyValue) -> Job:
    """Return the job of a head record, with the tasks that the head holds."""
    record = wire.decode(bytes(key_value.value), JobRecord)
    dependencies = decode_job_ids(record.dependencies)
    spec = msgspec.structs.replace(record.spec, dependencies=dependencies) if dependencies else record.spec
    job = Job(spec, record.submitted_at)
    job.tasks_per_record = record.tasks_per_record
    job.state = JobState(record.state)
    job.cancelled_at = record.cancelled_at
    job.last_attempt = record.last_attempt
    job.mod_revision = key_value.mod_revision
    _restore_tasks(job, record.done_ranges, record.placements)
    return job


async def decode_jobs(heads: list[messages.KeyValue], chunks: list[messages.KeyValue]) -> DecodedJobs:
    """Return the jobs of a full read.

    A chunk is orphaned if its job has ended, or if the job's head names another number of tasks per record: such
    chunks are left over from an interrupted or completed migration.

    Records are decoded in small slices. Otherwise a leader could not keep its lease alive while it decodes the task
    records of thousands of machines.
    """
    jobs: dict[str, Job] = {}
    async for key_value in in_slices(heads, RECORDS_PER_SLICE):
        job = decode_head(key_value)
        jobs[job.id] = job
    orphans = [
        key_value.key async for key_value in in_slices(chunks, RECORDS_PER_SLICE) if not _load_chunk(jobs, key_value)
    ]
    return DecodedJobs(jobs, orphans)


def _load_chunk(jobs: dict[str, Job], key_value: messages.KeyValue) -> bool:
    """Restore the tasks of one chunk record; False if it belongs to none of the jobs."""
    key = parse_chunk_key(key_value.key)
    job = jobs.get(key.job_id)
    if job is None or job.tasks_per_record != key.tasks_per_record:
        return False
    record = wire.decode(bytes(key_value.value), ChunkRecord)
    _restore_tasks(job, record.done_ranges, record.placements)
    job.chunk_mod_revisions[key.number] = key_value.mod_revision
    return True


def _restore_tasks(job: Job, done_ranges: str, rows: list[PlacementRow]) -> None:
    for index in parse_ranges(done_ranges):
        job.task_states[index] = TaskState.DONE
        job.tasks_done += 1
    for row in rows:
        placement = TaskPlacement(row.machine, row.zone, row.attempt, row.stop_grace_s)
        for index in parse_ranges(row.tasks):
            job.task_states[index] = TaskState.PLACED
            job.placements[index] = placement
