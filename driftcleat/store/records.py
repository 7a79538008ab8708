"""The records in the state service.

All are arrays: the order of fields is the stored format, and only fields with a default may be added, at the end.
"""

import msgspec

from driftcleat.wire.users import JobSpec

# The newest data version that this program writes. 1: until every controller is known to write version 2. 2: a job's
# record names its tasks per record and its dependencies, and all records keep to the announced limits.
DATA_VERSION = 2


class PlacementRow(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The tasks of a job that share one placement; `tasks` holds their indices as ranges (see `index_ranges`)."""

    machine: str
    zone: str
    attempt: int
    tasks: str
    stop_grace_s: float | None


class JobRecord(msgspec.Struct, array_like=True):
    """A job's head: its specification, its state, and its first tasks."""

    spec: JobSpec
    # Time of day in seconds, as is `cancelled_at` (0.0: not cancelled).
    submitted_at: float
    state: str
    cancelled_at: float
    last_attempt: int
    done_ranges: str
    placements: list[PlacementRow]
    # From data version 2 on; a controller of the first drops them when it rewrites a record. The specification is
    # stored without dependencies: they are packed here (see `wire.job_ids`).
    tasks_per_record: int = 0
    dependencies: str = ""


class ChunkRecord(msgspec.Struct, array_like=True):
    """Further tasks of a job whose tasks do not fit its head."""

    done_ranges: str
    placements: list[PlacementRow]


class EndedJobRecord(msgspec.Struct, array_like=True):
    """What is kept for ever of a job that has ended: its final state and the number of its completed tasks."""

    state: str
    tasks_done: int


class ScaleOutRecord(msgspec.Struct, array_like=True):
    """A scale-out request that may still have to be repeated; `requested_at` is the time of day in seconds."""

    machine_type: str
    zone: str
    spot: bool
    count: int
    requested_at: float


class MachineImagesRecord(msgspec.Struct, array_like=True):
    """The images that a machine has fetched, with their GB, least recently used first; only a hint for placement."""

    images: list[tuple[str, float]]


class BatchMarker(msgspec.Struct, array_like=True):
    """Names the last committed batch: after an unknown outcome it tells whether the batch was committed."""

    fencing_token: int
    sequence: int
