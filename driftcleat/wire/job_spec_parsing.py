"""Parses and validates the job specification of a submission."""

import math
from typing import Any

import msgspec

from driftcleat.wire import WireError, decode
from driftcleat.wire.job_ids import is_job_id
from driftcleat.wire.users import JobSpec

MAX_TASKS = 100_000
MAX_TEXT = 200
MAX_TYPES = 64
MAX_AMOUNT = 1e9


class InvalidFieldError(WireError):
    """A submission with a field that is missing or invalid."""

    def __init__(self, field: str, why: str) -> None:
        super().__init__(f"{field}: {why}")
        self.field = field


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
