"""The keys of the records in the state service."""

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


def chunk_key(job_id: str, number: int, split: int = 0) -> str:
    """Return the key of a chunk; those of different splits cannot be mistaken for one another."""
    return f"{CHUNKS_PREFIX}{job_id}/{split}.{number}" if split else f"{CHUNKS_PREFIX}{job_id}/{number}"


def parse_chunk_key(key: str) -> tuple[str, int, int]:
    """Return job, split and number of a chunk's key."""
    job_id, _, rest = key[len(CHUNKS_PREFIX) :].rpartition("/")
    split, dot, number = rest.rpartition(".")
    return job_id, int(split) if dot else 0, int(number)
