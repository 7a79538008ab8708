"""How long the leader lease is certainly valid, by the steady clock of this process."""


class LeaseClock:
    """Validity of one lease: counted from before a keep-alive was sent, less the greatest drift between clocks.

    Moments are seconds of the caller's clock; minus infinity means never valid.
    """

    def __init__(self, ttl_s: float, drift: float) -> None:
        self.ttl_s = ttl_s
        # The part of the time to live that is given up for clocks that drift apart.
        self.drift = drift
        self.lease_id: int | None = None
        self._valid_until = float("-inf")

    def record_grant(self, lease: int, sent_at: float) -> None:
        """A lease was granted by a request sent at that moment."""
        self.lease_id = lease
        self._valid_until = sent_at + self.ttl_s * (1 - self.drift)

    def record_keep_alive(self, sent_at: float) -> None:
        """The lease was kept alive by a request sent at that moment."""
        self._valid_until = max(self._valid_until, sent_at + self.ttl_s * (1 - self.drift))

    def invalidate(self, now: float) -> None:
        """From now on another controller may hold the leader key, although the lease goes on."""
        self._valid_until = min(self._valid_until, now)

    def clear(self) -> None:
        """The lease is no longer ours, or has expired."""
        self.lease_id = None
        self._valid_until = float("-inf")

    def is_valid(self, now: float) -> bool:
        """Whether no other controller can hold the leader key."""
        return self.lease_id is not None and now < self._valid_until

    def held_until(self, now: float) -> float:
        """Return the last moment, now at the latest, up to which no other controller can have held the key."""
        return min(now, self._valid_until)

    def remaining_s(self, now: float) -> float:
        """Return the seconds for which the lease is certainly valid."""
        return max(0.0, self._valid_until - now) if self.lease_id is not None else 0.0
