"""The wire formats: the only package that knows the protocols' JSON.

Each struct is one message, or a part of one, of `PROTOCOL-driftcleat.md`. The protocols name their fields in words of
their own (`helm`, `hands`, `bollard`): `name=` gives the protocol's field, and that mapping is made here once. The
attributes have the field's terms (`fencing_token`, `tasks`, `machine`), as in `docs/glossary.md`.

Clients of driftcleat may use this package by itself.
"""

from typing import Any, TypeVar

import msgspec

from driftcleat.errors import DriftcleatError

T = TypeVar("T")

_encoder = msgspec.json.Encoder()


class WireError(DriftcleatError, ValueError):
    """A message that does not conform to its protocol."""


def encode(value: Any) -> bytes:
    """Return the JSON text of a struct or of plain data."""
    return _encoder.encode(value)


def decode(data: bytes, kind: type[T]) -> T:
    """Return JSON text as a `kind`; `WireError` when it is not one."""
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise WireError(str(error)) from None


def convert(value: Any, kind: type[T]) -> T:
    """Return plain data that is decoded already as a `kind`; `WireError` when it is not one."""
    try:
        return msgspec.convert(value, kind)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise WireError(str(error)) from None
