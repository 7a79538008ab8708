"""The state service's data as a dictionary, with its conditions and its limits on size."""

import json
from typing import Any

from driftcleat import wire
from driftcleat.settings import Platform
from driftcleat.store.keys import JOBS_PREFIX, LEADER_KEY
from driftcleat.wire import state as state_messages


def downgrade_transaction(body: bytes) -> bytes:
    """Return a transaction as the previous version sends it: job head records without the fields added since."""
    raw = json.loads(body)
    for change in raw["then"]:
        if change.get("put", "").startswith(JOBS_PREFIX):
            del change["v"][7:]
    return json.dumps(raw, separators=(",", ":")).encode()


class InMemoryStore:
    """The state service's data as a dictionary, with mod revisions, compare-and-swap transactions and size limits."""

    def __init__(self, platform: Platform) -> None:
        self.platform = platform
        self.data: dict[str, tuple[Any, int]] = {}
        self.revision = 0
        # The limits that hold until `lower_limits` is called.
        self.value_bytes, self.txn_ops = platform.version_1_value_bytes, platform.version_1_txn_ops

    def lower_limits(self) -> None:
        """Apply the lower limits that the settings announce; records that are stored already stay readable."""
        self.value_bytes, self.txn_ops = self.platform.value_bytes, self.platform.txn_ops

    def within_limits(self, raw: dict[str, Any]) -> bool:
        """Return whether a transaction is within the limits on operations and value size."""
        return len(raw["then"]) <= self.txn_ops and all(
            len(json.dumps(change["v"], separators=(",", ":"))) <= self.value_bytes
            for change in raw["then"]
            if "put" in change
        )

    def txn(self, body: bytes) -> int | None:
        """Apply a transaction as encoded on the wire and return its revision, or None if a compare fails."""
        assert len(body) <= 64 * 1024
        raw = json.loads(body)
        assert self.within_limits(raw) and len(raw["if"]) <= 4 * self.txn_ops
        for compare in raw["if"]:
            if self.data.get(compare["key"], (None, 0))[1] != compare["entry"]:
                return None
        self.revision += 1
        for change in raw["then"]:
            if "put" in change:
                self.data[change["put"]] = (change["v"], self.revision)
            else:
                self.data.pop(change["remove"], None)
        return self.revision

    def put_leader(self, label: str) -> int:
        """Write the leader key for a controller, without a lease, and return its fencing token."""
        self.revision += 1
        self.data[LEADER_KEY] = ([label, "x"], self.revision)
        return self.revision

    def items(self, prefix: str) -> list[state_messages.KeyValue]:
        """Return the records under a prefix, sorted by key."""
        return [
            state_messages.KeyValue(wire.encode(value), version, key)  # type: ignore[arg-type]
            for key, (value, version) in sorted(self.data.items())
            if key.startswith(prefix)
        ]
