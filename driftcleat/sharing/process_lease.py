"""The one lease of the store on which all leader keys of a process hang: more shares cost no more renewals."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

from driftcleat.store.client import StoreClient
from driftcleat.store.errors import LeaseNotFoundError

log = logging.getLogger(__name__)

# A renewal that is this fresh, as a part of the pause between renewals, serves whoever asks next.
FRESH_RENEWAL = 0.7


@dataclass(frozen=True, slots=True)
class LeaseRenewal:
    """A lease, and when the request was sent that gave it its full time."""

    lease: int
    sent_at: float


class ProcessLease:
    """Granted when it is first needed; renewed by whoever asks, and by one request for all that ask together."""

    def __init__(self, store: StoreClient, ttl_s: float, renewal_pause_s: float, clock: Callable[[], float]) -> None:
        self._store, self._ttl_s, self._pause_s, self._clock = store, ttl_s, renewal_pause_s, clock
        self._last_renewal: LeaseRenewal | None = None
        self._lock = asyncio.Lock()
        # How many requests were sent, for measurements.
        self.requests = 0

    @property
    def lease(self) -> int | None:
        """Return the lease that is held, as far as known."""
        return self._last_renewal.lease if self._last_renewal is not None else None

    async def renew_or_grant(self) -> int:
        """Return a lease that was renewed, or granted, by a request sent after this call."""
        called_at = self._clock()
        async with self._lock:
            if self._last_renewal is not None:
                if self._last_renewal.sent_at >= called_at:
                    return self._last_renewal.lease
                try:
                    return (await self._send_keep_alive(self._last_renewal.lease)).lease
                except LeaseNotFoundError:
                    log.info("the lease of this process has ended")
            sent_at = self._clock()
            self.requests += 1
            self._last_renewal = LeaseRenewal(await self._store.grant_lease(self._ttl_s), sent_at)
            return self._last_renewal.lease

    async def keep_alive(self, lease: int) -> float:
        """Renew a lease, unless that was done lately; return when the request was sent that counts.

        `LeaseNotFoundError` if the lease has ended: what hung on it is gone, whatever the process holds now.
        """
        async with self._lock:
            last_renewal = self._last_renewal
            if last_renewal is None or last_renewal.lease != lease:
                raise LeaseNotFoundError(f"lease {lease} has ended")
            if self._clock() - last_renewal.sent_at < self._pause_s * FRESH_RENEWAL:
                return last_renewal.sent_at
            return (await self._send_keep_alive(lease)).sent_at

    async def _send_keep_alive(self, lease: int) -> LeaseRenewal:
        sent_at = self._clock()
        self.requests += 1
        try:
            await self._store.keep_lease_alive(lease, self._ttl_s * 0.5)
        except LeaseNotFoundError:
            self._last_renewal = None
            raise
        self._last_renewal = LeaseRenewal(lease, sent_at)
        return self._last_renewal
