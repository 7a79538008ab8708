"""Limits incoming connections in total, with shares for workers and users; idle ones are closed first."""

from collections import OrderedDict
from collections.abc import Callable
from enum import Enum, auto
from typing import Generic, TypeVar

C = TypeVar("C")


class ClientKind(Enum):
    """Who uses a connection, judged by its requests; unknown before the first one."""

    UNKNOWN = auto()
    WORKER = auto()
    USER = auto()


# Up to the soft limit, a fraction of the hard limit, every connection is kept. Workers may use this share of it, and
# users the rest.
SOFT_LIMIT_SHARE = 7 / 8
WORKER_SHARE = 3 / 4


class ConnectionLimiter(Generic[C]):
    """Admits connections up to a hard limit, and decides which ones to close above the soft limit.

    At the hard limit an idle connection is closed to admit a new one. Above the soft limit, a connection of a kind
    that has more than its share is closed after its next response, which is sent in full.
    """

    def __init__(self, max_connections: int, close: Callable[[C], None]) -> None:
        self.max_connections, self.close = max_connections, close
        self.soft_limit = max(1, int(max_connections * SOFT_LIMIT_SHARE))
        self.open: dict[C, ClientKind] = {}
        self.idle: OrderedDict[C, None] = OrderedDict()
        self.counts = dict.fromkeys(ClientKind, 0)
        self.rejected = self.closed_after_response = 0

    @property
    def over_soft_limit(self) -> bool:
        """Whether more connections are open than the soft limit allows."""
        return len(self.open) > self.soft_limit

    def admit(self, connection: C) -> bool:
        """Count a new connection, closing an idle one at the hard limit; return False if it must be rejected."""
        if len(self.open) >= self.max_connections:
            victim = self._idle_to_close()
            if victim is None:
                self.rejected += 1
                return False
            self.remove(victim)
            self.close(victim)
        self.open[connection] = ClientKind.UNKNOWN
        self.counts[ClientKind.UNKNOWN] += 1
        self.idle[connection] = None
        return True

    def _idle_to_close(self) -> C | None:
        """Return the longest idle connection of a kind above its share; if there is none, the longest idle one."""
        for connection in self.idle:
            if self._is_over_share(self.open[connection]):
                return connection
        return next(iter(self.idle), None)

    def _is_over_share(self, kind: ClientKind) -> bool:
        """Return whether connections of this kind use more than their share of the soft limit."""
        if kind is ClientKind.UNKNOWN:
            return False
        share = WORKER_SHARE if kind is ClientKind.WORKER else 1 - WORKER_SHARE
        return self.counts[kind] > self.soft_limit * share

    def request_started(self, connection: C, kind: ClientKind) -> None:
        """Mark a connection as busy and note who uses it."""
        before = self.open.get(connection)
        if before is None:
            return
        self.idle.pop(connection, None)
        if before is not kind:
            self.counts[before] -= 1
            self.counts[kind] += 1
            self.open[connection] = kind

    def request_finished(self, connection: C) -> bool:
        """Mark a connection as idle; return True if the caller must close it after this response instead."""
        kind = self.open.get(connection)
        if kind is None:
            return True
        if self.over_soft_limit and self._is_over_share(kind):
            self.closed_after_response += 1
            return True
        self.idle[connection] = None
        return False

    def remove(self, connection: C) -> None:
        """Stop counting a connection; ignore one that is not counted."""
        kind = self.open.pop(connection, None)
        if kind is not None:
            self.counts[kind] -= 1
            self.idle.pop(connection, None)
