"""The store lease of a process: all its leader keys are attached to it, so more shards need no more keep-alives."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

from driftcleat.store.client import StoreClient
from driftcleat.store.errors import LeaseNotFoundError

log = logging.getLogger(__name__)

# A keep-alive is not repeated for another shard within this fraction of the pause between two keep-alives.
RECENT_KEEP_ALIVE = 0.7


@dataclass(frozen=True, slots=True)
class ConfirmedLease:
    """A lease, and when the last successful grant or keep-alive request was sent."""

    lease: int
    sent_at: float


class ProcessLease:
    """Grants the lease at its first use and keeps it alive; concurrent callers are served by one request."""

    def __init__(
        self, store: StoreClient, ttl_s: float, keep_alive_pause_s: float, clock: Callable[[], float]
    ) -> None:
        self._store, self._ttl_s, self._pause_s, self._clock = store, ttl_s, keep_alive_pause_s, clock
        self._confirmed_lease: ConfirmedLease | None = None
        self._lock = asyncio.Lock()
        # Number of grant and keep-alive requests sent.
        self.requests = 0

    @property
    def lease(self) -> int | None:
        """Return the id of the current lease, or None if none is known."""
        return self._confirmed_lease.lease if self._confirmed_lease is not None else None

    async def keep_alive_or_grant(self) -> int:
        """Return a lease that was kept alive, or granted, by a request sent after this call."""
        called_at = self._clock()
        async with self._lock:
            if self._confirmed_lease is not None:
                if self._confirmed_lease.sent_at >= called_at:
                    return self._confirmed_lease.lease
                try:
                    return (await self._send_keep_alive(self._confirmed_lease.lease)).lease
                except LeaseNotFoundError:
                    log.info("lease of this process expired; a new one is granted")
            sent_at = self._clock()
            self.requests += 1
            self._confirmed_lease = ConfirmedLease(await self._store.grant_lease(self._ttl_s), sent_at)
            return self._confirmed_lease.lease

    async def keep_alive(self, lease: int) -> float:
        """Keep a lease alive unless that was done recently; return when the last successful request was sent.

        Raises `LeaseNotFoundError` if the lease has expired: the keys attached to it are deleted, even if the process
        holds a newer lease.
        """
        async with self._lock:
            confirmed_lease = self._confirmed_lease
            if confirmed_lease is None or confirmed_lease.lease != lease:
                raise LeaseNotFoundError(f"lease {lease} has expired")
            if self._clock() - confirmed_lease.sent_at < self._pause_s * RECENT_KEEP_ALIVE:
                return confirmed_lease.sent_at
            return (await self._send_keep_alive(lease)).sent_at

    async def _send_keep_alive(self, lease: int) -> ConfirmedLease:
        sent_at = self._clock()
        self.requests += 1
        try:
            await self._store.keep_lease_alive(lease, self._ttl_s * 0.5)
        except LeaseNotFoundError:
            self._confirmed_lease = None
            raise
        self._confirmed_lease = ConfirmedLease(lease, sent_at)
        return self._confirmed_lease
