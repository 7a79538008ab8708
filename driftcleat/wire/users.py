"""Messages between users and controllers: submissions, job states, errors."""

import math
import re
from enum import StrEnum
from typing import Any

import msgspec

from driftcleat.wire import WireError, decode

MAX_BODY = 64 * 1024
MAX_TASKS = 100_000
MAX_TEXT = 200
MAX_TYPES = 64
MAX_AMOUNT = 1e9
ID_PATTERN = re.compile(r"req-[0-9]{1,18}\Z", re.ASCII)


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


class InvalidFieldError(WireError):
    """A submission with a field that is missing or invalid."""

    def __init__(self, field: str, why: str) -> None:
        super().__init__(f"{field}: {why}")
        self.field = field


def is_job_id(text: object) -> bool:
    """Tell whether `text` has the form every job id has."""
    return isinstance(text, str) and ID_PATTERN.match(text) is not None


def parse_object(body: bytes) -> dict[str, Any]:
    """Return the body's JSON object; `InvalidFieldError` (field `body`) for anything else."""
    try:
        return decode(body, dict[str, Any])
    except WireError:
        raise InvalidFieldError("body", "must be a JSON object") from None


def parse_job_id(raw: dict[str, Any]) -> str:
    """Return the object's job id, checked before all other fields."""
    job_id = raw.get("nameId")
    if not isinstance(job_id, str) or not is_job_id(job_id):
        raise InvalidFieldError("nameId", "must have the form req-000412")
    return job_id


def parse_submission(raw: dict[str, Any]) -> JobSpec:
    """Return the checked submission; `InvalidFieldError` names the first field that is wrong."""
    known = {field.encode_name: field for field in msgspec.structs.fields(JobSpec)}
    for name, field in known.items():
        if name not in raw:
            if field.required:
                raise InvalidFieldError(name, "is missing")
            continue
        try:
            msgspec.convert(raw[name], field.type)
        except (msgspec.MsgspecError, RecursionError) as error:
            raise InvalidFieldError(name, str(error)) from None
    job = msgspec.convert({name: raw[name] for name in known if name in raw}, JobSpec)
    _check_ranges(job)
    return msgspec.structs.replace(
        job, dependencies=tuple(dict.fromkeys(job.dependencies)) if job.dependencies else None
    )


def encode_job_ids(job_ids: tuple[str, ...]) -> str:
    """Return job ids as a short text; their order is lost."""
    by_length: dict[int, list[int]] = {}
    for job_id in job_ids:
        digits = job_id.partition("-")[2]
        by_length.setdefault(len(digits), []).append(int(digits))
    parts = []
    for length, numbers in sorted(by_length.items()):
        numbers.sort()
        steps = [number - before for before, number in zip([0, *numbers], numbers, strict=False)]
        parts.append(f"{length}:" + ",".join(f"{step:x}" for step in steps))
    return ";".join(parts)


def decode_job_ids(text: str) -> tuple[str, ...]:
    """Return the job ids that `pack_ids` wrote."""
    out: list[str] = []
    for part in text.split(";") if text else ():
        length, _, steps = part.partition(":")
        number = 0
        for step in steps.split(","):
            number += int(step, 16)
            out.append(f"req-{number:0{int(length)}d}")
    return tuple(out)


def _check_ranges(job: JobSpec) -> None:
    parse_job_id({"nameId": job.id})
    for name, text in (("cargo", job.job_class), ("crew", job.team), ("hull", job.image), ("harbor", job.zone)):
        if text is not None and not 0 < len(text.encode("utf-8", "replace")) <= MAX_TEXT:
            raise InvalidFieldError(name, f"must have 1 to {MAX_TEXT} bytes")
    if not 1 <= job.tasks <= MAX_TASKS:
        raise InvalidFieldError("hands", f"must be 1 to {MAX_TASKS}")
    amounts = (
        ("cores", job.cpus),
        ("accelerators", job.gpus),
        ("memGb", job.memory_gb),
        ("imageGb", job.image_gb),
        ("voyageS", job.estimated_run_s),
        ("mooringS", job.checkpoint_interval_s),
        ("stowS", job.checkpoint_duration_s),
        ("tideS", job.deadline_s),
    )
    for name, amount in amounts:
        if amount is not None and not (math.isfinite(amount) and 0 <= amount <= MAX_AMOUNT):
            raise InvalidFieldError(name, "must be a number that is not negative")
    for need in job.dependencies or ():
        if not is_job_id(need):
            raise InvalidFieldError("tows", "must be null or a list of job ids")
    if job.machine_types is not None:
        if not 1 <= len(job.machine_types) <= MAX_TYPES:
            raise InvalidFieldError("builds", f"must be null or name 1 to {MAX_TYPES} types")
        if any(not 0 < len(text.encode("utf-8", "replace")) <= MAX_TEXT for text in job.machine_types):
            raise InvalidFieldError("builds", f"each must have 1 to {MAX_TEXT} bytes")
