"""Decodes the records of jobs."""

import msgspec

from driftcleat import wire
from driftcleat.cluster.jobs import Job, JobState, TaskPlacement, TaskState
from driftcleat.runtime.background import in_slices
from driftcleat.store.index_ranges import parse_ranges
from driftcleat.store.keys import parse_chunk_key
from driftcleat.store.records import ChunkRecord, JobRecord, PlacementRow
from driftcleat.wire import state as messages
from driftcleat.wire.job_ids import decode_job_ids

# Records that a full read decodes before it lets others go on.
RECORDS_AT_ONCE = 20


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
