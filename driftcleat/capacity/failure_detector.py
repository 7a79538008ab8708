"""Failure detection: machines that fall silent alone or with others, and how long that is tolerated. Pure."""

from dataclasses import dataclass

# So few silent machines, or machines of a zone, tell nothing of the others.
FEW = 3
# From this part of a zone's machines on, the whole zone counts as silent.
MOST = 0.8


@dataclass(slots=True)
class ZoneCount:
    """The machines of a zone that are counted, and how many of them are silent."""

    suspected: int = 0
    total: int = 0


class FailureDetector:
    """How many machines are silent, by zone, and how long that is tolerated.

    A machine that is silent alone is given up after `isolated_timeout_s`: it is most likely gone. Many that fall
    silent together (more than the part `many` of all) were partitioned or hang, and come back with all that they have
    cached, often before new ones have booted and fetched as much: they are given up after `correlated_timeout_s`.
    Those that did die are listed as failed, and given up then. Guards against returning fifty machines three seconds
    before they went on, seen on the bench.
    """

    def __init__(self, isolated_timeout_s: float, correlated_timeout_s: float, many: float) -> None:
        self.isolated_timeout_s = isolated_timeout_s
        self.correlated_timeout_s = max(isolated_timeout_s, correlated_timeout_s)
        self.many = many
        self.zones: dict[str, ZoneCount] = {}
        self.suspected = 0
        self.total = 0
        # The zones that were partitioned until a moment ago; None: many machines were silent anywhere.
        self._remembered: set[str | None] = set()

    def add_machine(self, zone: str, silent_s: float) -> None:
        """Count a machine."""
        self.add_machines(zone, int(silent_s > self.suspicion_timeout_s), 1)

    @property
    def suspicion_timeout_s(self) -> float:
        """Return the silence in seconds from which on a machine counts as silent.

        It is less than what a machine is given up for: those that fell silent a little later than the first belong to
        them.
        """
        return self.isolated_timeout_s / 2

    def add_machines(self, zone: str, silent: int, known: int) -> None:
        """Count machines of a zone, and how many of them are silent."""
        count = self.zones.setdefault(zone, ZoneCount())
        count.suspected += silent
        count.total += known
        self.suspected += silent
        self.total += known

    def retain_recent_failures(self, until: dict[str | None, float], now: float) -> None:
        """Let what holds now hold for `isolated_timeout_s` longer: machines that come back do not all come at once.

        `until` is kept by the caller from one detector to the next. Guards against returning the rest of a zone, its
        work still running, when the first of its machines was heard again, as seen on the bench: a worker tries one
        controller after the other.
        """
        for zone in self.zones:
            if self.is_partitioned_now(zone):
                until[zone] = now + self.isolated_timeout_s
        if self._are_many_silent():
            until[None] = now + self.isolated_timeout_s
        self._remembered = {zone for zone, end in until.items() if end > now}

    def _are_many_silent(self) -> bool:
        return self.suspected > max(FEW, self.total * self.many)

    def _is_zone_silent(self, zone: str) -> bool:
        count = self.zones.get(zone)
        return count is not None and count.total >= FEW and count.suspected >= count.total * MOST

    def is_partitioned_now(self, zone: str) -> bool:
        """Tell whether nearly all of a zone is silent while others are heard."""
        return self._is_zone_silent(zone) and self.suspected < self.total * MOST

    def is_partitioned(self, zone: str) -> bool:
        """Tell whether a zone is partitioned, or was until a moment ago."""
        return self.is_partitioned_now(zone) or zone in self._remembered

    def is_correlated(self, zone: str) -> bool:
        """Tell whether a machine that is silent in this zone most likely fell silent with others."""
        return self._is_zone_silent(zone) or self._are_many_silent() or not self._remembered.isdisjoint((zone, None))

    def heartbeat_timeout_s(self, zone: str) -> float:
        """Return how long silence is tolerated in a zone, in seconds."""
        return self.correlated_timeout_s if self.is_correlated(zone) else self.isolated_timeout_s
