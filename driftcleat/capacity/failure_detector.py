"""Failure detection: which machines miss heartbeats, alone or together, and when they are presumed lost."""

from dataclasses import dataclass

# Up to this many suspected machines, or in a zone of fewer machines, no common cause is assumed.
MIN_CORRELATED_MACHINES = 3
# A zone counts as failed from this fraction of suspected machines on. From this fraction of all machines on, no zone
# counts as partitioned: most likely the controller itself is cut off.
ZONE_FAILURE_FRACTION = 0.8


@dataclass(slots=True)
class ZoneCount:
    """The number of a zone's machines, and how many of them are suspected."""

    suspected: int = 0
    total: int = 0


class FailureDetector:
    """Counts suspected machines by zone, and decides after how long without a heartbeat a machine is presumed lost.

    A machine is suspected when it has sent no heartbeat for `suspicion_timeout_s`. One that is suspected alone is
    presumed lost after `isolated_timeout_s`, since it has most likely failed. If many are suspected together (more
    than `correlated_fraction` of all machines, or nearly all of a zone), they are most likely partitioned or hang and
    return with everything that they have cached, often before new machines have booted and fetched as much: these are
    presumed lost after `correlated_timeout_s`. Those among them that did fail are presumed lost as soon as the cloud
    lists them as failed. Guards against deleting fifty machines three seconds before they resume.
    """

    def __init__(self, isolated_timeout_s: float, correlated_timeout_s: float, correlated_fraction: float) -> None:
        self.isolated_timeout_s = isolated_timeout_s
        self.correlated_timeout_s = max(isolated_timeout_s, correlated_timeout_s)
        self.correlated_fraction = correlated_fraction
        self.zones: dict[str, ZoneCount] = {}
        self.suspected = 0
        self.total = 0
        # Zones that were partitioned recently; None if many machines were suspected anywhere recently.
        self._recent_failures: set[str | None] = set()

    def add_machine(self, zone: str, since_heartbeat_s: float) -> None:
        """Count a machine of a zone that has sent no heartbeat for `since_heartbeat_s` seconds."""
        self.add_machines(zone, int(since_heartbeat_s > self.suspicion_timeout_s), 1)

    @property
    def suspicion_timeout_s(self) -> float:
        """The time without a heartbeat, in seconds, after which a machine is suspected.

        It is shorter than any timeout after which a machine is presumed lost, so that machines whose last heartbeat
        came a little later than the first of a correlated failure count with it.
        """
        return self.isolated_timeout_s / 2

    def add_machines(self, zone: str, suspected: int, total: int) -> None:
        """Count machines of a zone, and how many of them are suspected."""
        count = self.zones.setdefault(zone, ZoneCount())
        count.suspected += suspected
        count.total += total
        self.suspected += suspected
        self.total += total

    def retain_recent_failures(self, failures_until: dict[str | None, float], now: float) -> None:
        """Keep the present failures for `isolated_timeout_s` longer, since machines do not all return at once.

        `failures_until` holds the time until which a zone counts as partitioned and, under None, the time until which
        all suspected machines count as correlated; the caller keeps it from one detector to the next. Guards against
        deleting the rest of a zone, its tasks still running, when the first heartbeat of the zone arrives again: a
        worker tries one controller after the other.
        """
        for zone in self.zones:
            if self.is_partitioned_now(zone):
                failures_until[zone] = now + self.isolated_timeout_s
        if self._are_many_suspected():
            failures_until[None] = now + self.isolated_timeout_s
        self._recent_failures = {zone for zone, end in failures_until.items() if end > now}

    def _are_many_suspected(self) -> bool:
        return self.suspected > max(MIN_CORRELATED_MACHINES, self.total * self.correlated_fraction)

    def _is_zone_failed(self, zone: str) -> bool:
        count = self.zones.get(zone)
        return (
            count is not None
            and count.total >= MIN_CORRELATED_MACHINES
            and count.suspected >= count.total * ZONE_FAILURE_FRACTION
        )

    def is_partitioned_now(self, zone: str) -> bool:
        """Return whether nearly all machines of a zone are suspected while others send heartbeats."""
        return self._is_zone_failed(zone) and self.suspected < self.total * ZONE_FAILURE_FRACTION

    def is_partitioned(self, zone: str) -> bool:
        """Return whether a zone is partitioned or was so recently."""
        return self.is_partitioned_now(zone) or zone in self._recent_failures

    def is_correlated(self, zone: str) -> bool:
        """Return whether a suspected machine of a zone is most likely part of a correlated failure."""
        return (
            self._is_zone_failed(zone)
            or self._are_many_suspected()
            or not self._recent_failures.isdisjoint((zone, None))
        )

    def heartbeat_timeout_s(self, zone: str) -> float:
        """Return the seconds without a heartbeat after which a machine of a zone is presumed lost."""
        return self.correlated_timeout_s if self.is_correlated(zone) else self.isolated_timeout_s
