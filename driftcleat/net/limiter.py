"""Which connections that came in are kept: a bound for all, fair shares for workers and users, idle ones go first."""

from collections import OrderedDict
from collections.abc import Callable
from enum import Enum, auto
from typing import Generic, TypeVar

C = TypeVar("C")


class ClientKind(Enum):
    """Who is behind a connection, as far as its requests have told."""

    UNKNOWN = auto()
    WORKER = auto()
    USER = auto()


# The part of the bound up to which every connection is kept, and the workers' share of it.
SOFT_LIMIT_SHARE = 7 / 8
WORKER_SHARE = 3 / 4


class ConnectionLimiter(Generic[C]):
    """Counts connections; says which answer must be a connection's last, and which idle one makes room.

    Up to the bound nothing is closed that could stay. An answer is always given in full, also the last one.
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
        """Whether more connections are open than are kept."""
        return len(self.open) > self.soft_limit

    def admit(self, connection: C) -> bool:
        """Take in a connection; False if there is no room even after closing an idle one."""
        if len(self.open) >= self.max_connections:
            victim = self._longest_idle()
            if victim is None:
                self.rejected += 1
                return False
            self.remove(victim)
            self.close(victim)
        self.open[connection] = ClientKind.UNKNOWN
        self.counts[ClientKind.UNKNOWN] += 1
        self.idle[connection] = None
        return True

    def _longest_idle(self) -> C | None:
        """Return the idle connection to give up: of those that have more than their share if there is one."""
        for connection in self.idle:
            if self._beyond(self.open[connection]):
                return connection
        return next(iter(self.idle), None)

    def _beyond(self, kind: ClientKind) -> bool:
        """Whether workers (or users) have more connections than their share."""
        if kind is ClientKind.UNKNOWN:
            return False
        share = WORKER_SHARE if kind is ClientKind.WORKER else 1 - WORKER_SHARE
        return self.counts[kind] > self.soft_limit * share

    def request_started(self, connection: C, kind: ClientKind) -> None:
        """A request has come in."""
        before = self.open.get(connection)
        if before is None:
            return
        self.idle.pop(connection, None)
        if before is not kind:
            self.counts[before] -= 1
            self.counts[kind] += 1
            self.open[connection] = kind

    def request_finished(self, connection: C) -> bool:
        """A request is answered; True if the connection has to be closed after it."""
        kind = self.open.get(connection)
        if kind is None:
            return True
        if self.over_soft_limit and self._beyond(kind):
            self.closed_after_response += 1
            return True
        self.idle[connection] = None
        return False

    def remove(self, connection: C) -> None:
        """A connection is closed, by whomever."""
        kind = self.open.pop(connection, None)
        if kind is not None:
            self.counts[kind] -= 1
            self.idle.pop(connection, None)
