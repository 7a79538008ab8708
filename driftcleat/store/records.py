"""The records in the state service: arrays, whose order of fields is fixed."""

import msgspec

from driftcleat.wire.users import JobSpec

# The newest version of the records that this program writes. 1: until every controller is known to write more. 2: a
# job's record says how many tasks each of its records holds, and what it needs; all keeps to the limits to come.
DATA_VERSION = 2

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
