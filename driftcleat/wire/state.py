"""Messages between controllers and the state service."""

from typing import Any

import msgspec


class KeyValue(msgspec.Struct, frozen=True):
    """A key with its value, version and lease."""

    value: msgspec.Raw = msgspec.field(name="v")
    mod_revision: int = msgspec.field(name="entry")
    key: str = ""
    lease_id: int | None = msgspec.field(name="berth", default=None)


class KeyValuePage(msgspec.Struct, frozen=True):
    """Keys under a prefix, in order."""

    key_values: tuple[KeyValue, ...] = msgspec.field(name="rows")
    revision: int = msgspec.field(name="logline")
    more: bool = msgspec.field(name="truncated", default=False)


class Compare(msgspec.Struct, frozen=True):
    """A key that must have a version (0: must not exist)."""

    key: str
    mod_revision: int = msgspec.field(name="entry")


class Put(msgspec.Struct, frozen=True, omit_defaults=True):
    """Write a key."""

    key: str = msgspec.field(name="put")
    value: Any = msgspec.field(name="v")
    lease_id: int | None = msgspec.field(name="berth", default=None)


class Delete(msgspec.Struct, frozen=True):
    """Delete a key."""

    key: str = msgspec.field(name="remove")


class Transaction(msgspec.Struct, frozen=True):
    """Changes that happen together or not at all."""

    compares: list[Compare] = msgspec.field(name="if")
    operations: list[Put | Delete | Any] = msgspec.field(name="then")


class TransactionCommitted(msgspec.Struct, frozen=True):
    """The revision of a transaction that was carried out."""

    revision: int = msgspec.field(name="logline")


class CompareFailure(msgspec.Struct, frozen=True):
    """The keys whose conditions did not hold."""

    failed_keys: tuple[str, ...] = msgspec.field(name="failed")


class LeaseGrantRequest(msgspec.Struct, frozen=True):
    """Asks for a lease."""

    ttl_ms: int = msgspec.field(name="ttlMs")


class LeaseGrantResponse(msgspec.Struct, frozen=True):
    """The lease granted."""

    lease_id: int = msgspec.field(name="berth")


class WatchResponse(msgspec.Struct, frozen=True):
    """What changed under a prefix."""

    revision: int = msgspec.field(name="logline")
    events: tuple[Any, ...] = msgspec.field(name="log", default=())
