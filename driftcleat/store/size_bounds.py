"""Upper bounds of what records take in values and transactions, in bytes, from the job's specification alone."""

from driftcleat import wire
from driftcleat.store.records import without_dependencies
from driftcleat.wire.job_ids import encode_job_ids
from driftcleat.wire.users import JobSpec

# The parts of one task's `PlacementRow`: brackets, commas and the separator; the machine's name with its quotes; the
# digits of the attempt; the quotes of the index; a grace period that is not set (`null`) or 0.0.
ROW_SYNTAX_BYTES = 7
MAX_MACHINE_NAME_BYTES = 12
MAX_ATTEMPT_DIGITS = 6
INDEX_QUOTES_BYTES = 2
MIN_GRACE_PERIOD_BYTES = 4
# The largest size of a completed task in the ranges of indices: five digits and a separator.
MAX_DONE_TASK_BYTES = 6
# What a record takes in a transaction besides its value: the put, the compares of its own key and of the key of the
# job's final state, with the prefixes that shards add, and the number of times that the job's id occurs in the keys.
RECORD_FRAMING_BYTES = 256
JOB_IDS_PER_RECORD = 4
# The largest size of a transaction's changes as the sizes below count them; the rest of the state service's 64 KiB is
# left for the batch marker and the leader key.
MAX_BATCH_BYTES = 56 * 1024
# The largest size of a chunk record without its tasks.
CHUNK_FIELDS_BYTES = 16
# What a put or a delete takes in a transaction besides its key and its value.
KEY_FRAMING_BYTES = 48
# The assumed size of the zone in a row if the zones are not known.
DEFAULT_ZONE_BYTES = 24
# The largest size of a head record without specification, dependencies and placements, with the longest numbers.
MAX_HEAD_FIELDS_BYTES = 100


class SizeBounds:
    """Bounds of the sizes of heads, of rows and of the keys of records."""

    def __init__(self, zones: tuple[str, ...]) -> None:
        """`zones` are the names of all zones in which machines may be; empty if they are not known."""
        self._zone_bytes = max((len(wire.encode(zone)) for zone in zones), default=DEFAULT_ZONE_BYTES)

    @staticmethod
    def head_bytes(spec: JobSpec) -> int:
        """Return the largest size, in bytes, of a job's head record without placements."""
        encoded_dependencies = encode_job_ids(spec.dependencies or ())
        return len(wire.encode(without_dependencies(spec))) + len(encoded_dependencies) + MAX_HEAD_FIELDS_BYTES

    def row_bytes(self, spec: JobSpec) -> int:
        """Return the largest size, in bytes, of the row of one task; the grace period is the user's number."""
        index_bytes = len(str(spec.tasks - 1)) + INDEX_QUOTES_BYTES
        grace_bytes = max(MIN_GRACE_PERIOD_BYTES, len(wire.encode(spec.checkpoint_duration_s)))
        names_bytes = MAX_MACHINE_NAME_BYTES + self._zone_bytes
        return ROW_SYNTAX_BYTES + names_bytes + MAX_ATTEMPT_DIGITS + index_bytes + grace_bytes

    @staticmethod
    def framing_bytes(job_id: str) -> int:
        """Return what a record takes in a transaction besides its value."""
        return RECORD_FRAMING_BYTES + JOB_IDS_PER_RECORD * len(job_id)
