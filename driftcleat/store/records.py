"""The records in the state service.

All are encoded as arrays, so the order of fields is the stored format: new fields may only be added at the end, with
a default.
"""

import msgspec

from driftcleat.wire.users import JobSpec

# The newest data version that this program writes. Version 1 is written until every controller is known to support
# version 2. In version 2, a job's head record contains its tasks per record and its dependencies, and all records fit
# the announced limits.
DATA_VERSION = 2


class PlacementRow(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The tasks of a job that share one placement; `tasks` holds their indices as ranges (see `index_ranges`)."""

    machine: str
    zone: str
    attempt: int
    tasks: str
    stop_grace_s: float | None


class JobRecord(msgspec.Struct, array_like=True):
    """The head record of a job: its specification, its state and its first tasks."""

    spec: JobSpec
    # Time of day in seconds, as is `cancelled_at`, which is 0.0 if the job is not cancelled.
    submitted_at: float
    state: str
    cancelled_at: float
    last_attempt: int
    done_ranges: str
    placements: list[PlacementRow]
    # Since data version 2; a controller that supports only version 1 drops both when it rewrites the record. The
    # specification is stored without dependencies, which are encoded here (see `wire.job_ids`).
    tasks_per_record: int = 0
    dependencies: str = ""


class ChunkRecord(msgspec.Struct, array_like=True):
    """A chunk record: further tasks of a job that do not fit into its head record."""

    done_ranges: str
    placements: list[PlacementRow]


class EndedJobRecord(msgspec.Struct, array_like=True):
    """The permanent record of a job that has ended: its final state and the number of its completed tasks."""

    state: str
    tasks_done: int


class ScaleOutRecord(msgspec.Struct, array_like=True):
    """A scale-out request that may have to be retried; `requested_at` is the time of day in seconds."""

    machine_type: str
    zone: str
    spot: bool
    count: int
    requested_at: float


class MachineImagesRecord(msgspec.Struct, array_like=True):
    """The images that a machine has fetched, with sizes in GB, least recently used first; only a placement hint."""

    images: list[tuple[str, float]]


class BatchMarker(msgspec.Struct, array_like=True):
    """Identifies the last committed batch; read after an unknown outcome to find out whether it was committed."""

    fencing_token: int
    sequence: int


def without_dependencies(spec: JobSpec) -> JobSpec:
    """Return a specification without its dependencies, which a head record holds in encoded form."""
    return msgspec.structs.replace(spec, dependencies=None) if spec.dependencies else spec
