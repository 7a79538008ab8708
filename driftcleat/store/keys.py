"""The keys of the records in the state service; stored data and other versions depend on their spelling."""

from typing import NamedTuple

ROOT_PREFIX = "driftcleat/"
# Attached to the leader's lease. The mod revision of its creation is the fencing token.
LEADER_KEY = ROOT_PREFIX + "leader"
# The sequence number and the term of the last committed batch.
BATCH_MARKER_KEY = ROOT_PREFIX + "batch"
# The machine types of the cloud, as they were when first stored.
MACHINE_TYPES_KEY = ROOT_PREFIX + "types"
# Head records of the jobs that have not ended, by job id.
JOBS_PREFIX = ROOT_PREFIX + "jobs/"
# Chunk records of these jobs, by job id and chunk number; see `chunk_key`.
CHUNKS_PREFIX = ROOT_PREFIX + "chunks/"
# Final states of the jobs that have ended, by job id.
ENDED_JOBS_PREFIX = ROOT_PREFIX + "ended/"
# Scale-out requests that may have to be retried, by request id.
SCALE_OUTS_PREFIX = ROOT_PREFIX + "rentals/"
# The images that each machine has fetched, by machine name.
MACHINE_IMAGES_PREFIX = ROOT_PREFIX + "machines/"
# The active data version; 1 if the key does not exist.
DATA_VERSION_KEY = ROOT_PREFIX + "version"


class ChunkKey(NamedTuple):
    """The parts of a chunk record's key; `tasks_per_record` is 0 in data version 1."""

    job_id: str
    tasks_per_record: int
    number: int


def chunk_key(job_id: str, number: int, tasks_per_record: int = 0) -> str:
    """Return the key of a chunk record.

    From data version 2 on, the key contains the number of tasks per record, so that chunks of different layouts have
    different keys.
    """
    if tasks_per_record:
        return f"{CHUNKS_PREFIX}{job_id}/{tasks_per_record}.{number}"
    return f"{CHUNKS_PREFIX}{job_id}/{number}"


def job_id_of_record(key: str) -> str | None:
    """Return the job whose head or chunk record a key names; None for any other key."""
    if key.startswith(JOBS_PREFIX):
        return key[len(JOBS_PREFIX) :]
    return parse_chunk_key(key).job_id if key.startswith(CHUNKS_PREFIX) else None


def parse_chunk_key(key: str) -> ChunkKey:
    """Return the parts of a chunk record's key."""
    job_id, _, rest = key[len(CHUNKS_PREFIX) :].rpartition("/")
    tasks_per_record, dot, number = rest.rpartition(".")
    return ChunkKey(job_id, int(tasks_per_record) if dot else 0, int(number))
