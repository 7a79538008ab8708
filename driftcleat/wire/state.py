"""Messages between controllers and the state service."""

from typing import Any

import msgspec


class KeyValue(msgspec.Struct, frozen=True):
    """The response of `GET /store/{key}`, and a row of `GET /store`; the value is not decoded."""

    value: msgspec.Raw = msgspec.field(name="v")
    mod_revision: int = msgspec.field(name="entry")
    key: str = ""
    lease_id: int | None = msgspec.field(name="berth", default=None)


class KeyValuePage(msgspec.Struct, frozen=True):
    """The response of `GET /store`: keys under a prefix, in order."""

    key_values: tuple[KeyValue, ...] = msgspec.field(name="rows")
    revision: int = msgspec.field(name="logline")
    more: bool = msgspec.field(name="truncated", default=False)


class Compare(msgspec.Struct, frozen=True):
    """A compare of a transaction: the key has this mod revision; 0 means that the key does not exist."""

    key: str
    mod_revision: int = msgspec.field(name="entry")


class Put(msgspec.Struct, frozen=True, omit_defaults=True):
    """An operation of a transaction: write a key, attached to a lease if one is given."""

    key: str = msgspec.field(name="put")
    value: Any = msgspec.field(name="v")
    lease_id: int | None = msgspec.field(name="berth", default=None)


class Delete(msgspec.Struct, frozen=True):
    """An operation of a transaction: delete a key."""

    key: str = msgspec.field(name="remove")


class Transaction(msgspec.Struct, frozen=True):
    """The request of `POST /txn`: all operations are carried out if all compares hold, otherwise none."""

    compares: list[Compare] = msgspec.field(name="if")
    operations: list[Put | Delete | Any] = msgspec.field(name="then")


class TransactionCommitted(msgspec.Struct, frozen=True):
    """The response of `POST /txn` for a transaction that was carried out."""

    revision: int = msgspec.field(name="logline")


class CompareFailure(msgspec.Struct, frozen=True):
    """The 409 response of `POST /txn`: the keys whose compares failed."""

    failed_keys: tuple[str, ...] = msgspec.field(name="failed")


class LeaseGrantRequest(msgspec.Struct, frozen=True):
    """The request of `POST /leases`."""

    ttl_ms: int = msgspec.field(name="ttlMs")


class LeaseGrantResponse(msgspec.Struct, frozen=True):
    """The response of `POST /leases`."""

    lease_id: int = msgspec.field(name="berth")


class WatchResponse(msgspec.Struct, frozen=True):
    """The response of `GET /watch`: the changes under a prefix up to `revision`; none if the watch timed out."""

    revision: int = msgspec.field(name="logline")
    events: tuple[Any, ...] = msgspec.field(name="log", default=())
