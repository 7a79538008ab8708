"""Tracks how long the leader lease is certainly valid, by the monotonic clock of this process."""


class LeaseClock:
    """A lower bound on the validity of one lease.

    Validity counts from the moment before a grant or keep-alive request was sent, and is shortened by the greatest
    assumed clock drift. All times are seconds of the caller's clock; minus infinity means never valid.
    """

    def __init__(self, ttl_s: float, drift: float) -> None:
        self.ttl_s = ttl_s
        # The fraction of the TTL that is subtracted for clock drift between this process and the store.
        self.drift = drift
        self.lease_id: int | None = None
        self._valid_until = float("-inf")

    def record_grant(self, lease: int, sent_at: float) -> None:
        """Start to track a lease that was granted by a request sent at `sent_at`."""
        self.lease_id = lease
        self._valid_until = sent_at + self.ttl_s * (1 - self.drift)

    def record_keep_alive(self, sent_at: float) -> None:
        """Extend the validity after a successful keep-alive request that was sent at `sent_at`."""
        self._valid_until = max(self._valid_until, sent_at + self.ttl_s * (1 - self.drift))

    def invalidate(self, now: float) -> None:
        """End the validity at `now`: another controller may take the leader key while the lease is still alive."""
        self._valid_until = min(self._valid_until, now)

    def clear(self) -> None:
        """Forget the lease, after it was revoked or has expired."""
        self.lease_id = None
        self._valid_until = float("-inf")

    def is_valid(self, now: float) -> bool:
        """Whether the lease is certainly valid, so that no other controller can hold the leader key."""
        return self.lease_id is not None and now < self._valid_until

    def held_until(self, now: float) -> float:
        """Return the latest time, at most `now`, until which no other controller can have held the leader key."""
        return min(now, self._valid_until)

    def remaining_s(self, now: float) -> float:
        """Return the seconds for which the lease is still certainly valid; 0.0 without a lease."""
        return max(0.0, self._valid_until - now) if self.lease_id is not None else 0.0
