"""Messages between users and controllers: submissions, job states, errors."""

from enum import StrEnum

import msgspec

# Maximum size of a request's body, in bytes.
MAX_BODY_BYTES = 64 * 1024


class JobKind(StrEnum):
    """How a job's tasks are scheduled together; the protocol's `rig`."""

    # Independent tasks.
    ARRAY = "array"
    # All tasks run at the same time, or none does.
    GANG = "group"
    # Replicas that run until the job is cancelled.
    SERVICE = "daemon"


class Priority(StrEnum):
    """A job's priority; the protocol's `rank`."""

    CRITICAL = "critical"
    HIGH = "high"
    STANDARD = "standard"
    BEST_EFFORT = "best_effort"

    @property
    def level(self) -> int:
        """Return the priority as a number; 0 is the most urgent."""
        return _LEVELS[self]


_LEVELS = {Priority.CRITICAL: 0, Priority.HIGH: 1, Priority.STANDARD: 2, Priority.BEST_EFFORT: 3}


class JobSpec(msgspec.Struct, frozen=True):
    """The request of `POST /v1/jobs`: a job as its user specifies it. Resources are per task."""

    id: str = msgspec.field(name="nameId")
    job_class: str = msgspec.field(name="cargo")
    team: str = msgspec.field(name="crew")
    kind: JobKind = msgspec.field(name="rig")
    priority: Priority = msgspec.field(name="rank")
    tasks: int = msgspec.field(name="hands")
    cpus: float = msgspec.field(name="cores")
    gpus: float = msgspec.field(name="accelerators")
    memory_gb: float = msgspec.field(name="memGb")
    image: str = msgspec.field(name="hull")
    image_gb: float = msgspec.field(name="imageGb")
    single_zone: bool = msgspec.field(name="together")
    spread: bool = msgspec.field(name="spread")
    spot: bool = msgspec.field(name="driftwood")
    estimated_run_s: float = msgspec.field(name="voyageS")
    # If 0, the tasks save no checkpoints.
    checkpoint_interval_s: float = msgspec.field(name="mooringS")
    checkpoint_duration_s: float = msgspec.field(name="stowS")
    # If None, any machine type or any zone.
    machine_types: tuple[str, ...] | None = msgspec.field(name="builds", default=None)
    zone: str | None = msgspec.field(name="harbor", default=None)
    # Relative to the submission.
    deadline_s: float | None = msgspec.field(name="tideS", default=None)
    # Distinct ids of the jobs that must be done before any task of this job starts.
    dependencies: tuple[str, ...] | None = msgspec.field(name="tows", default=None)


class JobStatus(msgspec.Struct, frozen=True, omit_defaults=True):
    """The response of `POST /v1/jobs`, `GET /v1/jobs/{id}` and `POST /v1/jobs/{id}/cancel`."""

    id: str = msgspec.field(name="nameId")
    state: str = msgspec.field(name="bearing")
    # Numbers of tasks.
    done: int | None = None
    running: int | None = None


class ErrorResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """The response to a request that failed: why, and which field is invalid, by its name in the protocol."""

    error: str
    field: str | None = None
