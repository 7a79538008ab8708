"""Messages between users and controllers: submissions, job states, errors."""

from enum import StrEnum

import msgspec

MAX_BODY = 64 * 1024


class JobKind(StrEnum):
    """How a job's tasks belong together."""

    ARRAY = "array"
    GANG = "group"
    SERVICE = "daemon"


class Priority(StrEnum):
    """A job's priority, in the platform's words."""

    CRITICAL = "critical"
    HIGH = "high"
    STANDARD = "standard"
    BEST_EFFORT = "best_effort"

    @property
    def level(self) -> int:
        """0 is the most urgent."""
        return _LEVELS[self]


_LEVELS = {Priority.CRITICAL: 0, Priority.HIGH: 1, Priority.STANDARD: 2, Priority.BEST_EFFORT: 3}


class JobSpec(msgspec.Struct, frozen=True):
    """A job as its user describes it."""

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
    checkpoint_interval_s: float = msgspec.field(name="mooringS")
    checkpoint_duration_s: float = msgspec.field(name="stowS")
    machine_types: tuple[str, ...] | None = msgspec.field(name="builds", default=None)
    zone: str | None = msgspec.field(name="harbor", default=None)
    deadline_s: float | None = msgspec.field(name="tideS", default=None)
    # Jobs that must be done before any task of this one starts; each once.
    dependencies: tuple[str, ...] | None = msgspec.field(name="tows", default=None)


class JobStatus(msgspec.Struct, frozen=True, omit_defaults=True):
    """A job's state as users see it."""

    id: str = msgspec.field(name="nameId")
    state: str = msgspec.field(name="bearing")
    done: int | None = None
    running: int | None = None


class ErrorResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """Why a request was not carried out, and which field is to blame."""

    error: str
    field: str | None = None
