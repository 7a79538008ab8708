"""A mapping that keeps a bounded number of its latest entries."""

from collections import OrderedDict
from typing import Generic, TypeVar

Value = TypeVar("Value")


class BoundedCache(Generic[Value]):
    """Maps texts to values; beyond the maximum size the entries that were added first are dropped."""

    def __init__(self, max_entries: int) -> None:
        self._max_entries = max_entries
        self._values: OrderedDict[str, Value] = OrderedDict()

    def get(self, key: str) -> Value | None:
        """Return the value of a key, None if there is none."""
        return self._values.get(key)

    def __contains__(self, key: str) -> bool:
        return key in self._values

    def put(self, key: str, value: Value) -> Value:
        """Add or replace a value, drop the oldest entries beyond the maximum size, and return the value."""
        self._values[key] = value
        while len(self._values) > self._max_entries:
            self._values.popitem(last=False)
        return value
