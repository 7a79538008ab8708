"""Parsing and validation of submissions.

The texts of `InvalidFieldError` go to the user, so they name fields as the protocol does.
"""

import math
from typing import Any

import msgspec

from driftcleat.wire import WireError, decode
from driftcleat.wire.job_ids import is_job_id
from driftcleat.wire.users import JobSpec

MAX_TASKS = 100_000
# Maximum size of a name in UTF-8, in bytes.
MAX_TEXT_BYTES = 200
MAX_MACHINE_TYPES = 64
# Maximum amount of a resource, and maximum duration in seconds.
MAX_AMOUNT = 1e9

# The protocol's field name of each attribute of `JobSpec`.
_WIRE_NAMES = dict(zip(JobSpec.__struct_fields__, JobSpec.__struct_encode_fields__, strict=True))
# Attributes of `JobSpec` that are names, and those that are amounts or durations.
_NAME_ATTRIBUTES = ("job_class", "team", "image", "zone")
_AMOUNT_ATTRIBUTES = (
    "cpus",
    "gpus",
    "memory_gb",
    "image_gb",
    "estimated_run_s",
    "checkpoint_interval_s",
    "checkpoint_duration_s",
    "deadline_s",
)


class InvalidFieldError(WireError):
    """A submission with a field that is missing or invalid; `field` is its name in the protocol."""

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(f"{field}: {reason}")
        self.field = field


def parse_object(body: bytes) -> dict[str, Any]:
    """Return the JSON object of a request's body; `InvalidFieldError` (field `body`) if it is anything else."""
    try:
        return decode(body, dict[str, Any])
    except WireError:
        raise InvalidFieldError("body", "must be a JSON object") from None


def parse_job_id(raw: dict[str, Any]) -> str:
    """Return a submission's job id, which is checked before all other fields."""
    return _require_job_id(raw.get(_WIRE_NAMES["id"]))


def parse_submission(raw: dict[str, Any]) -> JobSpec:
    """Return the validated specification of a submission; `InvalidFieldError` names the first invalid field."""
    spec = _convert(raw)
    _validate(spec)
    dependencies = tuple(dict.fromkeys(spec.dependencies)) if spec.dependencies else None
    return msgspec.structs.replace(spec, dependencies=dependencies)


def _convert(raw: dict[str, Any]) -> JobSpec:
    """Return a specification whose fields have the right types."""
    known = {field.encode_name: field for field in msgspec.structs.fields(JobSpec)}
    # Fields are checked one by one, since an error of the whole struct does not name the field.
    for name, field in known.items():
        if name not in raw:
            if field.required:
                raise InvalidFieldError(name, "is missing")
            continue
        try:
            msgspec.convert(raw[name], field.type)
        except (msgspec.MsgspecError, RecursionError) as error:
            raise InvalidFieldError(name, str(error)) from None
    return msgspec.convert({name: raw[name] for name in known if name in raw}, JobSpec)


def _validate(spec: JobSpec) -> None:
    """Check the values of all fields; the order decides which invalid field is reported."""
    _require_job_id(spec.id)
    for attribute in _NAME_ATTRIBUTES:
        text = getattr(spec, attribute)
        if text is not None and not _is_text(text):
            raise _invalid(attribute, f"must have 1 to {MAX_TEXT_BYTES} bytes")
    if not 1 <= spec.tasks <= MAX_TASKS:
        raise _invalid("tasks", f"must be 1 to {MAX_TASKS}")
    for attribute in _AMOUNT_ATTRIBUTES:
        amount = getattr(spec, attribute)
        if amount is not None and not (math.isfinite(amount) and 0 <= amount <= MAX_AMOUNT):
            raise _invalid(attribute, "must be a number that is not negative")
    if not all(map(is_job_id, spec.dependencies or ())):
        raise _invalid("dependencies", "must be null or a list of job ids")
    if spec.machine_types is not None:
        if not 1 <= len(spec.machine_types) <= MAX_MACHINE_TYPES:
            raise _invalid("machine_types", f"must be null or name 1 to {MAX_MACHINE_TYPES} types")
        if not all(map(_is_text, spec.machine_types)):
            raise _invalid("machine_types", f"each must have 1 to {MAX_TEXT_BYTES} bytes")


def _require_job_id(value: object) -> str:
    if not is_job_id(value):
        raise _invalid("id", "must have the form req-000412")
    return value


def _is_text(text: str) -> bool:
    return 0 < len(text.encode("utf-8", "replace")) <= MAX_TEXT_BYTES


def _invalid(attribute: str, reason: str) -> InvalidFieldError:
    return InvalidFieldError(_WIRE_NAMES[attribute], reason)
