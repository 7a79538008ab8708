"""Wire formats, the only place that knows how messages look in JSON.

The platform's own names (`helm`, `hands`, `bollard`) end here: the structs carry the field's terms
(token, tasks, machine) and clients of driftcleat may use this package by itself.
"""

from typing import Any, TypeVar

import msgspec

from driftcleat.errors import DriftcleatError

T = TypeVar("T")

_encoder = msgspec.json.Encoder()


def encode(value: Any) -> bytes:
    """Return the JSON text of a struct or of plain data."""
    return _encoder.encode(value)


def decode(data: bytes, kind: type[T]) -> T:
    """Return `data` as a `kind`; `WireError` when it is anything else."""
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise WireError(str(error)) from None


def convert(value: Any, kind: type[T]) -> T:
    """Return plain data that was decoded before as a `kind`; `WireError` when it does not fit."""
    try:
        return msgspec.convert(value, kind)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise WireError(str(error)) from None


class WireError(DriftcleatError, ValueError):
    """A message that is not what its interface says."""
