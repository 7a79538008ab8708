"""Messages between controllers and the state service."""

from typing import Any

import msgspec


class Item(msgspec.Struct, frozen=True):
    """A key with its value, version and lease."""

    value: msgspec.Raw = msgspec.field(name="v")
    version: int = msgspec.field(name="entry")
    key: str = ""
    lease: int | None = msgspec.field(name="berth", default=None)


class Page(msgspec.Struct, frozen=True):
    """Keys under a prefix, in order."""

    items: tuple[Item, ...] = msgspec.field(name="rows")
    revision: int = msgspec.field(name="logline")
    more: bool = msgspec.field(name="truncated", default=False)


class Condition(msgspec.Struct, frozen=True):
    """A key that must have a version (0: must not exist)."""

    key: str
    version: int = msgspec.field(name="entry")


class Put(msgspec.Struct, frozen=True, omit_defaults=True):
    """Write a key."""

    key: str = msgspec.field(name="put")
    value: Any = msgspec.field(name="v")
    lease: int | None = msgspec.field(name="berth", default=None)


class Remove(msgspec.Struct, frozen=True):
    """Delete a key."""

    key: str = msgspec.field(name="remove")


class Txn(msgspec.Struct, frozen=True):
    """Changes that happen together or not at all."""

    conditions: list[Condition] = msgspec.field(name="if")
    changes: list[Put | Remove | Any] = msgspec.field(name="then")


class TxnDone(msgspec.Struct, frozen=True):
    """The revision of a transaction that was carried out."""

    revision: int = msgspec.field(name="logline")


class TxnFailed(msgspec.Struct, frozen=True):
    """The keys whose conditions did not hold."""

    failed: tuple[str, ...]


class LeaseRequest(msgspec.Struct, frozen=True):
    """Asks for a lease."""

    ttl_ms: int = msgspec.field(name="ttlMs")


class LeaseAnswer(msgspec.Struct, frozen=True):
    """The lease granted."""

    lease: int = msgspec.field(name="berth")


class WatchAnswer(msgspec.Struct, frozen=True):
    """What changed under a prefix."""

    revision: int = msgspec.field(name="logline")
    events: tuple[Any, ...] = msgspec.field(name="log", default=())
