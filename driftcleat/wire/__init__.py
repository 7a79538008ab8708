"""The wire formats: the only package that knows the protocols' JSON.

Each struct is one message, or a part of one, of `PROTOCOL-driftcleat.md`. The names of the protocols' fields (`helm`,
`hands`, `bollard`) differ from the standard terms that the code uses (`fencing_token`, `tasks`, `machine`; see
`docs/glossary.md`). They are mapped only here: an attribute has the standard term, `name=` has the protocol's name.

Clients of driftcleat may use this package without the others.
"""

from typing import Any, TypeVar

import msgspec

from driftcleat.errors import DriftcleatError

T = TypeVar("T")

_encoder = msgspec.json.Encoder()


class WireError(DriftcleatError, ValueError):
    """A message that does not conform to its protocol."""


def encode(value: Any) -> bytes:
    """Return a struct or plain data as JSON."""
    return _encoder.encode(value)


def decode(data: bytes, kind: type[T]) -> T:
    """Return the value of type `kind` that JSON text encodes; `WireError` if the text is not valid for that type."""
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise WireError(str(error)) from None


def convert(value: Any, kind: type[T]) -> T:
    """Return decoded plain data as a value of type `kind`; `WireError` if it is not valid for that type."""
    try:
        return msgspec.convert(value, kind)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise WireError(str(error)) from None
